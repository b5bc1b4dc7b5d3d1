package core

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// faulty reports whether the job itself seems to be at fault: it failed on several
// machines, or on all that there are, and completed on none.
func (c *Core) faulty(j *job) bool {
	if len(j.failedOn) < 2 || j.wellOnce || j.doneCount() > 0 {
		return false
	}
	mine := 0
	for _, m := range c.rep.machines {
		if m.rt != nil && m.rt.heardAt > 0 {
			if mine++; mine > len(j.failedOn) || mine == 3 {
				break // no need to count a whole fleet
			}
		}
	}
	return len(j.failedOn) >= min(3, mine)
}

// blame judges the machines on which a job has failed. One that fails tasks of
// several jobs gets no more work; but jobs that fail everywhere do not count. When
// they did, a few jobs submitted with a mistake took all machines out of use.
func (c *Core) blame(j *job) {
	for _, name := range slices.Sorted(maps.Keys(j.failedOn)) {
		m := c.rep.machines[name]
		if m == nil || m.rt == nil {
			continue
		}
		n := 0
		for id := range m.rt.errors {
			if o := c.rep.jobs[id]; o == nil || !c.faulty(o) {
				n++
			}
		}
		if sick := n >= 2; sick != m.rt.sick {
			m.rt.sick, m.rt.sickAt = sick, c.now
			c.log.Warn("machine fails tasks of several jobs", "machine", name, "no_more_work", sick)
		}
	}
}

// sickFor is how long a machine that fails tasks gets no work. Then it is tried once
// more: what ailed it may be over, and jobs must not wait beside it for good.
const sickFor = 30 * units.Second

// recovered lets a sick machine try again.
func (c *Core) recovered(m *machine) {
	if m.rt.sick && c.now-m.rt.sickAt > sickFor {
		m.rt.sick, m.rt.errors = false, map[string]bool{}
		c.dirty = true
	}
}

// failed backs off a job one of whose tasks failed.
func (c *Core) failed(j *job) {
	j.failures++
	j.failedAt = c.now
	j.retryAt = c.now + min(units.Second<<min(j.failures/2, 6), 40*units.Second)
}

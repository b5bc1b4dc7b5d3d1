package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// faulty reports whether the job itself seems to be at fault: it failed on several
// machines, or on all that there are, and completed on none.
func (c *Core) faulty(j *job) bool {
	if len(j.failedOn) < 2 || j.succeeded || j.doneCount() > 0 {
		return false
	}
	mine := 0
	for _, m := range c.replica.machines {
		if m.rt != nil && m.rt.heardAt > 0 {
			if mine++; mine > len(j.failedOn) || mine == 3 {
				break // no need to count a whole fleet
			}
		}
	}
	return len(j.failedOn) >= min(3, mine)
}

// judgeMachinesOf judges the machines on which a job has failed. One that fails tasks of
// several jobs gets no more work; but jobs that fail everywhere do not count. When
// they did, a few jobs submitted with a mistake took all machines out of use.
func (c *Core) judgeMachinesOf(j *job) {
	for _, name := range slices.Sorted(maps.Keys(j.failedOn)) {
		m := c.replica.machines[name]
		if m == nil || m.rt == nil {
			continue
		}
		n := 0
		for id := range m.rt.errors {
			if o := c.replica.jobs[id]; o == nil || !c.faulty(o) {
				n++
			}
		}
		if suspect := n >= 2; suspect != m.rt.suspect {
			m.rt.suspect, m.rt.suspectSince = suspect, c.now
			c.log.Warn("machine fails tasks of several jobs", "machine", name, "no_more_work", suspect)
		}
	}
}

// suspectPeriod is how long a machine that fails tasks gets no work. Then it is tried once
// more: what ailed it may be over, and jobs must not wait beside it for good.
const suspectPeriod = 30 * units.Second

// recovered lets a sick machine try again.
func (c *Core) recovered(m *machine) {
	if m.rt.suspect && c.now-m.rt.suspectSince > suspectPeriod {
		m.rt.suspect, m.rt.errors = false, map[string]bool{}
		c.dirty = true
	}
}

// failed backs off a job one of whose tasks failed.
func (c *Core) failed(j *job) {
	j.failures++
	j.failedAt = c.now
	j.retryAt = c.now + min(units.Second<<min(j.failures/2, 6), 40*units.Second)
}

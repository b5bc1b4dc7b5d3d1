package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// jobAtFault reports whether the job itself seems to be at fault: it failed on several
// machines, or on all that there are, and completed on none.
func (c *Controller) jobAtFault(j *job) bool {
	if len(j.failedOn) < 2 || j.succeeded || j.doneCount() > 0 {
		return false
	}
	mine := 0
	for _, m := range c.replica.machines {
		if m.agent != nil && m.agent.heardAt > 0 {
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
func (c *Controller) judgeMachinesOf(j *job) {
	for _, name := range slices.Sorted(maps.Keys(j.failedOn)) {
		m := c.replica.machines[name]
		if m == nil || m.agent == nil {
			continue
		}
		n := 0
		for id := range m.agent.failedJobs {
			if o := c.replica.jobs[id]; o == nil || !c.jobAtFault(o) {
				n++
			}
		}
		if suspect := n >= 2; suspect != m.agent.quarantined {
			m.agent.quarantined, m.agent.quarantinedAt = suspect, c.now
			c.log.Warn("machine quarantine", "machine", name, "quarantined", suspect)
		}
	}
}

// quarantinePeriod is how long a machine that fails tasks gets no work. Then it is tried once
// more: what ailed it may be over, and jobs must not wait beside it for good.
const quarantinePeriod = 30 * units.Second

// endQuarantine lets a sick machine try again.
func (c *Controller) endQuarantine(m *machine) {
	if m.agent.quarantined && c.now-m.agent.quarantinedAt > quarantinePeriod {
		m.agent.quarantined, m.agent.failedJobs = false, map[string]bool{}
		c.planNeeded = true
	}
}

// backOff backs off a job one of whose tasks failed.
func (c *Controller) backOff(j *job) {
	j.failures++
	j.failedAt = c.now
	j.retryAt = c.now + min(units.Second<<min(j.failures/2, 6), 40*units.Second)
}

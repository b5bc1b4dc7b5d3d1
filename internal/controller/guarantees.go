package controller

import (
	"math"

	"frostdock.example/frostdock/internal/units"
)

// guaranteedJobs finds the jobs that lie within their team's guarantee: they fit into it
// together with the team's earlier unfinished jobs.
func (c *Controller) guaranteedJobs() map[*job]bool {
	guaranteed := map[*job]bool{}
	wants := map[string]*usage{}
	for _, j := range c.replica.sortedJobs() {
		if j.cancelled() || j.blocked() {
			continue
		}
		addUse(wants, &j.spec, j.spec.Tasks-j.doneCount())
		team, want := c.team(j.spec.Team), wants[j.spec.Team]
		guaranteed[j] = team != nil && want.cpus <= team.GuaranteedCPUs+1e-9 && want.gpus <= team.GuaranteedGPUs+1e-9
	}
	return guaranteed
}

// preemptForGuarantee gives a team its guarantee: it takes room back from work that other teams run
// beyond theirs. That is for jobs within the guarantee only: a team that wants more waits
// as others do. When it did not, teams that all wanted more than there was stopped each
// other's tasks by the thousand. It reports whether task n of j was placed.
func (c *Controller) preemptForGuarantee(b *plan, j *job, n int) bool {
	if !b.guaranteed[j] || !b.withinGuarantee(j.spec.Team, j.spec.CPUs, j.spec.GPUs) {
		return false
	}
	shape := shapeOf(j)
	shape.maxLoss = c.maxPreemptionLoss(j)
	if b.unplaceable[shape] {
		return false
	}
	found := c.preempt(b, j, n, false, preemptionRule{
		eligible: func(v *job) bool {
			// Not a service of a higher grade: it would take the place back at once, and so
			// on, a change each time, while all others wait.
			return v.spec.Team != j.spec.Team && (!v.spec.Service || v.spec.Priority <= j.spec.Priority) && !b.withinGuarantee(v.spec.Team, 0, 0)
		},
		maxLoss: shape.maxLoss,
	})
	b.unplaceable[shape] = !found
	return found
}

// maxPreemptionLoss is how much work may be lost with one task that is stopped for j, in whole
// seconds, so that jobs that have waited alike need not be tried one by one. Room falls
// free all the time, and a job within its guarantee has the first claim on it: what has
// just begun is stopped at once, what has run for long only for a job that has waited for
// half as long, or is pressing. When anything was stopped at once, a tenth of all CPU time
// was lost that way.
func (c *Controller) maxPreemptionLoss(j *job) units.Micros {
	if c.starving(j) {
		return math.MaxInt64
	}
	seconds := 2 * c.waitingTime(j) / units.Second
	return max(1, seconds) * units.Second
}

// waitingTime is how long tasks of the job have waited and none was placed.
func (c *Controller) waitingTime(j *job) units.Micros {
	if j.waitingSince == 0 {
		return 0
	}
	return c.now - j.waitingSince
}

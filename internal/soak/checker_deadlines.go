package soak

import (
	"maps"
	"slices"
	"time"
)

// deadlineCheckInterval is how often what time alone breaks is looked for.
const deadlineCheckInterval = 100 * time.Millisecond

// watchDeadlines calls CheckDeadlines until the run is stopped.
func (c *Checker) watchDeadlines(owner *background) {
	ticker := time.NewTicker(deadlineCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-owner.ctx.Done():
			return
		case <-ticker.C:
			c.CheckDeadlines()
		}
	}
}

// CheckDeadlines looks for what time alone breaks: tasks that are on machines too long after a
// user was told of the cancellation.
func (c *Checker) CheckDeadlines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[id]
		if len(job.machines) == 0 || job.deadlineReported {
			continue
		}
		at, cancelled := c.cancelledAt(job)
		if cancelled && c.clock() > at+c.cancelDeadline {
			job.deadlineReported = true
			c.violate(RuleRanCancelled, "%s has tasks on %v %.2f s after the user was told", id, machinesOf(job), (c.clock() - at).Seconds())
		}
	}
}

// Finish is called when all faults are over and all has ended: no task may go on that
// belongs to a job that is over, which the service would no longer know.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observations.TasksStarted == 0 {
		c.violate(RuleNothingRan, "no task was started")
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if job := c.jobs[id]; job.outcome != "" && len(job.machines) > 0 {
			c.violate(RuleOrphaned, "%s is %s, and tasks of it go on on %v", id, job.outcome, machinesOf(job))
		}
	}
}

// machinesOf lists the machines on which tasks of a job are.
func machinesOf(job *jobHistory) []string { return slices.Sorted(maps.Values(job.machines)) }

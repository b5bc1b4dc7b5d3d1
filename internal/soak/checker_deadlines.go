package soak

import (
	"maps"
	"slices"
	"time"
)

// deadlineCheckInterval is the interval between calls of CheckDeadlines.
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

// CheckDeadlines reports the violations that arise without any event: tasks that are still on machines
// more than cancelDeadline after a user was told of the cancellation.
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
			c.reportViolation(RuleRanCancelled, "%s has tasks on %v %.2f s after a user was told that it is cancelled", id, machinesOf(job), (c.clock() - at).Seconds())
		}
	}
}

// Finish is called when all faults and all jobs are over. No task of a job that is over may still be
// on a machine, since the service no longer knows about it; and some task must have started.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observations.TasksStarted == 0 {
		c.reportViolation(RuleNothingRan, "no task was started in the whole run")
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if job := c.jobs[id]; job.outcome != "" && len(job.machines) > 0 {
			c.reportViolation(RuleOrphaned, "%s is %s, but still has tasks on %v", id, job.outcome, machinesOf(job))
		}
	}
}

// machinesOf lists the machines that have tasks of a job.
func machinesOf(job *jobHistory) []string { return slices.Sorted(maps.Values(job.machines)) }

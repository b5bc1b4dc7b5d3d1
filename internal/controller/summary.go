package controller

import "frostdock.example/frostdock/internal/units"

const summaryPeriod = 30 * units.Second

// logSummary logs the controller's state in one line. It runs every summaryPeriod, so that a reader of the
// log can begin at any point.
func (c *Controller) logSummary() {
	jobs, calls := c.replica.countJobs(), c.agents.callWaits.take()
	c.log.Info("summary", append(c.freshness.logAttrs(), "terms", c.partitions.terms(), "may_act", c.authority.mayAct(),
		"invariants_violated", c.audit.violations, "store_ok", c.store.healthy(),
		"jobs", jobs.accepted, "services", jobs.services, "tasks_waiting", jobs.tasksWaiting, "tasks_bound", jobs.tasksBound, "completions_unstored", jobs.completionsUnstored,
		"machines", len(c.replica.machines), "machines_led", c.replica.countCommanded(),
		"jobs_unlocated", len(c.replica.unlocatedJobs), "machines_unlocated", len(c.replica.unlocatedMachines),
		"entries_undecided", c.facts.countUndecided(), "documents_unreadable", len(c.replica.unreadable),
		"calls_waited", calls.waited, "calls_longest_wait_s", calls.longest.Seconds(), "calls_not_sent", calls.notSent,
		"requests_open", c.users.openCount(), "changes", c.budget.takeChangesByKind())...)
}

// jobCounts counts the accepted jobs that are not cancelled, and their tasks.
type jobCounts struct{ accepted, services, tasksWaiting, tasksBound, completionsUnstored int }

func (r *replica) countJobs() jobCounts {
	var counts jobCounts
	for _, j := range r.jobs {
		if !j.accepted || j.cancelled() {
			continue
		}
		counts.accepted++
		if j.spec.Service {
			counts.services++
		}
		counts.tasksWaiting += j.waiting()
		counts.tasksBound += len(j.bindings)
		counts.completionsUnstored += len(j.unstoredCompletions)
	}
	return counts
}

// countCommanded returns how many machines this controller commands.
func (r *replica) countCommanded() int {
	commanded := 0
	for _, m := range r.machines {
		if m.agent != nil {
			commanded++
		}
	}
	return commanded
}

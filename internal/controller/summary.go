package controller

import "frostdock.example/frostdock/internal/units"

const summaryPeriod = 30 * units.Second

// logSummary tells the state in one line, so that a log can be read from anywhere.
func (c *Controller) logSummary() {
	jobs, services, waiting, bound := 0, 0, 0, 0
	for _, j := range c.replica.jobs {
		if j.accepted && !j.cancelled() {
			jobs++
			if j.spec.Service {
				services++
			}
			waiting += j.waiting()
			bound += len(j.bindings)
		}
	}
	mine := 0
	for _, m := range c.replica.machines {
		if m.agent != nil {
			mine++
		}
	}
	c.log.Info("summary", append(c.freshness.logAttrs(), "terms", c.partitions.terms(), "may_act", c.mayAct(), "invariants_violated", c.audit.violations, "store_ok", c.store.healthy(),
		"jobs", jobs, "services", services, "tasks_waiting", waiting, "tasks_bound", bound,
		"machines", len(c.replica.machines), "machines_led", mine, "requests_open", c.users.openCount(), "changes", c.budget.takeChangesByKind())...)
}

package controller

import "frostdock.example/frostdock/internal/units"

// period determines when a periodic action is due again. With the zero value, the action is due immediately.
type period struct {
	lastAt units.Micros
	begun  bool
}

// due reports whether length has passed since the action was last due; if so, a new period begins.
func (p *period) due(now, length units.Micros) bool {
	if p.begun && now-p.lastAt < length {
		return false
	}
	p.lastAt, p.begun = now, true
	return true
}

// periodOf returns the period of a key, which is created on first use.
func periodOf[K comparable](periods map[K]*period, key K) *period {
	p := periods[key]
	if p == nil {
		p = &period{}
		periods[key] = p
	}
	return p
}

// duty is an action that a controller performs without a request.
type duty struct {
	name   string
	every  units.Micros // 0: at each step
	run    func()
	period period
}

// Periods of the duties.
const (
	budgetPeriod     = 20 * units.Millisecond
	expiryPeriod     = 100 * units.Millisecond
	leadershipPeriod = 250 * units.Millisecond
	heartbeatPeriod  = units.Second
	planPeriod       = 100 * units.Millisecond
)

// periodicDuties lists the duties in the order in which a step runs them.
func (c *Controller) periodicDuties() []duty {
	return []duty{
		{name: "write budget", every: budgetPeriod, run: c.budget.refill},
		{name: "proof of freshness", run: c.freshness.keepProofRecent},
		{name: "authority", run: c.authority.noteChanges},
		{name: "revision reads", run: c.freshness.readRevision},
		{name: "accepts", run: c.accepts.storePending},
		{name: "request expiry", every: expiryPeriod, run: c.users.expire},
		{name: "leadership", every: leadershipPeriod, run: c.superviseLeadership},
		{name: "agent registrations", run: c.agents.finishRegistrations},
		{name: "outcome reads", run: c.outcomeReads.readMissing},
		{name: "job shard splits", run: c.jobShardSplits.run},
		{name: "heartbeat", every: heartbeatPeriod, run: c.heartbeat.send},
		{name: "decision log", every: decisionLogPeriod, run: c.audit.logDecisions},
		{name: "binding check", every: bindingCheckPeriod, run: c.planner.checkBindings},
		{name: "summary", every: summaryPeriod, run: c.logSummary},
		{name: "autoscaler", run: c.runAutoscalerWhenSynced},
		{name: "plans", run: c.planner.planWhenNeeded},
	}
}

// runDuties runs the duties that are due.
func (c *Controller) runDuties() {
	for i := range c.duties {
		if d := &c.duties[i]; d.period.due(c.now, d.every) {
			d.run()
		}
	}
}

// superviseLeadership maintains what leadership depends on: the watch, the partitions, the store's
// format and the machines.
func (c *Controller) superviseLeadership() {
	c.replicator.checkLag()
	c.replica.logUnreadable()
	c.leaderships.balance()
	c.gate.raise()
	c.fleet.check()
}

func (c *Controller) runAutoscalerWhenSynced() {
	if c.replica.synced {
		c.autoscaler.run()
	}
}

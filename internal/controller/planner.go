package controller

import "frostdock.example/frostdock/internal/units"

// planner plans for the partitions that this controller leads. It owns the pace of plans, of transfers
// of machine shards and of moves of services, and the estimates of task times; what a plan decides is
// the plan's. It promises at most one plan in flight for each partition. It keeps nothing of a plan but
// planningState, and it writes nothing that another component owns.
type planner struct {
	*environment
	store       *storeClient
	replica     *replica
	commits     *committer
	writes      *writeBudget
	authority   *authority
	partitions  *partitionTable
	agents      *agentGateway
	catalog     *catalog
	splits      *documentSplitter
	demand      *demandFinder
	machineView machineView
	facts       *factSource
	audit       *audit
	outcomes    *outcomeReads
	completions *completionExchange
	estimates   estimates

	planPeriod      period
	transferPeriods map[int]*period // of transfers of machine shards, by partition
	movePeriods     map[int]*period // of moves of services, by partition
	oversizedLog    period
	weightLog       period
}

// machineView tells what is known of machines beyond their documents and their agents.
type machineView interface {
	// acceptsTasks reports whether a machine that this controller commands may be given tasks.
	acceptsTasks(m *machine) bool
	// foreignMachineOpen reports whether the controller that commands a machine says that it takes
	// work, and which images are there.
	foreignMachineOpen(m *machine) (images []string, open bool)
}

// rebalancePeriod is how often machine shards are transferred, and services moved.
const rebalancePeriod = 500 * units.Millisecond

func newPlanner(c *Controller) *planner {
	return &planner{
		environment: c.environment, store: c.store, replica: c.replica, commits: c.commits, writes: c.budget,
		authority: c.authority, partitions: c.partitions, agents: c.agents, catalog: c.catalog, splits: c.splits, demand: c.demand,
		machineView: c.acceptance, facts: c.facts, audit: c.audit, outcomes: c.outcomeReads, completions: c.completions, estimates: newEstimates(),
		transferPeriods: map[int]*period{}, movePeriods: map[int]*period{},
	}
}

// planWhenNeeded plans for the led partitions when something has changed, and now and then.
func (p *planner) planWhenNeeded() {
	if !p.replica.synced || !p.planNeeded && !p.planPeriod.due(p.now, planPeriod) {
		return
	}
	p.planNeeded = false
	for _, partition := range p.partitions.ledPartitions() {
		p.planPartition(partition)
	}
}

// planPartition makes one plan for a led partition and commits it; only when it is stored are the
// agents told.
func (p *planner) planPartition(partition int) {
	led := p.partitions.led[partition]
	if led == nil || !p.mayPlan(led) {
		return
	}
	if p.now < led.planning.nextPlanAt {
		p.planNeeded = true
		return
	}
	led.planning.nextPlanAt = p.now + planCostPerObject*units.Micros(len(p.replica.machines)+len(p.replica.jobs))
	newPlan(p, led).run()
}

// mayPlan reports whether a led partition can be planned for now: its last commits are answered, the
// replica shows what they met, and there is something to write with and to place on.
func (p *planner) mayPlan(led *leadership) bool {
	return led.commitsInFlight == 0 && p.authority.leads(led.partition) && !p.store.failing && p.now >= led.planning.pausedUntil &&
		p.replica.watchRevision >= led.planning.requiredRevision && p.writes.credit >= minPlanCredit && p.catalog.known()
}

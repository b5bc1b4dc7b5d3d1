package controller

import "frostdock.example/frostdock/internal/units"

// planner runs plans for the partitions that this controller leads. It owns the timing of plans, of
// machine shard transfers and of service moves, and the estimates of task times; the decisions are up
// to each plan. At most one plan is in flight for each partition. planner keeps nothing of a finished
// plan but planningState, and it writes no state that another component owns.
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
	inFlight    plansInFlight

	planPeriod      period
	transferPeriods map[int]*period // of transfers of machine shards, by partition
	movePeriods     map[int]*period // of moves of services, by partition
	unsplittableLog period
	unwritableLog   period
	weightLog       period
}

// machineView reports which machines accept tasks: neither stored documents nor agents alone show that.
type machineView interface {
	// acceptsTasks reports whether a machine that this controller commands may be given tasks.
	acceptsTasks(m *machine) bool
	// foreignMachineAcceptsTasks reports whether the controller that commands a machine says that the
	// machine accepts tasks, and returns the images on it.
	foreignMachineAcceptsTasks(m *machine) (images []string, accepts bool)
}

// rebalancePeriod is the minimum time between a partition's transfers of machine shards, and between its
// moves of services.
const rebalancePeriod = 500 * units.Millisecond

func newPlanner(c *Controller) *planner {
	return &planner{
		environment: c.environment, store: c.store, replica: c.replica, commits: c.commits, writes: c.budget,
		authority: c.authority, partitions: c.partitions, agents: c.agents, catalog: c.catalog, splits: c.splits, demand: c.demand,
		machineView: c.acceptance, facts: c.facts, audit: c.audit, outcomes: c.outcomeReads, completions: c.completions, estimates: newEstimates(), inFlight: plansInFlight{},
		transferPeriods: map[int]*period{}, movePeriods: map[int]*period{},
	}
}

// planWhenNeeded plans for the led partitions when something has changed, and otherwise every planPeriod.
func (p *planner) planWhenNeeded() {
	if !p.replica.synced || !p.planNeeded && !p.planPeriod.due(p.now, planPeriod) {
		return
	}
	p.planNeeded = false
	for _, partition := range p.partitions.ledPartitions() {
		p.planPartition(partition)
	}
}

// planPartition makes one plan for a led partition and commits it. Agents are sent its changes only after
// the plan is stored.
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

// mayPlan reports whether a led partition can be planned for now: authority permits it, every document is
// readable, the results of its last commits are known, the pause after a failed one is over, the replica shows
// the changes that they conflicted with, and the store, write credit and the catalog of machine types are
// available.
func (p *planner) mayPlan(led *leadership) bool {
	return led.commitsInFlight == 0 && p.authority.leads(led.partition) && p.replica.allReadable() && !p.store.failing && p.now >= led.planning.pausedUntil &&
		p.replica.watchRevision >= led.planning.requiredRevision && p.writes.credit >= minPlanCredit && p.catalog.known()
}

package controller

import (
	"log/slog"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// Controller is the state of one controller process. Each duty keeps its own state in a type of its
// own; the controller passes messages to them and runs them in a fixed order. All of it belongs to
// the one goroutine that calls Step.
type Controller struct {
	*environment

	store       *storeClient
	replica     *replica
	replicator  *replicator
	freshness   *freshness
	membership  *membership
	authority   *authority
	partitions  *partitionTable
	leaderships *leadershipManager
	budget      *writeBudget
	commits     *committer
	gate        *formatGate

	dependencies *dependencyGraph
	outcomeReads *outcomeReads
	users        *userRequests
	accepts      *acceptQueue
	requests     *requestHandler
	readiness    *readiness
	completions  *completionExchange

	splits         *documentSplitter
	jobShardSplits *jobShardSplitter

	peers        *peerTable
	heartbeat    *peerHeartbeat
	facts        *factSource
	agents       *agentGateway
	quarantine   *quarantineMonitor
	fleet        *fleetMonitor
	demand       *demandFinder
	planner      *planner
	cloud        *cloudClient
	catalog      *catalog
	decommission *decommissioner
	autoscaler   *autoscaler
	audit        *audit

	duties []duty
}

// New returns a controller that knows nothing yet. incarnation must be unique among all processes
// that ever run.
func New(cfg *config.Config, pol *policy.Policy, log *slog.Logger, incarnation string) *Controller {
	env := &environment{cfg: cfg, policy: pol, log: log.With("node", cfg.Member)}
	c := &Controller{
		environment: env,
		peers:       newPeerTable(env),
	}
	c.wireReplication()
	c.wireAuthority(incarnation)
	c.wireAgents()
	c.wireLeadership()
	c.wireCloud()
	c.wireFleet()
	c.wireDemand()
	c.wireAutoscaler()
	c.wireRequests()
	c.wirePlanner()
	c.duties = c.periodicDuties()
	return c
}

// wireReplication connects what keeps the replica.
func (c *Controller) wireReplication() {
	env := c.environment
	withTeams := newTeamPartitions(env)
	c.store = newStoreClient(env)
	c.replica = newReplica(env, c, newLayout(&env.cfg.Settings), withTeams.ofMachineShard)
	c.partitions = newPartitionTable(c.replica, withTeams)
	c.freshness = &freshness{environment: env, store: c.store, replica: c.replica}
	c.replicator = &replicator{environment: env, store: c.store, replica: c.replica, freshness: c.freshness}
}

// wireAuthority connects what decides whether this process may act and write.
func (c *Controller) wireAuthority(incarnation string) {
	env := c.environment
	c.membership = newMembership(env, c.store, c.replica, c.partitions, incarnation)
	c.authority = &authority{environment: env, replica: c.replica, membership: c.membership, freshness: c.freshness, partitions: c.partitions}
	c.budget = &writeBudget{
		environment: env, store: c.store, replica: c.replica, partitions: c.partitions, heartbeats: c.peers,
		changesByKind: map[string]int{},
	}
	c.commits = &committer{
		environment: env, store: c.store, replica: c.replica, budget: c.budget, membership: c.membership,
		keysInFlight: map[string]bool{},
	}
}

// wireAgents connects what deals with worker agents.
func (c *Controller) wireAgents() {
	env := c.environment
	c.facts = &factSource{environment: env, replica: c.replica, authority: c.authority}
	c.audit = newAudit(env, c.replica, c.freshness, c.partitions, c.facts)
	c.quarantine = &quarantineMonitor{environment: env, replica: c.replica}
	c.agents = &agentGateway{
		environment: env, store: c.store, replica: c.replica, partitions: c.partitions, authority: c.authority,
		commands:      &commandPlanner{replica: c.replica, facts: c.facts, capacity: c},
		reconciler:    &reconciler{environment: env, replica: c.replica, quarantine: c.quarantine},
		audit:         c.audit,
		calls:         map[uint64]pendingAgentCall{},
		heardAt:       map[string]units.Micros{},
		registrations: map[string]*registration{},
	}
}

// wireLeadership connects what acquires partitions and raises the store's format.
func (c *Controller) wireLeadership() {
	env := c.environment
	c.leaderships = &leadershipManager{
		environment: env, store: c.store, replica: c.replica, membership: c.membership, freshness: c.freshness, authority: c.authority,
		partitions: c.partitions, budget: c.budget, commits: c.commits, machines: c.agents,
		orphanedSince: map[int]units.Micros{},
	}
	c.gate = &formatGate{environment: env, store: c.store, replica: c.replica, authority: c.authority, budget: c.budget, commits: c.commits}
}

// wireFleet connects what looks after machines that cannot be reached.
func (c *Controller) wireFleet() {
	env := c.environment
	c.fleet = &fleetMonitor{
		environment: env, replica: c.replica, authority: c.authority, agents: c.agents, peers: c.peers,
		quarantine: c.quarantine, returns: c.decommission,
		unheard: &unheardPartitions{
			environment: env, store: c.store, replica: c.replica, partitions: c.partitions, budget: c.budget,
			leaderships: c.leaderships, peers: c.peers,
		},
		suspectZones:   map[string]zoneSuspicion{},
		zoneLogPeriods: map[string]*period{},
	}
}

// wireRequests connects what answers users.
func (c *Controller) wireRequests() {
	env := c.environment
	c.dependencies = &dependencyGraph{environment: env, replica: c.replica}
	c.outcomeReads = newOutcomeReads(env, c.store, c.replica, c.dependencies)
	c.users = newUserRequests(env, c.audit)
	statuses := &statusReader{environment: env, replica: c.replica, freshness: c.freshness, outcomes: c.outcomeReads}
	c.accepts = &acceptQueue{
		environment: env, store: c.store, replica: c.replica, users: c.users, statuses: statuses,
		budget: c.budget, commits: c.commits,
	}
	c.requests = &requestHandler{
		environment: env, store: c.store, replica: c.replica, catalog: c.catalog,
		users: c.users, statuses: statuses, outcomes: c.outcomeReads, accepts: c.accepts,
		cancellations: &cancellations{environment: env, replica: c.replica, users: c.users, statuses: statuses, commits: c.commits},
	}
	c.readiness = &readiness{
		environment: env, store: c.store, replica: c.replica, catalog: c.catalog, membership: c.membership, peers: c.peers,
	}
	c.completions = &completionExchange{environment: env, replica: c.replica, partitions: c.partitions, peers: c.peers}
	c.heartbeat = &peerHeartbeat{
		environment: env, store: c.store, replica: c.replica, membership: c.membership, authority: c.authority,
		budget: c.budget, agents: c.agents, completions: c.completions, machines: c,
	}
}

// wirePlanner connects what plans.
func (c *Controller) wirePlanner() {
	env := c.environment
	c.splits = &documentSplitter{environment: env, store: c.store, replica: c.replica, writes: c.budget}
	c.jobShardSplits = &jobShardSplitter{documentSplitter: c.splits, authority: c.authority, commits: c.commits}
	c.planner = newPlanner(c)
}

// Step takes what happened since the last step and returns what to do.
func (c *Controller) Step(now, timeOfDay units.Micros, messages []Message) []Effect {
	first := c.now == 0
	c.now, c.timeOfDay, c.effects = now, timeOfDay, nil
	if first {
		c.budget.start()
		c.membership.register()
		c.replicator.load()
	}
	for _, m := range messages {
		c.handle(m)
	}
	c.runTimers()
	// Agents are answered and told only now: what starts a task must not leave beside the news, in
	// the same step, that cancels its job.
	c.agents.answerHeartbeats()
	c.agents.pushCommands()
	c.runDuties()
	return c.effects
}

func (c *Controller) handle(message Message) {
	switch m := message.(type) {
	case UserRequest:
		c.requests.handle(m)
	case ReadyRequest:
		c.readiness.handle(m)
	case HeartbeatRequest:
		c.agents.receive(m)
	case StoreResult:
		c.handleStoreResult(m)
	case CloudResult:
		c.cloud.handleResult(m)
	case AgentResult:
		c.agents.handleResult(m)
	case PeerHeartbeat:
		c.peers.receive(m.Heartbeat)
		c.completions.apply(m.Heartbeat.Ended)
	}
}

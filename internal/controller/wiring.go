package controller

import "frostdock.example/frostdock/internal/units"

// This file builds the components and connects them. New calls the functions in the order of this file:
// each uses only components that the functions before it have built.

// wireReplication connects the components that maintain the replica.
func (c *Controller) wireReplication() {
	env := c.environment
	withTeams := newTeamPartitions(env)
	c.store = newStoreClient(env)
	c.replica = newReplica(env, newLayout(&env.cfg.Settings), withTeams.ofMachineShard)
	c.partitions = newPartitionTable(c.replica, withTeams)
	c.freshness = &freshness{environment: env, store: c.store, replica: c.replica}
	c.replicator = &replicator{environment: env, store: c.store, replica: c.replica, freshness: c.freshness}
}

// wireAuthority connects the components that decide whether this process may act and write.
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

// wireCloud connects the components for the cloud and for the capacity of its machines.
func (c *Controller) wireCloud() {
	c.cloud = newCloudClient(c.environment)
	c.catalog = newCatalog(c.environment, c.cloud)
	c.capacity = &machineCapacity{replica: c.replica, catalog: c.catalog}
	c.decommission = &decommissioner{environment: c.environment, replica: c.replica}
}

// wireAgents connects the components for worker agents.
func (c *Controller) wireAgents() {
	env := c.environment
	c.facts = &factSource{environment: env, replica: c.replica, authority: c.authority}
	c.audit = newAudit(env, c.replica, c.freshness, c.partitions, c.facts)
	c.quarantine = &quarantineMonitor{environment: env, replica: c.replica}
	c.agents = &agentGateway{
		environment: env, store: c.store, replica: c.replica, partitions: c.partitions, authority: c.authority,
		commands:      &commandPlanner{replica: c.replica, facts: c.facts, capacity: c.capacity},
		reconciler:    &reconciler{environment: env, replica: c.replica, quarantine: c.quarantine},
		audit:         c.audit,
		calls:         map[uint64]pendingAgentCall{},
		heardAt:       map[string]units.Micros{},
		registrations: map[string]*registration{},
	}
}

// wireLeadership connects the components that acquire partitions and raise the store's format.
func (c *Controller) wireLeadership() {
	env := c.environment
	c.leaderships = &leadershipManager{
		environment: env, store: c.store, replica: c.replica, membership: c.membership, freshness: c.freshness, authority: c.authority,
		partitions: c.partitions, budget: c.budget, commits: c.commits, machines: c.agents,
		orphanedSince: map[int]units.Micros{},
		lastTerms:     map[int]uint64{},
	}
	c.gate = &formatGate{environment: env, store: c.store, replica: c.replica, authority: c.authority, budget: c.budget, commits: c.commits}
}

// wireFleet connects the components that handle unreachable machines and decide which may be given tasks.
func (c *Controller) wireFleet() {
	env := c.environment
	c.fleet = &fleetMonitor{
		environment: env, replica: c.replica, authority: c.authority, agents: c.agents, peers: c.peers,
		quarantine: c.quarantine, decommissioner: c.decommission,
		silentPartitions: &silentPartitions{
			environment: env, store: c.store, replica: c.replica, partitions: c.partitions, budget: c.budget,
			leaderships: c.leaderships, peers: c.peers,
		},
		suspectZones:   map[string]zoneSuspicion{},
		zoneLogPeriods: map[string]*period{},
	}
	c.acceptance = &machineAcceptance{environment: env, replica: c.replica, peers: c.peers, fleet: c.fleet}
}

// wireDemand connects the component that finds unmet demand.
func (c *Controller) wireDemand() {
	c.demand = &demandFinder{environment: c.environment, store: c.store, replica: c.replica, catalog: c.catalog, writes: c.budget}
}

// wireAutoscaler connects the component that rents and returns machines.
func (c *Controller) wireAutoscaler() {
	c.autoscaler = newAutoscaler(c.environment, autoscalerDependencies{
		replica: c.replica, cloud: c.cloud, catalog: c.catalog, decommission: c.decommission,
		leadership: c.authority, demand: c.demand, capacity: c.capacity, acceptance: c.acceptance,
		fleet: c.fleet, agents: c.agents, peers: c.peers, commits: c.commits,
	})
}

// wireRequests connects the components that answer users, probes and other controllers.
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
		budget: c.budget, agents: c.agents, completions: c.completions, machines: c.acceptance,
	}
}

// wirePlanner connects the planner and the components that split documents.
func (c *Controller) wirePlanner() {
	env := c.environment
	c.splits = &documentSplitter{environment: env, store: c.store, replica: c.replica, writes: c.budget}
	c.jobShardSplits = &jobShardSplitter{documentSplitter: c.splits, authority: c.authority, commits: c.commits}
	c.planner = newPlanner(c)
}

// wireObserver connects the component that informs the duties of changes to the replica. It needs the
// duties, and they need the replica, so it comes last; the replica is still empty.
func (c *Controller) wireObserver() {
	c.replica.observer = &changeDispatcher{
		environment: c.environment, store: c.store, replica: c.replica, partitions: c.partitions,
		leaderships: c.leaderships, dependencies: c.dependencies, agents: c.agents,
	}
}

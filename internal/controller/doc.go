// Package controller holds all of a controller's state. Step takes the time and a group of
// messages and returns the effects to carry out. It does no I/O, reads no clock and draws no random
// numbers, so that every run can be replayed exactly; nothing walks a map in an order that a run
// could change.
//
// Each duty keeps its own state in a component, a type of its own; Controller wires them and runs them
// in a fixed order. What rests on what, from the store upwards:
//
//   - environment: configuration, the clocks of the present step, its effects, timers
//   - storeClient, storeLimits: requests to the key-value store, and the limits that it keeps to
//   - replica, replicator: the local mirror of the store, and what loads it and keeps it up to date
//   - changeDispatcher: what follows from changes to the replica for the other duties
//   - freshness: up to which moment the replica is proven to be complete
//   - membership: this process's registration, under a lease
//   - partitionTable, leadershipManager: which partitions this process leads, and how it comes to
//   - authority: whether it may act, start tasks, lead a partition at this moment
//   - writeBudget, committer: its part of the permitted changes, and transactions whose fate is told once
//   - formatGate: when documents that the version before does not know may be written
//   - cloudClient, catalog: requests to the cloud, and the machine types that it offers
//   - factSource, audit: the facts that package guard decides on, and the last look at what leaves
//   - agentGateway, reconciler, commandPlanner: heartbeats of worker agents, and what they are told
//   - machineCapacity, machineAcceptance: how much of a machine is free, and which machines take tasks
//   - peerTable, peerHeartbeat: what other controllers say of themselves, and what they are told
//   - fleetMonitor, quarantineMonitor, unheardPartitions: machines that cannot be reached, or fail tasks
//   - planner, plan: what starts, stops and goes in a led partition, staged and committed in one go
//   - demandFinder: tasks that find no capacity, and jobs that starve
//   - documentSplitter, jobShardSplitter: when documents are split, and the splits of job shards
//
// On these rest the duties proper: users' requests, plans, the autoscaler. What plans, commands
// agents or starts tasks asks authority first.
package controller

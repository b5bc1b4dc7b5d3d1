// Package controller holds the state and the logic of a controller process. Step takes the time and a
// batch of messages and returns the effects to carry out. It does no I/O, reads no clock and draws no
// random numbers, so that every run can be replayed exactly; for the same reason, no result depends on
// the iteration order of a map.
//
// Each duty keeps its state in a component, a type of its own; Controller wires the components and runs
// them in a fixed order. The components, from the store upwards:
//
//   - environment: the configuration, the clocks and the effects of the present step, timers
//   - storeClient, storeLimits: requests to the key-value store, and the limits that this controller applies
//   - replica, replicator: the local mirror of the store, and the loader and watch that keep it up to date
//   - changeDispatcher: informs the other duties of changes to the replica
//   - freshness: the time up to which the replica is proven to be complete
//   - membership: this process's registration, under a lease
//   - partitionTable, leadershipManager: which partitions this process leads, and how it acquires them
//   - authority: whether this process may act, start tasks or lead a partition at this moment
//   - writeBudget, committer: this controller's share of the permitted changes, and commits whose outcome
//     is reported once
//   - formatGate: when documents that the previous version does not know may be written
//   - cloudClient, catalog: requests to the cloud, and the machine types that it offers
//   - factSource, audit: the facts that package guard decides on, and the last check of outgoing decisions
//   - agentGateway, reconciler, commandPlanner: heartbeats of worker agents, and the commands sent to them
//   - machineCapacity, machineAcceptance: how much of a machine is free, and which machines take tasks
//   - peerTable, peerHeartbeat: heartbeats received from other controllers, and sent to them
//   - fleetMonitor, quarantineMonitor, silentPartitions: machines that cannot be reached, or fail tasks
//   - planner, plan: task starts, stops and removals in a led partition, staged and committed together
//   - demandFinder: tasks for which there is no capacity, and jobs that starve
//   - documentSplitter, jobShardSplitter: when documents are split, and the splits of job shards
//
// The duties themselves are built on these components: users' requests, plans and the autoscaler. A
// component that plans, commands agents or starts tasks asks authority first.
package controller

// Package simulator runs a small region in simulated time, for tests. The controllers are the real
// ones (package controller); the network, the key-value store, the cloud, the worker agents and the
// users are fakes, written from the protocol.
//
// The package owns the simulated clock, the order of all events and the one random number generator,
// so a run is determined by its scenario and seed: no code here reads a real clock, starts a goroutine
// or depends on the iteration order of a map.
//
// A Checker verifies every rule of the protocol throughout a run. It sees what agents do and what
// users are answered, never the state of controllers, and it shares no code with them, so that a
// mistake in the controllers' rules cannot mask itself.
//
// The files, by concern:
//
//   - world.go, events.go, resources.go: the region and its event loop
//   - network.go: delays, losses, network partitions
//   - process.go, agent_calls.go, previous_version.go: controller processes, their calls to agents, and
//     the previous version
//   - store.go, store_txn.go, store_watch.go: the key-value store
//   - agent.go, agent_tasks.go, agent_heartbeat.go, agent_commands.go: the worker agents
//   - cloud.go, users.go, users_invalid.go: the cloud and the users
//   - checker.go, checker_tasks.go, checker_answers.go, checker_service.go: the rules
//   - waiting_check.go: finds jobs that wait although a machine has free capacity for them
//   - restart_check.go: finds controllers that know the store otherwise than a new one; this check alone reads
//     the controllers' state
//   - scenario.go: running a scenario and collecting its problems
//   - parser.go, parser_arguments.go, parser_steps.go, parser_expectations.go: the text format, which
//     testdata/README.md describes
//   - steps.go, faults.go, machine_faults.go, expectations.go: the steps, faults and expectations of
//     scenarios
//   - trace.go: the digest of everything that controllers send
//
// Nothing outside tests uses the package.
package simulator

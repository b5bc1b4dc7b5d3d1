// Package simulator is a test program: it plays a small region in simulated time. The controllers
// are real (package controller); the network, the key-value store, the cloud, the worker agents and
// the users are stand-ins, written from the protocol.
//
// It owns the simulated clock, the order of all events and the one source of random numbers, so a
// run depends on its scenario and seed alone: nothing here reads a real clock, starts a goroutine or
// lets the order of a map decide anything.
//
// A Checker watches every rule of the protocol throughout a run. It is told what agents do and what
// users hear, never what controllers believe, and it shares no code with them: a mistake in the
// controllers' rules can't hide itself here.
//
// The files, by concern:
//
//   - world.go, events.go: the region and its event loop
//   - network.go: delays, losses, network partitions
//   - process.go, previous_version.go: controller processes, also of the previous version
//   - store.go, store_txn.go, store_watch.go: the key-value store
//   - agent.go, agent_tasks.go, agent_heartbeat.go, agent_commands.go: the worker agents
//   - cloud.go, users.go, users_invalid.go: the cloud and the users
//   - checker.go, checker_tasks.go, checker_answers.go, checker_service.go: the rules
//   - waiting_check.go: which jobs wait beside free capacity
//   - scenario.go: a run from its begin to its verdict
//   - parser.go, parser_arguments.go, parser_steps.go, parser_expectations.go: the text format, which
//     testdata/README.md describes
//   - steps.go, faults.go, machine_faults.go, expectations.go: what a scenario can do and expect
//   - trace.go: the digest of all that controllers send
//
// Nothing outside tests uses the package.
package simulator

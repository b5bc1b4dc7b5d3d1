// Package soak is a test program: it runs the built controllers as real processes on loopback, with
// stand-ins for the key-value store, the cloud, the worker agents and the users, and injects faults
// at times drawn from a seed. Nothing but its own tests uses it.
//
// The package owns the processes, sockets, goroutines and files of a run (see Run). When Run returns,
// all of them are gone except the logs and settings in Options.Dir. The package does not access a
// controller's internals: the stand-ins speak its protocols, and all faults come from outside the
// process (signals, refused requests, delays, lost messages).
//
// A Checker checks every rule against what agents, users and the cloud observe, on one monotonic
// clock. It shares no code with the controller, so that it does not repeat the controller's errors.
//
// A seed fixes the sequence of random numbers. Which goroutine draws which number depends on their
// scheduling, as does the interleaving of the processes, so runs with the same seed are similar but
// not identical.
package soak

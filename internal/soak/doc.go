// Package soak is a test program: it runs the built controllers as real processes on loopback,
// among stand-ins for the key-value store, the cloud, the worker agents and the users, while
// faults come at moments that a seed draws. Nothing but its own tests imports it.
//
// The package owns the processes, sockets, goroutines and files of a run (see Run): all of them
// are gone when Run returns, but for the logs and settings in Options.Dir. Nothing here reaches
// into a controller: the stand-ins speak its protocols, and faults are what the outside can do
// to it (signals, refusals, delays, lost messages).
//
// A Checker judges every rule from what agents, users and cloud saw, on one monotonic clock. It
// shares no code with the controller, so that an error there does not excuse itself here.
//
// A seed fixes the numbers that are drawn, in their order. Goroutines draw them as their turn
// comes and the processes' work interleaves freely, so a run with the same seed is similar, not
// the same.
package soak

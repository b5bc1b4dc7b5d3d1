package controller

import (
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// outcomeReads reads outcomes of jobs from the store: the replica holds only outcomes that it has received
// since it was loaded, and not all of these. It owns the reads of outcomes that other jobs depend on, and
// bounds how many of them are in flight. Every outcome that is read is cached in the replica and passed
// on to the dependents. It never writes.
type outcomeReads struct {
	*environment
	store        *storeClient
	replica      *replica
	dependencies *dependencyGraph

	inFlight map[string]bool // jobs whose outcomes are being read for their dependents
	period   period
}

func newOutcomeReads(env *environment, store *storeClient, replica *replica, dependencies *dependencyGraph) *outcomeReads {
	return &outcomeReads{environment: env, store: store, replica: replica, dependencies: dependencies, inFlight: map[string]bool{}}
}

const (
	// maxOutcomeReads bounds the outcomes that are read concurrently for the dependents of their jobs.
	maxOutcomeReads = 4
	// outcomeReadShare is the share of the permitted store requests that such reads may take.
	outcomeReadShare = 0.2
	// outcomeReadRetryDelay is the delay before an outcome that a read did not find is read again.
	outcomeReadRetryDelay = units.Second
)

// readMissing reads outcomes that jobs wait for and that the replica lacks.
func (o *outcomeReads) readMissing() {
	if !o.replica.synced || o.store.failing || len(o.inFlight) >= maxOutcomeReads {
		return
	}
	for _, id := range o.replica.dependencies.Unresolved(2 * maxOutcomeReads) {
		if !o.inFlight[id] && o.period.due(o.now, o.store.requestInterval(outcomeReadShare)) {
			o.readForDependents(id)
		}
	}
}

// readForDependents reads the outcome of a job that others wait for.
func (o *outcomeReads) readForDependents(id string) {
	o.inFlight[id] = true
	clearInFlight := func() { delete(o.inFlight, id) }
	o.fetch(id, func(result outcomeResult) {
		if result.lookup == lookupFound {
			clearInFlight()
			return
		}
		// Either the job is not over, and the replica will soon show it as accepted, or the store did not
		// answer.
		o.after(outcomeReadRetryDelay, clearInFlight)
	})
}

// learnConflicting reads the outcomes among the keys whose conditions failed a transaction, unless they
// are known. An outcome that the replica does not show may still exist: a plan that relies on its absence
// would conflict again and again, and its partition could store nothing more.
func (o *outcomeReads) learnConflicting(failedKeys []string) {
	for _, key := range failedKeys {
		id, isOutcome := strings.CutPrefix(key, schema.OutcomePrefix)
		if _, known := o.replica.outcomes.get(id); isOutcome && !known {
			o.fetch(id, func(outcomeResult) {})
		}
	}
}

// outcomeResult is the result of reading a job's outcome.
type outcomeResult struct {
	lookup  lookup
	outcome schema.Outcome // if found
}

// fetch reads a job's outcome from the store.
func (o *outcomeReads) fetch(id string, done func(outcomeResult)) {
	read := &outcomeRead{reads: o, jobID: id, done: done}
	o.store.call(kv.Request{Kind: kv.Get, Key: read.key()}, read.finish)
}

// outcomeRead is a read of an outcome that has not been answered yet.
type outcomeRead struct {
	reads *outcomeReads
	jobID string
	done  func(outcomeResult)
}

func (r *outcomeRead) key() string { return schema.OutcomePrefix + r.jobID }

// finish handles the store's response.
func (r *outcomeRead) finish(response kv.Response) {
	var outcome schema.Outcome
	switch {
	case response.Status == kv.StatusOK && r.reads.decode(r.key(), response.Value, &outcome):
		r.reads.dependencies.learnOutcome(r.jobID, outcome)
		r.done(outcomeResult{lookup: lookupFound, outcome: outcome})
	case response.Status == kv.StatusNotFound:
		r.done(outcomeResult{lookup: lookupNone})
	default:
		r.done(outcomeResult{lookup: lookupUndecided})
	}
}

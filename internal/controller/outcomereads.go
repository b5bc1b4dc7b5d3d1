package controller

import (
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// outcomeReads reads outcomes of jobs from the store: the replica holds those that it was shown since it
// was loaded, and not all of these. It owns the reads for jobs that wait for others, bounds how many of
// them are under way, and promises that whatever is read is learned: it stays known, and passes on
// to the dependents. It never writes.
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
	// maxOutcomeReads is how many outcomes are read at once for the dependents of their jobs.
	maxOutcomeReads = 4
	// outcomeReadPart is the part of the permitted requests that such reads may take.
	outcomeReadPart = 0.2
	// outcomeReadRetry is when an outcome that was not found is read again.
	outcomeReadRetry = units.Second
)

// readMissing reads outcomes that jobs wait for and that the replica lacks.
func (o *outcomeReads) readMissing() {
	if !o.replica.synced || o.store.failing || len(o.inFlight) >= maxOutcomeReads {
		return
	}
	for _, id := range o.replica.dependencies.Unresolved(2 * maxOutcomeReads) {
		if !o.inFlight[id] && o.period.due(o.now, o.store.requestInterval(outcomeReadPart)) {
			o.readForDependents(id)
		}
	}
}

// readForDependents reads the outcome of a job that others wait for.
func (o *outcomeReads) readForDependents(id string) {
	o.inFlight[id] = true
	forget := func() { delete(o.inFlight, id) }
	o.fetch(id, func(result outcomeResult) {
		if result.lookup == lookupFound {
			forget()
			return
		}
		// Not over after all, and soon shown among the accepted ones; or no answer.
		o.after(outcomeReadRetry, forget)
	})
}

// learnConflicting reads the outcomes among the documents that failed a transaction, unless they are
// known. That the replica does not show an outcome is no proof that there is none: a plan that relies
// on it would be refused again and again, and its partition would store nothing more.
func (o *outcomeReads) learnConflicting(failedKeys []string) {
	for _, key := range failedKeys {
		id, isOutcome := strings.CutPrefix(key, schema.OutcomePrefix)
		if _, known := o.replica.outcomes.get(id); isOutcome && !known {
			o.fetch(id, func(outcomeResult) {})
		}
	}
}

// outcomeResult is what a read of a job's outcome has shown.
type outcomeResult struct {
	lookup  lookup
	outcome schema.Outcome // if found
}

// fetch reads a job's outcome from the store.
func (o *outcomeReads) fetch(id string, done func(outcomeResult)) {
	read := &outcomeRead{reads: o, jobID: id, done: done}
	o.store.call(kv.Request{Kind: kv.Get, Key: read.key()}, read.finish)
}

// outcomeRead is a read of an outcome that is not answered yet.
type outcomeRead struct {
	reads *outcomeReads
	jobID string
	done  func(outcomeResult)
}

func (r *outcomeRead) key() string { return schema.OutcomePrefix + r.jobID }

// finish takes the store's answer.
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

package controller

import (
	"errors"
	"fmt"

	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
)

// Reasons why a submission can't depend on a job.
var (
	errDependsOnItself   = errors.New("a job can't wait for itself")
	errDependsOnService  = errors.New("a service is never done")
	errUnknownDependency = errors.New("no such job was accepted")
)

// dependencyError returns the error text for users: which job can't be a dependency, and why.
func dependencyError(id string, cause error) error { return fmt.Errorf("waitsOn: %s: %w", id, cause) }

// dependencyResult is the result of checking a submission's dependencies.
type dependencyResult struct {
	unmet       []string // dependencies that have not ended
	cancelledBy string   // a cancelled dependency; empty: none
	rejection   error    // why the submission can't be accepted; nil: it can be
	undecided   bool     // an outcome could not be read: no decision now
}

// dependencyCheck looks up the state of a submission's dependencies. The replica must be as recent as
// the submission, since users may name a job as soon as another controller has accepted it. A job that
// such a replica does not list as accepted either has ended, with a stored outcome, or was never accepted.
// The check owns only its result and never writes. The outcomes that it reads are kept by the replica, so
// a repeated submission continues where one that was given up stopped.
type dependencyCheck struct {
	replica       *replica
	outcomes      *outcomeReads
	result        dependencyResult
	unread        []string // jobs whose outcomes are still to be read
	readsInFlight int
	done          func(dependencyResult)
}

// checkDependencies checks the dependencies of a submission and calls done once with the result.
func checkDependencies(replica *replica, outcomes *outcomeReads, submission UserRequest, done func(dependencyResult)) {
	check := &dependencyCheck{replica: replica, outcomes: outcomes, done: done}
	for _, id := range submission.Job.Needs {
		check.lookUp(id, submission.JobID)
	}
	check.readNext()
}

// lookUp records the state of a dependency as the replica shows it.
func (d *dependencyCheck) lookUp(id, submittedID string) {
	j := d.replica.jobs[id]
	outcome, over := d.replica.outcomes.get(id)
	switch {
	case id == submittedID:
		d.result.rejection = dependencyError(id, errDependsOnItself)
	case over:
		d.noteOutcome(id, outcome)
	case j == nil || !j.accepted:
		d.unread = append(d.unread, id)
	case j.spec.Service:
		d.result.rejection = dependencyError(id, errDependsOnService)
	case j.cancelled():
		d.result.cancelledBy = id
	default:
		d.result.unmet = append(d.result.unmet, id)
	}
}

// noteOutcome records a dependency that was cancelled. One that is done is met and needs no record.
func (d *dependencyCheck) noteOutcome(id string, outcome schema.Outcome) {
	if dagOutcome(outcome).State == dag.Cancelled {
		d.result.cancelledBy = id
	}
}

// readNext reads the next batch of outcomes, or ends the check if none is left or the result is final.
func (d *dependencyCheck) readNext() {
	if len(d.unread) == 0 || d.result.rejection != nil || d.result.undecided {
		d.done(d.result)
		return
	}
	batch := d.unread[:min(len(d.unread), maxOutcomeReads)]
	d.unread = d.unread[len(batch):]
	d.readsInFlight = len(batch)
	for _, id := range batch {
		d.outcomes.fetch(id, func(read outcomeResult) { d.noteRead(id, read) })
	}
}

// noteRead records the result of reading a dependency's outcome from the store.
func (d *dependencyCheck) noteRead(id string, read outcomeResult) {
	if read.lookup == lookupNone && !d.replica.provesNeverAccepted(id) {
		read.lookup = lookupUndecided
	}
	switch read.lookup {
	case lookupFound:
		d.noteOutcome(id, read.outcome)
	case lookupNone:
		d.result.rejection = dependencyError(id, errUnknownDependency)
	case lookupUndecided:
		d.result.undecided = true
	}
	d.readsInFlight--
	if d.readsInFlight == 0 {
		d.readNext()
	}
}

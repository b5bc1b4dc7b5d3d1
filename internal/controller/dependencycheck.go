package controller

import (
	"errors"
	"fmt"

	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
)

// Why a submission can't name a job as its dependency.
var (
	errDependsOnItself   = errors.New("a job can't wait for itself")
	errDependsOnService  = errors.New("a service is never done")
	errUnknownDependency = errors.New("no such job was accepted")
)

// dependencyError tells users which of the jobs that they named can't be a dependency, and why.
func dependencyError(id string, cause error) error { return fmt.Errorf("waitsOn: %s: %w", id, cause) }

// dependencyResult is what became of a submission's dependencies.
type dependencyResult struct {
	unmet       []string // not over
	cancelledBy string   // one that is cancelled; empty: none is
	rejection   error    // why the submission can't be accepted; nil: it can
	undecided   bool     // it can't be decided now
}

// dependencyCheck finds out what became of a submission's dependencies. The replica must be as
// recent as the submission: users name a job the moment another controller has accepted it. A job
// that is not among the accepted ones then is over, and has an outcome, or was never accepted. The
// check owns no more than its own result and never writes; what it reads stays known, so that a
// repeated submission goes on where this one was given up.
type dependencyCheck struct {
	replica  *replica
	outcomes *outcomeReads
	result   dependencyResult
	unread   []string // jobs whose outcomes are to be read
	awaited  int      // reads under way
	done     func(dependencyResult)
}

// checkDependencies checks the dependencies of a submission. done runs once.
func checkDependencies(replica *replica, outcomes *outcomeReads, submission UserRequest, done func(dependencyResult)) {
	check := &dependencyCheck{replica: replica, outcomes: outcomes, done: done}
	for _, id := range submission.Job.Needs {
		check.lookUp(id, submission.JobID)
	}
	check.readNext()
}

// lookUp notes what the replica tells of a dependency.
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

// noteOutcome notes the outcome of a dependency. One that is done need not be waited for.
func (d *dependencyCheck) noteOutcome(id string, outcome schema.Outcome) {
	if dagOutcome(outcome).State == dag.Cancelled {
		d.result.cancelledBy = id
	}
}

// readNext reads the next few outcomes, or ends the check when none is left or the result stands.
func (d *dependencyCheck) readNext() {
	if len(d.unread) == 0 || d.result.rejection != nil || d.result.undecided {
		d.done(d.result)
		return
	}
	batch := d.unread[:min(len(d.unread), maxOutcomeReads)]
	d.unread = d.unread[len(batch):]
	d.awaited = len(batch)
	for _, id := range batch {
		d.outcomes.fetch(id, func(read outcomeResult) { d.noteRead(id, read) })
	}
}

// noteRead notes what the store says of a dependency's outcome.
func (d *dependencyCheck) noteRead(id string, read outcomeResult) {
	switch read.lookup {
	case lookupFound:
		d.noteOutcome(id, read.outcome)
	case lookupNone:
		d.result.rejection = dependencyError(id, errUnknownDependency)
	case lookupUndecided:
		d.result.undecided = true
	}
	d.awaited--
	if d.awaited == 0 {
		d.readNext()
	}
}

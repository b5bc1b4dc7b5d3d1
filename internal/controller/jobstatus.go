package controller

import (
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Stages of a job as users see them.
const (
	StagePending   = "pending"
	StageRunning   = "running"
	StageDone      = "done"
	StageCancelled = "cancelled"
)

// JobStatus is what a user is told of a job.
type JobStatus struct {
	ID      string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`

	WaitsOn     []string `json:"waitsOn,omitempty"`       // jobs that must be done before it starts
	CancelledBy string   `json:"cancelledWith,omitempty"` // the dependency whose cancellation cancelled it
}

// terminal reports whether the status is one that never changes.
func (s *JobStatus) terminal() bool { return s.Stage == StageDone || s.Stage == StageCancelled }

// outcomeStatus is the status of a job whose outcome is stored.
func outcomeStatus(id string, outcome schema.Outcome) *JobStatus {
	return &JobStatus{ID: id, Stage: outcome.State, Done: outcome.TasksDone, CancelledBy: outcome.CancelledBy}
}

// statusOf is the status of an accepted job whose outcome is not stored.
func statusOf(j *job) *JobStatus {
	status := &JobStatus{ID: j.id, Stage: StagePending, Done: j.done.Len(), WaitsOn: j.dependency.UnmetNeeds()}
	if j.cancelled() {
		status.Stage, status.CancelledBy, status.WaitsOn = StageCancelled, j.dependency.CancelledBy(), nil
		return status
	}
	for task := range j.bindings {
		if !j.isDone(task) {
			status.Running++
		}
	}
	if status.Running > 0 {
		status.Stage = StageRunning
	}
	return status
}

// lookup is whether something was found.
type lookup int

const (
	lookupUndecided lookup = iota // it can't be told now
	lookupFound
	lookupNone // surely there is none
)

// statusResult is what a question for a job's current status has shown. lookupNone says that the job was
// never accepted.
type statusResult struct {
	lookup lookup
	status *JobStatus // nil unless found
}

// statusReader finds out the status of jobs. It owns nothing. It promises that the current status of a
// job is never older than any answer that any controller gave before the question came: either the
// replica is proven to be as recent as the question, or the status can't change any more. That a
// job is not in the replica is never its proof that the job does not exist: only the store's word is.
type statusReader struct {
	*environment
	replica   *replica
	freshness freshnessProver
	outcomes  *outcomeReads
}

// freshnessProver proves that the replica is as recent as the moment of the call. The continuation runs
// once; current is false if that can't be proven.
type freshnessProver interface {
	whenCurrent(then func(current bool))
}

// terminal returns the status of a job that is known to be over, nil if none is known to be: by its own
// outcome, or by that of a dependency. Neither ever changes, so no proof of freshness is needed.
func (r *statusReader) terminal(id string) *JobStatus {
	if outcome, ok := r.replica.outcomes.get(id); ok {
		return outcomeStatus(id, outcome)
	}
	if j := r.replica.acceptedJob(id); j != nil && j.dependency.CancelledBy() != "" {
		return statusOf(j)
	}
	return nil
}

// current finds out a job's status as of now.
func (r *statusReader) current(id string, done func(statusResult)) {
	query := &statusQuery{reader: r, jobID: id, done: done}
	r.freshness.whenCurrent(query.begin)
}

const (
	// dependencyWait is how long an answer may wait for the outcomes of the job's dependencies, which a
	// controller that has just started has yet to read.
	dependencyWait = units.Second
	// dependencyRetry is the interval at which the answer is tried again meanwhile.
	dependencyRetry = 50 * units.Millisecond
)

// statusQuery is a question for a job's current status that is not answered yet.
type statusQuery struct {
	reader   *statusReader
	jobID    string
	deadline units.Micros // by when the outcomes of the dependencies must be known
	done     func(statusResult)
}

// begin goes on when the proof of freshness has come, or has failed.
func (q *statusQuery) begin(current bool) {
	if !current {
		q.done(statusResult{lookup: lookupUndecided})
		return
	}
	q.deadline = q.reader.now + dependencyWait
	q.derive()
}

// derive tells the status from the replica, which is recent enough, or asks the store for an outcome that
// the replica lacks. As long as the outcome of a dependency is not known, it is tried
// again: the job may be cancelled by it.
func (q *statusQuery) derive() {
	r := q.reader
	if !r.replica.dependencies.Resolved(q.jobID) {
		if r.now > q.deadline {
			q.done(statusResult{lookup: lookupUndecided})
			return
		}
		r.after(dependencyRetry, q.derive)
		return
	}
	if outcome, ok := r.replica.outcomes.get(q.jobID); ok {
		q.found(outcomeStatus(q.jobID, outcome))
		return
	}
	j := r.replica.acceptedJob(q.jobID)
	if j != nil && (!j.cancelled() || j.dependency.CancelledBy() != "") {
		q.found(statusOf(j))
		return
	}
	// Not among the active ones, its outcome may be stored all the same.
	r.outcomes.fetch(q.jobID, q.finishWithOutcome)
}

// finishWithOutcome answers with what the store says of the job's outcome.
func (q *statusQuery) finishWithOutcome(result outcomeResult) {
	if result.lookup == lookupFound {
		q.found(outcomeStatus(q.jobID, result.outcome))
		return
	}
	q.done(statusResult{lookup: result.lookup})
}

func (q *statusQuery) found(status *JobStatus) {
	q.done(statusResult{lookup: lookupFound, status: status})
}

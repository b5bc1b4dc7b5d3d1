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

// JobStatus is a job's status in a response to a user.
type JobStatus struct {
	ID      string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`

	WaitsOn     []string `json:"waitsOn,omitempty"`       // unmet dependencies
	CancelledBy string   `json:"cancelledWith,omitempty"` // the dependency whose cancellation cancelled the job
}

// terminal reports whether the stage is final: done or cancelled.
func (s *JobStatus) terminal() bool { return s.Stage == StageDone || s.Stage == StageCancelled }

// outcomeStatus returns the status of a job from its stored outcome.
func outcomeStatus(id string, outcome schema.Outcome) *JobStatus {
	return &JobStatus{ID: id, Stage: outcome.State, Done: outcome.TasksDone, CancelledBy: outcome.CancelledBy}
}

// statusOf returns the status of an accepted job whose outcome is not stored.
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

// lookup is the result of a search: found, absent or undecided.
type lookup int

const (
	lookupUndecided lookup = iota // can't be decided now
	lookupFound
	lookupNone // proven absent
)

// statusResult is the result of a query for a job's current status. lookupNone means that the job was
// never accepted.
type statusResult struct {
	lookup lookup
	status *JobStatus // nil unless found
}

// statusReader looks up the status of jobs. It keeps no state. It guarantees that the current status of a
// job is never older than any answer that any controller gave before the query: either the replica is
// proven to be as recent as the query, or the status can't change any more. A job's absence from
// the replica does not prove that the job does not exist: only a read of the store does.
type statusReader struct {
	*environment
	replica   *replica
	freshness freshnessProver
	outcomes  *outcomeReads
}

// freshnessProver proves that the replica is as recent as the moment of the call. The continuation then
// runs once, with current false if the proof fails.
type freshnessProver interface {
	whenCurrent(done func(current bool))
}

// terminal returns the status of a job that is known to have ended, by its own outcome or by that of a
// dependency, and nil for any other. Outcomes never change, so no proof of freshness is needed.
func (r *statusReader) terminal(id string) *JobStatus {
	if outcome, ok := r.replica.outcomes.get(id); ok {
		return outcomeStatus(id, outcome)
	}
	if j := r.replica.acceptedJob(id); j != nil && j.dependency.CancelledBy() != "" {
		return statusOf(j)
	}
	return nil
}

// current looks up a job's status as of now, and passes it to done.
func (r *statusReader) current(id string, done func(statusResult)) {
	query := &statusQuery{reader: r, jobID: id, done: done}
	r.freshness.whenCurrent(query.begin)
}

const (
	// dependencyWait is how long a status query waits for the outcomes of the job's dependencies, which
	// a newly started controller still has to read.
	dependencyWait = units.Second
	// dependencyRetry is the interval at which the query checks for those outcomes.
	dependencyRetry = 50 * units.Millisecond
)

// statusQuery is a query for a job's current status that is in flight.
type statusQuery struct {
	reader   *statusReader
	jobID    string
	deadline units.Micros // by when the outcomes of the dependencies must be known
	done     func(statusResult)
}

// begin continues the query once the proof of freshness has succeeded or failed.
func (q *statusQuery) begin(current bool) {
	if !current {
		q.done(statusResult{lookup: lookupUndecided})
		return
	}
	q.deadline = q.reader.now + dependencyWait
	q.derive()
}

// derive derives the status from the replica, which is recent enough, or reads the job's outcome from the
// store if the replica lacks it. While the outcome of a dependency is unknown, derive runs again later:
// that outcome may cancel the job.
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
	// The job is not active in the replica, but its outcome may be stored.
	r.outcomes.fetch(q.jobID, q.finishWithOutcome)
}

// finishWithOutcome answers with the result of reading the job's outcome from the store.
func (q *statusQuery) finishWithOutcome(result outcomeResult) {
	if result.lookup == lookupFound {
		q.found(outcomeStatus(q.jobID, result.outcome))
		return
	}
	if result.lookup == lookupNone && !q.reader.replica.provesNeverAccepted(q.jobID) {
		result.lookup = lookupUndecided
	}
	q.done(statusResult{lookup: result.lookup})
}

func (q *statusQuery) found(status *JobStatus) {
	q.done(statusResult{lookup: lookupFound, status: status})
}

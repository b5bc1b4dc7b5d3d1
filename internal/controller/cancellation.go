package controller

import (
	"net/http"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// cancellations writes the outcome "cancelled" of jobs at the request of users. It guarantees that a job has
// one outcome, written once: each transaction fails if an outcome exists already, and the user then gets
// the stored one. It never stops tasks: the controllers that command the machines on which the job's tasks
// run do so when they see the cancellation.
type cancellations struct {
	*environment
	replica  *replica
	users    *userRequests
	statuses *statusReader
	commits  transactor
}

// cancel cancels an accepted job. If the job gets an outcome before the cancellation is stored,
// onConflict handles the request again.
func (c *cancellations) cancel(request UserRequest, onConflict func(UserRequest)) {
	cancellation := &pendingCancellation{cancellations: c, request: request, onConflict: onConflict}
	cancellation.send()
}

// pendingCancellation is a user's cancellation that is not stored yet.
type pendingCancellation struct {
	*cancellations
	request    UserRequest
	outcome    schema.Outcome
	onConflict func(UserRequest)
}

// send writes the outcome and, in the same transaction, a cancellation document, which the watch shows to
// all controllers.
func (p *pendingCancellation) send() {
	id := p.request.JobID
	if p.replica.acceptedJob(id) == nil {
		p.users.askToRetry(p.request.RequestID)
		return
	}
	writeTag := p.commits.newWriteTag()
	p.outcome = schema.Outcome{State: StageCancelled, RecordedAt: int64(p.unixTime), WriteTag: writeTag}
	txn := outcomeTransaction(id, p.outcome)
	txn.Operations = append(txn.Operations, kv.Operation{
		Set: schema.CancellationPrefix + id, Value: encode(cancellationDocument{WriteTag: writeTag}),
	})
	p.commits.commit(txn, writeTag, p.settle)
}

// settle handles the result of the transaction.
func (p *pendingCancellation) settle(result commitResult) {
	switch result.outcome {
	case commitApplied:
		p.users.answerStatus(p.request.RequestID, http.StatusOK, outcomeStatus(p.request.JobID, p.outcome))
	case commitConflict: // the job ended, or another controller cancelled it, at the same time
		if p.users.isOpen(p.request.RequestID) {
			p.onConflict(p.request)
		}
	case commitThrottled:
		p.after(throttledRetry, p.retry)
	case commitRefused:
		p.users.askToRetry(p.request.RequestID)
	}
}

// retry sends the cancellation again if its request is still open.
func (p *pendingCancellation) retry() {
	if p.users.isOpen(p.request.RequestID) {
		p.send()
	}
}

// acceptCancelled accepts a job with a cancelled dependency: only its outcome is stored, not the job.
func (c *cancellations) acceptCancelled(request UserRequest, cancelledBy string) {
	writeTag := c.commits.newWriteTag()
	submission := &cancelledSubmission{cancellations: c, request: request, outcome: schema.Outcome{
		State: StageCancelled, RecordedAt: int64(c.unixTime), CancelledBy: cancelledBy, WriteTag: writeTag,
	}}
	c.commits.commit(outcomeTransaction(request.JobID, submission.outcome), writeTag, submission.settle)
}

// cancelledSubmission is the submission of a job with a cancelled dependency, while its outcome is written.
type cancelledSubmission struct {
	*cancellations
	request UserRequest
	outcome schema.Outcome
}

// settle handles the result of the transaction.
func (a *cancelledSubmission) settle(result commitResult) {
	switch result.outcome {
	case commitApplied:
		a.users.answerStatus(a.request.RequestID, http.StatusCreated, outcomeStatus(a.request.JobID, a.outcome))
	case commitConflict: // the job has an outcome already
		a.statuses.current(a.request.JobID, func(result statusResult) { a.users.answerExisting(a.request.RequestID, result) })
	case commitRefused, commitThrottled:
		a.users.askToRetry(a.request.RequestID)
	}
}

// outcomeTransaction returns a transaction that writes a job's outcome if the job has none.
func outcomeTransaction(id string, outcome schema.Outcome) *kv.Txn {
	key := schema.OutcomePrefix + id
	return &kv.Txn{
		Conditions: []kv.Condition{{Key: key}},
		Operations: []kv.Operation{{Set: key, Value: encode(outcome)}},
	}
}

// cancellationDocument shows all controllers that a job is cancelled. It exists until the job's tasks have
// stopped.
type cancellationDocument struct {
	WriteTag string `json:"w"`
}

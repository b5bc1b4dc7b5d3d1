package controller

import (
	"maps"
	"net/http"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// userRequests owns the user requests in flight. It guarantees that each of them is
// answered exactly once: with the result or, after a timeout, with 503 and a Retry-After time.
// Each status passes the audit before it is sent. Other components decide the contents of the answers.
type userRequests struct {
	*environment
	auditor   answerAuditor
	deadlines map[uint64]units.Micros // by request ID: when the request times out
}

// answerAuditor makes the last check of a status before it is sent to a user, and returns the status to
// send.
type answerAuditor interface {
	checkAnswer(status *JobStatus) *JobStatus
}

func newUserRequests(env *environment, auditor answerAuditor) *userRequests {
	return &userRequests{environment: env, auditor: auditor, deadlines: map[uint64]units.Micros{}}
}

// Request timeouts: a user waits for an answer at most this long.
const (
	queryWait  = 1500 * units.Millisecond
	submitWait = 2500 * units.Millisecond // for submissions and cancellations, which are stored before they are answered
)

// retryAfterSeconds is the Retry-After value, in seconds, of a request that could not be decided.
const retryAfterSeconds = 1

// errorBody is the response body of a rejected request.
type errorBody struct {
	Error string `json:"error"`
}

// open registers a request and sets its deadline.
func (u *userRequests) open(request UserRequest) {
	wait := submitWait
	if request.Kind == QueryJob {
		wait = queryWait
	}
	u.deadlines[request.RequestID] = u.now + wait
}

// isOpen reports whether a request is not answered yet.
func (u *userRequests) isOpen(requestID uint64) bool {
	_, open := u.deadlines[requestID]
	return open
}

// openCount returns the number of requests in flight.
func (u *userRequests) openCount() int { return len(u.deadlines) }

// answerStatus answers a request with a job's status.
func (u *userRequests) answerStatus(requestID uint64, httpStatus int, status *JobStatus) {
	if u.close(requestID) {
		u.emit(Reply{RequestID: requestID, Status: httpStatus, Body: u.auditor.checkAnswer(status)})
	}
}

// answerExisting answers the submission of a job that exists already.
func (u *userRequests) answerExisting(requestID uint64, result statusResult) {
	if result.lookup != lookupFound {
		u.askToRetry(requestID)
		return
	}
	u.answerStatus(requestID, http.StatusOK, result.status)
}

// askToRetry answers a request that can't be decided now with 503 and a Retry-After time.
func (u *userRequests) askToRetry(requestID uint64) {
	if u.close(requestID) {
		u.emit(Reply{RequestID: requestID, Status: http.StatusServiceUnavailable, RetryAfterSeconds: retryAfterSeconds})
	}
}

// reject answers a request with a final error status, without advice to retry. If cause is nil the
// response has no body.
func (u *userRequests) reject(requestID uint64, httpStatus int, cause error) {
	if !u.close(requestID) {
		return
	}
	var body any
	if cause != nil {
		body = errorBody{Error: cause.Error()}
	}
	u.emit(Reply{RequestID: requestID, Status: httpStatus, Body: body})
}

// close closes a request and reports whether it was open. Only the caller that gets true may answer it.
func (u *userRequests) close(requestID uint64) bool {
	open := u.isOpen(requestID)
	delete(u.deadlines, requestID)
	return open
}

// expire answers the requests whose deadline has passed.
func (u *userRequests) expire() {
	for _, requestID := range slices.Sorted(maps.Keys(u.deadlines)) {
		if u.now > u.deadlines[requestID] {
			u.askToRetry(requestID)
		}
	}
}

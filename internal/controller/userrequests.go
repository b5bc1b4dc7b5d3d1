package controller

import (
	"maps"
	"net/http"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// userRequests owns the requests of users that are not answered yet. It promises that each of them is
// answered exactly once: with what was found or, when that takes too long, with the advice to try
// again. Each status passes the audit before it leaves. It never decides what an answer says.
type userRequests struct {
	*environment
	auditor   answerAuditor
	deadlines map[uint64]units.Micros // by request: when it is given up
}

// answerAuditor looks at a status a last time before a user sees it, and returns what is to be told.
type answerAuditor interface {
	checkAnswer(status *JobStatus) *JobStatus
}

func newUserRequests(env *environment, auditor answerAuditor) *userRequests {
	return &userRequests{environment: env, auditor: auditor, deadlines: map[uint64]units.Micros{}}
}

// How long a user waits for an answer at most.
const (
	queryWait  = 1500 * units.Millisecond
	submitWait = 2500 * units.Millisecond // also for cancellations: both are stored before they are answered
)

// retryAfterSeconds is when a user may try again what could not be decided.
const retryAfterSeconds = 1

// errorBody is the body of an answer that rejects a request.
type errorBody struct {
	Error string `json:"error"`
}

// open begins the time in which a request is to be answered.
func (u *userRequests) open(request UserRequest) {
	wait := submitWait
	if request.Kind == QueryJob {
		wait = queryWait
	}
	u.deadlines[request.RequestID] = u.now + wait
}

// isOpen reports whether a request still waits for its answer.
func (u *userRequests) isOpen(requestID uint64) bool {
	_, open := u.deadlines[requestID]
	return open
}

// openCount is how many requests wait for their answers.
func (u *userRequests) openCount() int { return len(u.deadlines) }

// answerStatus tells a user a job's status.
func (u *userRequests) answerStatus(requestID uint64, httpStatus int, status *JobStatus) {
	if u.close(requestID) {
		u.emit(Reply{RequestID: requestID, Status: httpStatus, Body: u.auditor.checkAnswer(status)})
	}
}

// answerExisting answers the submission of a job that was found to exist already.
func (u *userRequests) answerExisting(requestID uint64, result statusResult) {
	if result.lookup != lookupFound {
		u.askToRetry(requestID)
		return
	}
	u.answerStatus(requestID, http.StatusOK, result.status)
}

// askToRetry tells a user that the request can't be decided now.
func (u *userRequests) askToRetry(requestID uint64) {
	if u.close(requestID) {
		u.emit(Reply{RequestID: requestID, Status: http.StatusServiceUnavailable, RetryAfterSeconds: retryAfterSeconds})
	}
}

// reject answers a request that will never be granted as it stands. A nil cause says no more than the
// status does.
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

// close reports whether a request is open, and closes it: whoever closes it sends the only answer.
func (u *userRequests) close(requestID uint64) bool {
	open := u.isOpen(requestID)
	delete(u.deadlines, requestID)
	return open
}

// expire answers the requests that could not be decided in time.
func (u *userRequests) expire() {
	for _, requestID := range slices.Sorted(maps.Keys(u.deadlines)) {
		if u.now > u.deadlines[requestID] {
			u.askToRetry(requestID)
		}
	}
}

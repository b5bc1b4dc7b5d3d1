package controller

import (
	"net/http"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/schema"
)

// requestHandler takes user requests through their phases: it looks up whether the job has ended,
// proves that the replica is current and derives the job's status, validates a submission, resolves its
// dependencies, and passes it on to be stored or cancelled. It keeps no state: the component that a
// request waits for also holds that request. It guarantees that a request for an existing job is
// answered with the job's status, even a repeated submission with different contents.
type requestHandler struct {
	*environment
	store         *storeClient
	replica       *replica
	catalog       *catalog
	users         *userRequests
	statuses      *statusReader
	outcomes      *outcomeReads
	accepts       *acceptQueue
	cancellations *cancellations
}

// handle starts processing a new request.
func (h *requestHandler) handle(request UserRequest) {
	h.users.open(request)
	if request.JobID == "" {
		h.users.reject(request.RequestID, http.StatusBadRequest, nil)
		return
	}
	if status := h.statuses.terminal(request.JobID); status != nil {
		h.users.answerStatus(request.RequestID, http.StatusOK, status)
		return
	}
	if !h.canDecide() {
		h.users.askToRetry(request.RequestID)
		return
	}
	if h.canAcceptUnproven(request) {
		h.accepts.enqueue(request)
		return
	}
	h.handleProven(request)
}

// canDecide reports whether requests can be decided: the replica is loaded, and the store is not failing or
// has answered within failureGrace.
func (h *requestHandler) canDecide() bool {
	return h.replica.synced && !h.store.failingFor(failureGrace)
}

// canAcceptUnproven reports whether a submission can be stored without a proof of freshness: it depends on
// no other job, and the conditions of the transaction detect a job that exists already.
func (h *requestHandler) canAcceptUnproven(request UserRequest) bool {
	return request.Kind == SubmitJob && request.Job != nil && len(request.Job.Needs) == 0 && h.catalog.known() &&
		h.replica.jobs[request.JobID] == nil && h.checkFeasible(request.Job) == nil
}

// handleProven looks up the job's current status, with a proof of freshness, and handles the request
// accordingly.
func (h *requestHandler) handleProven(request UserRequest) {
	h.statuses.current(request.JobID, func(result statusResult) { h.handleByStatus(request, result) })
}

// handleByStatus handles a request whose job's current status has been looked up.
func (h *requestHandler) handleByStatus(request UserRequest, result statusResult) {
	switch result.lookup {
	case lookupUndecided:
		h.users.askToRetry(request.RequestID)
	case lookupFound:
		h.handleExisting(request, result.status)
	case lookupNone:
		h.handleUnknown(request)
	}
}

// handleExisting handles a request for an accepted job.
func (h *requestHandler) handleExisting(request UserRequest, status *JobStatus) {
	if request.Kind == CancelJob && !status.terminal() {
		h.cancellations.cancel(request, h.handleProven)
		return
	}
	h.users.answerStatus(request.RequestID, http.StatusOK, status)
}

// handleUnknown handles a request for a job that was never accepted.
func (h *requestHandler) handleUnknown(request UserRequest) {
	switch {
	case request.Kind != SubmitJob:
		h.users.reject(request.RequestID, http.StatusNotFound, nil)
	case request.Job == nil:
		h.users.reject(request.RequestID, http.StatusBadRequest, request.Malformed)
	case !h.catalog.known(): // without machine types the feasibility check is not possible yet
		h.users.askToRetry(request.RequestID)
	default:
		h.validate(request)
	}
}

// validate rejects a submission that can never run, and otherwise resolves its dependencies.
func (h *requestHandler) validate(request UserRequest) {
	if err := h.checkFeasible(request.Job); err != nil {
		h.users.reject(request.RequestID, http.StatusUnprocessableEntity, err)
		return
	}
	h.resolveDependencies(request)
}

// checkFeasible returns why a job can never run, or nil.
func (h *requestHandler) checkFeasible(submission *schema.Job) error {
	return api.CheckFeasible(submission, h.cfg.Settings.Teams, h.catalog.types)
}

// resolveDependencies looks up the state of a submission's dependencies. No job with dependencies is
// accepted until all members support them: a process of an older version would drop the dependencies when
// it rewrites the document.
func (h *requestHandler) resolveDependencies(request UserRequest) {
	if len(request.Job.Needs) == 0 {
		h.accepts.enqueue(request)
		return
	}
	if !h.replica.dependenciesEnabled() {
		h.users.askToRetry(request.RequestID)
		return
	}
	checkDependencies(h.replica, h.outcomes, request, func(result dependencyResult) { h.accept(request, result) })
}

// accept stores a submission whose dependencies are resolved, or rejects it because of them.
func (h *requestHandler) accept(request UserRequest, dependencies dependencyResult) {
	switch {
	case dependencies.rejection != nil:
		h.users.reject(request.RequestID, http.StatusUnprocessableEntity, dependencies.rejection)
	case dependencies.undecided:
		h.users.askToRetry(request.RequestID)
	case dependencies.cancelledBy != "":
		h.cancellations.acceptCancelled(request, dependencies.cancelledBy)
	default:
		// A stored outcome never changes, so dependencies that are done need not be stored.
		request.Job.Needs = slices.Clone(dependencies.unmet)
		h.accepts.enqueue(request)
	}
}

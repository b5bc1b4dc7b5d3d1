package controller

import (
	"net/http"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/schema"
)

// requestHandler takes the requests of users through their phases: it looks up whether the job is over,
// proves that the replica is fresh and derives the job's status, validates a submission, resolves its
// dependencies, and has it stored or cancelled. It owns nothing: what waits is kept by the component
// that it waits for. It promises that a request for a job that exists is never answered otherwise than
// with the job's status, also a repeated submission, whatever that says.
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

// handle takes a request that has just come in.
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

// canDecide reports whether requests can be decided at present.
func (h *requestHandler) canDecide() bool {
	return h.replica.synced && !h.store.failingFor(failureGrace)
}

// canAcceptUnproven reports whether a submission can be stored without a proof of freshness: it needs no
// other job, and the conditions of the transaction find out whether the job exists already.
func (h *requestHandler) canAcceptUnproven(request UserRequest) bool {
	return request.Kind == SubmitJob && request.Job != nil && len(request.Job.Needs) == 0 && h.catalog.known() &&
		h.replica.jobs[request.JobID] == nil && h.checkFeasible(request.Job) == nil
}

// handleProven handles a request by its job's current status.
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

// handleExisting handles a request for a job that was accepted.
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
	case !h.catalog.known(): // whether the job fits a machine can't be told yet
		h.users.askToRetry(request.RequestID)
	default:
		h.validate(request)
	}
}

// validate rejects a submission that can never run, and resolves the dependencies of any other.
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

// resolveDependencies finds out what became of a submission's dependencies. Until all members know
// such jobs none is accepted: a process that does not would lose what the job waits for.
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

// accept has a submission stored whose dependencies are resolved.
func (h *requestHandler) accept(request UserRequest, dependencies dependencyResult) {
	switch {
	case dependencies.rejection != nil:
		h.users.reject(request.RequestID, http.StatusUnprocessableEntity, dependencies.rejection)
	case dependencies.undecided:
		h.users.askToRetry(request.RequestID)
	case dependencies.cancelledBy != "":
		h.cancellations.acceptCancelled(request, dependencies.cancelledBy)
	default:
		// A stored outcome never changes: the needed jobs that are done need no mention.
		request.Job.Needs = slices.Clone(dependencies.unmet)
		h.accepts.enqueue(request)
	}
}

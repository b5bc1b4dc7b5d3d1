package server

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/admission"
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/controller"
)

// route is the one method that is served at a path, and its handler.
type route struct {
	method string
	// handle answers a request; jobID is taken from the path without validation, and empty if the path names
	// no job.
	handle func(h *httpServer, ctx *fasthttp.RequestCtx, jobID string)
}

// routes holds the routes of the paths that name no job.
var routes = map[string]route{
	"/ready":       {http.MethodGet, (*httpServer).handleReady},
	"/v1/report":   {http.MethodPost, (*httpServer).handleHeartbeat},
	"/submissions": {http.MethodPost, (*httpServer).handleSubmit},
}

// jobPathPrefix is the prefix of the paths that name a job: /submissions/{id} and /submissions/{id}/{action}.
const jobPathPrefix = "/submissions/"

// jobRoutes holds the routes of the paths that name a job, by action; the path of the job itself has none.
var jobRoutes = map[string]route{
	"":      {http.MethodGet, (*httpServer).handleQuery},
	"abort": {http.MethodPost, (*httpServer).handleCancel},
}

// findRoute returns the route of a path, and the job id in the path.
func findRoute(path string) (found route, jobID string, ok bool) {
	if found, ok = routes[path]; ok {
		return found, "", true
	}
	rest, ok := strings.CutPrefix(path, jobPathPrefix)
	if !ok {
		return route{}, "", false
	}
	jobID, action, hasAction := strings.Cut(rest, "/")
	if jobID == "" || hasAction && action == "" {
		return route{}, "", false
	}
	found, ok = jobRoutes[action]
	return found, jobID, ok
}

// handle answers every request of users, agents and health probes.
func (h *httpServer) handle(ctx *fasthttp.RequestCtx) {
	found, jobID, ok := findRoute(string(ctx.Path()))
	if !ok {
		ctx.Error("no such path", http.StatusNotFound)
		return
	}
	if string(ctx.Method()) != found.method {
		ctx.Error("method not allowed", http.StatusMethodNotAllowed)
		return
	}
	found.handle(h, ctx, jobID)
}

// handleReady answers a health probe.
func (h *httpServer) handleReady(ctx *fasthttp.RequestCtx, _ string) {
	h.await(ctx, func(requestID uint64) controller.Message {
		return controller.ReadyRequest{RequestID: requestID}
	})
}

// handleHeartbeat answers an agent's heartbeat.
func (h *httpServer) handleHeartbeat(ctx *fasthttp.RequestCtx, _ string) {
	var heartbeat agent.Heartbeat
	if err := json.Unmarshal(ctx.PostBody(), &heartbeat); err != nil || heartbeat.Machine == "" {
		ctx.Error("malformed report", http.StatusBadRequest)
		return
	}
	if h.nearConnLimit() {
		ctx.SetConnectionClose()
	}
	started := time.Now()
	h.await(ctx, func(requestID uint64) controller.Message {
		return controller.HeartbeatRequest{RequestID: requestID, Heartbeat: heartbeat}
	})
	h.latencies.record(heartbeatOperation, time.Since(started))
}

// handleSubmit answers a submission. A malformed one is passed to the controller as well, since it may
// repeat the submission of a known job.
func (h *httpServer) handleSubmit(ctx *fasthttp.RequestCtx, _ string) {
	job, jobID, err := api.Parse(ctx.PostBody())
	h.handleUserRequest(ctx, controller.UserRequest{Kind: controller.SubmitJob, JobID: jobID, Job: job, Malformed: err})
}

// handleQuery answers a query for a job's state.
func (h *httpServer) handleQuery(ctx *fasthttp.RequestCtx, jobID string) {
	h.handleJobRequest(ctx, controller.QueryJob, jobID)
}

// handleCancel answers a request to cancel a job.
func (h *httpServer) handleCancel(ctx *fasthttp.RequestCtx, jobID string) {
	h.handleJobRequest(ctx, controller.CancelJob, jobID)
}

func (h *httpServer) handleJobRequest(ctx *fasthttp.RequestCtx, kind controller.UserRequestKind, jobID string) {
	if !api.ValidJobID(jobID) {
		ctx.Error("no such job", http.StatusNotFound)
		return
	}
	h.handleUserRequest(ctx, controller.UserRequest{Kind: kind, JobID: jobID})
}

// userOperations maps each kind of user request to its kind in the limiter and its operation in the
// latency log.
var userOperations = map[controller.UserRequestKind]struct {
	admission admission.Kind
	latency   operation
}{
	controller.SubmitJob: {admission.Submit, submitOperation},
	controller.QueryJob:  {admission.Query, queryOperation},
	controller.CancelJob: {admission.Cancel, cancelOperation},
}

// handleUserRequest passes a user's request to the controller, unless the limiter reports too many requests
// in flight: then it refuses the request immediately, with a Retry-After.
func (h *httpServer) handleUserRequest(ctx *fasthttp.RequestCtx, request controller.UserRequest) {
	kind := userOperations[request.Kind]
	if !h.limiter.TryAcquire(kind.admission) {
		refuse(ctx)
		return
	}
	started := h.now()
	h.await(ctx, func(requestID uint64) controller.Message {
		request.RequestID = requestID
		return request
	})
	now := h.now()
	h.limiter.Release(kind.admission, now, now-started)
	h.latencies.record(kind.latency, (now - started).Duration())
}

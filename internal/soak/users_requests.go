package soak

import (
	"net/http"
	"time"
)

const (
	submissionsPath = "/submissions"
	pollTimeout     = 2 * time.Second
	changeTimeout   = 5 * time.Second // of submissions and cancellations
)

// isCancelled reports whether this status of a response to a cancellation means that the job is over.
func isCancelled(status int) bool { return status == http.StatusOK }

// endpoint returns the method, path and timeout of a request about a job.
func (k RequestKind) endpoint(id string) (method, path string, timeout time.Duration) {
	switch k {
	case PollRequest:
		return http.MethodGet, submissionsPath + "/" + id, pollTimeout
	case CancelRequest:
		return http.MethodPost, submissionsPath + "/" + id + "/abort", changeTimeout
	default:
		return http.MethodPost, submissionsPath, changeTimeout
	}
}

// request sends a request to a ready controller and reports the response to the checker.
func (u *fakeUsers) request(kind RequestKind, id string, body any) (status int, stage Stage) {
	controller := u.readyController()
	if controller == nil {
		return noResponse, ""
	}
	method, path, timeout := kind.endpoint(id)
	known := u.world.checker.BeforeRequest(id)
	var result struct {
		Stage Stage `json:"stage"`
	}
	status = controller.call(method, path, body, timeout, &result)
	if status == noResponse || u.world.network.isCut(linkUserResponses, controller.index) {
		return noResponse, ""
	}
	u.world.checker.ResponseReceived(kind, id, status, result.Stage, known)
	if isSuccess(status) && kind != PollRequest {
		u.world.events.add("%s of %s at %s: %s", kind, id, controller.name, result.Stage)
	}
	return status, result.Stage
}

// readyController draws a controller that a load balancer would choose, or returns nil if there is none.
func (u *fakeUsers) readyController() *controllerProcess {
	var ready []*controllerProcess
	for _, process := range u.world.controllers {
		if process.isReady() {
			ready = append(ready, process)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return pick(u.world.rng, ready...)
}

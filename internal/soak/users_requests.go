package soak

import (
	"net/http"
	"time"
)

const (
	submissionsPath = "/submissions"
	pollTimeout     = 2 * time.Second
	changeTimeout   = 5 * time.Second // of requests that change something
)

// isCancelled reports whether an answer to a cancellation tells that the job is over.
func isCancelled(status int) bool { return status == http.StatusOK }

// endpoint is how a request is sent.
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

// request sends a request to a controller that is ready, and tells the checker of the answer.
func (u *fakeUsers) request(kind RequestKind, id string, body any) (status int, stage Stage) {
	controller := u.readyController()
	if controller == nil {
		return noAnswer, ""
	}
	method, path, timeout := kind.endpoint(id)
	known := u.world.checker.BeforeRequest(id)
	var answer struct {
		Stage Stage `json:"stage"`
	}
	status = controller.call(method, path, body, timeout, &answer)
	if status == noAnswer || u.world.network.isCut(linkUserAnswers, controller.index) {
		return noAnswer, ""
	}
	u.world.checker.Answered(kind, id, status, answer.Stage, known)
	if isSuccess(status) && kind != PollRequest {
		u.world.events.add("%s of %s at %s: %s", kind, id, controller.name, answer.Stage)
	}
	return status, answer.Stage
}

// readyController draws one of those that a load balancer would choose; nil: there is none.
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

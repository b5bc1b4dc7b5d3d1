package cloud

import "net/http"

// Status is the outcome of a request to the cloud, decoded once, where the answer arrives.
type Status int

// Outcomes of a request.
const (
	StatusUnknown Status = iota // no answer, or an inconclusive one: the request may have been executed
	StatusOK                    // executed
	StatusRefused               // not executed: no capacity, the cloud is unavailable, or the request is malformed
)

// StatusOf decodes an HTTP status code; 0 stands for no answer.
func StatusOf(httpStatus int) Status {
	switch httpStatus {
	case http.StatusOK:
		return StatusOK
	case http.StatusBadRequest, http.StatusServiceUnavailable:
		return StatusRefused
	}
	return StatusUnknown
}

package cloud

import "net/http"

// Status is what became of a request to the cloud, decoded once where the answer arrives.
type Status int

// What can become of a request.
const (
	StatusUnknown Status = iota // no answer, or one that tells nothing: it may have been carried out
	StatusOK                    // carried out
	StatusRefused               // not carried out: no capacity, trouble, or a malformed request
)

// StatusOf decodes the status of an HTTP answer, or 0 where there was none.
func StatusOf(httpStatus int) Status {
	switch httpStatus {
	case http.StatusOK:
		return StatusOK
	case http.StatusBadRequest, http.StatusServiceUnavailable:
		return StatusRefused
	}
	return StatusUnknown
}

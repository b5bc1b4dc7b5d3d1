package kv

import "net/http"

// Status is the result of a request. It is decoded once, where the response arrives, so that no other
// code deals with HTTP status codes.
type Status int

// The results of a request.
const (
	StatusUnknown     Status = iota // no response: the request may have been carried out, or may still be
	StatusOK                        // carried out
	StatusMalformed                 // never carried out: exceeds a limit, or names a lease that has expired
	StatusNotFound                  // the key or lease does not exist
	StatusConflict                  // a condition failed
	StatusCompacted                 // the store no longer has the changes after the revision to watch from
	StatusThrottled                 // not carried out: the permitted rate is exceeded
	StatusUnavailable               // not carried out
	StatusUnexpected                // any other response
)

// StatusOf converts the status code of an HTTP response; 0 means that there was no response.
func StatusOf(httpStatus int) Status {
	switch httpStatus {
	case 0:
		return StatusUnknown
	case http.StatusOK:
		return StatusOK
	case http.StatusBadRequest:
		return StatusMalformed
	case http.StatusNotFound:
		return StatusNotFound
	case http.StatusConflict:
		return StatusConflict
	case http.StatusGone:
		return StatusCompacted
	case http.StatusTooManyRequests:
		return StatusThrottled
	case http.StatusServiceUnavailable:
		return StatusUnavailable
	}
	return StatusUnexpected
}

package kv

import "net/http"

// Status is what became of a request. It is decoded once, where an answer arrives, so that nothing
// beyond it deals with numbers of HTTP.
type Status int

// What can become of a request.
const (
	StatusUnknown     Status = iota // no answer: it may have been carried out, or may yet be
	StatusOK                        // carried out
	StatusMalformed                 // never carried out: beyond a limit, or with a lease that has expired
	StatusNotFound                  // there is no such key or lease
	StatusConflict                  // a condition failed
	StatusCompacted                 // the revision to watch from is no longer kept
	StatusThrottled                 // not carried out: more than the permitted rate
	StatusUnavailable               // not carried out
	StatusUnexpected                // any other answer
)

// StatusOf decodes the status of an HTTP answer, or 0 where there was none.
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

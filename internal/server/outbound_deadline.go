package server

import (
	"bytes"
	"errors"
	"time"

	"frostdock.example/frostdock/internal/units"
)

// errTooLate ends the writing of a request that may not leave any more.
var errTooLate = errors.New("too late to be sent")

// slotQueue waits for the turn of one call, until it may not leave any more.
type slotQueue struct {
	now         func() units.Micros
	leaveBefore units.Micros
	waited      units.Micros // 0: there was no need to
}

// acquire takes a slot of each channel, in their order, and reports whether it could in time. If not, it
// takes none.
func (q *slotQueue) acquire(channels []chan struct{}) bool {
	for i, slots := range channels {
		if !q.acquireOne(slots) {
			release(channels[:i])
			return false
		}
	}
	if q.now() >= q.leaveBefore {
		release(channels)
		return false
	}
	return true
}

func (q *slotQueue) acquireOne(slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	began := q.now()
	defer func() { q.waited += max(1, q.now()-began) }()
	timer := time.NewTimer((q.leaveBefore - began).Duration())
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// release gives slots back.
func release(channels []chan struct{}) {
	for _, slots := range channels {
		<-slots
	}
}

// timelyBody is the body of a request that may leave up to some moment only. It is read when the request is
// written to its connection, after the wait for that and for the dial; if it is too late then, nothing of it
// is, and a request without its body is not carried out. Only the first read looks at the clock: of a body
// that has begun to leave nobody may say that it was not sent.
type timelyBody struct {
	now         func() units.Micros
	leaveBefore units.Micros
	rest        *bytes.Reader
	begun       bool
	refused     bool
}

// Read gives the body, or errTooLate.
func (b *timelyBody) Read(into []byte) (int, error) {
	if !b.begun && b.now() >= b.leaveBefore {
		b.refused = true
		return 0, errTooLate
	}
	b.begun = true
	return b.rest.Read(into)
}

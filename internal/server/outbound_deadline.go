package server

import (
	"bytes"
	"errors"
	"time"

	"frostdock.example/frostdock/internal/units"
)

// errSendDeadlineExceeded aborts the writing of a request whose deadline has passed.
var errSendDeadlineExceeded = errors.New("send deadline exceeded")

// slotWaiter waits for the slots of one call until the call's deadline.
type slotWaiter struct {
	now          func() units.Micros
	sendDeadline units.Micros
	waited       units.Micros // 0: no wait for any slot
}

// acquire takes a slot of each semaphore, in order, and reports whether it had them all before the deadline.
// If not, it holds none.
func (w *slotWaiter) acquire(semaphores []chan struct{}) bool {
	for i, semaphore := range semaphores {
		if !w.acquireOne(semaphore) {
			release(semaphores[:i])
			return false
		}
	}
	if w.now() >= w.sendDeadline {
		release(semaphores)
		return false
	}
	return true
}

func (w *slotWaiter) acquireOne(semaphore chan struct{}) bool {
	select {
	case semaphore <- struct{}{}:
		return true
	default:
	}
	startedAt := w.now()
	defer func() { w.waited += max(1, w.now()-startedAt) }()
	timer := time.NewTimer((w.sendDeadline - startedAt).Duration())
	defer timer.Stop()
	select {
	case semaphore <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// release returns one slot to each semaphore.
func release(semaphores []chan struct{}) {
	for _, semaphore := range semaphores {
		<-semaphore
	}
}

// deadlineBody is the body of a request that may be sent only before a deadline. It is read when the request
// is written to its connection, after the wait for a connection and the dial. If the deadline has passed by
// then, nothing of the body is written, and the agent does not carry out a request without its body. Only
// the first read checks the deadline: once a part of the body may have been sent, the request must not be
// reported as not sent.
type deadlineBody struct {
	now          func() units.Micros
	sendDeadline units.Micros
	reader       *bytes.Reader
	started      bool
	expired      bool
}

// Read reads from the body, or returns errSendDeadlineExceeded if the first read is too late.
func (b *deadlineBody) Read(into []byte) (int, error) {
	if !b.started && b.now() >= b.sendDeadline {
		b.expired = true
		return 0, errSendDeadlineExceeded
	}
	b.started = true
	return b.reader.Read(into)
}

package controller

import (
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/units"
)

// storeClient sends requests to the key-value store and keeps what their answers tell of the store:
// whether it answers, which revision it has reached, and the limits that it keeps to. It repeats
// nothing: whether a request may be sent again is decided by who sent it.
type storeClient struct {
	*environment

	calls map[uint64]func(kv.Response) // continuations of requests that are not answered yet

	answeredAt   units.Micros // when it last answered
	failing      bool         // it has refused, or not answered, since
	seenRevision uint64       // the latest that any answer has shown
	limits       storeLimits
}

func newStoreClient(env *environment) *storeClient {
	return &storeClient{environment: env, calls: map[uint64]func(kv.Response){}, limits: newStoreLimits(&env.cfg.Settings)}
}

// call sends a request; done runs once, with its answer.
func (s *storeClient) call(request kv.Request, done func(kv.Response)) {
	id := s.newCallID()
	s.calls[id] = done
	s.emit(StoreCall{id, request})
}

// take returns the continuation of an answered request, nil if none waits for it, and notes what the
// answer tells of the store.
func (s *storeClient) take(result StoreResult) func(kv.Response) {
	done := s.calls[result.CallID]
	if done == nil {
		return nil
	}
	delete(s.calls, result.CallID)
	switch result.Response.Status {
	case kv.StatusOK, kv.StatusNotFound, kv.StatusConflict, kv.StatusCompacted:
		s.answeredAt, s.failing = s.now, false
		s.seenRevision = max(s.seenRevision, result.Response.Revision)
	case kv.StatusUnknown, kv.StatusUnavailable:
		s.failing = true
	case kv.StatusThrottled, kv.StatusMalformed, kv.StatusUnexpected: // tells nothing of its health
	}
	return done
}

// storeSilence is how long the store may have given no answer and still count as healthy.
const storeSilence = 3 * units.Second

// healthy reports whether the store answers this controller.
func (s *storeClient) healthy() bool {
	return !s.failing && s.now-s.answeredAt < storeSilence
}

// failingFor reports whether the store fails and has given no answer for longer than a time.
func (s *storeClient) failingFor(long units.Micros) bool {
	return s.failing && s.now-s.answeredAt > long
}

// requestInterval is the time between requests of one kind that may take such a share of this
// controller's part of the permitted requests.
func (s *storeClient) requestInterval(share float64) units.Micros {
	return units.FromSeconds(float64(s.cfg.Settings.Size) / (s.limits.RPS * share))
}

// noteThrottled notes that the store refused a request for its rate.
func (s *storeClient) noteThrottled() {
	if s.limits.noteThrottled() {
		s.log.Warn("store throttles, adopting announced limits", "write_rps", s.limits.WriteRPS, "rps", s.limits.RPS)
	}
}

// handleStoreResult passes the answer of a request to who sent it.
func (c *Controller) handleStoreResult(result StoreResult) {
	done := c.store.take(result)
	if done == nil {
		return
	}
	// Before the gate is raised, processes of the version before may be at work. Their writes count
	// as well, so that a 429 says nothing of the limits.
	if result.Response.Status == kv.StatusThrottled && c.replica.dependenciesEnabled() {
		c.store.noteThrottled()
	}
	done(result.Response)
}

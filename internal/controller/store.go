package controller

import (
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/units"
)

// storeClient sends requests to the key-value store and records what the answers show about the store:
// whether it answers, which revision it has reached, and its limits. It repeats nothing: the sender
// decides whether a request may be sent again.
type storeClient struct {
	*environment

	calls map[uint64]func(kv.Response) // callbacks of requests in flight

	answeredAt   units.Micros // when the store last answered
	failing      bool         // since then, the store has refused or not answered a request
	seenRevision uint64       // the latest store revision in any answer
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

// take returns the callback of an answered request, nil if none waits for it, and records what the
// answer shows about the store.
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
	case kv.StatusThrottled, kv.StatusMalformed, kv.StatusUnexpected: // shows nothing about the store's health
	}
	return done
}

// maxStoreSilence is how long the store may go without an answer and still count as healthy.
const maxStoreSilence = 3 * units.Second

// healthy reports whether the store answers this controller.
func (s *storeClient) healthy() bool {
	return !s.failing && s.now-s.answeredAt < maxStoreSilence
}

// failingFor reports whether the store is failing and has given no answer for longer than a duration.
func (s *storeClient) failingFor(duration units.Micros) bool {
	return s.failing && s.now-s.answeredAt > duration
}

// requestInterval returns the time that must pass between requests of one kind, so that they use no more
// than the given share of this controller's part of the permitted requests.
func (s *storeClient) requestInterval(share float64) units.Micros {
	return units.FromSeconds(float64(s.cfg.Settings.Size) / (s.limits.RPS * share))
}

// noteThrottled records that the store refused a request for exceeding its rate.
func (s *storeClient) noteThrottled() {
	if s.limits.noteThrottled() {
		s.log.Warn("store throttles, adopting announced limits", "write_rps", s.limits.WriteRPS, "rps", s.limits.RPS)
	}
}

// noteRefusedSize records that the store refused a transaction, which may have been too large.
func (s *storeClient) noteRefusedSize() {
	if s.limits.noteRefusedSize() {
		s.log.Warn("store refuses a transaction, keeping to announced sizes", "value_kb", s.limits.ValueKB, "txn_ops", s.limits.TxnOps)
	}
}

// handleStoreResult passes the answer to a request to its sender.
func (c *Controller) handleStoreResult(result StoreResult) {
	done := c.store.take(result)
	if done == nil {
		return
	}
	// Before the format is raised, processes of the previous version may be running. The store counts
	// their writes as well, so a 429 says nothing about the limits.
	if result.Response.Status == kv.StatusThrottled && c.replica.dependenciesEnabled() {
		c.store.noteThrottled()
	}
	if result.Response.Status == kv.StatusMalformed && c.replica.dependenciesEnabled() {
		c.store.noteRefusedSize()
	}
	done(result.Response)
}

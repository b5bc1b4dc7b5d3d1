package controller

import (
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	proofPeriod      = units.Second            // time between revision reads when no caller waits for one
	proofRetryPeriod = 300 * units.Millisecond // the same, while the store is failing

	// failureGrace is how long a failing store may go without an answer before whenCurrent reports to new
	// callers immediately that the replica can't be proven current.
	failureGrace = 500 * units.Millisecond

	maxRevisionReads          = 2 // in flight at the same time
	minRevisionReadInterval   = 10 * units.Millisecond
	revisionReadRequestsShare = 0.4 // share of the permitted requests that revision reads may use
)

// freshness tracks the time up to which the replica is proven to be complete.
//
// The proof: the store's revision is read, and the replica reaches that revision by its watch. It then
// includes every change made before the read was sent. Neither the time of the answer nor a renewed
// lease proves anything: an answer may be late, and after an outage every lease is granted its full time
// again.
type freshness struct {
	*environment

	store   *storeClient
	replica *replica

	provenAt         units.Micros         // time up to which the replica is proven to be complete; 0: never proven
	awaitingRead     []func(current bool) // callbacks that wait for the next read
	awaitingRevision []revisionWaiter     // callbacks that wait for the watch to reach a revision
	readAt           units.Micros         // when the last read of the store's revision was sent
	readsInFlight    int
}

// revisionWaiter is a callback to run once the replica has reached a revision; the revision was read
// from the store after the callback was registered.
type revisionWaiter struct {
	revision uint64
	sentAt   units.Micros // when the read that gave the revision was sent
	done     func(current bool)
}

// keepProofRecent requests a read of the revision periodically, even if no caller waits for one,
// since the right to act depends on a recent proof.
func (f *freshness) keepProofRecent() {
	readInterval := proofPeriod
	if f.store.failing {
		readInterval = proofRetryPeriod
	}
	if f.replica.synced && len(f.awaitingRead) == 0 && f.now-f.readAt > readInterval {
		f.awaitingRead = append(f.awaitingRead, func(bool) {})
	}
}

// whenCurrent calls done with true once the replica is proven to be as recent as the store was at some
// moment after this call, so that an answer is never older than any answer given before; or with false
// when that can't be proven. One read of the store's revision serves all waiting callers.
func (f *freshness) whenCurrent(done func(current bool)) {
	if !f.replica.synced || f.store.failingFor(failureGrace) {
		done(false)
		return
	}
	f.awaitingRead = append(f.awaitingRead, done)
	f.readRevision()
}

// readRevision reads the store's revision for all waiting callers, if the request rate permits it now.
func (f *freshness) readRevision() {
	tooSoon := f.now-f.readAt < max(minRevisionReadInterval, f.store.requestInterval(revisionReadRequestsShare))
	if len(f.awaitingRead) == 0 || f.readsInFlight >= maxRevisionReads || tooSoon {
		return
	}
	read := &revisionRead{freshness: f, waiters: f.awaitingRead, sentAt: f.now}
	f.awaitingRead = nil
	f.readAt = f.now
	f.readsInFlight++
	// The key does not exist: the answer is short, and still carries the store's revision.
	f.store.call(kv.Request{Kind: kv.Get, Key: schema.RootPrefix + "none"}, read.handleAnswer)
}

// revisionRead is a read of the store's revision that is in flight.
type revisionRead struct {
	freshness *freshness
	waiters   []func(current bool)
	sentAt    units.Micros
}

func (r *revisionRead) handleAnswer(response kv.Response) {
	f := r.freshness
	f.readsInFlight--
	for _, done := range r.waiters {
		if response.Status != kv.StatusNotFound || response.Revision == 0 {
			done(false)
			continue
		}
		f.awaitingRevision = append(f.awaitingRevision, revisionWaiter{response.Revision, r.sentAt, done})
	}
	f.releaseWaiters()
}

// releaseWaiters runs the callbacks whose revision the replica has reached by its watch. All proofs are
// recorded before the first callback runs. A replica that has just been reloaded proves nothing before
// it is complete: its pages were read at different revisions.
func (f *freshness) releaseWaiters() {
	if !f.replica.complete() {
		return
	}
	var due, rest []revisionWaiter
	for _, waiter := range f.awaitingRevision {
		if waiter.revision <= f.replica.watchRevision {
			due = append(due, waiter)
		} else {
			rest = append(rest, waiter)
		}
	}
	f.awaitingRevision = rest
	for _, waiter := range due {
		f.provenAt = max(f.provenAt, waiter.sentAt)
	}
	for _, waiter := range due {
		waiter.done(true)
	}
}

// logAttrs returns log attributes: the revision that the replica has reached, and the age of the proof of
// freshness in seconds, -1 if there is none.
func (f *freshness) logAttrs() []any {
	age := -1.0
	if f.provenAt > 0 {
		age = (f.now - f.provenAt).Seconds()
	}
	return []any{"revision", f.replica.watchRevision, "proof_age_s", age}
}

package controller

import (
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	proofPeriod      = units.Second            // a revision is read so often though nobody waits for it
	proofRetryPeriod = 300 * units.Millisecond // the same while the store fails

	// failureGrace is how long a failing store may have been silent while readers still wait for it.
	failureGrace = 500 * units.Millisecond

	maxRevisionReads        = 2 // under way at once
	minRevisionReadInterval = 10 * units.Millisecond
	revisionReadRequests    = 0.4 // the part of the permitted requests that revision reads may take
)

// freshness knows up to which moment the replica is proven to be complete.
//
// The proof: the store's revision is read, and the replica reaches it by its watch. The replica was
// then complete when the read was sent. Neither the time of the answer nor a renewed lease proves
// anything: an answer may be late, and after an outage every lease has its full time again.
type freshness struct {
	*environment

	store   *storeClient
	replica *replica

	provenAt         units.Micros // the replica is proven to have been complete then; 0: never
	awaitingRead     []func(current bool)
	awaitingRevision []revisionWaiter
	readAt           units.Micros // when the store's revision was last asked for
	readsInFlight    int
}

// revisionWaiter is something to do once the replica has reached a revision that was read from the
// store after it was asked for.
type revisionWaiter struct {
	revision uint64
	sentAt   units.Micros // when the read that gave the revision was sent
	then     func(current bool)
}

// keepProofRecent asks for the revision now and then though nobody waits for it, since the right to
// act rests on a recent proof.
func (f *freshness) keepProofRecent() {
	again := proofPeriod
	if f.store.failing {
		again = proofRetryPeriod
	}
	if f.replica.synced && len(f.awaitingRead) == 0 && f.now-f.readAt > again {
		f.awaitingRead = append(f.awaitingRead, func(bool) {})
	}
}

// whenCurrent calls then when the replica is proven to be as fresh as the store was at some moment
// after this call, so that an answer is never older than any answer given before; or with false when
// that can't be shown. One read of the store's revision serves all that wait for it.
func (f *freshness) whenCurrent(then func(current bool)) {
	if !f.replica.synced || f.store.failingFor(failureGrace) {
		then(false)
		return
	}
	f.awaitingRead = append(f.awaitingRead, then)
	f.readRevision()
}

// readRevision asks for the store's revision for all that wait, if the request rate permits it now.
func (f *freshness) readRevision() {
	tooSoon := f.now-f.readAt < max(minRevisionReadInterval, f.store.requestInterval(revisionReadRequests))
	if len(f.awaitingRead) == 0 || f.readsInFlight >= maxRevisionReads || tooSoon {
		return
	}
	read := &revisionRead{freshness: f, waiters: f.awaitingRead, sentAt: f.now}
	f.awaitingRead = nil
	f.readAt = f.now
	f.readsInFlight++
	// No such key exists: the answer is short, and has the store's revision all the same.
	f.store.call(kv.Request{Kind: kv.Get, Key: schema.RootPrefix + "none"}, read.handleAnswer)
}

// revisionRead is a read of the store's revision that is under way.
type revisionRead struct {
	freshness *freshness
	waiters   []func(current bool)
	sentAt    units.Micros
}

func (r *revisionRead) handleAnswer(response kv.Response) {
	f := r.freshness
	f.readsInFlight--
	for _, then := range r.waiters {
		if response.Status != kv.StatusNotFound || response.Revision == 0 {
			then(false)
			continue
		}
		f.awaitingRevision = append(f.awaitingRevision, revisionWaiter{response.Revision, r.sentAt, then})
	}
	f.releaseWaiters()
}

// releaseWaiters releases what waited for a revision that the replica has reached by its watch. All
// proofs are taken before the first waiter runs. A replica that has just been loaded anew proves nothing
// before it is complete: it has pages of different revisions.
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
		waiter.then(true)
	}
}

// logAttrs is which revision the replica has reached and how long ago it was proven to be complete.
func (f *freshness) logAttrs() []any {
	age := -1.0
	if f.provenAt > 0 {
		age = (f.now - f.provenAt).Seconds()
	}
	return []any{"revision", f.replica.watchRevision, "proof_age_s", age}
}

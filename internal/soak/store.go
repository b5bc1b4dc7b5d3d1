package soak

import (
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/kv"
)

// fakeStore stands in for the key-value store. It has a separate address for each controller, so that
// each can be refused or cut off alone.
type fakeStore struct {
	world   *world
	servers []*httpServer // by controller

	mu              sync.Mutex
	changed         chan struct{} // closed at the next change
	revision        uint64
	values          map[string]storedValue
	log             []kv.Event // latest changes, ordered by revision
	compacted       uint64     // the log lacks changes up to this revision
	order           watchOrder // of the changes in the responses to watches
	leases          map[uint64]*storeLease
	lastLeaseID     uint64
	limits          storeLimits
	operationBudget tokenBucket
	requestBudget   tokenBucket
	outage          bool
	faults          storeFaults
}

// storeFaults are the faults injected into the store, other than an outage. The zero value means none.
type storeFaults struct {
	unavailableTo    [controllerCount]bool // controllers whose requests are refused
	requestsLost     [controllerCount]bool // controllers whose requests are lost
	lateCommitRate   float64               // share of transactions that are applied late, without a response
	lostResponseRate float64               // share of transactions that are applied without a response
	maxDelay         time.Duration         // before a request is served, and again before its response
}

type storedValue struct {
	value    json.RawMessage
	revision uint64
	leaseID  uint64
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// leaseCheckInterval is how often leases are checked for expiry.
const leaseCheckInterval = 50 * time.Millisecond

func newStore(w *world) (*fakeStore, error) {
	s := &fakeStore{
		world: w, changed: make(chan struct{}), values: map[string]storedValue{}, leases: map[uint64]*storeLease{}, limits: currentLimits,
		order: watchOrderOf(w.opts),
	}
	for client := range controllerCount {
		server, err := w.serve(w.address(hostStore+client, storePort), func(ctx *fasthttp.RequestCtx) { s.handle(ctx, client) })
		if err != nil {
			return nil, errors.Join(err, s.close())
		}
		s.servers = append(s.servers, server)
	}
	w.spawn(s.expireLeases)
	return s, nil
}

func (s *fakeStore) close() error {
	var errs []error
	for _, server := range s.servers {
		errs = append(errs, server.close())
	}
	return errors.Join(errs...)
}

// isUnavailable reports whether a controller's requests are refused now.
func (s *fakeStore) isUnavailable(client int) bool {
	return s.outage || s.faults.unavailableTo[client]
}

// setOutage begins or ends an outage, and gives every lease its full TTL again.
func (s *fakeStore) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, lease := range s.leases {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
	s.notifyWatches()
}

// setFaults changes the store's faults.
func (s *fakeStore) setFaults(change func(faults *storeFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.notifyWatches()
}

// lowerLimits applies the announced limits.
func (s *fakeStore) lowerLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = announcedLimits
	s.notifyWatches()
}

// expireLeases ends leases that were not renewed in time, but none during an outage, which prevents renewals.
func (s *fakeStore) expireLeases() {
	for s.world.sleep(leaseCheckInterval) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if !s.outage && time.Now().After(lease.expiresAt) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease deletes a lease and the keys written with it, each at a revision of its own.
func (s *fakeStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, stored := range s.values {
		if stored.leaseID == id {
			s.revision++
			s.delete(key)
		}
	}
	s.notifyWatches()
}

// set stores a value at the current revision.
func (s *fakeStore) set(key string, value json.RawMessage, leaseID uint64) {
	s.values[key] = storedValue{value, s.revision, leaseID}
	s.record(kv.Event{Set: key, Value: value, ModRevision: s.revision})
}

// delete removes a value at the current revision.
func (s *fakeStore) delete(key string) {
	delete(s.values, key)
	s.record(kv.Event{Delete: key, ModRevision: s.revision})
}

// notifyWatches wakes the watches.
func (s *fakeStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tokenBucket limits a rate, with bursts of up to one second's tokens.
type tokenBucket struct {
	level    float64
	filledAt time.Time
}

func (b *tokenBucket) take(rate, count float64) bool {
	now := time.Now()
	b.level = min(rate, b.level+rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.level < count {
		return false
	}
	b.level -= count
	return true
}

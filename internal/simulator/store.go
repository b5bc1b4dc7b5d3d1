package simulator

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	storeTimeout      = 1500 * units.Millisecond
	watchGrace        = 5 * units.Second // from the end of a watch's waiting time to its timeout
	leaseExpiryPeriod = 50 * units.Millisecond
	listPageSize      = 20 // small, so that paging is exercised
	bytesPerKB        = 1024
)

// fakeStore is the key-value store. It enforces the limits that the settings give.
type fakeStore struct {
	world     *World
	revision  uint64
	keys      map[string]*storedValue
	leases    map[uint64]*storeLease
	lastLease uint64

	progress      storedProgress
	log           []kv.Event // latest changes, for watches
	historyLength int        // how many changes the log keeps
	compactedRev  uint64     // the log no longer has changes up to this revision
	watches       []*watch

	limits        config.KVLimits
	requestBudget tokenBucket
	writeBudget   tokenBucket

	txnsBeforeFormatRaise map[*kv.Txn]bool // transactions first sent before the format was raised
	oversizedTxns         int              // how often one of the other transactions exceeded a size limit

	down             bool
	unavailableUntil map[string]units.Micros // by controller
	watchesLostUntil map[string]units.Micros // by controller
	lateCommitRate   float64                 // probability that a transaction gets no answer and is committed late
	averageDelay     units.Micros            // average extra delay of a request
	answerDelays     map[string]units.Micros // by controller: maximum extra delay of its answers, after the requests were carried out
	coalesceUntil    units.Micros            // until then watches return only the newest change of each key, in random order
	changeOrder      changeOrder             // of the changes in an answer to a watch
}

type storedValue struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type storeLease struct {
	ttl       units.Micros
	expiresAt units.Micros
}

// tokenBucket limits a rate, in tokens a second; it holds at most what accrues in a second.
type tokenBucket struct {
	rate, level float64
	updatedAt   units.Micros
}

func (b *tokenBucket) take(now units.Micros, tokens float64) bool {
	b.level = min(b.rate, b.level+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

func newStore(w *World, options *worldOptions) *fakeStore {
	s := &fakeStore{
		world:                 w,
		keys:                  map[string]*storedValue{},
		leases:                map[uint64]*storeLease{},
		historyLength:         options.historyLength,
		changeOrder:           options.changeOrder,
		txnsBeforeFormatRaise: map[*kv.Txn]bool{},
		requestBudget:         tokenBucket{rate: options.limits.RPS},
		unavailableUntil:      map[string]units.Micros{},
		watchesLostUntil:      map[string]units.Micros{},
		answerDelays:          map[string]units.Micros{},
		progress:              storedProgress{segments: map[string]map[string]schema.TaskSet{}},
	}
	s.setLimits(options.limits)
	w.every(leaseExpiryPeriod, s.expireLeases)
	return s
}

// setLimits applies the limits on sizes and writes.
func (s *fakeStore) setLimits(limits config.KVLimits) {
	s.limits = limits
	s.writeBudget.rate = limits.WriteRPS
}

// sortedKeys returns all keys in order.
func (s *fakeStore) sortedKeys() []string { return slices.Sorted(maps.Keys(s.keys)) }

// decompressedValues returns all values under a prefix, decompressed and concatenated.
func (s *fakeStore) decompressedValues(prefix string) string {
	var text strings.Builder
	for _, key := range s.sortedKeys() {
		if strings.HasPrefix(key, prefix) {
			text.Write(schema.PlainJSON(s.keys[key].value))
		}
	}
	return text.String()
}

// call sends a controller's request to the store over the network.
func (s *fakeStore) call(caller string, storeCall controller.StoreCall, done func(controller.StoreResult)) {
	request := &storeCall.Request
	if request.Kind == kv.Transact && !s.formatRaised() {
		s.txnsBeforeFormatRaise[request.Txn] = true
	}
	timeout := storeTimeout
	if request.Kind == kv.Watch {
		timeout = units.Micros(request.WaitMillis)*units.Millisecond + watchGrace
	}
	call(s.world, caller, storeHost, timeout, func(answer func(kv.Response)) {
		s.receive(caller, request, s.delayed(caller, answer))
	}, func(response kv.Response, ok bool) {
		if !ok {
			response = kv.Response{}
		}
		done(controller.StoreResult{CallID: storeCall.CallID, Response: response})
	})
}

// receive serves a request immediately or, under a fault, later.
func (s *fakeStore) receive(caller string, request *kv.Request, answer func(kv.Response)) {
	w := s.world
	switch {
	case request.Kind == kv.Transact && s.lateCommitRate > 0 && w.rng.Float64() < s.lateCommitRate:
		w.after(units.FromSeconds(2+10*w.rng.Float64()), func() { s.serve(caller, request, func(kv.Response) {}) })
	case s.averageDelay > 0:
		w.after(units.Micros(w.rng.Int64N(int64(2*s.averageDelay))), func() { s.serve(caller, request, answer) })
	default:
		s.serve(caller, request, answer)
		s.maybeRepeat(caller, request)
	}
}

// maybeRepeat serves a request that may have changed something again, later; nobody receives the answer.
func (s *fakeStore) maybeRepeat(caller string, request *kv.Request) {
	switch request.Kind {
	case kv.Transact, kv.GrantLease, kv.RenewLease:
		s.world.repeatLater(s.world.network.apiRepeatRate, caller, storeHost, func() {
			s.serve(caller, request, func(kv.Response) {})
		})
	case kv.Get, kv.List, kv.Watch: // change nothing
	}
}

func (s *fakeStore) serve(caller string, request *kv.Request, answer func(kv.Response)) {
	if s.unavailable(caller) {
		answer(kv.Response{Status: kv.StatusUnavailable})
		return
	}
	if !s.requestBudget.take(s.world.now, 1) {
		answer(kv.Response{Status: kv.StatusThrottled})
		return
	}
	switch request.Kind {
	case kv.Get:
		answer(s.get(request.Key))
	case kv.List:
		answer(s.list(request))
	case kv.Transact:
		answer(s.transact(request.Txn))
	case kv.GrantLease:
		answer(s.grantLease(units.Micros(request.TTLMillis) * units.Millisecond))
	case kv.RenewLease:
		answer(s.renewLease(request.LeaseID))
	case kv.Watch:
		s.watch(caller, request, answer)
	}
}

func (s *fakeStore) get(key string) kv.Response {
	stored := s.keys[key]
	if stored == nil {
		return kv.Response{Status: kv.StatusNotFound, Revision: s.revision}
	}
	return kv.Response{Status: kv.StatusOK, Key: key, Value: stored.value, ModRevision: stored.revision}
}

// list returns one page of the keys under a prefix.
func (s *fakeStore) list(request *kv.Request) kv.Response {
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, request.Key) && key > request.After {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	response := kv.Response{Status: kv.StatusOK, Revision: s.revision}
	if len(keys) > listPageSize {
		keys, response.Truncated = keys[:listPageSize], true
	}
	for _, key := range keys {
		response.Items = append(response.Items, kv.KeyValue{Key: key, Value: s.keys[key].value, ModRevision: s.keys[key].revision})
	}
	return response
}

func (s *fakeStore) grantLease(ttl units.Micros) kv.Response {
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl, s.world.now + ttl}
	return kv.Response{Status: kv.StatusOK, LeaseID: s.lastLease}
}

func (s *fakeStore) renewLease(id uint64) kv.Response {
	lease := s.leases[id]
	if lease == nil {
		return kv.Response{Status: kv.StatusNotFound}
	}
	lease.expiresAt = s.world.now + lease.ttl
	return kv.Response{Status: kv.StatusOK}
}

// expireLeases deletes expired leases and their keys; none expires during an outage.
func (s *fakeStore) expireLeases() {
	if s.down {
		return
	}
	for id := uint64(1); id <= s.lastLease; id++ {
		if lease := s.leases[id]; lease != nil && s.world.now >= lease.expiresAt {
			delete(s.leases, id)
			s.deleteLeaseKeys(id)
		}
	}
	s.notifyWatches()
}

// deleteLeaseKeys removes the keys that were stored under a lease.
func (s *fakeStore) deleteLeaseKeys(lease uint64) {
	var keys []string
	for key, stored := range s.keys {
		if stored.lease == lease {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.revision++
		delete(s.keys, key)
		s.log = append(s.log, kv.Event{Delete: key, ModRevision: s.revision})
	}
}

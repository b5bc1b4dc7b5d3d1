package simulator

import (
	"encoding/json"
	"sort"
	"strings"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fakeStore is the state service.
type fakeStore struct {
	world            *World
	rev              uint64
	keys             map[string]*storedValue
	leases           map[uint64]*lease
	lastLease        uint64
	log              []kv.Event
	watches          []*watch
	down             bool
	unavailableUntil map[string]units.Micros // nodes that alone get 503, until when
	requestBudget    tokenBucket
	writeBudget      tokenBucket
	txnsBeforeGate   map[*kv.Txn]bool // transactions that were first sent before the gate was raised
	oversizedTxns    int              // of the others, how often one broke a limit of sizes

	historyLength int    // changes kept for watches
	compactedRev  uint64 // revision up to which changes are no longer kept

	limits config.KVLimits // sizes that it takes

	lateCommitRate   float64                 // chance that a transaction gets no answer and is carried out late
	maxDelay         units.Micros            // how much longer than usual each answer takes
	watchesLostUntil map[string]units.Micros // nodes whose watches tell nothing, until when
}

type storedValue struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

// textUnder is all values under a prefix.
func (s *fakeStore) textUnder(prefix string) string {
	var text strings.Builder
	for key, stored := range s.keys {
		if strings.HasPrefix(key, prefix) {
			text.Write(schema.PlainJSON(stored.value))
		}
	}
	return text.String()
}

type lease struct {
	ttl       units.Micros
	expiresAt units.Micros
}

type watch struct {
	prefix  string
	since   uint64
	process string
	answer  func(kv.Response)
}

type tokenBucket struct {
	rate, level float64
	at          units.Micros
}

func (b *tokenBucket) take(now units.Micros, n float64) bool {
	b.level = min(b.rate, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newStore(w *World) *fakeStore {
	s := &fakeStore{world: w, keys: map[string]*storedValue{}, leases: map[uint64]*lease{}, unavailableUntil: map[string]units.Micros{}, watchesLostUntil: map[string]units.Micros{},
		txnsBeforeGate: map[*kv.Txn]bool{},
		requestBudget:  tokenBucket{rate: 250}, writeBudget: tokenBucket{rate: 25}, historyLength: 10000}
	w.every(50*units.Millisecond, s.expire)
	return s
}

// call serves one call of a node.
func (s *fakeStore) call(caller string, request controller.StoreCall, done func(controller.StoreResult)) {
	if request.Request.Kind == kv.Transact && !s.gateRaised() {
		s.txnsBeforeGate[request.Request.Txn] = true
	}
	limit := 1500 * units.Millisecond
	if request.Request.Kind == kv.Watch {
		limit = units.Micros(request.Request.WaitMillis)*units.Millisecond + 5*units.Second
	}
	call(s.world, caller, "state", limit, func(answer func(kv.Response)) {
		if request.Request.Kind == kv.Transact && s.lateCommitRate > 0 && s.world.rng.Float64() < s.lateCommitRate {
			s.world.after(units.FromSeconds(2+10*s.world.rng.Float64()), func() { s.serve(caller, &request.Request, func(kv.Response) {}) })
			return
		}
		if s.maxDelay > 0 {
			s.world.after(units.Micros(s.world.rng.Int64N(int64(2*s.maxDelay))), func() { s.serve(caller, &request.Request, answer) })
			return
		}
		s.serve(caller, &request.Request, answer)
	}, func(response kv.Response, ok bool) {
		if !ok {
			response = kv.Response{}
		}
		done(controller.StoreResult{CallID: request.CallID, Response: response})
	})
}

func (s *fakeStore) unavailable(caller string) bool {
	return s.down || s.world.now < s.unavailableUntil[caller]
}

func (s *fakeStore) serve(caller string, request *kv.Request, answer func(kv.Response)) {
	now := s.world.now
	if s.unavailable(caller) {
		answer(kv.Response{Status: kv.StatusUnavailable})
		return
	}
	if !s.requestBudget.take(now, 1) {
		answer(kv.Response{Status: kv.StatusThrottled})
		return
	}
	switch request.Kind {
	case kv.Get:
		if stored := s.keys[request.Key]; stored != nil {
			answer(kv.Response{Status: kv.StatusOK, Key: request.Key, Value: stored.value, ModRevision: stored.revision})
		} else {
			answer(kv.Response{Status: kv.StatusNotFound, Revision: s.rev})
		}
	case kv.List:
		answer(s.list(request))
	case kv.Transact:
		answer(s.commit(request.Txn))
	case kv.GrantLease:
		s.lastLease++
		ttl := units.Micros(request.TTLMillis) * units.Millisecond
		s.leases[s.lastLease] = &lease{ttl, now + ttl}
		answer(kv.Response{Status: kv.StatusOK, LeaseID: s.lastLease})
	case kv.RenewLease:
		current := s.leases[request.LeaseID]
		if current == nil {
			answer(kv.Response{Status: kv.StatusNotFound})
			return
		}
		current.expiresAt = now + current.ttl
		answer(kv.Response{Status: kv.StatusOK})
	case kv.Watch:
		if request.Revision < s.compactedRev {
			answer(kv.Response{Status: kv.StatusCompacted})
			return
		}
		target := &watch{request.Key, request.Revision, caller, answer}
		s.watches = append(s.watches, target)
		s.world.after(units.Micros(request.WaitMillis)*units.Millisecond, func() { s.answerWatch(target, true) })
		s.notify()
	}
}

func (s *fakeStore) list(request *kv.Request) kv.Response {
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, request.Key) && key > request.After {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	response := kv.Response{Status: kv.StatusOK, Revision: s.rev}
	if len(names) > 20 { // small pages, so that paging is exercised
		names, response.Truncated = names[:20], true
	}
	for _, key := range names {
		response.Items = append(response.Items, kv.KeyValue{Key: key, Value: s.keys[key].value, ModRevision: s.keys[key].revision})
	}
	return response
}

// gateRaised reports whether the documents may have the present format: from then on nothing
// may be larger than the announced limits.
func (s *fakeStore) gateRaised() bool {
	stored := s.keys[schema.LayoutKey]
	var layout schema.Layout
	return stored != nil && json.Unmarshal(stored.value, &layout) == nil && layout.Format >= schema.FormatDependencies
}

// tooLarge reports whether a transaction breaks a limit of sizes.
func (s *fakeStore) tooLarge(txn *kv.Txn) bool {
	if len(txn.Operations) > s.limits.TxnOps || len(txn.Conditions) > 4*s.limits.TxnOps {
		return true
	}
	size := 0
	for _, op := range txn.Operations {
		size += len(op.Set) + len(op.Delete) + len(op.Value)
		if float64(len(op.Value)) > s.limits.ValueKB*1024 {
			return true
		}
	}
	return size > maxTxnBytes
}

// maxTxnBytes is how large a transaction may be.
const maxTxnBytes = 64 << 10

func (s *fakeStore) commit(txn *kv.Txn) kv.Response {
	if s.tooLarge(txn) {
		if !s.txnsBeforeGate[txn] {
			s.oversizedTxns++
		}
		return kv.Response{Status: kv.StatusMalformed}
	}
	if len(txn.Operations) > 0 && !s.writeBudget.take(s.world.now, float64(len(txn.Operations))) {
		return kv.Response{Status: kv.StatusThrottled}
	}
	var failed []string
	for _, condition := range txn.Conditions {
		var revision uint64
		if stored := s.keys[condition.Key]; stored != nil {
			revision = stored.revision
		}
		if revision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return kv.Response{Status: kv.StatusConflict, Revision: s.rev, FailedKeys: failed}
	}
	for _, op := range txn.Operations {
		if op.Set != "" && op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return kv.Response{Status: kv.StatusMalformed}
		}
	}
	if len(txn.Operations) == 0 {
		return kv.Response{Status: kv.StatusOK, Revision: s.rev}
	}
	s.rev++
	for _, op := range txn.Operations {
		if op.Set != "" {
			s.keys[op.Set] = &storedValue{op.Value, s.rev, op.LeaseID}
			s.log = append(s.log, kv.Event{Set: op.Set, Value: op.Value, ModRevision: s.rev})
		} else if s.keys[op.Delete] != nil {
			delete(s.keys, op.Delete)
			s.log = append(s.log, kv.Event{Delete: op.Delete, ModRevision: s.rev})
		}
	}
	if len(s.log) > s.historyLength {
		s.compactedRev = s.log[len(s.log)-s.historyLength-1].ModRevision
		s.log = append([]kv.Event{}, s.log[len(s.log)-s.historyLength:]...)
	}
	s.notify()
	return kv.Response{Status: kv.StatusOK, Revision: s.rev}
}

// expire ends leases; after an outage each has its full time again.
func (s *fakeStore) expire() {
	if s.down {
		return
	}
	for leaseID := uint64(1); leaseID <= s.lastLease; leaseID++ {
		current := s.leases[leaseID]
		if current == nil || s.world.now < current.expiresAt {
			continue
		}
		delete(s.leases, leaseID)
		var keys []string
		for key, stored := range s.keys {
			if stored.lease == leaseID {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		for _, key := range keys {
			s.rev++
			delete(s.keys, key)
			s.log = append(s.log, kv.Event{Delete: key, ModRevision: s.rev})
		}
	}
	s.notify()
}

func (s *fakeStore) startOutage(duration units.Micros) {
	s.down = true
	s.world.after(duration, func() {
		s.down = false
		for _, lease := range s.leases {
			lease.expiresAt = s.world.now + lease.ttl
		}
		s.notify()
	})
}

func (s *fakeStore) notify() {
	for _, target := range append([]*watch{}, s.watches...) {
		s.answerWatch(target, false)
	}
}

func (s *fakeStore) answerWatch(target *watch, timeUp bool) {
	if s.unavailable(target.process) && !timeUp || s.world.now < s.watchesLostUntil[target.process] {
		return // a blind node's watch is a connection that died without a sign
	}
	index := -1
	for i, other := range s.watches {
		if other == target {
			index = i
		}
	}
	if index < 0 {
		return
	}
	response := kv.Response{Status: kv.StatusOK, Revision: s.rev}
	if s.unavailable(target.process) {
		response.Revision = target.since // nothing new is told
	} else if target.since < s.compactedRev {
		s.watches = append(s.watches[:index], s.watches[index+1:]...)
		target.answer(kv.Response{Status: kv.StatusCompacted})
		return
	} else {
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].ModRevision > target.since })
		for _, change := range s.log[i:] {
			if strings.HasPrefix(change.Set+change.Delete, target.prefix) {
				response.Events = append(response.Events, change)
			}
		}
	}
	if len(response.Events) == 0 && !timeUp {
		return
	}
	s.watches = append(s.watches[:index], s.watches[index+1:]...)
	target.answer(response)
}

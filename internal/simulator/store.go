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

// store is the state service.
type store struct {
	w           *World
	rev         uint64
	keys        map[string]*entry
	holds       map[uint64]*hold
	holdN       uint64
	log         []kv.Event
	watches     []*watch
	down        bool
	refuse      map[string]units.Micros // nodes that alone get 503, until when
	reqs        bucket
	writes      bucket
	beforeGate  map[*kv.Txn]bool // transactions that were first sent before the gate was raised
	refusedSize int              // of the others, how often one broke a limit of sizes

	keep    int    // changes kept for watches
	trimmed uint64 // revision up to which changes are no longer kept

	limits config.StateLimits // sizes that it takes

	late  float64                 // chance that a transaction gets no answer and is carried out late
	slow  units.Micros            // how much longer than usual each answer takes
	blind map[string]units.Micros // nodes whose watches tell nothing, until when
}

type entry struct {
	val   json.RawMessage
	stamp uint64
	hold  uint64
}

// text is all values under a prefix.
func (s *store) text(under string) string {
	var b strings.Builder
	for k, e := range s.keys {
		if strings.HasPrefix(k, under) {
			b.Write(schema.Plain(e.val))
		}
	}
	return b.String()
}

type hold struct {
	ttl units.Micros
	end units.Micros
}

type watch struct {
	prefix string
	since  uint64
	node   string
	answer func(kv.Response)
}

type bucket struct {
	rate, level float64
	at          units.Micros
}

func (b *bucket) take(now units.Micros, n float64) bool {
	b.level = min(b.rate, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newStore(w *World) *store {
	s := &store{w: w, keys: map[string]*entry{}, holds: map[uint64]*hold{}, refuse: map[string]units.Micros{}, blind: map[string]units.Micros{},
		beforeGate: map[*kv.Txn]bool{},
		reqs:       bucket{rate: 250}, writes: bucket{rate: 25}, keep: 10000}
	w.every(50*units.Millisecond, s.expire)
	return s
}

// from serves one call of a node.
func (s *store) from(node string, e controller.StateCall, done func(controller.StateDone)) {
	if e.Req.Kind == kv.Commit && !s.gateRaised() {
		s.beforeGate[e.Req.Txn] = true
	}
	limit := 1500 * units.Millisecond
	if e.Req.Kind == kv.Watch {
		limit = units.Micros(e.Req.HoldMs)*units.Millisecond + 5*units.Second
	}
	call(s.w, node, "state", limit, func(answer func(kv.Response)) {
		if e.Req.Kind == kv.Commit && s.late > 0 && s.w.rng.Float64() < s.late {
			s.w.after(units.FromSeconds(2+10*s.w.rng.Float64()), func() { s.serve(node, &e.Req, func(kv.Response) {}) })
			return
		}
		if s.slow > 0 {
			s.w.after(units.Micros(s.w.rng.Int64N(int64(2*s.slow))), func() { s.serve(node, &e.Req, answer) })
			return
		}
		s.serve(node, &e.Req, answer)
	}, func(r kv.Response, ok bool) {
		if !ok {
			r = kv.Response{}
		}
		done(controller.StateDone{ID: e.ID, Resp: r})
	})
}

func (s *store) refused(node string) bool { return s.down || s.w.now < s.refuse[node] }

func (s *store) serve(node string, q *kv.Request, answer func(kv.Response)) {
	now := s.w.now
	if s.refused(node) {
		answer(kv.Response{Status: 503})
		return
	}
	if !s.reqs.take(now, 1) {
		answer(kv.Response{Status: 429})
		return
	}
	switch q.Kind {
	case kv.Get:
		if e := s.keys[q.Key]; e != nil {
			answer(kv.Response{Status: 200, Key: q.Key, Value: e.val, Stamp: e.stamp})
		} else {
			answer(kv.Response{Status: 404, Rev: s.rev})
		}
	case kv.List:
		answer(s.list(q))
	case kv.Commit:
		answer(s.commit(q.Txn))
	case kv.Grant:
		s.holdN++
		ttl := units.Micros(q.TTLMs) * units.Millisecond
		s.holds[s.holdN] = &hold{ttl, now + ttl}
		answer(kv.Response{Status: 200, Permit: s.holdN})
	case kv.Renew:
		h := s.holds[q.Permit]
		if h == nil {
			answer(kv.Response{Status: 404})
			return
		}
		h.end = now + h.ttl
		answer(kv.Response{Status: 200})
	case kv.Watch:
		if q.Rev < s.trimmed {
			answer(kv.Response{Status: 410})
			return
		}
		wt := &watch{q.Key, q.Rev, node, answer}
		s.watches = append(s.watches, wt)
		s.w.after(units.Micros(q.HoldMs)*units.Millisecond, func() { s.fire(wt, true) })
		s.notify()
	}
}

func (s *store) list(q *kv.Request) kv.Response {
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Key) && k > q.Since {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	r := kv.Response{Status: 200, Rev: s.rev}
	if len(names) > 20 { // small pages, so that paging is exercised
		names, r.Truncated = names[:20], true
	}
	for _, k := range names {
		r.Items = append(r.Items, kv.Item{Key: k, Value: s.keys[k].val, Stamp: s.keys[k].stamp})
	}
	return r
}

// gateRaised reports whether the documents may have the present format: from then on nothing
// may be larger than the announced limits.
func (s *store) gateRaised() bool {
	e := s.keys[schema.LayoutOf]
	var layout schema.Layout
	return e != nil && json.Unmarshal(e.val, &layout) == nil && layout.Format >= schema.FormatChains
}

// tooLarge reports whether a transaction breaks a limit of sizes.
func (s *store) tooLarge(t *kv.Txn) bool {
	if len(t.Apply) > s.limits.TxnOps || len(t.Guards) > 4*s.limits.TxnOps {
		return true
	}
	whole := 0
	for _, op := range t.Apply {
		whole += len(op.Set) + len(op.Delete) + len(op.Value)
		if float64(len(op.Value)) > s.limits.ValueKB*1024 {
			return true
		}
	}
	return whole > mostTxnBytes
}

// mostTxnBytes is how large a transaction may be.
const mostTxnBytes = 64 << 10

func (s *store) commit(t *kv.Txn) kv.Response {
	if s.tooLarge(t) {
		if !s.beforeGate[t] {
			s.refusedSize++
		}
		return kv.Response{Status: 400}
	}
	if len(t.Apply) > 0 && !s.writes.take(s.w.now, float64(len(t.Apply))) {
		return kv.Response{Status: 429}
	}
	var failed []string
	for _, g := range t.Guards {
		var stamp uint64
		if e := s.keys[g.Key]; e != nil {
			stamp = e.stamp
		}
		if stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return kv.Response{Status: 409, Rev: s.rev, Failed: failed}
	}
	for _, op := range t.Apply {
		if op.Set != "" && op.Permit != 0 && s.holds[op.Permit] == nil {
			return kv.Response{Status: 400}
		}
	}
	if len(t.Apply) == 0 {
		return kv.Response{Status: 200, Rev: s.rev}
	}
	s.rev++
	for _, op := range t.Apply {
		if op.Set != "" {
			s.keys[op.Set] = &entry{op.Value, s.rev, op.Permit}
			s.log = append(s.log, kv.Event{Set: op.Set, Value: op.Value, Stamp: s.rev})
		} else if s.keys[op.Delete] != nil {
			delete(s.keys, op.Delete)
			s.log = append(s.log, kv.Event{Delete: op.Delete, Stamp: s.rev})
		}
	}
	if len(s.log) > s.keep {
		s.trimmed = s.log[len(s.log)-s.keep-1].Stamp
		s.log = append([]kv.Event{}, s.log[len(s.log)-s.keep:]...)
	}
	s.notify()
	return kv.Response{Status: 200, Rev: s.rev}
}

// expire ends leases; after an outage each has its full time again.
func (s *store) expire() {
	if s.down {
		return
	}
	for id := uint64(1); id <= s.holdN; id++ {
		h := s.holds[id]
		if h == nil || s.w.now < h.end {
			continue
		}
		delete(s.holds, id)
		var keys []string
		for k, e := range s.keys {
			if e.hold == id {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		for _, k := range keys {
			s.rev++
			delete(s.keys, k)
			s.log = append(s.log, kv.Event{Delete: k, Stamp: s.rev})
		}
	}
	s.notify()
}

func (s *store) outage(d units.Micros) {
	s.down = true
	s.w.after(d, func() {
		s.down = false
		for _, h := range s.holds {
			h.end = s.w.now + h.ttl
		}
		s.notify()
	})
}

func (s *store) notify() {
	for _, wt := range append([]*watch{}, s.watches...) {
		s.fire(wt, false)
	}
}

func (s *store) fire(wt *watch, timeUp bool) {
	if s.refused(wt.node) && !timeUp || s.w.now < s.blind[wt.node] {
		return // a blind node's watch is a connection that died without a sign
	}
	at := -1
	for i, x := range s.watches {
		if x == wt {
			at = i
		}
	}
	if at < 0 {
		return
	}
	r := kv.Response{Status: 200, Rev: s.rev}
	if s.refused(wt.node) {
		r.Rev = wt.since // nothing new is told
	} else if wt.since < s.trimmed {
		s.watches = append(s.watches[:at], s.watches[at+1:]...)
		wt.answer(kv.Response{Status: 410})
		return
	} else {
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > wt.since })
		for _, e := range s.log[i:] {
			if strings.HasPrefix(e.Set+e.Delete, wt.prefix) {
				r.News = append(r.News, e)
			}
		}
	}
	if len(r.News) == 0 && !timeUp {
		return
	}
	s.watches = append(s.watches[:at], s.watches[at+1:]...)
	wt.answer(r)
}

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// action is what the state service does with one request.
type action struct {
	refuse    bool          // 503, not carried out
	lost      bool          // neither carried out nor answered
	noAnswer  bool          // carried out, but not answered
	applyWait time.Duration // not answered; carried out after this time
	delay     time.Duration // answered after this time
}

type stored struct {
	value  json.RawMessage
	stamp  uint64
	permit uint64
}

type event struct {
	Set    string          `json:"set,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type hold struct {
	ttl  time.Duration
	ends time.Time
}

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	rate, left float64
	at         time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.left = min(b.rate, b.left+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

// store stands in for the state service. Each controller has an address of its own, so that requests can
// be told apart.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	keys     map[string]*stored
	rev      uint64
	log      []event
	holds    map[uint64]*hold
	lastHold uint64
	outage   bool
	refused  map[int]bool // nodes that get 503; their open watches wait
	requests bucket
	writes   bucket
	valueMax int
	opsMax   int
	hook     func(node int, r *http.Request, body []byte) action // called with the lock held; may be nil
	addrs    []string

	newestFirst bool // watches answer with the newest change first, as in the page's example
	lateWatches func(node int) time.Duration
}

func newStore(w *world) *store {
	s := &store{
		keys: map[string]*stored{}, holds: map[uint64]*hold{}, refused: map[int]bool{},
		requests: bucket{rate: stateRPS, left: stateRPS, at: time.Now()}, writes: bucket{rate: stateWriteRPS, left: stateWriteRPS, at: time.Now()},
		valueMax: stateValueKB << 10, opsMax: stateTxnOps,
	}
	s.changed = sync.NewCond(&s.mu)
	for node := range w.nodeCount {
		s.addrs = append(s.addrs, w.listen(func(rw http.ResponseWriter, r *http.Request) { s.serve(node, rw, r) }))
	}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			if !s.outage {
				s.expire()
			}
			s.changed.Broadcast() // lets watches see their time limit
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, h := range s.holds {
		h.ends = time.Now().Add(h.ttl)
	}
	s.changed.Broadcast()
}

func (s *store) setRefused(node int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
	s.changed.Broadcast()
}

func (s *store) setHook(hook func(node int, r *http.Request, body []byte) action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = hook
}

func (s *store) expire() {
	now := time.Now()
	for id, h := range s.holds {
		if now.Before(h.ends) {
			continue
		}
		delete(s.holds, id)
		var gone []string
		for key, kv := range s.keys {
			if kv.permit == id {
				gone = append(gone, key)
			}
		}
		if len(gone) > 0 {
			sort.Strings(gone)
			s.rev++
			for _, key := range gone {
				delete(s.keys, key)
				s.log = append(s.log, event{Delete: key, Stamp: s.rev})
			}
			s.changed.Broadcast()
		}
	}
}

func reply(rw http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(encoded)
}

// hang keeps a request unanswered until its sender gives up.
func hang(r *http.Request) { <-r.Context().Done() }

func (s *store) serve(node int, rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if late := s.lateWatches; late != nil && r.URL.Path == "/changes" {
		time.Sleep(late(node))
	}
	s.mu.Lock()
	var act action
	if s.hook != nil {
		act = s.hook(node, r, body)
	}
	switch {
	case s.outage || s.refused[node] || act.refuse:
		s.mu.Unlock()
		reply(rw, 503, map[string]string{"error": "trouble"})
		return
	case act.lost:
		s.mu.Unlock()
		hang(r)
		return
	case act.applyWait > 0:
		s.mu.Unlock()
		go func() {
			time.Sleep(act.applyWait)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.carryOut(node, r, body)
		}()
		hang(r)
		return
	}
	status, answer := s.carryOut(node, r, body)
	s.mu.Unlock()
	if act.noAnswer {
		hang(r)
		return
	}
	if act.delay > 0 {
		time.Sleep(act.delay)
	}
	reply(rw, status, answer)
}

type revisionAnswer struct {
	Rev    uint64   `json:"ledgerRev"`
	Failed []string `json:"failed,omitempty"`
}

// carryOut runs with the lock held.
func (s *store) carryOut(node int, r *http.Request, body []byte) (int, any) {
	if !s.requests.take(1) {
		return 429, map[string]string{"error": "rate"}
	}
	s.expire()
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/kv/"):
		key := strings.TrimPrefix(path, "/kv/")
		kv := s.keys[key]
		if kv == nil {
			return 404, revisionAnswer{Rev: s.rev}
		}
		answer := map[string]any{"key": key, "v": kv.value, "stamp": kv.stamp}
		if kv.permit > 0 {
			answer["permit"] = kv.permit
		}
		return 200, answer
	case r.Method == http.MethodGet && path == "/kv":
		return s.list(r)
	case r.Method == http.MethodGet && path == "/changes":
		return s.watch(node, r)
	case r.Method == http.MethodPost && path == "/txn":
		return s.txn(body)
	case r.Method == http.MethodPost && path == "/holds":
		var request struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &request) != nil || request.TTL < 100 || request.TTL > 600000 {
			return 400, map[string]string{"error": "malformed"}
		}
		s.lastHold++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.holds[s.lastHold] = &hold{ttl, time.Now().Add(ttl)}
		return 200, map[string]uint64{"permit": s.lastHold}
	case strings.HasPrefix(path, "/holds/"):
		text, renew := strings.CutSuffix(strings.TrimPrefix(path, "/holds/"), "/renew")
		id, err := strconv.ParseUint(text, 10, 64)
		h := s.holds[id]
		if err != nil || h == nil {
			return 404, map[string]string{"error": "no such lease"}
		}
		h.ends = time.Now().Add(h.ttl)
		if !renew && r.Method == http.MethodDelete {
			h.ends = time.Now()
			s.expire()
		}
		return 200, map[string]uint64{"permit": id}
	}
	return 400, map[string]string{"error": "malformed"}
}

func (s *store) list(r *http.Request) (int, any) {
	query := r.URL.Query()
	under, since := query.Get("under"), query.Get("since")
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most > 1000 || most < 1 {
		most = 1000
	}
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, under) && key > since {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	type item struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"v"`
		Stamp uint64          `json:"stamp"`
	}
	items, size := []item{}, 0
	truncated := false
	for _, key := range names {
		size += len(key) + len(s.keys[key].value) + 60
		if len(items) == most || size > 512<<10 {
			truncated = true
			break
		}
		items = append(items, item{key, s.keys[key].value, s.keys[key].stamp})
	}
	return 200, map[string]any{"items": items, "truncated": truncated, "ledgerRev": s.rev}
}

func (s *store) watch(node int, r *http.Request) (int, any) {
	query := r.URL.Query()
	under := query.Get("under")
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	holdMs, _ := strconv.Atoi(query.Get("holdMs"))
	until := time.Now().Add(time.Duration(min(holdMs, 60000)) * time.Millisecond)
	for {
		if len(s.log) > 10000 {
			s.log = s.log[len(s.log)-10000:]
		}
		if len(s.log) > 0 && s.log[0].Stamp > since+1 {
			return 410, map[string]string{"error": "too old"}
		}
		waits := s.outage || s.refused[node]
		news := []event{}
		for _, e := range s.log {
			if e.Stamp > since && (strings.HasPrefix(e.Set, under) && e.Set != "" || strings.HasPrefix(e.Delete, under) && e.Delete != "") {
				news = append(news, e)
			}
		}
		if r.Context().Err() != nil {
			return 200, nil
		}
		if s.newestFirst {
			slices.Reverse(news)
		}
		if !waits && (len(news) > 0 || !time.Now().Before(until)) {
			return 200, map[string]any{"ledgerRev": s.rev, "news": news}
		}
		s.changed.Wait()
	}
}

type operation struct {
	Set    string          `json:"set"`
	Value  json.RawMessage `json:"v"`
	Permit uint64          `json:"permit"`
	Delete string          `json:"delete"`
}

type transaction struct {
	Guards []struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	} `json:"guards"`
	Apply []operation `json:"apply"`
}

func (s *store) txn(body []byte) (int, any) {
	var txn transaction
	if json.Unmarshal(body, &txn) != nil || len(body) > 64<<10 || len(txn.Apply) > s.opsMax || len(txn.Guards) > 4*s.opsMax {
		return 400, map[string]string{"error": "malformed"}
	}
	for _, op := range txn.Apply {
		if len(op.Value) > s.valueMax {
			return 400, map[string]string{"error": "value too long"}
		}
	}
	if !s.writes.take(float64(len(txn.Apply))) {
		return 429, map[string]string{"error": "rate"}
	}
	for _, op := range txn.Apply {
		if op.Permit > 0 && s.holds[op.Permit] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	var failed []string
	for _, guard := range txn.Guards {
		var stamp uint64
		if kv := s.keys[guard.Key]; kv != nil {
			stamp = kv.stamp
		}
		if stamp != guard.Stamp {
			failed = append(failed, guard.Key)
		}
	}
	if len(failed) > 0 {
		return 409, revisionAnswer{s.rev, failed}
	}
	if len(txn.Apply) == 0 {
		return 200, revisionAnswer{Rev: s.rev}
	}
	s.rev++
	for _, op := range txn.Apply {
		if op.Set != "" {
			s.keys[op.Set] = &stored{op.Value, s.rev, op.Permit}
			s.log = append(s.log, event{Set: op.Set, Value: op.Value, Stamp: s.rev})
		} else if s.keys[op.Delete] != nil {
			delete(s.keys, op.Delete)
			s.log = append(s.log, event{Delete: op.Delete, Stamp: s.rev})
		}
	}
	s.changed.Broadcast()
	return 200, revisionAnswer{Rev: s.rev}
}

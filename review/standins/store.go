package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLimits are the limits of the state service.
type storeLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

// store stands in for the state service, as PROTOCOL-frostdock.md describes it. Each controller has an
// address of its own, so that it can be refused or delayed alone.
type store struct {
	record *recorder

	mu        sync.Mutex
	changed   chan struct{} // closed at the next change
	revision  uint64
	values    map[string]storedValue
	log       []change // the last changes, in order
	compacted uint64   // revision of the latest change that is no longer in log
	holds     map[uint64]*hold
	lastHold  uint64
	limits    storeLimits
	requests  bucket
	writes    bucket

	refused []bool // by controller: all its requests get 503

	// late returns how long a transaction is held up without an answer before it is carried out; 0: not at
	// all. It may be nil.
	late func(client int, operations []operation) time.Duration
}

type storedValue struct {
	value json.RawMessage
	stamp uint64
	hold  uint64
}

type hold struct {
	ttl time.Duration
	end time.Time
}

type change struct {
	Set    string          `json:"set,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type guard struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

type operation struct {
	Set    string          `json:"set"`
	Value  json.RawMessage `json:"v"`
	Permit uint64          `json:"permit"`
	Delete string          `json:"delete"`
}

type transaction struct {
	Guards []guard     `json:"guards"`
	Apply  []operation `json:"apply"`
}

type item struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
}

// bucket limits a rate, with bursts of one second's worth.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) take(rate, count float64) bool {
	now := time.Now()
	b.level = min(rate, b.level+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < count {
		return false
	}
	b.level -= count
	return true
}

const (
	keptChanges  = 10000
	maxListItems = 1000
	maxListBytes = 512 << 10
	maxTxnBytes  = 64 << 10
)

func newStore(record *recorder, limits storeLimits, clients int) *store {
	s := &store{
		record: record, changed: make(chan struct{}), values: map[string]storedValue{}, holds: map[uint64]*hold{},
		limits: limits, refused: make([]bool, clients),
	}
	go s.expireHolds()
	return s
}

// start serves one controller and returns the address for it.
func (s *store) start(client int) (string, error) {
	_, addr, err := serveOn(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, client) })
	return addr, err
}

func (s *store) refuse(client int, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[client] = refused
	s.wake()
}

func (s *store) setLimits(limits storeLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireHolds() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for id, h := range s.holds {
			if time.Now().After(h.end) {
				s.endHold(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endHold(id uint64) {
	delete(s.holds, id)
	for _, key := range s.sortedKeys("") {
		if s.values[key].hold == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

func (s *store) sortedKeys(prefix string) []string {
	var keys []string
	for key := range s.values {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *store) append(c change) {
	s.log = append(s.log, c)
	if len(s.log) > keptChanges {
		s.compacted = s.log[0].Stamp
		s.log = s.log[1:]
	}
}

func (s *store) remove(key string) {
	delete(s.values, key)
	s.append(change{Delete: key, Stamp: s.revision})
}

type revisionBody struct {
	Revision uint64   `json:"ledgerRev"`
	Failed   []string `json:"failed,omitempty"`
}

func (s *store) handle(w http.ResponseWriter, r *http.Request, client int) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTxnBytes+1))
	if err != nil {
		return
	}
	if r.URL.Path == "/changes" {
		s.watch(w, r, client)
		return
	}
	if r.URL.Path == "/txn" && s.holdUp(body, client) {
		time.Sleep(3 * time.Second) // longer than a controller waits
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	status, answer := s.serve(r, body, client)
	reply(w, status, answer)
}

// holdUp carries a transaction out late, if that was asked for, and reports whether it will.
func (s *store) holdUp(body []byte, client int) bool {
	var txn transaction
	if s.late == nil || json.Unmarshal(body, &txn) != nil {
		return false
	}
	delay := s.late(client, txn.Apply)
	if delay == 0 {
		return false
	}
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		status, _ := s.transact(body)
		s.record.add("state service: transaction of controller %d carried out %v late: %d", client, delay, status)
	})
	return true
}

func (s *store) serve(r *http.Request, body []byte, client int) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused[client] {
		return http.StatusServiceUnavailable, map[string]string{"error": "trouble"}
	}
	if !s.requests.take(s.limits.rps, 1) {
		return http.StatusTooManyRequests, nil
	}
	path := r.URL.Path
	switch {
	case path == "/kv":
		return s.list(r)
	case strings.HasPrefix(path, "/kv/"):
		key := strings.TrimPrefix(path, "/kv/")
		if stored, ok := s.values[key]; ok {
			return http.StatusOK, item{key, stored.value, stored.stamp}
		}
		return http.StatusNotFound, revisionBody{Revision: s.revision}
	case path == "/txn":
		return s.transact(body)
	case path == "/holds":
		var request struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &request) != nil || request.TTLMs < 100 || request.TTLMs > 600000 {
			return http.StatusBadRequest, nil
		}
		s.lastHold++
		ttl := time.Duration(request.TTLMs) * time.Millisecond
		s.holds[s.lastHold] = &hold{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]uint64{"permit": s.lastHold}
	case strings.HasPrefix(path, "/holds/"):
		parts := strings.Split(strings.TrimPrefix(path, "/holds/"), "/")
		id, _ := strconv.ParseUint(parts[0], 10, 64)
		h := s.holds[id]
		if h == nil {
			return http.StatusNotFound, nil
		}
		if r.Method == http.MethodDelete {
			s.endHold(id)
		} else {
			h.end = time.Now().Add(h.ttl)
		}
		return http.StatusOK, map[string]uint64{"permit": id}
	}
	return http.StatusBadRequest, nil
}

func (s *store) list(r *http.Request) (int, any) {
	query := r.URL.Query()
	prefix, since := query.Get("under"), query.Get("since")
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most > maxListItems {
		most = maxListItems
	}
	page := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		Revision  uint64 `json:"ledgerRev"`
	}{Items: []item{}, Revision: s.revision}
	bytes := 0
	for _, key := range s.sortedKeys(prefix) {
		if key <= since {
			continue
		}
		stored := s.values[key]
		size := len(key) + len(stored.value) + 40
		if len(page.Items) == most || bytes+size > maxListBytes {
			page.Truncated = true
			break
		}
		bytes += size
		page.Items = append(page.Items, item{key, stored.value, stored.stamp})
	}
	return http.StatusOK, page
}

func (s *store) transact(body []byte) (int, any) {
	var txn transaction
	if len(body) > maxTxnBytes || json.Unmarshal(body, &txn) != nil {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	if len(txn.Apply) > s.limits.txnOps || len(txn.Guards) > 4*s.limits.txnOps {
		return http.StatusBadRequest, map[string]string{"error": "too many"}
	}
	for _, op := range txn.Apply {
		if float64(len(op.Value)) > s.limits.valueKB*1024 {
			return http.StatusBadRequest, map[string]string{"error": "value too long"}
		}
	}
	if !s.writes.take(s.limits.writeRPS, float64(len(txn.Apply))) {
		return http.StatusTooManyRequests, nil
	}
	var failed []string
	for _, g := range txn.Guards {
		if s.values[g.Key].stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, revisionBody{s.revision, failed}
	}
	for _, op := range txn.Apply {
		if op.Set != "" && op.Permit != 0 && s.holds[op.Permit] == nil {
			return http.StatusBadRequest, map[string]string{"error": "no such lease"}
		}
	}
	if len(txn.Apply) > 0 {
		s.revision++
		for _, op := range txn.Apply {
			if op.Set != "" {
				s.values[op.Set] = storedValue{op.Value, s.revision, op.Permit}
				s.append(change{Set: op.Set, Value: op.Value, Stamp: s.revision})
			} else if _, ok := s.values[op.Delete]; ok {
				s.remove(op.Delete)
			}
		}
		s.wake()
	}
	return http.StatusOK, revisionBody{Revision: s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, client int) {
	query := r.URL.Query()
	prefix := query.Get("under")
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	holdMs, _ := strconv.Atoi(query.Get("holdMs"))
	end := time.Now().Add(time.Duration(holdMs) * time.Millisecond)
	s.mu.Lock()
	if s.refused[client] {
		s.mu.Unlock()
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	}
	if !s.requests.take(s.limits.rps, 1) {
		s.mu.Unlock()
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	for {
		if since < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, nil)
			return
		}
		answer := struct {
			Revision uint64   `json:"ledgerRev"`
			News     []change `json:"news"`
		}{s.revision, []change{}}
		if s.refused[client] { // an open watch waits, and shows nothing
			answer.Revision = since
		} else {
			first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > since })
			for _, c := range s.log[first:] {
				if strings.HasPrefix(c.Set+c.Delete, prefix) {
					answer.News = append(answer.News, c)
				}
			}
		}
		changed := s.changed
		s.mu.Unlock()
		wait := time.Until(end)
		if len(answer.News) > 0 || wait <= 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
		s.mu.Lock()
	}
}

package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/kv"
)

// stateLimits are what the state service takes.
type stateLimits struct {
	changesPerSecond, requestsPerSecond float64
	valueBytes, changes                 int
}

// Limits before and after their announced fall.
var (
	limitsNow  = stateLimits{changesPerSecond: 60, requestsPerSecond: 400, valueBytes: 8 << 10, changes: 16}
	limitsNext = stateLimits{changesPerSecond: 40, requestsPerSecond: 400, valueBytes: 2 << 10, changes: 6}
)

// store is the state service. Each controller has an address of its own there, so that it can
// be refused or cut off alone.
type store struct {
	w         *world
	servers   []*fasthttp.Server
	mu        sync.Mutex
	changed   chan struct{} // closed at the next change
	rev       uint64
	keys      map[string]storedValue
	log       []kv.Event
	leases    map[uint64]*storeLease
	leaseN    uint64
	limits    stateLimits
	changes   bucket
	requests  bucket
	outage    bool
	refused   map[int]bool  // controllers that alone get 503
	silent    map[int]bool  // controllers whose requests are lost
	lateShare float64       // transactions without an answer that are carried out late
	lostShare float64       // transactions that are carried out and not answered
	slowest   time.Duration // delay of answers, at most
}

type storedValue struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// bucket limits a rate, with bursts of one second's worth.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) take(rate, n float64) bool {
	now := time.Now()
	b.level = min(rate, b.level+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newStore(w *world) (*store, error) {
	s := &store{
		w: w, changed: make(chan struct{}), keys: map[string]storedValue{}, leases: map[uint64]*storeLease{},
		limits: limitsNow, refused: map[int]bool{}, silent: map[int]bool{},
	}
	for i := range controllers {
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { s.handle(ctx, i) }, Logger: quiet{}}
		if err := serve(w, server, w.address(hostState+i, 2379)); err != nil {
			return nil, err
		}
		s.servers = append(s.servers, server)
	}
	w.run(s.expireLeases)
	return s, nil
}

// Hosts of a run, which give their addresses.
const (
	hostController = 0
	hostState      = 10
	hostCloud      = 20
	hostPeer       = 30
	hostWorker     = 50
)

// serve serves at an address until the server is shut down.
func serve(w *world, server *fasthttp.Server, address string) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	w.run(func() { _ = server.Serve(ln) })
	return nil
}

// quiet drops the servers' own lines.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Shutdown()
	}
}

// expireLeases ends leases that were not renewed.
func (s *store) expireLeases() {
	for s.w.sleep(50 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if !s.outage && time.Now().After(lease.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, v := range s.keys {
		if v.lease == id {
			s.rev++
			delete(s.keys, key)
			s.log = append(s.log, kv.Event{Delete: key, Stamp: s.rev})
		}
	}
	s.announce()
}

// announce wakes the watches.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOutage begins or ends an outage; afterwards every lease has its full time again.
func (s *store) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, lease := range s.leases {
		lease.ends = time.Now().Add(lease.ttl)
	}
	s.announce()
}

// set changes a fault under the store's lock.
func (s *store) set(change func(s *store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.announce()
}

func (s *store) handle(ctx *fasthttp.RequestCtx, who int) {
	path, method := string(ctx.Path()), string(ctx.Method())
	s.mu.Lock()
	silent, delay := s.silent[who], s.slowest
	s.mu.Unlock()
	if silent {
		s.w.sleep(6 * time.Second) // nobody waits so long: the request is lost
		ctx.SetConnectionClose()
		ctx.SetStatusCode(503)
		return
	}
	if delay > 0 {
		s.w.sleep(s.w.rng.between(0, delay))
	}
	if path == "/changes" {
		s.watch(ctx, who)
		return
	}
	if path == "/txn" && s.troubledCommit(ctx, who) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.refused[who] {
		ctx.SetStatusCode(503)
		return
	}
	if !s.requests.take(s.limits.requestsPerSecond, 1) {
		ctx.SetStatusCode(429)
		return
	}
	switch {
	case path == "/kv":
		s.list(ctx)
	case strings.HasPrefix(path, "/kv/"):
		s.get(ctx, strings.TrimPrefix(path, "/kv/"))
	case path == "/txn":
		respond(ctx, s.commit(ctx.PostBody()))
	case strings.HasPrefix(path, "/holds"):
		s.lease(ctx, method, strings.Split(strings.Trim(path, "/"), "/"))
	default:
		ctx.SetStatusCode(404)
	}
}

// troubledCommit carries a transaction out late or without an answer, if it is its turn.
func (s *store) troubledCommit(ctx *fasthttp.RequestCtx, who int) bool {
	s.mu.Lock()
	late, lost, blocked := s.lateShare, s.lostShare, s.outage || s.refused[who]
	s.mu.Unlock()
	if blocked {
		return false
	}
	body := slices.Clone(ctx.PostBody())
	switch {
	case late > 0 && s.w.rng.chance(late):
		s.w.after(s.w.rng.between(2*time.Second, 8*time.Second), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.outage && !s.refused[who] {
				s.commit(body)
			}
		})
	case lost > 0 && s.w.rng.chance(lost):
		s.mu.Lock()
		s.commit(body)
		s.mu.Unlock()
	default:
		return false
	}
	s.w.sleep(3 * time.Second) // longer than a controller waits
	ctx.SetConnectionClose()
	ctx.SetStatusCode(503)
	return true
}

// answer is a status with a body.
type answer struct {
	status int
	body   any
}

func respond(ctx *fasthttp.RequestCtx, a answer) {
	ctx.SetStatusCode(a.status)
	if a.body == nil {
		return
	}
	raw, err := json.Marshal(a.body)
	if err != nil {
		ctx.SetStatusCode(500)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

type revisionBody struct {
	Rev    uint64   `json:"ledgerRev"`
	Failed []string `json:"failed,omitempty"`
}

type itemBody struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
}

type listBody struct {
	Items     []itemBody `json:"items"`
	Truncated bool       `json:"truncated"`
	Rev       uint64     `json:"ledgerRev"`
}

type leaseBody struct {
	ID    uint64 `json:"permit,omitempty"`
	TTLMs int64  `json:"ttlMs,omitempty"`
}

func (s *store) get(ctx *fasthttp.RequestCtx, key string) {
	if v, ok := s.keys[key]; ok {
		respond(ctx, answer{200, itemBody{key, v.value, v.stamp}})
		return
	}
	respond(ctx, answer{404, revisionBody{Rev: s.rev}})
}

// mostListed keeps pages short, so that copies are read in several.
const mostListed = 30

func (s *store) list(ctx *fasthttp.RequestCtx) {
	under, since := string(ctx.QueryArgs().Peek("under")), string(ctx.QueryArgs().Peek("since"))
	body := listBody{Rev: s.rev, Items: []itemBody{}}
	for _, key := range s.sortedKeys() {
		if !strings.HasPrefix(key, under) || key <= since {
			continue
		}
		if len(body.Items) == mostListed {
			body.Truncated = true
			break
		}
		body.Items = append(body.Items, itemBody{key, s.keys[key].value, s.keys[key].stamp})
	}
	respond(ctx, answer{200, body})
}

func (s *store) sortedKeys() []string {
	keys := make([]string, 0, len(s.keys))
	for key := range s.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// commit carries a transaction out if its conditions hold.
func (s *store) commit(body []byte) answer {
	var txn kv.Txn
	if json.Unmarshal(body, &txn) != nil || len(txn.Apply) > s.limits.changes || len(txn.Guards) > 4*s.limits.changes || len(body) > 64<<10 {
		return answer{status: 400}
	}
	for _, op := range txn.Apply {
		if len(op.Value) > s.limits.valueBytes {
			return answer{status: 400}
		}
	}
	if !s.changes.take(s.limits.changesPerSecond, float64(len(txn.Apply))) {
		return answer{status: 429}
	}
	var failed []string
	for _, g := range txn.Guards {
		if s.keys[g.Key].stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return answer{409, revisionBody{Rev: s.rev, Failed: failed}}
	}
	for _, op := range txn.Apply {
		if op.Permit > 0 && s.leases[op.Permit] == nil {
			return answer{status: 400}
		}
	}
	if len(txn.Apply) == 0 {
		return answer{200, revisionBody{Rev: s.rev}}
	}
	s.rev++
	for _, op := range txn.Apply {
		if op.Set != "" {
			value := slices.Clone(op.Value)
			s.keys[op.Set] = storedValue{value, s.rev, op.Permit}
			s.log = append(s.log, kv.Event{Set: op.Set, Value: value, Stamp: s.rev})
		} else {
			delete(s.keys, op.Delete)
			s.log = append(s.log, kv.Event{Delete: op.Delete, Stamp: s.rev})
		}
	}
	s.announce()
	return answer{200, revisionBody{Rev: s.rev}}
}

func (s *store) lease(ctx *fasthttp.RequestCtx, method string, parts []string) {
	if len(parts) == 1 && method == "POST" {
		var body leaseBody
		if json.Unmarshal(ctx.PostBody(), &body) != nil || body.TTLMs < 100 {
			ctx.SetStatusCode(400)
			return
		}
		s.leaseN++
		ttl := time.Duration(body.TTLMs) * time.Millisecond
		s.leases[s.leaseN] = &storeLease{ttl, time.Now().Add(ttl)}
		respond(ctx, answer{200, leaseBody{ID: s.leaseN}})
		return
	}
	if len(parts) < 2 {
		ctx.SetStatusCode(400)
		return
	}
	id, err := strconv.ParseUint(parts[1], 10, 64)
	lease := s.leases[id]
	switch {
	case err != nil || lease == nil:
		ctx.SetStatusCode(404)
	case method == "DELETE":
		s.endLease(id)
	default:
		lease.ends = time.Now().Add(lease.ttl)
	}
}

// watch answers when something has changed. What it tells is the latest of each key, in an order
// that is drawn: the protocol promises no other.
func (s *store) watch(ctx *fasthttp.RequestCtx, who int) {
	under := string(ctx.QueryArgs().Peek("under"))
	since, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("since")), 10, 64)
	hold := ctx.QueryArgs().GetUintOrZero("holdMs")
	until := time.Now().Add(time.Duration(hold) * time.Millisecond)
	for {
		s.mu.Lock()
		body := watchBody{Rev: s.rev, News: []kv.Event{}}
		blind := s.outage || s.refused[who] || s.silent[who]
		changed := s.changed
		if !blind {
			body.News = s.news(under, since)
		}
		s.mu.Unlock()
		if len(body.News) > 0 || time.Now().After(until) {
			if blind {
				body.Rev = since
			}
			s.w.shuffle(body.News)
			respond(ctx, answer{200, body})
			return
		}
		timer := time.NewTimer(time.Until(until) + time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-s.w.stopped:
			until = time.Time{}
		}
		timer.Stop()
	}
}

type watchBody struct {
	Rev  uint64     `json:"ledgerRev"`
	News []kv.Event `json:"news"`
}

func (s *store) news(under string, since uint64) []kv.Event {
	first, _ := slices.BinarySearchFunc(s.log, since+1, func(e kv.Event, rev uint64) int {
		return int(int64(e.Stamp) - int64(rev))
	})
	latest := map[string]kv.Event{}
	for _, e := range s.log[first:] {
		if key := e.Set + e.Delete; strings.HasPrefix(key, under) {
			latest[key] = e
		}
	}
	out := make([]kv.Event, 0, len(latest))
	for _, e := range s.log[first:] {
		if last, ok := latest[e.Set+e.Delete]; ok && last.Stamp == e.Stamp && last.Set == e.Set {
			out = append(out, e)
		}
	}
	return out
}

// shuffle puts events into an order that is drawn.
func (w *world) shuffle(events []kv.Event) {
	w.rng.mu.Lock()
	defer w.rng.mu.Unlock()
	w.rng.rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
}

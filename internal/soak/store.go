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

// storeLimits are what the state service takes.
type storeLimits struct {
	changesPerSecond, requestsPerSecond float64
	valueBytes, changes                 int
}

// Limits before and after their announced fall.
var (
	currentLimits   = storeLimits{changesPerSecond: 60, requestsPerSecond: 400, valueBytes: 8 << 10, changes: 16}
	announcedLimits = storeLimits{changesPerSecond: 40, requestsPerSecond: 400, valueBytes: 2 << 10, changes: 6}
)

// fakeStore is the state service. Each controller has an address of its own there, so that it can
// be refused or cut off alone.
type fakeStore struct {
	world          *world
	servers        []*fasthttp.Server
	mu             sync.Mutex
	changed        chan struct{} // closed at the next change
	rev            uint64
	values         map[string]storedValue
	log            []kv.Event
	leases         map[uint64]*storeLease
	lastLease      uint64
	limits         storeLimits
	changeBudget   tokenBucket
	requestBudget  tokenBucket
	outage         bool
	unavailableTo  map[int]bool  // controllers that alone get 503
	requestsLost   map[int]bool  // controllers whose requests are lost
	lateCommitRate float64       // transactions without an answer that are carried out late
	lostAnswerRate float64       // transactions that are carried out and not answered
	maxDelay       time.Duration // delay of answers, at most
}

type storedValue struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// tokenBucket limits a rate, with bursts of one second's worth.
type tokenBucket struct {
	level    float64
	filledAt time.Time
}

func (b *tokenBucket) take(rate, n float64) bool {
	now := time.Now()
	b.level = min(rate, b.level+rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newStore(w *world) (*fakeStore, error) {
	s := &fakeStore{
		world: w, changed: make(chan struct{}), values: map[string]storedValue{}, leases: map[uint64]*storeLease{},
		limits: currentLimits, unavailableTo: map[int]bool{}, requestsLost: map[int]bool{},
	}
	for i := range controllerCount {
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { s.handle(ctx, i) }, Logger: discardLogger{}}
		if err := serve(w, server, w.address(hostStore+i, 2379)); err != nil {
			return nil, err
		}
		s.servers = append(s.servers, server)
	}
	w.spawn(s.expireLeases)
	return s, nil
}

// Hosts of a run, which give their addresses.
const (
	hostController = 0
	hostStore      = 10
	hostCloud      = 20
	hostPeer       = 30
	hostWorker     = 50
)

// serve serves at an address until the server is shut down.
func serve(w *world, server *fasthttp.Server, address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	w.spawn(func() { _ = server.Serve(listener) })
	return nil
}

// discardLogger drops the servers' own lines.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

func (s *fakeStore) close() {
	for _, server := range s.servers {
		_ = server.Shutdown()
	}
}

// expireLeases ends leases that were not renewed.
func (s *fakeStore) expireLeases() {
	for s.world.sleep(50 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if !s.outage && time.Now().After(lease.expiresAt) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *fakeStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, v := range s.values {
		if v.lease == id {
			s.rev++
			delete(s.values, key)
			s.log = append(s.log, kv.Event{Delete: key, ModRevision: s.rev})
		}
	}
	s.notifyWatches()
}

// notifyWatches wakes the watches.
func (s *fakeStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOutage begins or ends an outage; afterwards every lease has its full time again.
func (s *fakeStore) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, lease := range s.leases {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
	s.notifyWatches()
}

// setFault changes a fault under the store's lock.
func (s *fakeStore) setFault(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.notifyWatches()
}

func (s *fakeStore) handle(ctx *fasthttp.RequestCtx, client int) {
	path, method := string(ctx.Path()), string(ctx.Method())
	s.mu.Lock()
	silent, delay := s.requestsLost[client], s.maxDelay
	s.mu.Unlock()
	if silent {
		s.world.sleep(6 * time.Second) // nobody waits so long: the request is lost
		ctx.SetConnectionClose()
		ctx.SetStatusCode(503)
		return
	}
	if delay > 0 {
		s.world.sleep(s.world.rng.between(0, delay))
	}
	if path == "/changes" {
		s.watch(ctx, client)
		return
	}
	if path == "/txn" && s.faultyCommit(ctx, client) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.unavailableTo[client] {
		ctx.SetStatusCode(503)
		return
	}
	if !s.requestBudget.take(s.limits.requestsPerSecond, 1) {
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

// faultyCommit carries a transaction out late or without an answer, if it is its turn.
func (s *fakeStore) faultyCommit(ctx *fasthttp.RequestCtx, client int) bool {
	s.mu.Lock()
	late, lost, blocked := s.lateCommitRate, s.lostAnswerRate, s.outage || s.unavailableTo[client]
	s.mu.Unlock()
	if blocked {
		return false
	}
	body := slices.Clone(ctx.PostBody())
	switch {
	case late > 0 && s.world.rng.chance(late):
		s.world.after(s.world.rng.between(2*time.Second, 8*time.Second), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.outage && !s.unavailableTo[client] {
				s.commit(body)
			}
		})
	case lost > 0 && s.world.rng.chance(lost):
		s.mu.Lock()
		s.commit(body)
		s.mu.Unlock()
	default:
		return false
	}
	s.world.sleep(3 * time.Second) // longer than a controller waits
	ctx.SetConnectionClose()
	ctx.SetStatusCode(503)
	return true
}

// response is a status with a body.
type response struct {
	status int
	body   any
}

func respond(ctx *fasthttp.RequestCtx, answer response) {
	ctx.SetStatusCode(answer.status)
	if answer.body == nil {
		return
	}
	raw, err := json.Marshal(answer.body)
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

func (s *fakeStore) get(ctx *fasthttp.RequestCtx, key string) {
	if v, ok := s.values[key]; ok {
		respond(ctx, response{200, itemBody{key, v.value, v.revision}})
		return
	}
	respond(ctx, response{404, revisionBody{Rev: s.rev}})
}

// maxListPage keeps pages short, so that copies are read in several.
const maxListPage = 30

func (s *fakeStore) list(ctx *fasthttp.RequestCtx) {
	prefix, since := string(ctx.QueryArgs().Peek("under")), string(ctx.QueryArgs().Peek("since"))
	body := listBody{Rev: s.rev, Items: []itemBody{}}
	for _, key := range s.sortedKeys() {
		if !strings.HasPrefix(key, prefix) || key <= since {
			continue
		}
		if len(body.Items) == maxListPage {
			body.Truncated = true
			break
		}
		body.Items = append(body.Items, itemBody{key, s.values[key].value, s.values[key].revision})
	}
	respond(ctx, response{200, body})
}

func (s *fakeStore) sortedKeys() []string {
	keys := make([]string, 0, len(s.values))
	for key := range s.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// commit carries a transaction out if its conditions hold.
func (s *fakeStore) commit(body []byte) response {
	var txn kv.Txn
	if json.Unmarshal(body, &txn) != nil || len(txn.Operations) > s.limits.changes || len(txn.Conditions) > 4*s.limits.changes || len(body) > 64<<10 {
		return response{status: 400}
	}
	for _, op := range txn.Operations {
		if len(op.Value) > s.limits.valueBytes {
			return response{status: 400}
		}
	}
	if !s.changeBudget.take(s.limits.changesPerSecond, float64(len(txn.Operations))) {
		return response{status: 429}
	}
	var failed []string
	for _, condition := range txn.Conditions {
		if s.values[condition.Key].revision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return response{409, revisionBody{Rev: s.rev, Failed: failed}}
	}
	for _, op := range txn.Operations {
		if op.LeaseID > 0 && s.leases[op.LeaseID] == nil {
			return response{status: 400}
		}
	}
	if len(txn.Operations) == 0 {
		return response{200, revisionBody{Rev: s.rev}}
	}
	s.rev++
	for _, op := range txn.Operations {
		if op.Set != "" {
			value := slices.Clone(op.Value)
			s.values[op.Set] = storedValue{value, s.rev, op.LeaseID}
			s.log = append(s.log, kv.Event{Set: op.Set, Value: value, ModRevision: s.rev})
		} else {
			delete(s.values, op.Delete)
			s.log = append(s.log, kv.Event{Delete: op.Delete, ModRevision: s.rev})
		}
	}
	s.notifyWatches()
	return response{200, revisionBody{Rev: s.rev}}
}

func (s *fakeStore) lease(ctx *fasthttp.RequestCtx, method string, parts []string) {
	if len(parts) == 1 && method == "POST" {
		var body leaseBody
		if json.Unmarshal(ctx.PostBody(), &body) != nil || body.TTLMs < 100 {
			ctx.SetStatusCode(400)
			return
		}
		s.lastLease++
		ttl := time.Duration(body.TTLMs) * time.Millisecond
		s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
		respond(ctx, response{200, leaseBody{ID: s.lastLease}})
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
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
}

// watch answers when something has changed. What it tells is the latest of each key, in an order
// that is drawn: the protocol promises no other.
func (s *fakeStore) watch(ctx *fasthttp.RequestCtx, client int) {
	prefix := string(ctx.QueryArgs().Peek("under"))
	since, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("since")), 10, 64)
	hold := ctx.QueryArgs().GetUintOrZero("holdMs")
	until := time.Now().Add(time.Duration(hold) * time.Millisecond)
	for {
		s.mu.Lock()
		body := watchBody{Rev: s.rev, News: []kv.Event{}}
		unavailable := s.outage || s.unavailableTo[client] || s.requestsLost[client]
		changed := s.changed
		if !unavailable {
			body.News = s.changesSince(prefix, since)
		}
		s.mu.Unlock()
		if len(body.News) > 0 || time.Now().After(until) {
			if unavailable {
				body.Rev = since
			}
			s.world.shuffle(body.News)
			respond(ctx, response{200, body})
			return
		}
		timer := time.NewTimer(time.Until(until) + time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-s.world.stopped:
			until = time.Time{}
		}
		timer.Stop()
	}
}

type watchBody struct {
	Rev  uint64     `json:"ledgerRev"`
	News []kv.Event `json:"news"`
}

func (s *fakeStore) changesSince(prefix string, since uint64) []kv.Event {
	first, _ := slices.BinarySearchFunc(s.log, since+1, func(change kv.Event, rev uint64) int {
		return int(int64(change.ModRevision) - int64(rev))
	})
	latest := map[string]kv.Event{}
	for _, change := range s.log[first:] {
		if key := change.Set + change.Delete; strings.HasPrefix(key, prefix) {
			latest[key] = change
		}
	}
	out := make([]kv.Event, 0, len(latest))
	for _, change := range s.log[first:] {
		if last, ok := latest[change.Set+change.Delete]; ok && last.ModRevision == change.ModRevision && last.Set == change.Set {
			out = append(out, change)
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

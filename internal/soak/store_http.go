package soak

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/kv"
)

const (
	// lostRequestTime and lostResponseTime are how long a request that is lost, or whose response is lost,
	// is held open: longer than a controller waits for the store.
	lostRequestTime  = 6 * time.Second
	lostResponseTime = 3 * time.Second
	// minCommitDelay and maxCommitDelay bound the delay of a transaction that is applied late.
	minCommitDelay, maxCommitDelay = 2 * time.Second, 8 * time.Second
	// maxListPage is the most keys in a page: few, so that controllers load their replicas in several pages.
	maxListPage = 30
	// minLeaseTTLMs is the shortest TTL of a lease, in milliseconds.
	minLeaseTTLMs = 100
)

// handle serves a request of one controller, subject to the store's faults.
func (s *fakeStore) handle(ctx *fasthttp.RequestCtx, client int) {
	s.mu.Lock()
	lost, maxDelay := s.faults.requestsLost[client], s.faults.maxDelay
	s.mu.Unlock()
	if lost {
		s.world.loseRequest(ctx, lostRequestTime)
		return
	}
	if maxDelay > 0 {
		s.world.sleep(s.world.rng.between(0, maxDelay))
	}
	path := string(ctx.Path())
	if path == "/changes" {
		s.watch(ctx, client)
		return
	}
	if path == "/txn" && s.faultyCommit(ctx, client) {
		return
	}
	s.serveRequest(ctx, path, client)
	if maxDelay > 0 {
		s.world.sleep(s.world.rng.between(0, maxDelay)) // the request was carried out; its response is late
	}
}

// serveRequest serves a request without delay, within the limit on the request rate.
func (s *fakeStore) serveRequest(ctx *fasthttp.RequestCtx, path string, client int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnavailable(client) {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	if !s.requestBudget.take(s.limits.requestsPerSecond, 1) {
		ctx.SetStatusCode(http.StatusTooManyRequests)
		return
	}
	switch {
	case path == "/kv":
		respond(ctx, response{http.StatusOK, s.list(string(ctx.QueryArgs().Peek("under")), string(ctx.QueryArgs().Peek("since")))})
	case strings.HasPrefix(path, "/kv/"):
		respond(ctx, s.get(strings.TrimPrefix(path, "/kv/")))
	case path == "/txn":
		respond(ctx, s.commit(ctx.PostBody()))
	case strings.HasPrefix(path, "/holds"):
		parts := strings.Split(strings.Trim(path, "/"), "/")
		respond(ctx, s.serveLease(string(ctx.Method()), parts[1:], ctx.PostBody()))
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

// faultyCommit applies a transaction late or without a response if a fault is drawn for it, and
// reports whether one was.
func (s *fakeStore) faultyCommit(ctx *fasthttp.RequestCtx, client int) bool {
	s.mu.Lock()
	lateRate, lostRate, unavailable := s.faults.lateCommitRate, s.faults.lostResponseRate, s.isUnavailable(client)
	s.mu.Unlock()
	if unavailable {
		return false
	}
	body := slices.Clone(ctx.PostBody())
	switch {
	case lateRate > 0 && s.world.rng.chance(lateRate):
		s.world.after(s.world.rng.between(minCommitDelay, maxCommitDelay), func() { s.commitLate(body, client) })
	case lostRate > 0 && s.world.rng.chance(lostRate):
		s.mu.Lock()
		s.commit(body)
		s.mu.Unlock()
	default:
		return false
	}
	s.world.loseRequest(ctx, lostResponseTime)
	return true
}

// commitLate applies a transaction that its sender has given up on, if the store still accepts it: the
// store must not refuse the sender, and the limits and conditions must hold at that time.
func (s *fakeStore) commitLate(body []byte, client int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUnavailable(client) {
		s.commit(body)
	}
}

func (s *fakeStore) get(key string) response {
	if stored, ok := s.values[key]; ok {
		return response{http.StatusOK, kv.KeyValue{Key: key, Value: stored.value, ModRevision: stored.revision}}
	}
	return response{http.StatusNotFound, revisionBody{Revision: s.revision}}
}

// listBody is a page of keys and values.
type listBody struct {
	Items     []kv.KeyValue `json:"items"`
	Truncated bool          `json:"truncated"`
	Revision  uint64        `json:"ledgerRev"`
}

// list returns the next page after a key.
func (s *fakeStore) list(prefix, since string) listBody {
	page := listBody{Revision: s.revision, Items: []kv.KeyValue{}}
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !strings.HasPrefix(key, prefix) || key <= since {
			continue
		}
		if len(page.Items) == maxListPage {
			page.Truncated = true
			break
		}
		stored := s.values[key]
		page.Items = append(page.Items, kv.KeyValue{Key: key, Value: stored.value, ModRevision: stored.revision})
	}
	return page
}

// leaseBody is a request for a lease, or the response with the granted lease.
type leaseBody struct {
	ID    uint64 `json:"permit,omitempty"`
	TTLMs int64  `json:"ttlMs,omitempty"`
}

// serveLease grants, ends or renews a lease; path holds the path segments after /holds.
func (s *fakeStore) serveLease(method string, path []string, body []byte) response {
	if len(path) == 0 {
		if method != http.MethodPost {
			return response{status: http.StatusBadRequest}
		}
		return s.grantLease(body)
	}
	id, err := strconv.ParseUint(path[0], 10, 64)
	lease := s.leases[id]
	if err != nil || lease == nil {
		return response{status: http.StatusNotFound}
	}
	if method == http.MethodDelete {
		s.endLease(id)
	} else {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
	return response{status: http.StatusOK}
}

func (s *fakeStore) grantLease(body []byte) response {
	var request leaseBody
	if json.Unmarshal(body, &request) != nil || request.TTLMs < minLeaseTTLMs {
		return response{status: http.StatusBadRequest}
	}
	s.lastLeaseID++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[s.lastLeaseID] = &storeLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return response{http.StatusOK, leaseBody{ID: s.lastLeaseID}}
}

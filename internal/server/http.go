package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/admission"
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/controller"
)

// requestTimeout is when a request is given up on: sooner than any caller does.
const requestTimeout = 3500 * time.Millisecond

// httpServer serves users, workers and health probes.
type httpServer struct {
	server        *Server
	lastRequestID atomic.Uint64

	limiter   *admission.Limiter
	latencies *latencyRecorder
	http      *fasthttp.Server

	mu      sync.Mutex
	pending map[uint64]chan controller.Reply
}

func newHTTPServer(server *Server) *httpServer {
	return &httpServer{server: server, limiter: admission.New(), latencies: newLatencyRecorder(), pending: map[uint64]chan controller.Reply{}}
}

func (h *httpServer) serve(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen for users and workers: %w", err)
	}
	h.http = h.newFastHTTPServer()
	go func() {
		<-ctx.Done()
		_ = h.http.Shutdown()
	}()
	if err := h.http.Serve(ln); err != nil {
		return fmt.Errorf("serve users and workers: %w", err)
	}
	return nil
}

func (h *httpServer) newFastHTTPServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            h.handle,
		Name:               "frostdock",
		MaxRequestBodySize: 4 * api.MaxBodyBytes,
		ReadTimeout:        70 * time.Second,
		WriteTimeout:       5 * time.Second,
		IdleTimeout:        90 * time.Second,
		// What is left is for the connections that this process opens itself: without
		// one to the state service it could do nothing at all.
		Concurrency:           max(16, h.server.cfg.Settings.ProcessLimits.Sockets*7/10),
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                discardLogger{},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			ctx.Error("malformed request", fasthttp.StatusBadRequest)
		},
	}
}

// nearConnLimit reports whether so many connections are open that those of workers must not be kept:
// each machine has one, and a fleet may have more machines than a controller has sockets.
func (h *httpServer) nearConnLimit() bool {
	return h.http != nil && int(h.http.GetOpenConnectionsCount()) > h.http.Concurrency*3/4
}

// discardLogger drops the server's own lines about clients that went away.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (h *httpServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	requireMethod := func(required string) bool {
		if method != required {
			ctx.Response.Header.Set("Allow", required)
			ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
		}
		return method == required
	}
	id, action := "", ""
	if rest, ok := strings.CutPrefix(path, "/submissions/"); ok {
		id, action, _ = strings.Cut(rest, "/")
	}
	switch {
	case path == "/ready":
		if requireMethod("GET") {
			h.await(ctx, func(requestID uint64) controller.Message { return controller.ReadyRequest{RequestID: requestID} })
		}
	case path == "/v1/report":
		if requireMethod("POST") {
			var heartbeat agent.Heartbeat
			if err := json.Unmarshal(ctx.PostBody(), &heartbeat); err != nil || heartbeat.Machine == "" {
				ctx.Error("malformed report", fasthttp.StatusBadRequest)
				return
			}
			if h.nearConnLimit() {
				ctx.SetConnectionClose()
			}
			started := time.Now()
			h.await(ctx, func(requestID uint64) controller.Message {
				return controller.HeartbeatRequest{RequestID: requestID, Heartbeat: heartbeat}
			})
			h.latencies.record("report", time.Since(started))
		}
	case path == "/submissions":
		if requireMethod("POST") {
			job, jobID, err := api.Parse(ctx.PostBody())
			h.handleUser(ctx, controller.UserRequest{Kind: controller.SubmitJob, JobID: jobID, Job: job, Malformed: err})
		}
	case id != "" && action == "" && !strings.HasSuffix(path, "/"):
		if !requireMethod("GET") {
			return
		}
		if !api.ValidJobID(id) {
			ctx.Error("no such job", fasthttp.StatusNotFound)
			return
		}
		h.handleUser(ctx, controller.UserRequest{Kind: controller.QueryJob, JobID: id})
	case id != "" && action == "abort":
		if !requireMethod("POST") {
			return
		}
		if !api.ValidJobID(id) {
			ctx.Error("no such job", fasthttp.StatusNotFound)
			return
		}
		h.handleUser(ctx, controller.UserRequest{Kind: controller.CancelJob, JobID: id})
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

var admissionKinds = map[controller.UserRequestKind]struct {
	kind admission.Kind
	name string
}{controller.SubmitJob: {admission.Submit, "submit"}, controller.QueryJob: {admission.Poll, "poll"}, controller.CancelJob: {admission.Abort, "abort"}}

// handleUser hands a user's request on if there is room for one more in progress;
// otherwise it is refused at once, with the time to come back.
func (h *httpServer) handleUser(ctx *fasthttp.RequestCtx, req controller.UserRequest) {
	kind := admissionKinds[req.Kind]
	if !h.limiter.TryAcquire(kind.kind) {
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	started := h.server.now()
	h.await(ctx, func(requestID uint64) controller.Message { req.RequestID = requestID; return req })
	now := h.server.now()
	h.limiter.Release(kind.kind, now, now-started)
	h.latencies.record(kind.name, (now - started).Duration())
}

// await hands a message to the core and waits for its reply.
func (h *httpServer) await(ctx *fasthttp.RequestCtx, newMsg func(requestID uint64) controller.Message) {
	requestID := h.lastRequestID.Add(1)
	replies := make(chan controller.Reply, 1)
	h.mu.Lock()
	h.pending[requestID] = replies
	h.mu.Unlock()
	h.server.post(newMsg(requestID))
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	var reply controller.Reply
	select {
	case reply = <-replies:
	case <-timer.C:
		h.mu.Lock()
		delete(h.pending, requestID)
		h.mu.Unlock()
		reply = controller.Reply{Status: 503, RetryAfterSeconds: 1}
	}
	ctx.SetStatusCode(reply.Status)
	if reply.RetryAfterSeconds > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(reply.RetryAfterSeconds))
	}
	if reply.Body != nil {
		encoded, err := json.Marshal(reply.Body)
		if err != nil {
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(encoded)
	}
}

func (h *httpServer) reply(reply controller.Reply) {
	h.mu.Lock()
	replies := h.pending[reply.RequestID]
	delete(h.pending, reply.RequestID)
	h.mu.Unlock()
	if replies != nil {
		replies <- reply
	}
}

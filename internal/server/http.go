package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/admission"
	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

const (
	// requestTimeout is how long a request waits for the controller's reply. It is shorter than the
	// timeout of any caller.
	requestTimeout = 3500 * time.Millisecond
	// retryAfterSeconds is the value of Retry-After in the response to a refused request.
	retryAfterSeconds = 1

	inboundReadTimeout  = 70 * time.Second
	inboundWriteTimeout = 5 * time.Second
	inboundIdleTimeout  = 90 * time.Second
	// maxInboundBody exceeds the size limit of a submission, so that api.Parse can report an oversized one.
	maxInboundBody = 4 * api.MaxBodyBytes
	// minInboundConns is how many connections are accepted at least, however few sockets the process may have.
	minInboundConns = 16
)

// httpServer serves users, agents and health probes. It turns their requests into messages and waits
// for the controller's replies, in goroutines of fasthttp.
type httpServer struct {
	post postFunc
	now  func() units.Micros

	http      *fasthttp.Server
	limiter   *admission.Limiter
	latencies *latencyRecorder
	pending   *pendingReplies
}

func newHTTPServer(post postFunc, now func() units.Micros, sockets int) *httpServer {
	h := &httpServer{
		post:      post,
		now:       now,
		limiter:   admission.New(),
		latencies: newLatencyRecorder(),
		pending:   newPendingReplies(),
	}
	h.http = newFastHTTPServer(h.handle, sockets)
	return h
}

func newFastHTTPServer(handler fasthttp.RequestHandler, sockets int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            handler,
		Name:               "frostdock",
		MaxRequestBodySize: maxInboundBody,
		ReadTimeout:        inboundReadTimeout,
		WriteTimeout:       inboundWriteTimeout,
		IdleTimeout:        inboundIdleTimeout,
		// The remaining sockets are for the connections that this process opens itself: without
		// one to the key-value store it could do nothing at all.
		Concurrency:           max(minInboundConns, sockets*7/10),
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                discardLogger{},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, _ error) {
			ctx.Error("malformed request", http.StatusBadRequest)
		},
	}
}

// discardLogger drops fasthttp's own log lines about clients that disconnected.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// serve accepts connections until ctx ends or the listener fails. When ctx ends, serve does not wait for
// requests in flight: the loop stops as well, so none of them would get a reply.
func (h *httpServer) serve(ctx context.Context, addr string) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen for users and agents: %w", err)
	}
	go func() {
		<-ctx.Done()
		// Shutdown closes the listener, which makes Serve return, and then waits for the open connections;
		// the process may exit before that. The only error would be from closing the listener, which no
		// longer matters.
		_ = h.http.Shutdown()
	}()
	if err := h.http.Serve(listener); err != nil {
		return fmt.Errorf("serve users and agents: %w", err)
	}
	return nil
}

// nearConnLimit reports whether more than 3/4 of the allowed connections are open. Connections of agents
// are then closed after the response: each machine has one, and a fleet may have more machines than a
// controller has sockets.
func (h *httpServer) nearConnLimit() bool {
	return int(h.http.GetOpenConnectionsCount()) > h.http.Concurrency*3/4
}

// await posts a message to the controller and answers the request with the controller's reply. It
// refuses the request if there is no reply within requestTimeout after the message was queued.
func (h *httpServer) await(ctx *fasthttp.RequestCtx, newMessage func(requestID uint64) controller.Message) {
	requestID, replies := h.pending.add()
	h.post(newMessage(requestID))
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		writeReply(ctx, reply)
	case <-timer.C:
		h.pending.remove(requestID)
		refuse(ctx)
	}
}

// writeReply writes the controller's reply as the HTTP response.
func writeReply(ctx *fasthttp.RequestCtx, reply controller.Reply) {
	ctx.SetStatusCode(reply.Status)
	if reply.RetryAfterSeconds > 0 {
		setRetryAfter(ctx, reply.RetryAfterSeconds)
	}
	if reply.Body == nil {
		return
	}
	encoded, err := json.Marshal(reply.Body)
	if err != nil {
		ctx.Error("internal error", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType(jsonContentType)
	ctx.SetBody(encoded)
}

// refuse answers a request that the controller has not received, or has not replied to in time.
func refuse(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(http.StatusServiceUnavailable)
	setRetryAfter(ctx, retryAfterSeconds)
}

func setRetryAfter(ctx *fasthttp.RequestCtx, seconds int) {
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
}

// pendingReplies holds the requests that wait for the controller's reply. It is safe for concurrent use.
type pendingReplies struct {
	mu     sync.Mutex
	lastID uint64
	byID   map[uint64]chan controller.Reply
}

func newPendingReplies() *pendingReplies {
	return &pendingReplies{byID: map[uint64]chan controller.Reply{}}
}

// add registers a new request, and returns its id and the channel on which its reply is delivered.
func (p *pendingReplies) add() (uint64, <-chan controller.Reply) {
	replies := make(chan controller.Reply, 1) // so that deliver never blocks
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.byID[p.lastID] = replies
	return p.lastID, replies
}

// remove deletes a pending request: a reply that arrives later is dropped.
func (p *pendingReplies) remove(requestID uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, requestID)
}

// deliver sends a reply to its request, if the request is still waiting.
func (p *pendingReplies) deliver(reply controller.Reply) {
	p.mu.Lock()
	replies := p.byID[reply.RequestID]
	delete(p.byID, reply.RequestID)
	p.mu.Unlock()
	if replies != nil {
		replies <- reply
	}
}

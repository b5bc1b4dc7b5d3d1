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

// answerWithin is when a request is given up on: sooner than any caller does.
const answerWithin = 3500 * time.Millisecond

// web serves users, workers and health probes.
type web struct {
	n    *Node
	next atomic.Uint64

	limit  *admission.Limiter
	times  *times
	server *fasthttp.Server

	mu   sync.Mutex
	open map[uint64]chan controller.Reply
}

func newWeb(n *Node) *web {
	return &web{n: n, limit: admission.New(), times: newTimes(), open: map[uint64]chan controller.Reply{}}
}

func (w *web) serve(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen for users and workers: %w", err)
	}
	w.server = w.newServer()
	go func() {
		<-ctx.Done()
		_ = w.server.Shutdown()
	}()
	if err := w.server.Serve(ln); err != nil {
		return fmt.Errorf("serve users and workers: %w", err)
	}
	return nil
}

func (w *web) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            w.handle,
		Name:               "frostdock",
		MaxRequestBodySize: 4 * api.MaxBody,
		ReadTimeout:        70 * time.Second,
		WriteTimeout:       5 * time.Second,
		IdleTimeout:        90 * time.Second,
		// What is left is for the connections that this process opens itself: without
		// one to the state service it could do nothing at all.
		Concurrency:           max(16, w.n.cfg.Settings.Limits.Sockets*7/10),
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                quiet{},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			ctx.Error("malformed request", fasthttp.StatusBadRequest)
		},
	}
}

// crowded reports whether so many connections are open that those of workers must not be kept:
// each machine has one, and a fleet may have more machines than a controller has sockets.
func (w *web) crowded() bool {
	return w.server != nil && int(w.server.GetOpenConnectionsCount()) > w.server.Concurrency*3/4
}

// quiet drops the server's own lines about clients that went away.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (w *web) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	need := func(m string) bool {
		if method != m {
			ctx.Response.Header.Set("Allow", m)
			ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
		}
		return method == m
	}
	id, sub := "", ""
	if rest, ok := strings.CutPrefix(path, "/submissions/"); ok {
		id, sub, _ = strings.Cut(rest, "/")
	}
	switch {
	case path == "/ready":
		if need("GET") {
			w.ask(ctx, func(to uint64) controller.Msg { return controller.ReadyReq{To: to} })
		}
	case path == "/v1/report":
		if need("POST") {
			var r agent.Report
			if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.Machine == "" {
				ctx.Error("malformed report", fasthttp.StatusBadRequest)
				return
			}
			if w.crowded() {
				ctx.SetConnectionClose()
			}
			begun := time.Now()
			w.ask(ctx, func(to uint64) controller.Msg { return controller.ReportReq{To: to, Report: r} })
			w.times.add("report", time.Since(begun))
		}
	case path == "/submissions":
		if need("POST") {
			j, jid, err := api.Parse(ctx.PostBody())
			w.user(ctx, controller.UserReq{Kind: controller.Submit, ID: jid, Job: j, Why: err})
		}
	case id != "" && sub == "" && !strings.HasSuffix(path, "/"):
		if !need("GET") {
			return
		}
		if !api.ValidID(id) {
			ctx.Error("no such job", fasthttp.StatusNotFound)
			return
		}
		w.user(ctx, controller.UserReq{Kind: controller.Poll, ID: id})
	case id != "" && sub == "abort":
		if !need("POST") {
			return
		}
		if !api.ValidID(id) {
			ctx.Error("no such job", fasthttp.StatusNotFound)
			return
		}
		w.user(ctx, controller.UserReq{Kind: controller.Abort, ID: id})
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

var kinds = map[controller.UserKind]struct {
	kind admission.Kind
	name string
}{controller.Submit: {admission.Submit, "submit"}, controller.Poll: {admission.Poll, "poll"}, controller.Abort: {admission.Abort, "abort"}}

// user hands a user's request on if there is room for one more in progress;
// otherwise it is refused at once, with the time to come back.
func (w *web) user(ctx *fasthttp.RequestCtx, q controller.UserReq) {
	k := kinds[q.Kind]
	if !w.limit.Enter(k.kind) {
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	begun := w.n.now()
	w.ask(ctx, func(to uint64) controller.Msg { q.To = to; return q })
	now := w.n.now()
	w.limit.Leave(k.kind, now, now-begun)
	w.times.add(k.name, (now - begun).Duration())
}

// ask hands a message to the core and waits for its reply.
func (w *web) ask(ctx *fasthttp.RequestCtx, msg func(to uint64) controller.Msg) {
	to := w.next.Add(1)
	ch := make(chan controller.Reply, 1)
	w.mu.Lock()
	w.open[to] = ch
	w.mu.Unlock()
	w.n.post(msg(to))
	t := time.NewTimer(answerWithin)
	defer t.Stop()
	var r controller.Reply
	select {
	case r = <-ch:
	case <-t.C:
		w.mu.Lock()
		delete(w.open, to)
		w.mu.Unlock()
		r = controller.Reply{Status: 503, RetryAfterS: 1}
	}
	ctx.SetStatusCode(r.Status)
	if r.RetryAfterS > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(r.RetryAfterS))
	}
	if r.Body != nil {
		b, err := json.Marshal(r.Body)
		if err != nil {
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(b)
	}
}

func (w *web) reply(r controller.Reply) {
	w.mu.Lock()
	ch := w.open[r.To]
	delete(w.open, r.To)
	w.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

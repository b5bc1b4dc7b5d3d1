package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

// shutdownTimeout is how long closing a server waits for requests in flight: longer than the longest delay
// that a fault adds to them.
const shutdownTimeout = 30 * time.Second

// httpServer is the server of a stand-in.
type httpServer struct {
	server   *fasthttp.Server
	listener net.Listener
}

// serve starts a server at an address. It handles requests until it is closed.
func (w *world) serve(address string, handler fasthttp.RequestHandler) (*httpServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for a stand-in: %w", err)
	}
	s := &httpServer{server: &fasthttp.Server{Handler: handler, Logger: discardLogger{}}, listener: listener}
	w.spawn(func() {
		if err := s.server.Serve(listener); err != nil {
			w.events.add("stand-in at %s stops: %v", address, err)
		}
	})
	return s, nil
}

// close stops accepting connections and waits until the requests in flight are handled.
func (s *httpServer) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.server.ShutdownWithContext(ctx)
	// The shutdown leaves the listener open if Serve has not registered it yet.
	if closeErr := s.listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	if err != nil {
		return fmt.Errorf("close the stand-in at %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// loseRequest simulates a lost request. The server has to respond in the end, so wait must be longer
// than the client's timeout.
func (w *world) loseRequest(ctx *fasthttp.RequestCtx, wait time.Duration) {
	w.sleep(wait)
	ctx.SetConnectionClose()
	ctx.SetStatusCode(http.StatusServiceUnavailable)
}

// response is a status with a body, which is sent as JSON unless nil.
type response struct {
	status int
	body   any
}

func respond(ctx *fasthttp.RequestCtx, resp response) {
	ctx.SetStatusCode(resp.status)
	if resp.body == nil {
		return
	}
	raw, err := json.Marshal(resp.body)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// discardLogger drops the log lines of the HTTP servers, which report the connections that faults cut.
type discardLogger struct{}

// Printf drops a log line.
func (discardLogger) Printf(string, ...any) {}

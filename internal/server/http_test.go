package server

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/policy"
)

// newConfig is the configuration of a controller with so many sockets that reaches neither key-value store nor cloud.
func newConfig(sockets int) *config.Config {
	cfg := &config.Config{Member: "a"}
	cfg.Endpoints.KVStore, cfg.Endpoints.Cloud = "127.0.0.1:1", "127.0.0.1:1"
	cfg.Settings.Size, cfg.Settings.ProcessLimits.Sockets = 1, sockets
	cfg.Settings.Workers.LeaseS, cfg.Settings.Workers.CancelS, cfg.Settings.Workers.HeartbeatS = 22, 47, 3
	return cfg
}

func newServer(cfg *config.Config) *Server {
	return New(cfg, policy.Default(), slog.New(slog.NewTextHandler(io.Discard, nil)), "test")
}

// newIsolatedServer runs the loop of a controller with the configuration of newConfig.
func newIsolatedServer(t *testing.T, sockets int) *Server {
	t.Helper()
	s := newServer(newConfig(sockets))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = s.loop(ctx) }()
	return s
}

// TestStatuses asks a controller that has not reached its state service yet.
func TestStatuses(t *testing.T) {
	s := newIsolatedServer(t, 100)
	ln := fasthttputil.NewInmemoryListener()
	defer ln.Close()
	go func() { _ = fasthttp.Serve(ln, s.http.handle) }()
	client := &fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return ln.Dial() }}
	for _, tc := range []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/nothing", "", 404},
		{"GET", "/submissions", "", 405},
		{"POST", "/ready", "", 405},
		{"GET", "/submissions/j-1/abort", "", 405},
		{"GET", "/submissions/", "", 404},
		{"GET", "/submissions/x", "", 404},
		{"POST", "/submissions", "{", 400},
		{"POST", "/submissions", "[]", 400},
		{"POST", "/submissions", strings.Repeat(" ", 70<<10) + "{}", 400},
		{"POST", "/submissions", `{"uid":"j-1"}`, 503}, // malformed, but perhaps a known job's repeat
		{"GET", "/submissions/j-1", "", 503},
		{"POST", "/submissions/j-1/abort", "", 503},
		{"GET", "/ready", "", 503},
		{"POST", "/v1/report", "{}", 400},
		{"POST", "/v1/report", `{"bench":"n-1","shift":1,"tally":1}`, 503},
	} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(tc.method)
		req.SetRequestURI("http://x" + tc.path)
		req.SetBodyString(tc.body)
		if err := client.Do(req, resp); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode() != tc.want {
			t.Errorf("%s %s %.20q: %d, want %d", tc.method, tc.path, tc.body, resp.StatusCode(), tc.want)
		}
		if tc.want == 503 && strings.HasPrefix(tc.path, "/submissions") && len(resp.Header.Peek("Retry-After")) == 0 {
			t.Errorf("%s %s: no Retry-After", tc.method, tc.path)
		}
	}
}

// TestNearConnLimit has more machines than the controller has sockets report: once most connections
// are taken, workers are told to close theirs, so that all of them get through in turn.
func TestNearConnLimit(t *testing.T) {
	s := newIsolatedServer(t, 50)
	s.http.http = s.http.newFastHTTPServer()
	ln := fasthttputil.NewInmemoryListener()
	defer ln.Close()
	go func() { _ = s.http.http.Serve(ln) }()
	closed := 0
	for i := range 100 { // each keeps its connection unless it is told otherwise
		client := &fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return ln.Dial() }}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod("POST")
		req.SetRequestURI("http://x/v1/report")
		req.SetBodyString(`{"bench":"n-1","shift":1,"tally":1}`)
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != 503 {
			t.Fatalf("machine %d: %d, %v", i, resp.StatusCode(), err)
		}
		if resp.ConnectionClose() {
			closed++
		}
	}
	if closed < 60 || closed > 80 {
		t.Errorf("%d of 100 connections were closed", closed)
	}
}

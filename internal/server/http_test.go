package server

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

const heartbeatBody = `{"bench":"n-1","shift":1,"tally":1}`

// serveInMemory serves the HTTP server of s on an in-memory listener.
func serveInMemory(t *testing.T, s *Server) *fasthttputil.InmemoryListener {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = s.http.http.Serve(listener) }()
	return listener
}

func newInMemoryClient(listener *fasthttputil.InmemoryListener) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return listener.Dial() }}
}

// send makes one request and returns its response.
func send(t *testing.T, client *fasthttp.HostClient, method, path, body string) *fasthttp.Response {
	t.Helper()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://x" + path)
	req.SetBodyString(body)
	if err := client.Do(req, resp); err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	return resp
}

// TestStatuses checks the HTTP statuses of a controller that has not reached its key-value store yet.
func TestStatuses(t *testing.T) {
	client := newInMemoryClient(serveInMemory(t, newIsolatedServer(t, 100)))
	for _, tc := range []struct {
		method, path, body string
		want               int
	}{
		{http.MethodGet, "/nothing", "", http.StatusNotFound},
		{http.MethodGet, "/submissions", "", http.StatusMethodNotAllowed},
		{http.MethodPost, "/ready", "", http.StatusMethodNotAllowed},
		{http.MethodPut, "/v1/report", heartbeatBody, http.StatusMethodNotAllowed},
		{http.MethodGet, "/submissions/j-1/abort", "", http.StatusMethodNotAllowed},
		{http.MethodGet, "/submissions/", "", http.StatusNotFound},
		{http.MethodGet, "/submissions/j-1/", "", http.StatusNotFound},
		{http.MethodPost, "/submissions/j-1/abort/", "", http.StatusNotFound},
		{http.MethodPost, "/submissions/j-1/other", "", http.StatusNotFound},
		{http.MethodGet, "/submissions/x", "", http.StatusNotFound},
		{http.MethodPost, "/submissions/x/abort", "", http.StatusNotFound},
		{http.MethodPost, "/submissions", "{", http.StatusBadRequest},
		{http.MethodPost, "/submissions", "[]", http.StatusBadRequest},
		{http.MethodPost, "/submissions", strings.Repeat(" ", 70<<10) + "{}", http.StatusBadRequest},
		// Malformed, but it may repeat the submission of a known job.
		{http.MethodPost, "/submissions", `{"uid":"j-1"}`, http.StatusServiceUnavailable},
		{http.MethodGet, "/submissions/j-1", "", http.StatusServiceUnavailable},
		{http.MethodPost, "/submissions/j-1/abort", "", http.StatusServiceUnavailable},
		{http.MethodGet, "/ready", "", http.StatusServiceUnavailable},
		{http.MethodPost, "/v1/report", "{}", http.StatusBadRequest},
		{http.MethodPost, "/v1/report", heartbeatBody, http.StatusServiceUnavailable},
	} {
		resp := send(t, client, tc.method, tc.path, tc.body)
		if resp.StatusCode() != tc.want {
			t.Errorf("%s %s %.20q: status %d, want %d", tc.method, tc.path, tc.body, resp.StatusCode(), tc.want)
		}
		needsRetryAfter := tc.want == http.StatusServiceUnavailable && strings.HasPrefix(tc.path, "/submissions")
		if needsRetryAfter && len(resp.Header.Peek("Retry-After")) == 0 {
			t.Errorf("%s %s: Retry-After header is missing", tc.method, tc.path)
		}
	}
}

// TestSubmissionOfTwoIDs sends, over loopback, a submission with a second id whose field name differs in
// case only, and repeats it at a second controller as users do. Both controllers must answer and keep
// running; such a submission made each of them panic on a nil pointer (see TestIDInOtherCase of package
// api).
func TestSubmissionOfTwoIDs(t *testing.T) {
	const submission = `{"uid":"j-1","UID":%s,"lot":"a","crew":"b","cut":"array","grade":"urgent","pieces":1,"cpus":1,"cards":0,
		"memoryGb":1,"pattern":"c","sizeGb":1,"samePlace":false,"spread":false,"loaners":false,"sawS":1,"stackS":0,"stowS":0}`
	for range 2 {
		s := newIsolatedServer(t, 100)
		listener := listenOnLoopback(t)
		go func() { _ = s.http.http.Serve(listener) }()
		client := &fasthttp.HostClient{Addr: listener.Addr().String()}
		for _, second := range []string{"null", `"x/y"`, `"j-2"`, "7"} {
			resp := send(t, client, http.MethodPost, "/submissions", fmt.Sprintf(submission, second))
			if resp.StatusCode() != http.StatusServiceUnavailable { // the controller has not reached its key-value store
				t.Errorf("UID %s: status %d", second, resp.StatusCode())
			}
		}
	}
}

// TestNearConnLimit sends heartbeats from more machines than the controller has sockets. Once most
// connections are in use, agents must be told to close theirs, so that all of them get through in turn.
func TestNearConnLimit(t *testing.T) {
	listener := serveInMemory(t, newIsolatedServer(t, 50))
	closed := 0
	for i := range 100 { // each keeps its connection open unless it is told to close it
		resp := send(t, newInMemoryClient(listener), http.MethodPost, "/v1/report", heartbeatBody)
		if resp.StatusCode() != http.StatusServiceUnavailable {
			t.Fatalf("machine %d: status %d", i, resp.StatusCode())
		}
		if resp.ConnectionClose() {
			closed++
		}
	}
	if closed < 60 || closed > 80 {
		t.Errorf("%d of 100 connections were closed, want 60 to 80", closed)
	}
}

package server

import (
	"io"
	"net"
	"net/http"
	"reflect"
	"testing"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/controller"
)

// testCallID is the id of every call; the result must have the same id.
const testCallID = 7

// wireRequest holds what a server receives of a request.
type wireRequest struct{ method, uri, contentType, body string }

func getRequest(uri string) wireRequest { return wireRequest{method: http.MethodGet, uri: uri} }

// postRequest is a request with a JSON body, or without a body when body is empty.
func postRequest(uri, body string) wireRequest {
	if body == "" {
		return wireRequest{method: http.MethodPost, uri: uri}
	}
	return wireRequest{http.MethodPost, uri, "application/json", body}
}

// outboundCase is a call, the request that it must send, and the result of the stub server's response.
type outboundCase struct {
	name         string
	call         controller.Effect
	request      wireRequest // must be sent
	status       int         // of the response
	responseBody string
	result       controller.Message // must be posted
}

// runOutboundCases carries out each call against a stub server on loopback.
func runOutboundCases(t *testing.T, cases []outboundCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, requests := startStubServer(t, tc.status, tc.responseBody)
			cfg := newConfig(64)
			cfg.Endpoints.KVStore, cfg.Endpoints.Cloud = address, address
			s := newServer(cfg)
			if call, ok := tc.call.(controller.AgentCall); ok {
				call.Address = address
				tc.call = call
			}
			s.execute(tc.call)
			if got := <-requests; got != tc.request {
				t.Errorf("request %+v, want %+v", got, tc.request)
			}
			if got := <-s.queue; !reflect.DeepEqual(got, tc.result) {
				t.Errorf("message %+v, want %+v", got, tc.result)
			}
		})
	}
}

// startStubServer starts a server that gives every request the same response. It returns the server's
// address and the requests.
func startStubServer(t *testing.T, status int, responseBody string) (string, <-chan wireRequest) {
	t.Helper()
	requests := make(chan wireRequest, 1)
	address := serveOnLoopback(t, func(ctx *fasthttp.RequestCtx) {
		requests <- wireRequest{
			method:      string(ctx.Method()),
			uri:         string(ctx.RequestURI()),
			contentType: string(ctx.Request.Header.ContentType()),
			body:        string(ctx.PostBody()),
		}
		ctx.SetStatusCode(status)
		_, _ = io.WriteString(ctx, responseBody)
	})
	return address, requests
}

// serveOnLoopback serves on a loopback port until the test ends, and returns the address.
func serveOnLoopback(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener := listenOnLoopback(t)
	go func() { _ = fasthttp.Serve(listener, handler) }()
	return listener.Addr().String()
}

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

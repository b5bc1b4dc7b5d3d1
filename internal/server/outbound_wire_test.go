package server

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"reflect"
	"testing"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
)

// wireRequest is what a callee sees of one request.
type wireRequest struct{ method, uri, contentType, body string }

// fakeCallee answers every request with one status and body, and keeps what it was asked.
type fakeCallee struct {
	address  string
	requests chan wireRequest
}

func newFakeCallee(t *testing.T, status int, body string) *fakeCallee {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	callee := &fakeCallee{address: listener.Addr().String(), requests: make(chan wireRequest, 1)}
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			callee.requests <- wireRequest{
				method: string(ctx.Method()), uri: string(ctx.RequestURI()),
				contentType: string(ctx.Request.Header.ContentType()), body: string(ctx.PostBody()),
			}
			ctx.SetStatusCode(status)
			_, _ = io.WriteString(ctx, body)
		})
	}()
	return callee
}

// TestOutboundRequests has each effect that calls someone send its request, and checks the message
// that the answer becomes.
func TestOutboundRequests(t *testing.T) {
	const callID = 7
	kvCall := func(request kv.Request) controller.Effect {
		return controller.StoreCall{CallID: callID, Request: request}
	}
	commands := &agent.CommandRequest{FencingToken: 3, Epoch: 2, Commands: []agent.Command{{Action: agent.Start, Task: "j-1/0", Attempt: 1}}}
	heartbeat := &agent.Heartbeat{Machine: "n-1"}
	for _, tc := range []struct {
		name   string
		effect controller.Effect
		want   wireRequest
		status int
		body   string
		result controller.Message
	}{
		{
			"get", kvCall(kv.Request{Kind: kv.Get, Key: "a/b"}),
			wireRequest{method: http.MethodGet, uri: "/kv/a/b"},
			http.StatusOK, `{"key":"a/b","v":{"x":1},"stamp":4,"ledgerRev":9}`,
			controller.StoreResult{CallID: callID, Response: kv.Response{Status: kv.StatusOK, Key: "a/b", Value: json.RawMessage(`{"x":1}`), ModRevision: 4, Revision: 9}},
		},
		{
			"list", kvCall(kv.Request{Kind: kv.List, Key: "a/"}),
			wireRequest{method: http.MethodGet, uri: "/kv?under=a%2F&most=1000"},
			http.StatusOK, `{"truncated":true}`,
			controller.StoreResult{CallID: callID, Response: kv.Response{Status: kv.StatusOK, Truncated: true}},
		},
		{
			"list on", kvCall(kv.Request{Kind: kv.List, Key: "a/", After: "a/b c"}),
			wireRequest{method: http.MethodGet, uri: "/kv?under=a%2F&most=1000&since=a%2Fb+c"},
			http.StatusServiceUnavailable, "busy",
			controller.StoreResult{CallID: callID, Response: kv.Response{Status: kv.StatusUnavailable}},
		},
		{
			"transact", kvCall(kv.Request{Kind: kv.Transact, Txn: &kv.Txn{Conditions: []kv.Condition{{Key: "a", ModRevision: 1}}, Operations: []kv.Operation{{Delete: "a"}}}}),
			wireRequest{http.MethodPost, "/txn", "application/json", `{"guards":[{"key":"a","stamp":1}],"apply":[{"delete":"a"}]}`},
			http.StatusConflict, `{"failed":["a"]}`,
			controller.StoreResult{CallID: callID, Response: kv.Response{Status: kv.StatusConflict, FailedKeys: []string{"a"}}},
		},
		{
			"grant a lease", kvCall(kv.Request{Kind: kv.GrantLease, TTLMillis: 5000}),
			wireRequest{http.MethodPost, "/holds", "application/json", `{"ttlMs":5000}`},
			http.StatusOK, `{"permit":12}`,
			controller.StoreResult{CallID: callID, Response: kv.Response{Status: kv.StatusOK, LeaseID: 12}},
		},
		{
			"renew a lease", kvCall(kv.Request{Kind: kv.RenewLease, LeaseID: 12}),
			wireRequest{method: http.MethodPost, uri: "/holds/12/renew"},
			http.StatusNotFound, "",
			controller.StoreResult{CallID: callID, Response: kv.Response{Status: kv.StatusNotFound}},
		},
		{
			"watch", kvCall(kv.Request{Kind: kv.Watch, Key: "a/", Revision: 9, WaitMillis: 100}),
			wireRequest{method: http.MethodGet, uri: "/changes?under=a%2F&since=9&holdMs=100"},
			http.StatusOK, `{"news":[{"delete":"a/b","stamp":10}]}`,
			controller.StoreResult{CallID: callID, Response: kv.Response{Status: kv.StatusOK, Events: []kv.Event{{Delete: "a/b", ModRevision: 10}}}},
		},
		{
			"an answer that is no JSON", kvCall(kv.Request{Kind: kv.Get, Key: "a"}),
			wireRequest{method: http.MethodGet, uri: "/kv/a"},
			http.StatusOK, "{",
			controller.StoreResult{CallID: callID},
		},
		{
			"catalog", controller.CloudCall{CallID: callID, Op: controller.CloudCatalog},
			wireRequest{method: http.MethodGet, uri: "/catalog"},
			http.StatusOK, `{"stocks":[{"name":"big"}]}`,
			controller.CloudResult{CallID: callID, Status: cloud.StatusOK, Catalog: cloud.Catalog{Types: []cloud.MachineType{{Name: "big"}}}},
		},
		{
			"rent", controller.CloudCall{CallID: callID, Op: controller.CloudRent, Rental: cloud.RentalRequest{Name: "r", Type: "big", Zone: "z", Count: 2}},
			wireRequest{http.MethodPost, "/machines", "application/json", `{"hire":"r","stock":"big","yard":"z","loaners":false,"howMany":2}`},
			http.StatusOK, `{"benches":["n-1"]}`,
			controller.CloudResult{CallID: callID, Status: cloud.StatusOK, Machines: cloud.MachineNames{Names: []string{"n-1"}}},
		},
		{
			"delete", controller.CloudCall{CallID: callID, Op: controller.CloudDelete, Machines: cloud.MachineNames{Names: []string{"n-1"}}},
			wireRequest{http.MethodPost, "/machines/delete", "application/json", `{"benches":["n-1"]}`},
			http.StatusOK, `{"benches":["n-1"]}`,
			controller.CloudResult{CallID: callID, Status: cloud.StatusOK},
		},
		{
			"list machines", controller.CloudCall{CallID: callID, Op: controller.CloudList},
			wireRequest{method: http.MethodGet, uri: "/machines?most=500"},
			http.StatusOK, `{"truncated":true}`,
			controller.CloudResult{CallID: callID, Status: cloud.StatusOK, Page: cloud.MachinePage{Truncated: true}},
		},
		{
			"list machines on", controller.CloudCall{CallID: callID, Op: controller.CloudList, After: "n 1"},
			wireRequest{method: http.MethodGet, uri: "/machines?most=500&since=n+1"},
			http.StatusServiceUnavailable, "{",
			controller.CloudResult{CallID: callID, Status: cloud.StatusRefused},
		},
		{
			"inspect", controller.AgentCall{CallID: callID},
			wireRequest{method: http.MethodGet, uri: "/inspect"},
			http.StatusOK, `{"bench":"n-1"}`,
			controller.AgentResult{CallID: callID, Heartbeat: heartbeat},
		},
		{
			"command", controller.AgentCall{CallID: callID, Commands: commands},
			wireRequest{http.MethodPost, "/commands", "application/json", `{"baton":3,"shift":2,"orders":[{"order":"launch","piece":"j-1/0","pass":1}]}`},
			http.StatusConflict, `{"bench":"n-1"}`,
			controller.AgentResult{CallID: callID, Heartbeat: heartbeat},
		},
		{
			"a refused command", controller.AgentCall{CallID: callID, Commands: commands},
			wireRequest{http.MethodPost, "/commands", "application/json", `{"baton":3,"shift":2,"orders":[{"order":"launch","piece":"j-1/0","pass":1}]}`},
			http.StatusBadRequest, `{"bench":"n-1"}`,
			controller.AgentResult{CallID: callID},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			callee := newFakeCallee(t, tc.status, tc.body)
			cfg := newConfig(64)
			cfg.Endpoints.KVStore, cfg.Endpoints.Cloud = callee.address, callee.address
			s := newServer(cfg) // its loop does not run: the test takes what is posted
			if call, ok := tc.effect.(controller.AgentCall); ok {
				call.Address = callee.address
				tc.effect = call
			}
			s.execute(tc.effect)
			if got := <-callee.requests; got != tc.want {
				t.Errorf("request %+v, want %+v", got, tc.want)
			}
			if got := <-s.queue; !reflect.DeepEqual(got, tc.result) {
				t.Errorf("message %+v, want %+v", got, tc.result)
			}
		})
	}
}

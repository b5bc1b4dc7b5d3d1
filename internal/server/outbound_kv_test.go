package server

import (
	"encoding/json"
	"net/http"
	"testing"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
)

func kvCall(request kv.Request) controller.StoreCall {
	return controller.StoreCall{CallID: testCallID, Request: request}
}

func kvResult(response kv.Response) controller.StoreResult {
	return controller.StoreResult{CallID: testCallID, Response: response}
}

// TestKVReads checks the requests of read calls to the key-value store, and the messages that the responses
// result in.
func TestKVReads(t *testing.T) {
	found := kv.Response{
		Status: kv.StatusOK, Key: "a/b", Value: json.RawMessage(`{"x":1}`), ModRevision: 4, Revision: 9,
	}
	runOutboundCases(t, []outboundCase{
		{
			"get", kvCall(kv.Request{Kind: kv.Get, Key: "a/b"}),
			getRequest("/kv/a/b"),
			http.StatusOK, `{"key":"a/b","v":{"x":1},"stamp":4,"ledgerRev":9}`,
			kvResult(found),
		},
		{
			"answer that is no JSON", kvCall(kv.Request{Kind: kv.Get, Key: "a"}),
			getRequest("/kv/a"),
			http.StatusOK, "{",
			kvResult(kv.Response{Status: kv.StatusUnknown}),
		},
		{
			"list", kvCall(kv.Request{Kind: kv.List, Key: "a/"}),
			getRequest("/kv?under=a%2F&most=1000"),
			http.StatusOK, `{"truncated":true}`,
			kvResult(kv.Response{Status: kv.StatusOK, Truncated: true}),
		},
		{
			"list next page", kvCall(kv.Request{Kind: kv.List, Key: "a/", After: "a/b c"}),
			getRequest("/kv?under=a%2F&most=1000&since=a%2Fb+c"),
			http.StatusServiceUnavailable, "busy",
			kvResult(kv.Response{Status: kv.StatusUnavailable}),
		},
		{
			"watch", kvCall(kv.Request{Kind: kv.Watch, Key: "a/", Revision: 9, WaitMillis: 100}),
			getRequest("/changes?under=a%2F&since=9&holdMs=100"),
			http.StatusOK, `{"news":[{"delete":"a/b","stamp":10}]}`,
			kvResult(kv.Response{Status: kv.StatusOK, Events: []kv.Event{{Delete: "a/b", ModRevision: 10}}}),
		},
	})
}

// TestKVWrites checks the requests of write calls to the key-value store, and the messages that the
// responses result in.
func TestKVWrites(t *testing.T) {
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: "a", ModRevision: 1}},
		Operations: []kv.Operation{{Delete: "a"}},
	}
	runOutboundCases(t, []outboundCase{
		{
			"transact", kvCall(kv.Request{Kind: kv.Transact, Txn: txn}),
			postRequest("/txn", `{"guards":[{"key":"a","stamp":1}],"apply":[{"delete":"a"}]}`),
			http.StatusConflict, `{"failed":["a"]}`,
			kvResult(kv.Response{Status: kv.StatusConflict, FailedKeys: []string{"a"}}),
		},
		{
			"grant a lease", kvCall(kv.Request{Kind: kv.GrantLease, TTLMillis: 5000}),
			postRequest("/holds", `{"ttlMs":5000}`),
			http.StatusOK, `{"permit":12}`,
			kvResult(kv.Response{Status: kv.StatusOK, LeaseID: 12}),
		},
		{
			"renew a lease", kvCall(kv.Request{Kind: kv.RenewLease, LeaseID: 12}),
			postRequest("/holds/12/renew", ""),
			http.StatusNotFound, "",
			kvResult(kv.Response{Status: kv.StatusNotFound}),
		},
	})
}

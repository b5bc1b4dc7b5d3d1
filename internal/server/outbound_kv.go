package server

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
)

const (
	kvTimeout     = 1500 * time.Millisecond
	kvListTimeout = 2 * kvTimeout
	// watchGracePeriod is how much longer a watch may take than the wait that it requests.
	watchGracePeriod = 3 * time.Second

	kvMaxConns      = 24
	kvWatchMaxConns = 8

	kvPageSize = "1000"
)

// kvClient calls the key-value store. Watches have connections of their own, since each occupies its
// connection for a long time.
type kvClient struct {
	post        postFunc
	client      *fasthttp.HostClient
	watchClient *fasthttp.HostClient
}

func newKVClient(addr string, post postFunc) *kvClient {
	return &kvClient{
		post:        post,
		client:      newHostClient(addr, kvMaxConns),
		watchClient: newHostClient(addr, kvWatchMaxConns),
	}
}

// call makes one call and posts its result.
func (c *kvClient) call(call controller.StoreCall) {
	var response kv.Response
	response.Status = kv.StatusOf(c.send(call.Request, &response))
	c.post(controller.StoreResult{CallID: call.CallID, Response: response})
}

// send makes the HTTP request for a call, and returns the HTTP status or noResponse.
func (c *kvClient) send(call kv.Request, response *kv.Response) int {
	client, request := c.client, jsonRequest{timeout: kvTimeout}
	switch call.Kind {
	case kv.Get:
		request.method, request.path = http.MethodGet, "/kv/"+call.Key
	case kv.List:
		request.method, request.path = http.MethodGet, listPath(call)
		request.timeout = kvListTimeout
	case kv.Transact:
		request.method, request.path = http.MethodPost, "/txn"
		request.body = call.Txn
	case kv.GrantLease:
		request.method, request.path = http.MethodPost, "/holds"
		request.body = grantLeaseBody{TTLMillis: call.TTLMillis}
	case kv.RenewLease:
		request.method, request.path = http.MethodPost, "/holds/"+strconv.FormatUint(call.LeaseID, 10)+"/renew"
	case kv.Watch:
		client = c.watchClient
		request.method, request.path = http.MethodGet, watchPath(call)
		request.timeout = time.Duration(call.WaitMillis)*time.Millisecond + watchGracePeriod
	default:
		return noResponse // the protocol has no request of this kind, so nothing is sent
	}
	return exchange(client, request, response)
}

// grantLeaseBody is the body of a request for a lease.
type grantLeaseBody struct {
	TTLMillis int64 `json:"ttlMs"`
}

// listPath returns the path of the page of keys that come after call.After.
func listPath(call kv.Request) string {
	path := "/kv?under=" + url.QueryEscape(call.Key) + "&most=" + kvPageSize
	if call.After != "" {
		path += "&since=" + url.QueryEscape(call.After)
	}
	return path
}

// watchPath returns the path that responds with the events after call.Revision, or with none once
// call.WaitMillis have passed.
func watchPath(call kv.Request) string {
	return "/changes?under=" + url.QueryEscape(call.Key) +
		"&since=" + strconv.FormatUint(call.Revision, 10) +
		"&holdMs=" + strconv.FormatInt(call.WaitMillis, 10)
}

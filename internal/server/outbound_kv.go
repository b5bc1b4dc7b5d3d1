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
	// watchGracePeriod is how much longer than the wait that it asks for a watch may take.
	watchGracePeriod = 3 * time.Second

	kvMaxConns      = 24
	kvWatchMaxConns = 8

	kvPageSize = "1000"
)

// kvClient calls the key-value store. Watches have connections of their own, since they occupy them for long.
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

// send makes the request that a call stands for, and returns its HTTP status or noAnswer.
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
		return noAnswer // nothing is sent for a kind that the protocol does not have
	}
	return exchange(client, request, response)
}

// grantLeaseBody is the body of a request for a lease.
type grantLeaseBody struct {
	TTLMillis int64 `json:"ttlMs"`
}

// listPath is the path of the page of keys that follows a call's After.
func listPath(call kv.Request) string {
	path := "/kv?under=" + url.QueryEscape(call.Key) + "&most=" + kvPageSize
	if call.After != "" {
		path += "&since=" + url.QueryEscape(call.After)
	}
	return path
}

// watchPath is the path that answers with the events after a revision, or with none after the wait.
func watchPath(call kv.Request) string {
	return "/changes?under=" + url.QueryEscape(call.Key) +
		"&since=" + strconv.FormatUint(call.Revision, 10) +
		"&holdMs=" + strconv.FormatInt(call.WaitMillis, 10)
}

package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout     = time.Second
	connWaitTimeout = time.Second // to wait for a connection while all of a client's are in use
	idleConnTimeout = 10 * time.Second

	jsonContentType = "application/json"
)

// noResponse stands for the HTTP status of a call without a complete response: the call may have been
// carried out, or may still be carried out.
const noResponse = 0

// newHostClient returns a client that sends each request at most once: whether a request may be
// sent again is the controller's decision.
func newHostClient(addr string, maxConns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		Name:                      "frostdock",
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleConnTimeout,
		MaxConnWaitTimeout:        connWaitTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
		Dial:                      dial,
	}
}

// dial connects within dialTimeout. fasthttp passes no context to a dialer that could cancel it sooner.
func dial(addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), "tcp4", addr)
}

// jsonRequest is a request to another process.
type jsonRequest struct {
	method, path string
	body         any // encoded as JSON; nil: no body
	// timeout covers the whole call, including the wait for a connection. When it expires, the
	// connection is closed and never reused, and the outcome counts as unknown.
	timeout      time.Duration
	closeAfter   bool          // the connection is not kept for another request
	deadlineBody *deadlineBody // sends the body only before a deadline; nil: no deadline
}

// exchange sends a request and decodes the response into result, unless result is nil. It returns the
// HTTP status of the response, or noResponse. It does not distinguish errors: after any of them, all
// that a controller may conclude is that the outcome is unknown.
func exchange(client *fasthttp.HostClient, request jsonRequest, result any) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(request.method)
	req.SetRequestURI("http://" + client.Addr + request.path)
	if request.closeAfter {
		req.SetConnectionClose()
	}
	if request.body != nil {
		encoded, err := json.Marshal(request.body)
		if err != nil {
			return noResponse
		}
		req.Header.SetContentType(jsonContentType)
		if request.deadlineBody != nil {
			request.deadlineBody.reader = bytes.NewReader(encoded)
			req.SetBodyStream(request.deadlineBody, len(encoded))
		} else {
			req.SetBody(encoded)
		}
	}
	if err := client.DoTimeout(req, resp, request.timeout); err != nil {
		return noResponse
	}
	if result != nil && len(resp.Body()) > 0 {
		// With a status other than 200 the body may be plain text; the status is returned all the same.
		if err := json.Unmarshal(resp.Body(), result); err != nil && resp.StatusCode() == http.StatusOK {
			return noResponse
		}
	}
	return resp.StatusCode()
}

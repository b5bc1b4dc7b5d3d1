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
	connWaitTimeout = time.Second // for a connection, while all of a client's are in use
	idleConnTimeout = 10 * time.Second

	jsonContentType = "application/json"
)

// noAnswer stands for the HTTP status of a call without a complete answer: it may have been carried
// out, or may yet be.
const noAnswer = 0

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

// dial connects within dialTimeout. fasthttp gives a dialer no context to end sooner by.
func dial(addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), "tcp4", addr)
}

// jsonRequest is a request to another process.
type jsonRequest struct {
	method, path string
	body         any // encoded as JSON; nil: no body
	// timeout covers all of the call, with the wait for a connection. After it the connection is
	// closed and never used again, and the outcome counts as unknown.
	timeout    time.Duration
	closeAfter bool        // the connection is not kept for another request
	timely     *timelyBody // carries the body if it may leave up to some moment only; nil: at any time
}

// exchange sends a request and decodes the answer into result, unless that is nil. It returns the
// answer's HTTP status, or noAnswer. Errors are not told apart: whichever it was, all that a controller may
// conclude is that the outcome is unknown.
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
			return noAnswer
		}
		req.Header.SetContentType(jsonContentType)
		if request.timely != nil {
			request.timely.rest = bytes.NewReader(encoded)
			req.SetBodyStream(request.timely, len(encoded))
		} else {
			req.SetBody(encoded)
		}
	}
	if err := client.DoTimeout(req, resp, request.timeout); err != nil {
		return noAnswer
	}
	if result != nil && len(resp.Body()) > 0 {
		// The body of another status may be a text for people: the status counts all the same.
		if err := json.Unmarshal(resp.Body(), result); err != nil && resp.StatusCode() == http.StatusOK {
			return noAnswer
		}
	}
	return resp.StatusCode()
}

package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// noResponse is the status of a request without a response.
	noResponse = 0

	probeInterval = 300 * time.Millisecond
	probeTimeout  = time.Second

	maxClientConns  = 4096
	clientIdleLimit = 5 * time.Second
)

// newClient returns a client that sends each request once: retries are up to the stand-ins.
func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: address, MaxConns: maxClientConns, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: clientIdleLimit}
}

// post sends a POST request; see call.
func (p *controllerProcess) post(path string, body any, timeout time.Duration, result any) int {
	return p.call(http.MethodPost, path, body, timeout, result)
}

// call sends a request, decodes the response body into result unless that is nil, and returns the status.
func (p *controllerProcess) call(method, path string, body any, timeout time.Duration, result any) int {
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + p.client.Addr + path)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(fmt.Sprintf("soak: cannot encode a request body as JSON: %v", err)) // a bug in this package
		}
		request.SetBody(raw)
	}
	if p.client.DoTimeout(request, reply, timeout) != nil {
		return noResponse
	}
	if result != nil && len(reply.Body()) > 0 {
		// A body that is not JSON leaves the result empty: the checker reports an empty stage.
		_ = json.Unmarshal(reply.Body(), result)
	}
	return reply.StatusCode()
}

// isHealthy sends a readiness probe, as a load balancer does.
func (p *controllerProcess) isHealthy() bool {
	return p.call(http.MethodGet, "/ready", nil, probeTimeout, nil) == http.StatusOK
}

package server

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
)

// How long each kind of call may take. After that the connection is closed,
// never used again, and the answer counts as unknown.
const (
	dialWithin   = time.Second
	stateWithin  = 1500 * time.Millisecond
	cloudWithin  = 5 * time.Second
	workerWithin = 1500 * time.Millisecond
	holdExtra    = 3 * time.Second
	workerIdle   = 4 * time.Second
)

// clients makes the calls. Nothing is ever repeated here: whether a request
// may be sent again is the core's decision.
type clients struct {
	n        *Node
	calls    *fasthttp.HostClient
	watches  *fasthttp.HostClient
	provider *fasthttp.HostClient

	mu       sync.Mutex
	machines map[string]*fasthttp.HostClient
	sweptAt  time.Time     // when clients of machines long gone were last dropped
	asking   chan struct{} // holds one for each question to a worker that is under way
	telling  chan struct{} // and for each command
	open     atomic.Int64  // connections to workers
}

func newClients(n *Node) *clients {
	return &clients{
		n:        n,
		calls:    hostClient(n.cfg.Outside.State, 24),
		watches:  hostClient(n.cfg.Outside.State, 8),
		provider: hostClient(n.cfg.Outside.Cloud, 6),
		machines: map[string]*fasthttp.HostClient{},
		// A take-over asks a thousand machines at once, while as many report and
		// users ask: together they must stay below the socket limit.
		// Commands have a part of their own, since questions to a zone that is cut off
		// all take as long as they may.
		asking:  make(chan struct{}, max(8, n.cfg.Settings.Limits.Sockets/16)),
		telling: make(chan struct{}, max(8, n.cfg.Settings.Limits.Sockets/16)),
	}
}

func hostClient(addr string, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		Name:                      "frostdock",
		MaxConns:                  conns,
		MaxIdleConnDuration:       10 * time.Second,
		MaxConnWaitTimeout:        time.Second,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
		Dial:                      dial,
	}
}

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialWithin) }

// dialWorker counts the connections to workers, until they are closed.
func (c *clients) dialWorker(addr string) (net.Conn, error) {
	conn, err := dial(addr)
	if err != nil {
		return nil, err
	}
	c.open.Add(1)
	return &counted{Conn: conn, open: &c.open}, nil
}

// counted is a connection that is taken off a count when it is closed.
type counted struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// do makes one request; status 0 means that there was no answer.
func do(c *fasthttp.HostClient, method, path string, body any, within time.Duration, into any) int {
	return exchange(c, method, path, body, within, into, false)
}

// exchange does as do; after the last request the connection is not kept.
func exchange(c *fasthttp.HostClient, method, path string, body any, within time.Duration, into any, last bool) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr + path)
	if last {
		req.SetConnectionClose()
	}
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0
		}
		req.Header.SetContentType("application/json")
		req.SetBody(b)
	}
	if err := c.DoTimeout(req, resp, within); err != nil {
		return 0
	}
	if into != nil && len(resp.Body()) > 0 {
		if err := json.Unmarshal(resp.Body(), into); err != nil && resp.StatusCode() == 200 {
			return 0
		}
	}
	return resp.StatusCode()
}

func (c *clients) state(e controller.StateCall) {
	var r kv.Response
	q := e.Req
	switch q.Kind {
	case kv.Get:
		r.Status = do(c.calls, "GET", "/kv/"+q.Key, nil, stateWithin, &r)
	case kv.List:
		path := "/kv?under=" + url.QueryEscape(q.Key) + "&most=1000"
		if q.Since != "" {
			path += "&since=" + url.QueryEscape(q.Since)
		}
		r.Status = do(c.calls, "GET", path, nil, 2*stateWithin, &r)
	case kv.Commit:
		r.Status = do(c.calls, "POST", "/txn", q.Txn, stateWithin, &r)
	case kv.Grant:
		r.Status = do(c.calls, "POST", "/holds", map[string]int64{"ttlMs": q.TTLMs}, stateWithin, &r)
	case kv.Renew:
		r.Status = do(c.calls, "POST", "/holds/"+strconv.FormatUint(q.Permit, 10)+"/renew", nil, stateWithin, &r)
	case kv.Watch:
		path := "/changes?under=" + url.QueryEscape(q.Key) + "&since=" + strconv.FormatUint(q.Rev, 10) +
			"&holdMs=" + strconv.FormatInt(q.HoldMs, 10)
		r.Status = do(c.watches, "GET", path, nil, time.Duration(q.HoldMs)*time.Millisecond+holdExtra, &r)
	}
	c.n.post(controller.StateDone{ID: e.ID, Resp: r})
}

func (c *clients) cloud(e controller.CloudCall) {
	d := controller.CloudDone{ID: e.ID}
	switch e.Op {
	case controller.CloudCatalog:
		d.Status = do(c.provider, "GET", "/catalog", nil, cloudWithin, &d.Catalog)
	case controller.CloudHire:
		d.Status = do(c.provider, "POST", "/machines", e.Hire, cloudWithin, &d.Names)
	case controller.CloudDelete:
		d.Status = do(c.provider, "POST", "/machines/delete", e.Names, cloudWithin, nil)
	case controller.CloudList:
		path := "/machines?most=500"
		if e.Since != "" {
			path += "&since=" + url.QueryEscape(e.Since)
		}
		d.Status = do(c.provider, "GET", path, nil, cloudWithin, &d.Page)
	}
	c.n.post(d)
}

func (c *clients) worker(e controller.WorkerCall) {
	d := controller.WorkerDone{ID: e.ID}
	var r agent.Report
	under := c.telling
	if e.Cmd == nil {
		under = c.asking
	}
	under <- struct{}{}
	defer func() { <-under }()
	h := c.machine(e.Addr)
	// Whoever commands the whole fleet has a connection from each worker as well:
	// kept ones to each of them would be more than there are sockets.
	last := c.open.Load() > int64(c.n.cfg.Settings.Limits.Sockets/10)
	if e.Cmd == nil {
		d.Status = exchange(h, "GET", "/inspect", nil, workerWithin, &r, last)
	} else {
		d.Status = exchange(h, "POST", "/commands", e.Cmd, workerWithin, &r, last)
	}
	if d.Status == 200 || d.Status == 409 {
		d.Report = &r
	}
	c.n.post(d)
}

// machine keeps one client a machine; those of machines long gone are dropped
// when there are many.
func (c *clients) machine(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.machines[addr]
	if h == nil {
		if len(c.machines) >= 512 && time.Since(c.sweptAt) > 10*time.Second {
			c.sweptAt = time.Now()
			for a, old := range c.machines {
				if time.Since(old.LastUseTime()) > time.Minute {
					old.CloseIdleConnections()
					delete(c.machines, a)
				}
			}
		}
		h = hostClient(addr, 3)
		h.MaxIdleConnDuration = workerIdle
		h.Dial = c.dialWorker
		c.machines[addr] = h
	}
	return h
}

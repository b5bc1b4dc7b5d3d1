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
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
)

// How long each kind of call may take. After that the connection is closed,
// never used again, and the answer counts as unknown.
const (
	dialTimeout      = time.Second
	kvTimeout        = 1500 * time.Millisecond
	cloudTimeout     = 5 * time.Second
	agentTimeout     = 1500 * time.Millisecond
	watchGracePeriod = 3 * time.Second
	agentIdleTimeout = 4 * time.Second
)

// outboundClients makes the calls. Nothing is ever repeated here: whether a request
// may be sent again is the core's decision.
type outboundClients struct {
	server        *Server
	kvClient      *fasthttp.HostClient
	kvWatchClient *fasthttp.HostClient
	cloudClient   *fasthttp.HostClient

	mu             sync.Mutex
	agentClients   map[string]*fasthttp.HostClient
	lastEviction   time.Time     // when clients of machines long gone were last dropped
	inspectSlots   chan struct{} // holds one for each question to a worker that is under way
	commandSlots   chan struct{} // and for each command
	openAgentConns atomic.Int64  // connections to workers
}

func newOutboundClients(server *Server) *outboundClients {
	return &outboundClients{
		server:        server,
		kvClient:      newHostClient(server.cfg.Endpoints.KVStore, 24),
		kvWatchClient: newHostClient(server.cfg.Endpoints.KVStore, 8),
		cloudClient:   newHostClient(server.cfg.Endpoints.Cloud, 6),
		agentClients:  map[string]*fasthttp.HostClient{},
		// A take-over asks a thousand machines at once, while as many report and
		// users ask: together they must stay below the socket limit.
		// Commands have a part of their own, since questions to a zone that is cut off
		// all take as long as they may.
		inspectSlots: make(chan struct{}, max(8, server.cfg.Settings.ProcessLimits.Sockets/16)),
		commandSlots: make(chan struct{}, max(8, server.cfg.Settings.ProcessLimits.Sockets/16)),
	}
}

func newHostClient(addr string, maxConns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		Name:                      "frostdock",
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       10 * time.Second,
		MaxConnWaitTimeout:        time.Second,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
		Dial:                      dial,
	}
}

func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialTimeout) }

// dialAgent counts the connections to workers, until they are closed.
func (c *outboundClients) dialAgent(addr string) (net.Conn, error) {
	conn, err := dial(addr)
	if err != nil {
		return nil, err
	}
	c.openAgentConns.Add(1)
	return &countedConn{Conn: conn, open: &c.openAgentConns}, nil
}

// countedConn is a connection that is taken off a count when it is closed.
type countedConn struct {
	net.Conn
	closeOnce sync.Once
	open      *atomic.Int64
}

func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// requestJSON makes one request; status 0 means that there was no answer.
func requestJSON(client *fasthttp.HostClient, method, path string, body any, timeout time.Duration, result any) int {
	return exchangeJSON(client, method, path, body, timeout, result, false)
}

// exchangeJSON does as do; after the last request the connection is not kept.
func exchangeJSON(client *fasthttp.HostClient, method, path string, body any, timeout time.Duration, result any, closeAfter bool) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + client.Addr + path)
	if closeAfter {
		req.SetConnectionClose()
	}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0
		}
		req.Header.SetContentType("application/json")
		req.SetBody(encoded)
	}
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return 0
	}
	if result != nil && len(resp.Body()) > 0 {
		if err := json.Unmarshal(resp.Body(), result); err != nil && resp.StatusCode() == 200 {
			return 0
		}
	}
	return resp.StatusCode()
}

func (c *outboundClients) callKV(call controller.StoreCall) {
	var resp kv.Response
	req := call.Request
	switch req.Kind {
	case kv.Get:
		resp.Status = kv.StatusOf(requestJSON(c.kvClient, "GET", "/kv/"+req.Key, nil, kvTimeout, &resp))
	case kv.List:
		path := "/kv?under=" + url.QueryEscape(req.Key) + "&most=1000"
		if req.After != "" {
			path += "&since=" + url.QueryEscape(req.After)
		}
		resp.Status = kv.StatusOf(requestJSON(c.kvClient, "GET", path, nil, 2*kvTimeout, &resp))
	case kv.Transact:
		resp.Status = kv.StatusOf(requestJSON(c.kvClient, "POST", "/txn", req.Txn, kvTimeout, &resp))
	case kv.GrantLease:
		resp.Status = kv.StatusOf(requestJSON(c.kvClient, "POST", "/holds", map[string]int64{"ttlMs": req.TTLMillis}, kvTimeout, &resp))
	case kv.RenewLease:
		resp.Status = kv.StatusOf(requestJSON(c.kvClient, "POST", "/holds/"+strconv.FormatUint(req.LeaseID, 10)+"/renew", nil, kvTimeout, &resp))
	case kv.Watch:
		path := "/changes?under=" + url.QueryEscape(req.Key) + "&since=" + strconv.FormatUint(req.Revision, 10) +
			"&holdMs=" + strconv.FormatInt(req.WaitMillis, 10)
		resp.Status = kv.StatusOf(requestJSON(c.kvWatchClient, "GET", path, nil, time.Duration(req.WaitMillis)*time.Millisecond+watchGracePeriod, &resp))
	}
	c.server.post(controller.StoreResult{CallID: call.CallID, Response: resp})
}

func (c *outboundClients) callCloud(call controller.CloudCall) {
	done := controller.CloudResult{CallID: call.CallID}
	switch call.Op {
	case controller.CloudCatalog:
		done.Status = cloud.StatusOf(requestJSON(c.cloudClient, "GET", "/catalog", nil, cloudTimeout, &done.Catalog))
	case controller.CloudRent:
		done.Status = cloud.StatusOf(requestJSON(c.cloudClient, "POST", "/machines", call.Rental, cloudTimeout, &done.Machines))
	case controller.CloudDelete:
		done.Status = cloud.StatusOf(requestJSON(c.cloudClient, "POST", "/machines/delete", call.Machines, cloudTimeout, nil))
	case controller.CloudList:
		path := "/machines?most=500"
		if call.After != "" {
			path += "&since=" + url.QueryEscape(call.After)
		}
		done.Status = cloud.StatusOf(requestJSON(c.cloudClient, "GET", path, nil, cloudTimeout, &done.Page))
	}
	c.server.post(done)
}

func (c *outboundClients) callAgent(call controller.AgentCall) {
	done := controller.AgentResult{CallID: call.CallID}
	var heartbeat agent.Heartbeat
	slots := c.commandSlots
	if call.Commands == nil {
		slots = c.inspectSlots
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	client := c.agentClient(call.Address)
	// Whoever commands the whole fleet has a connection from each worker as well:
	// kept ones to each of them would be more than there are sockets.
	closeAfter := c.openAgentConns.Load() > int64(c.server.cfg.Settings.ProcessLimits.Sockets/10)
	var status int
	if call.Commands == nil {
		status = exchangeJSON(client, "GET", "/inspect", nil, agentTimeout, &heartbeat, closeAfter)
	} else {
		status = exchangeJSON(client, "POST", "/commands", call.Commands, agentTimeout, &heartbeat, closeAfter)
	}
	if status == fasthttp.StatusOK || status == fasthttp.StatusConflict { // either has the agent's heartbeat
		done.Heartbeat = &heartbeat
	}
	c.server.post(done)
}

// agentClient keeps one client a machine; those of machines long gone are dropped
// when there are many.
func (c *outboundClients) agentClient(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.agentClients[addr]
	if client == nil {
		if len(c.agentClients) >= 512 && time.Since(c.lastEviction) > 10*time.Second {
			c.lastEviction = time.Now()
			for oldAddr, old := range c.agentClients {
				if time.Since(old.LastUseTime()) > time.Minute {
					old.CloseIdleConnections()
					delete(c.agentClients, oldAddr)
				}
			}
		}
		client = newHostClient(addr, 3)
		client.MaxIdleConnDuration = agentIdleTimeout
		client.Dial = c.dialAgent
		c.agentClients[addr] = client
	}
	return client
}

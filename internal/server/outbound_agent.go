package server

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/controller"
)

const (
	agentTimeout         = 1500 * time.Millisecond
	agentIdleConnTimeout = 4 * time.Second
	agentMaxConns        = 3 // to one agent
	minAgentSlots        = 8 // of each kind, however few sockets the process may have

	// Clients are evicted when there are many, not too often, and only those long unused.
	agentClientsBeforeEviction  = 512
	agentClientEvictionInterval = 10 * time.Second
	agentClientMaxIdle          = time.Minute
)

// agentClients calls the agents: commands that are pushed, and inspections.
//
// After a failover a thousand machines are inspected at once, while as many send heartbeats and users
// ask: together they must stay below the socket limit, so a call waits for a slot before it connects.
// Commands have slots of their own, since the inspections of a zone that is cut off all take as long
// as they may.
type agentClients struct {
	post         postFunc
	inspectSlots chan struct{} // has an element for each inspection under way
	commandSlots chan struct{} // and for each command
	// maxKeptConns is how many connections may be open before none is kept after its call. The leader
	// of the whole fleet has an inbound connection from each agent as well: with kept outbound ones to
	// each of them there would be more than there are sockets.
	maxKeptConns int64
	openConns    atomic.Int64

	mu           sync.Mutex
	clients      map[string]*fasthttp.HostClient // by the agent's address
	lastEviction time.Time
}

func newAgentClients(sockets int, post postFunc) *agentClients {
	slots := max(minAgentSlots, sockets/16)
	return &agentClients{
		post:         post,
		inspectSlots: make(chan struct{}, slots),
		commandSlots: make(chan struct{}, slots),
		maxKeptConns: int64(sockets / 10),
		clients:      map[string]*fasthttp.HostClient{},
	}
}

// call makes one call and posts its result. Before that it waits for a slot, for as long as the calls
// ahead of it take: neither the wait nor the number of calls that wait is bounded.
func (c *agentClients) call(call controller.AgentCall) {
	slots, request := c.inspectSlots, jsonRequest{method: http.MethodGet, path: "/inspect", timeout: agentTimeout}
	if call.Commands != nil {
		slots = c.commandSlots
		request = jsonRequest{method: http.MethodPost, path: "/commands", body: call.Commands, timeout: agentTimeout}
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	client := c.client(call.Address)
	request.closeAfter = c.openConns.Load() > c.maxKeptConns
	var heartbeat agent.Heartbeat
	result := controller.AgentResult{CallID: call.CallID}
	// With a conflict the agent refuses commands of a stale fencing token or epoch; its heartbeat has its own.
	if status := exchange(client, request, &heartbeat); status == http.StatusOK || status == http.StatusConflict {
		result.Heartbeat = &heartbeat
	}
	c.post(result)
}

// client returns the one client for the agent at an address.
func (c *agentClients) client(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[addr]
	if client == nil {
		if len(c.clients) >= agentClientsBeforeEviction && time.Since(c.lastEviction) > agentClientEvictionInterval {
			c.evictIdle()
		}
		client = newHostClient(addr, agentMaxConns)
		client.MaxIdleConnDuration = agentIdleConnTimeout
		client.Dial = c.dial
		c.clients[addr] = client
	}
	return client
}

// evictIdle drops the clients of machines long gone. The caller holds the mutex.
func (c *agentClients) evictIdle() {
	c.lastEviction = time.Now()
	for addr, client := range c.clients {
		if time.Since(client.LastUseTime()) > agentClientMaxIdle {
			client.CloseIdleConnections()
			delete(c.clients, addr)
		}
	}
}

// dial connects to an agent, and counts the connection until it is closed.
func (c *agentClients) dial(addr string) (net.Conn, error) {
	conn, err := dial(addr)
	if err != nil {
		return nil, err
	}
	c.openConns.Add(1)
	return &countedConn{Conn: conn, open: &c.openConns}, nil
}

// countedConn is a connection that is taken off a count when it is closed, however often that is.
type countedConn struct {
	net.Conn
	closeOnce sync.Once
	open      *atomic.Int64
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

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
	"frostdock.example/frostdock/internal/units"
)

const (
	agentTimeout         = 1500 * time.Millisecond
	agentIdleConnTimeout = 4 * time.Second
	agentMaxConns        = 3 // to one agent
	minAgentSlots        = 8 // of each kind, however few sockets the process may have
	// Agents that did not answer the last call may have at most so many of four slots: those that answer
	// must not wait for them.
	silentSlotQuarters = 3

	// maxCommandWait is how long after it was decided a command may leave. What a task may be started on is a
	// proof of freshness that is at most three seconds old (maxStartProofAge of package controller), and
	// one is taken each second: a command that waits for one more second still leaves within the three.
	maxCommandWait = units.Second
	// maxInspectWait is the same of an inspection. It changes nothing on the machine, so a late one is as good;
	// but whoever asked must learn in time that it was not sent, for the next question to be worth asking.
	maxInspectWait = 5 * units.Second

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
//
// A call that cannot leave in time is not sent at all, and says so: by then its task may be cancelled and
// the right to command may have lapsed. That is looked at when the call has its slot, and for commands once
// more when their body is written to the connection. A process that stands still between that look and
// the write sends a late command all the same; the fencing token and the agent's epoch that it bears are
// what is left to refuse it.
type agentClients struct {
	post         postFunc
	now          func() units.Micros
	inspectSlots chan struct{} // has an element for each inspection under way
	commandSlots chan struct{} // and for each command
	// The same of agents that did not answer the last call; those have a slot of each of two channels.
	silentInspectSlots chan struct{}
	silentCommandSlots chan struct{}
	// maxKeptConns is how many connections may be open before none is kept after its call. The leader
	// of the whole fleet has an inbound connection from each agent as well: with kept outbound ones to
	// each of them there would be more than there are sockets.
	maxKeptConns int64
	openConns    atomic.Int64

	mu           sync.Mutex
	clients      map[string]*agentClient // by the agent's address
	lastEviction time.Time
}

// agentClient calls one agent.
type agentClient struct {
	*fasthttp.HostClient
	silent atomic.Bool // it did not answer the last call
}

func newAgentClients(sockets int, post postFunc, now func() units.Micros) *agentClients {
	slots := max(minAgentSlots, sockets/16)
	silentSlots := slots * silentSlotQuarters / 4
	return &agentClients{
		post:               post,
		now:                now,
		inspectSlots:       make(chan struct{}, slots),
		commandSlots:       make(chan struct{}, slots),
		silentInspectSlots: make(chan struct{}, silentSlots),
		silentCommandSlots: make(chan struct{}, silentSlots),
		maxKeptConns:       int64(sockets / 10),
		clients:            map[string]*agentClient{},
	}
}

// leaveBefore is until when a call that is to be carried out now may leave.
func (c *agentClients) leaveBefore(call controller.AgentCall) units.Micros {
	wait := maxInspectWait
	if call.Commands != nil {
		wait = maxCommandWait
	}
	latest := c.now() + wait
	if call.LeaveBefore > 0 {
		latest = min(latest, call.LeaveBefore)
	}
	return latest
}

// call makes one call, unless it cannot leave in time, and posts its result.
func (c *agentClients) call(call controller.AgentCall, leaveBefore units.Micros) {
	client := c.client(call.Address)
	slots, silentSlots := c.inspectSlots, c.silentInspectSlots
	if call.Commands != nil {
		slots, silentSlots = c.commandSlots, c.silentCommandSlots
	}
	queued := slotQueue{now: c.now, leaveBefore: leaveBefore}
	acquired := []chan struct{}{slots}
	if client.silent.Load() {
		acquired = []chan struct{}{silentSlots, slots}
	}
	result := controller.AgentResult{CallID: call.CallID, NotSent: true}
	if queued.acquire(acquired) {
		result = c.send(client, call, leaveBefore)
		release(acquired)
	}
	result.Waited = queued.waited
	c.post(result)
}

// send makes a call that has its slot, and returns its result.
func (c *agentClients) send(client *agentClient, call controller.AgentCall, leaveBefore units.Micros) controller.AgentResult {
	request := jsonRequest{method: http.MethodGet, path: "/inspect", timeout: agentTimeout}
	var inTime *timelyBody
	if call.Commands != nil {
		inTime = &timelyBody{now: c.now, leaveBefore: leaveBefore}
		request = jsonRequest{method: http.MethodPost, path: "/commands", body: call.Commands, timeout: agentTimeout, timely: inTime}
	}
	request.closeAfter = c.openConns.Load() > c.maxKeptConns
	result := controller.AgentResult{CallID: call.CallID}
	var heartbeat agent.Heartbeat
	// With a conflict the agent refuses commands of a stale fencing token or epoch; its heartbeat has its own.
	if status := exchange(client.HostClient, request, &heartbeat); status == http.StatusOK || status == http.StatusConflict {
		result.Heartbeat = &heartbeat
	}
	result.NotSent = inTime != nil && inTime.refused
	if !result.NotSent {
		client.silent.Store(result.Heartbeat == nil)
	}
	return result
}

// client returns the one client for the agent at an address.
func (c *agentClients) client(addr string) *agentClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[addr]
	if client == nil {
		if len(c.clients) >= agentClientsBeforeEviction && time.Since(c.lastEviction) > agentClientEvictionInterval {
			c.evictIdle()
		}
		client = &agentClient{HostClient: newHostClient(addr, agentMaxConns)}
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

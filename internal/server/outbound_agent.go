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
	minAgentSlots        = 8 // for each kind of call, however few sockets the process may have
	// silentSlotQuarters is the share of the slots, in quarters, that calls to agents that did not answer
	// their last call may hold: at most 3 of four slots, so that the agents that answer need not wait.
	silentSlotQuarters = 3

	// maxCommandWait is how long a command may wait between its decision and its sending. A task may be
	// started only on a proof of freshness that is at most three seconds old (maxStartProofAge of package
	// controller), and a new proof is taken each second: a command that waits for one more second is
	// still sent within the three.
	maxCommandWait = units.Second
	// maxInspectWait is the same limit for an inspection. An inspection changes nothing on the machine, so a
	// late one does no harm; but the controller must learn soon that it was not sent, while asking again is
	// still of use.
	maxInspectWait = 5 * units.Second

	// From agentClientsBeforeEviction clients on, those unused for agentClientMaxIdle are evicted, at most
	// once in agentClientEvictionInterval.
	agentClientsBeforeEviction  = 512
	agentClientEvictionInterval = 10 * time.Second
	agentClientMaxIdle          = time.Minute
)

// agentClients calls the agents: it pushes commands to them and inspects them.
//
// After a failover, a thousand machines are inspected at the same time, while as many send heartbeats and
// users send requests. All these connections together must stay below the socket limit, so a call waits
// for a slot before it connects. Commands have slots of their own, since during a partition every inspection of
// the zone that is cut off lasts until its timeout.
//
// A call that cannot be sent before its deadline is not sent at all, and its result says so: by then its
// task may be cancelled, and the authority to command may have lapsed. The deadline is checked when the
// call has its slot, and for commands once more when the body is written to the connection. If the process
// is suspended between that check and the write, it still sends a late command; only the command's
// fencing token and agent epoch can then make the agent refuse it.
type agentClients struct {
	post         postFunc
	now          func() units.Micros
	inspectSlots chan struct{} // has an element for each inspection in flight
	commandSlots chan struct{} // has an element for each command in flight
	// A call to an agent that did not answer its last call takes a slot of each of two channels: one of
	// these, and the channel above for the same kind of call.
	silentInspectSlots chan struct{}
	silentCommandSlots chan struct{}
	// maxKeptConns is the number of open connections above which a connection is closed after its call. The
	// leader of the whole fleet also has an inbound connection from each agent: with an outbound one kept
	// to each of them as well, it would run out of sockets.
	maxKeptConns int64
	openConns    atomic.Int64

	mu           sync.Mutex
	clients      map[string]*agentClient // by the agent's address
	lastEviction time.Time
}

// agentClient calls one agent.
type agentClient struct {
	*fasthttp.HostClient
	silent atomic.Bool // the agent did not answer its last call
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

// sendDeadline returns the time before which a call that is started now must be sent.
func (c *agentClients) sendDeadline(call controller.AgentCall) units.Micros {
	wait := maxInspectWait
	if call.Commands != nil {
		wait = maxCommandWait
	}
	latest := c.now() + wait
	if call.SendDeadline > 0 {
		latest = min(latest, call.SendDeadline)
	}
	return latest
}

// call makes one call, unless it cannot be sent before its deadline, and posts its result.
func (c *agentClients) call(call controller.AgentCall, sendDeadline units.Micros) {
	client := c.client(call.Address)
	slots, silentSlots := c.inspectSlots, c.silentInspectSlots
	if call.Commands != nil {
		slots, silentSlots = c.commandSlots, c.silentCommandSlots
	}
	waiter := slotWaiter{now: c.now, sendDeadline: sendDeadline}
	required := []chan struct{}{slots}
	if client.silent.Load() {
		required = []chan struct{}{silentSlots, slots}
	}
	result := controller.AgentResult{CallID: call.CallID, NotSent: true}
	if waiter.acquire(required) {
		result = c.send(client, call, sendDeadline)
		release(required)
	}
	result.Waited = waiter.waited
	c.post(result)
}

// send makes a call that holds its slots, and returns its result.
func (c *agentClients) send(client *agentClient, call controller.AgentCall, sendDeadline units.Micros) controller.AgentResult {
	request := jsonRequest{method: http.MethodGet, path: "/inspect", timeout: agentTimeout}
	var commandBody *deadlineBody
	if call.Commands != nil {
		commandBody = &deadlineBody{now: c.now, sendDeadline: sendDeadline}
		request = jsonRequest{method: http.MethodPost, path: "/commands", body: call.Commands, timeout: agentTimeout, deadlineBody: commandBody}
	}
	request.closeAfter = c.openConns.Load() > c.maxKeptConns
	result := controller.AgentResult{CallID: call.CallID}
	var heartbeat agent.Heartbeat
	// With status conflict the agent refuses commands with a stale fencing token or epoch; the body is its
	// heartbeat, which has the agent's own.
	if status := exchange(client.HostClient, request, &heartbeat); status == http.StatusOK || status == http.StatusConflict {
		result.Heartbeat = &heartbeat
	}
	result.NotSent = commandBody != nil && commandBody.expired
	if !result.NotSent {
		client.silent.Store(result.Heartbeat == nil)
	}
	return result
}

// client returns the client for the agent at addr; there is one for each address.
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

// evictIdle drops the clients that were not used for agentClientMaxIdle. The caller holds the mutex.
func (c *agentClients) evictIdle() {
	c.lastEviction = time.Now()
	for addr, client := range c.clients {
		if time.Since(client.LastUseTime()) > agentClientMaxIdle {
			client.CloseIdleConnections()
			delete(c.clients, addr)
		}
	}
}

// dial connects to an agent. The connection counts in openConns until it is closed.
func (c *agentClients) dial(addr string) (net.Conn, error) {
	conn, err := dial(addr)
	if err != nil {
		return nil, err
	}
	c.openConns.Add(1)
	return &countedConn{Conn: conn, open: &c.openConns}, nil
}

// countedConn is a connection that decrements a counter when it is closed, only once if it is closed again.
type countedConn struct {
	net.Conn
	closeOnce sync.Once
	open      *atomic.Int64
}

// Close closes the connection and decrements the counter.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

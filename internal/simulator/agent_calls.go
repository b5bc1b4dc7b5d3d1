package simulator

import (
	"slices"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

// What a controller process does with calls of agents that are more than it may have under way.
const (
	minCallSlots      = 8
	socketsPerSlot    = 16
	maxCommandWaiting = units.Second
	maxInspectWaiting = 5 * units.Second
)

// agentCalls are the calls of agents of one kind, commands or inspections, that a process has under way and
// those that wait for their turn. One that cannot leave in time is not sent.
type agentCalls struct {
	process *controllerProcess
	world   *World
	slots   int
	maxWait units.Micros
	running int
	waiting []*waitingCall
}

// waitingCall is a call that waits for its turn.
type waitingCall struct {
	since units.Micros
	begin func(waited units.Micros)
}

func newAgentCalls(p *controllerProcess, maxWait units.Micros) *agentCalls {
	sockets := p.cfg.Settings.ProcessLimits.Sockets
	return &agentCalls{process: p, world: p.world, slots: max(minCallSlots, sockets/socketsPerSlot), maxWait: maxWait}
}

// call makes a call when its turn has come; done is called once.
func (c *agentCalls) call(caller string, request controller.AgentCall, done func(controller.AgentResult)) {
	leaveBefore := c.world.now + c.maxWait
	if request.LeaveBefore > 0 {
		leaveBefore = min(leaveBefore, request.LeaveBefore)
	}
	notSent := func(waited units.Micros) {
		done(controller.AgentResult{CallID: request.CallID, NotSent: true, Waited: waited})
	}
	begin := func(waited units.Micros) {
		c.running++
		c.world.callAgent(caller, request, func(result controller.AgentResult) {
			c.running--
			result.Waited = waited
			done(result)
			c.beginNext()
		})
	}
	switch {
	case c.world.now >= leaveBefore:
		notSent(0)
	case c.running < c.slots:
		begin(0)
	default:
		c.wait(&waitingCall{c.world.now, begin}, leaveBefore, notSent)
	}
}

// drop forgets what waits, since the process has ended.
func (c *agentCalls) drop() { c.waiting = nil }

// wait lets a call wait for its turn until it may not leave any more.
func (c *agentCalls) wait(call *waitingCall, leaveBefore units.Micros, notSent func(waited units.Micros)) {
	c.waiting = append(c.waiting, call)
	c.world.at(leaveBefore, func() {
		if i := slices.Index(c.waiting, call); i >= 0 {
			c.waiting = slices.Delete(c.waiting, i, i+1)
			notSent(c.world.now - call.since)
		}
	})
}

// beginNext begins the call that has waited longest, unless the process stands still: then the call comes back.
func (c *agentCalls) beginNext() {
	if len(c.waiting) == 0 || c.running >= c.slots || c.world.now < c.process.pausedUntil {
		return
	}
	next := c.waiting[0]
	c.waiting = c.waiting[1:]
	next.begin(c.world.now - next.since)
}

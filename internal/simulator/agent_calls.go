package simulator

import (
	"slices"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

// Limits on a controller process's calls to agents, for commands and for inspections separately. Each
// kind has sockets/socketsPerSlot slots, but at least minCallSlots; a call waits for a free slot for up
// to its maximum wait.
const (
	minCallSlots   = 8
	socketsPerSlot = 16
	maxCommandWait = units.Second
	maxInspectWait = 5 * units.Second
)

// agentCalls are a process's calls to agents of one kind, commands or inspections: those in flight and
// those that wait for a free slot. One that gets no slot in time is not sent.
type agentCalls struct {
	process  *controllerProcess
	world    *World
	slots    int
	maxWait  units.Micros
	inFlight int
	waiting  []*waitingCall
}

// waitingCall is a call that waits for a free slot.
type waitingCall struct {
	queuedAt units.Micros
	begin    func(waited units.Micros)
}

func newAgentCalls(p *controllerProcess, maxWait units.Micros) *agentCalls {
	sockets := p.cfg.Settings.ProcessLimits.Sockets
	return &agentCalls{process: p, world: p.world, slots: max(minCallSlots, sockets/socketsPerSlot), maxWait: maxWait}
}

// call makes a call as soon as a slot is free; done is called once, also if the call is not sent.
func (c *agentCalls) call(caller string, request controller.AgentCall, done func(controller.AgentResult)) {
	sendDeadline := c.world.now + c.maxWait
	if request.SendDeadline > 0 {
		sendDeadline = min(sendDeadline, request.SendDeadline)
	}
	notSent := func(waited units.Micros) {
		done(controller.AgentResult{CallID: request.CallID, NotSent: true, Waited: waited})
	}
	begin := func(waited units.Micros) {
		c.inFlight++
		c.world.callAgent(caller, request, func(result controller.AgentResult) {
			c.inFlight--
			result.Waited = waited
			done(result)
			c.beginNext()
		})
	}
	switch {
	case c.world.now >= sendDeadline:
		notSent(0)
	case c.inFlight < c.slots:
		begin(0)
	default:
		c.wait(&waitingCall{c.world.now, begin}, sendDeadline, notSent)
	}
}

// drop discards the waiting calls, since the process has ended.
func (c *agentCalls) drop() { c.waiting = nil }

// wait queues a call for a free slot until sendDeadline; then the call is reported as not sent.
func (c *agentCalls) wait(call *waitingCall, sendDeadline units.Micros, notSent func(waited units.Micros)) {
	c.waiting = append(c.waiting, call)
	c.world.at(sendDeadline, func() {
		if i := slices.Index(c.waiting, call); i >= 0 {
			c.waiting = slices.Delete(c.waiting, i, i+1)
			notSent(c.world.now - call.queuedAt)
		}
	})
}

// beginNext begins the call that has waited longest, unless the process is paused: then the call keeps
// waiting and may be reported as not sent.
func (c *agentCalls) beginNext() {
	if len(c.waiting) == 0 || c.inFlight >= c.slots || c.world.now < c.process.pausedUntil {
		return
	}
	next := c.waiting[0]
	c.waiting = c.waiting[1:]
	next.begin(c.world.now - next.queuedAt)
}

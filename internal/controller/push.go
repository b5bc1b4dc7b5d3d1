package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// pushCommands sends commands to the machines whose entries have changed. That waits until a step has
// read all that it was given: what enters a task may be followed, in the same answer of the key-value
// store, by what cancels its job, and the task must not be started.
func (g *agentGateway) pushCommands() {
	changed := g.changed
	g.changed = nil
	for _, m := range changed {
		if g.replica.machines[m.name] == m {
			g.push(m)
		}
	}
}

// push sends a machine its commands directly, instead of with the response to its next heartbeat.
func (g *agentGateway) push(m *machine) {
	state := m.agent
	if state == nil || !state.command.settled() || !g.authority.leads(m.part()) {
		return
	}
	if state.epoch == 0 {
		g.probe(m)
		return
	}
	commands, ok := g.audit.checkCommands(m, g.commands.commandsFor(m))
	token := g.replica.fencingToken(m)
	nothingToTell := len(commands) == 0 && state.tokenSeen == token
	if !ok || nothingToTell || state.tokenSeen > token {
		return
	}
	state.command.send(token, state.epoch)
	m.forgetOccupancy()
	request := &agent.CommandRequest{FencingToken: token, Epoch: state.epoch, Commands: commands}
	g.call(m.doc.Addr, request, &pushCall{gateway: g, machine: m, state: state})
}

// pushCall is a direct command without an answer yet.
type pushCall struct {
	gateway *agentGateway
	machine *machine
	state   *agentState // under which it was sent
}

func (p *pushCall) done(heartbeat *agent.Heartbeat) {
	g, m := p.gateway, p.machine
	if m.agent != p.state {
		return
	}
	m.forgetOccupancy()
	g.planNeeded = true
	if heartbeat != nil && heartbeat.Machine == m.name {
		p.state.command.answered()
		g.reconciler.reconcile(m, heartbeat)
		return
	}
	p.state.command.unanswered() // the next write of the machine's document raises its token
	g.log.Info("direct command unanswered, fencing", "machine", m.name, "fencing_token", p.state.command.token)
}

// commandRetryDelay is how long after a direct command or a probe came back unsent the next is decided. The
// machine's next heartbeat may come before.
const commandRetryDelay = 250 * units.Millisecond

// notSent lets the command be decided anew, from what is known then. Nothing has left, so there is nothing to
// fence off.
func (p *pushCall) notSent() {
	g, m := p.gateway, p.machine
	if m.agent != p.state {
		return
	}
	p.state.command.withdrawn()
	m.forgetOccupancy()
	g.planNeeded = true
	g.log.Debug("direct command not sent", "machine", m.name)
	g.after(commandRetryDelay, func() {
		if g.replica.machines[m.name] == m && m.agent == p.state {
			g.push(m)
		}
	})
}

// probe asks a machine for its heartbeat.
func (g *agentGateway) probe(m *machine) {
	state := m.agent
	if state == nil || state.probe.inFlight || m.doc.Addr == "" {
		return
	}
	state.probe.inFlight = true
	g.call(m.doc.Addr, nil, &probeCall{gateway: g, machine: m, state: state, epoch: state.epoch, sequence: state.sequence})
}

// probeCall is a probe without an answer yet.
type probeCall struct {
	gateway         *agentGateway
	machine         *machine
	state           *agentState // under which it was sent
	epoch, sequence uint64      // of the latest heartbeat at that moment
}

// notSent asks again, unless the agent is heard meanwhile.
func (p *probeCall) notSent() {
	g, m, state := p.gateway, p.machine, p.state
	if m.agent != state {
		return
	}
	state.probe.withdrawn()
	g.after(commandRetryDelay, func() {
		if g.replica.machines[m.name] == m && m.agent == state && state.epoch == p.epoch && state.sequence == p.sequence {
			g.probe(m)
		}
	})
}

func (p *probeCall) done(heartbeat *agent.Heartbeat) {
	g, m, state := p.gateway, p.machine, p.state
	if m.agent != state {
		return
	}
	if heartbeat == nil || heartbeat.Machine != m.name {
		state.probe.failed(g.now)
		return
	}
	state.probe.answered()
	if !heartbeat.Newer(p.epoch, p.sequence) && state.epoch == p.epoch && state.sequence == p.sequence {
		// The answer to what was asked just now is no late duplicate: the agent has begun to count anew, so
		// it was restarted and all that it had is gone. Otherwise its heartbeats would be passed over
		// for ever.
		g.log.Info("agent restarted", "machine", m.name)
		state.forgetEpoch()
	}
	g.reconciler.reconcile(m, heartbeat)
	g.push(m)
}

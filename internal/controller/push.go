package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// pushCommands sends commands to the machines whose entries have changed. It runs after a step has read all
// of its messages: one answer of the key-value store may contain the change that enters a task and, after
// it, the change that cancels the task's job; that task must not be started.
func (g *agentGateway) pushCommands() {
	changed := g.changed
	g.changed = nil
	for _, m := range changed {
		if g.replica.machines[m.name] == m {
			g.push(m)
		}
	}
}

// push sends a machine its commands directly, instead of in the response to its next heartbeat.
func (g *agentGateway) push(m *machine) {
	state := m.agent
	if state == nil || !state.command.settled() || !g.authority.leads(m.commandingPartition()) {
		return
	}
	if state.epoch == 0 {
		g.probe(m)
		return
	}
	g.fenceUnclear(m)
	commands, ok := g.audit.checkCommands(m, g.directCommandsFor(m))
	token := g.replica.fencingToken(m)
	nothingToSend := len(commands) == 0 && g.replica.tokenShown(m)
	if !ok || nothingToSend || state.tokenSeen > token {
		return
	}
	state.command.send(token, state.epoch)
	state.fencing.noteDirectStarts(commands)
	m.invalidateOccupancy()
	request := &agent.CommandRequest{FencingToken: token, Epoch: state.epoch, Commands: commands}
	g.call(m.doc.Addr, request, &pushCall{gateway: g, machine: m, state: state, calledAt: g.now})
}

// directCommandsFor returns the commands that may be sent directly to a machine now.
func (g *agentGateway) directCommandsFor(m *machine) []agent.Command {
	commands := g.commands.commandsFor(m)
	token := g.replica.fencingToken(m)
	commands = g.fencedCommands(m, commands, g.mayRaiseForPush(m, commands))
	if g.replica.fencingToken(m) > token {
		m.agent.fencing.raisedByPush = g.now
	}
	return commands
}

// pushCall is a direct command in flight.
type pushCall struct {
	gateway  *agentGateway
	machine  *machine
	state    *agentState // agent state when the command was sent
	calledAt units.Micros
}

func (p *pushCall) done(heartbeat *agent.Heartbeat) {
	g, m := p.gateway, p.machine
	if m.agent != p.state {
		return
	}
	m.invalidateOccupancy()
	g.planNeeded = true
	if heartbeat != nil && heartbeat.Machine == m.name {
		p.state.command.answered()
		p.state.responses.callAnswered(p.calledAt)
		g.reconciler.reconcile(m, heartbeat)
		return
	}
	p.state.command.unanswered() // the next response raises the machine's fencing token (fenceUnclear)
	g.log.Info("direct command unanswered, fencing", "machine", m.name, "fencing_token", p.state.command.token)
}

// commandRetryDelay is the delay before the retry of a direct command or a probe that could not be sent.
// The machine's next heartbeat may arrive earlier.
const commandRetryDelay = 250 * units.Millisecond

// notSent repeats the push after a delay, with the commands that are right by then. Nothing was sent, so there
// is nothing to fence off.
func (p *pushCall) notSent() {
	g, m := p.gateway, p.machine
	if m.agent != p.state {
		return
	}
	p.state.command.withdrawn()
	m.invalidateOccupancy()
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
	g.call(m.doc.Addr, nil, &probeCall{gateway: g, machine: m, state: state, calledAt: g.now, epoch: state.epoch, sequence: state.sequence, tokenSeen: state.tokenSeen})
}

// probeCall is a probe in flight.
type probeCall struct {
	gateway         *agentGateway
	machine         *machine
	state           *agentState // agent state when the probe was sent
	calledAt        units.Micros
	epoch, sequence uint64 // of the latest heartbeat when the probe was sent
	tokenSeen       uint64 // in that heartbeat
}

// notSent probes the machine again after a delay, unless the agent is heard in the meantime.
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

// showsRestart reports whether the agent was restarted since its latest heartbeat. The answer to a probe is never a
// late duplicate. If its sequence number is not newer, or its fencing token is lower, the agent counts from the start
// again and has lost its tasks. Without forgetting the earlier values, all its later heartbeats would be ignored.
func (p *probeCall) showsRestart(heartbeat *agent.Heartbeat) bool {
	unchanged := p.state.epoch == p.epoch && p.state.sequence == p.sequence
	return unchanged && !heartbeat.Newer(p.epoch, p.sequence) || heartbeat.FencingToken < p.tokenSeen
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
	state.responses.callAnswered(p.calledAt)
	m.invalidateOccupancy()
	state.restart.suspected = false
	if p.showsRestart(heartbeat) {
		g.log.Info("agent restarted", "machine", m.name)
		state.restarted(g.replica.fencingToken(m))
	}
	g.reconciler.reconcile(m, heartbeat)
	g.push(m)
}

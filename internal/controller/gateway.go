package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// agentGateway is the exchange with worker agents: it answers their heartbeats, sends them direct
// commands and probes, and has unregistered ones registered. It owns the calls to agents that are not
// answered yet, the heartbeats and changed machines of a step, when each machine was last heard here,
// and the registrations under way.
//
// It promises that agents are answered and told only when a step has read all that it was given (see
// answerHeartbeats and pushCommands), and that no command leaves unless the audit has let it. It never
// decides what may run: commandPlanner asks package guard for that.
type agentGateway struct {
	*environment
	store      *storeClient // whether it answers
	replica    *replica
	partitions *partitionTable
	authority  *authority
	commands   *commandPlanner
	reconciler *reconciler
	audit      *audit

	calls         map[uint64]pendingAgentCall // not answered yet
	callWaits     callWaits
	heartbeats    []HeartbeatRequest       // that have come in this step
	changed       []*machine               // machines whose entries have changed in this step
	heardAt       map[string]units.Micros  // when each machine was last heard here
	registrations map[string]*registration // by machine
}

// pendingAgentCall is a call to an agent without an answer yet.
type pendingAgentCall interface {
	// done takes the agent's heartbeat; nil if there was no answer.
	done(heartbeat *agent.Heartbeat)
	// notSent takes the news that the call did not leave in time, and never will.
	notSent()
}

// callWaits is what is known of calls that had to wait for their turn, since it was last told.
type callWaits struct {
	waited  int // calls that did
	notSent int // calls that came back
	longest units.Micros
}

// note enters the result of a call.
func (w *callWaits) note(result AgentResult) {
	if result.Waited > 0 {
		w.waited++
		w.longest = max(w.longest, result.Waited)
	}
	if result.NotSent {
		w.notSent++
	}
}

// take returns what is known and begins anew.
func (w *callWaits) take() callWaits {
	taken := *w
	*w = callWaits{}
	return taken
}

// call calls an agent, to carry out commands or, if they are nil, for its heartbeat alone. There is one
// command and one probe to a machine at a time, so that the calls that wait for their turn are bounded
// by the number of machines.
func (g *agentGateway) call(address string, commands *agent.CommandRequest, pending pendingAgentCall) {
	id := g.newCallID()
	g.calls[id] = pending
	call := AgentCall{CallID: id, Address: address, Commands: commands}
	if commands != nil {
		call.LeaveBefore = g.authority.commandsEnd(hasStart(commands.Commands))
	}
	g.emit(call)
}

// hasStart reports whether commands start a task.
func hasStart(commands []agent.Command) bool {
	return slices.ContainsFunc(commands, func(command agent.Command) bool { return command.Action == agent.Start })
}

// handleResult takes the answer to a call.
func (g *agentGateway) handleResult(result AgentResult) {
	pending, ok := g.calls[result.CallID]
	if !ok {
		return
	}
	delete(g.calls, result.CallID)
	g.callWaits.note(result)
	if result.NotSent {
		pending.notSent()
		return
	}
	pending.done(result.Heartbeat)
}

// receive keeps a heartbeat until the step has read all else that it was given.
func (g *agentGateway) receive(request HeartbeatRequest) {
	g.heartbeats = append(g.heartbeats, request)
}

// noteChanged notes a machine whose entries have changed, to be told at the end of the step.
func (g *agentGateway) noteChanged(m *machine) { g.changed = append(g.changed, m) }

// noteHeard notes that a machine is heard here, whoever commands it.
func (g *agentGateway) noteHeard(name string) { g.heardAt[name] = g.now }

// heardWithin reports whether a machine was heard here, less than so long ago.
func (g *agentGateway) heardWithin(name string, length units.Micros) bool {
	at, ok := g.heardAt[name]
	return ok && g.now-at < length
}

// heardAgo tells how long ago each machine was last heard here. Those that were not for two leases are
// forgotten.
func (g *agentGateway) heardAgo() map[string]int64 {
	ago := map[string]int64{}
	for name, at := range g.heardAt {
		if g.now-at > 2*g.cfg.Settings.Lease() {
			delete(g.heardAt, name)
			continue
		}
		ago[name] = int64(g.now - at)
	}
	return ago
}

// isLeader reports whether this controller leads a partition, though it may not yet, or not now, act as
// its leader.
func (g *agentGateway) isLeader(partition int) bool { return g.partitions.led[partition] != nil }

// leaderOf names the controller that leads a partition, if it lives and is another.
func (g *agentGateway) leaderOf(partition int) string {
	if p := g.replica.partitions[partition]; p != nil && g.replica.leaderRegistered(p) && p.doc.Member != g.cfg.Member {
		return p.doc.Member
	}
	return ""
}

// beginCommand begins a new view of a machine that this controller commands from now on.
func (g *agentGateway) beginCommand(m *machine, led *leadership) {
	m.forgetOccupancy()
	m.agent = newAgentState(led, g.now, g.cfg.Settings.StalenessBound(), g.cfg.Settings.Lease())
	g.probe(m)
}

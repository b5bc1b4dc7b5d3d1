package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// agentGateway exchanges messages with worker agents: it answers their heartbeats, sends them direct
// commands and probes, and starts the registration of unregistered machines. It owns the calls to agents
// that are in flight, the heartbeats and changed machines of a step, the time at which this controller last
// heard each machine, and the registrations in progress.
//
// Agents receive responses and commands only after a step has read all of its messages (see
// answerHeartbeats and pushCommands), and no command is sent that the audit has not allowed. The gateway
// never decides what may run: commandPlanner asks package guard for that.
type agentGateway struct {
	*environment
	store      *storeClient // used only to see whether the store fails
	replica    *replica
	partitions *partitionTable
	authority  *authority
	commands   *commandPlanner
	reconciler *reconciler
	audit      *audit

	calls         map[uint64]pendingAgentCall // by call ID; calls in flight
	callWaits     callWaits
	heartbeats    []HeartbeatRequest       // received in this step
	changed       []*machine               // machines whose entries changed in this step
	heardAt       map[string]units.Micros  // by machine: when this controller last heard it
	registrations map[string]*registration // by machine
}

// pendingAgentCall is a call to an agent that is in flight.
type pendingAgentCall interface {
	// done handles the agent's heartbeat; nil if there was no answer.
	done(heartbeat *agent.Heartbeat)
	// notSent handles a call that was not sent in time and never will be.
	notSent()
}

// callWaits counts the calls to agents that had to wait for a free slot or were never sent, since take was
// last called.
type callWaits struct {
	waited  int          // calls that had to wait
	notSent int          // calls that were never sent
	longest units.Micros // longest wait
}

// note counts the result of a call.
func (w *callWaits) note(result AgentResult) {
	if result.Waited > 0 {
		w.waited++
		w.longest = max(w.longest, result.Waited)
	}
	if result.NotSent {
		w.notSent++
	}
}

// take returns the counts and resets them.
func (w *callWaits) take() callWaits {
	taken := *w
	*w = callWaits{}
	return taken
}

// call sends an agent commands or, if commands is nil, only asks for its heartbeat. Each machine has at
// most one command and one probe in flight, so that the number of calls that wait for a free slot is
// bounded by the number of machines.
func (g *agentGateway) call(address string, commands *agent.CommandRequest, pending pendingAgentCall) {
	id := g.newCallID()
	g.calls[id] = pending
	call := AgentCall{CallID: id, Address: address, Commands: commands}
	if commands != nil {
		call.SendDeadline = g.authority.commandsExpireAt(hasStart(commands.Commands))
	}
	g.emit(call)
}

// hasStart reports whether one of the commands starts a task.
func hasStart(commands []agent.Command) bool {
	return slices.ContainsFunc(commands, func(command agent.Command) bool { return command.Action == agent.Start })
}

// handleResult handles the result of a call to an agent.
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

// receive keeps a heartbeat until the step has read all of its messages.
func (g *agentGateway) receive(request HeartbeatRequest) {
	g.heartbeats = append(g.heartbeats, request)
}

// noteChanged records a machine whose entries have changed; it is sent commands at the end of the step.
func (g *agentGateway) noteChanged(m *machine) { g.changed = append(g.changed, m) }

// noteHeard records that this controller hears a machine, whichever controller commands it.
func (g *agentGateway) noteHeard(name string) { g.heardAt[name] = g.now }

// heardWithin reports whether this controller heard a machine less than the given time ago.
func (g *agentGateway) heardWithin(name string, length units.Micros) bool {
	at, ok := g.heardAt[name]
	return ok && g.now-at < length
}

// heardAgo returns how many microseconds ago this controller last heard each machine. It forgets machines
// that it has not heard for two leases.
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

// isLeader reports whether this controller leads a partition, even if it may not act as the leader yet or at
// present.
func (g *agentGateway) isLeader(partition int) bool { return g.partitions.led[partition] != nil }

// leaderOf returns the name of the controller that leads a partition; empty if that controller is not
// registered or is this one.
func (g *agentGateway) leaderOf(partition int) string {
	if p := g.replica.partitions[partition]; p != nil && g.replica.leaderRegistered(p) && p.doc.Member != g.cfg.Member {
		return p.doc.Member
	}
	return ""
}

// beginCommand creates the agent state of a machine that this controller commands from now on, and probes
// the machine.
func (g *agentGateway) beginCommand(m *machine, led *leadership) {
	m.invalidateOccupancy()
	m.agent = newAgentState(led, g.now, g.cfg.Settings.StalenessBound(), g.cfg.Settings.Lease())
	g.probe(m)
}

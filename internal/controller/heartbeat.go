package controller

import (
	"net/http"

	"frostdock.example/frostdock/internal/agent"
)

// answerHeartbeats answers the worker heartbeats of a step. It runs after the step has read all of its
// messages: a response that starts a task must not be sent in the step that learns that the task's job is
// cancelled.
func (g *agentGateway) answerHeartbeats() {
	requests := g.heartbeats
	g.heartbeats = nil
	for _, request := range requests {
		g.answerHeartbeat(request)
	}
}

// answerHeartbeat answers one worker heartbeat: it finds the machine, checks that this controller commands
// it, applies the heartbeat and responds with commands.
func (g *agentGateway) answerHeartbeat(request HeartbeatRequest) {
	heartbeat := &request.Heartbeat
	if !g.replica.synced || heartbeat.Machine == "" {
		g.refuse(request)
		return
	}
	m := g.replica.machines[heartbeat.Machine]
	if m == nil {
		g.register(request)
		return
	}
	if !g.checkCommander(m, request) {
		return
	}
	g.applyHeartbeat(m, heartbeat)
	g.respond(m, request)
}

// refuse answers that the agent may try again, with this controller or another.
func (g *agentGateway) refuse(request HeartbeatRequest) {
	g.reply(request.RequestID, http.StatusServiceUnavailable, nil)
}

// redirect answers that this controller does not command the machine; leader is the controller that does,
// or empty if there is none or it is not known.
func (g *agentGateway) redirect(request HeartbeatRequest, leader string) {
	g.reply(request.RequestID, http.StatusMisdirectedRequest, agent.Redirect{LeaderAddr: leader})
}

// checkCommander reports whether this controller commands the machine. If it does not, checkCommander
// answers the request.
func (g *agentGateway) checkCommander(m *machine, request HeartbeatRequest) bool {
	partition := m.shard.partition
	switch {
	case m.doc.Decommissioned: // no controller commands it any more
		g.redirect(request, "")
	case !g.isLeader(partition):
		g.noteHeard(m.name)
		g.redirect(request, g.leaderOf(partition))
	case request.Heartbeat.FencingToken > g.replica.fencingToken(m) || m.agent == nil:
		// A later leader commands the machine. The agent would drop a response from this controller,
		// but go on sending its heartbeats here until its lease expires.
		g.redirect(request, "")
	case !g.authority.leads(partition):
		g.refuse(request)
	default:
		return true
	}
	return false
}

// applyHeartbeat applies a heartbeat that is about to be answered. The answer renews the agent's lease, even
// if the heartbeat is a late duplicate.
func (g *agentGateway) applyHeartbeat(m *machine, heartbeat *agent.Heartbeat) {
	state, lease := m.agent, g.cfg.Settings.Lease()
	if state.isLatest(heartbeat) { // a late duplicate does not show that the agent is alive
		g.noteHeard(m.name)
		newEpoch := state.epoch > 0 && heartbeat.Epoch > state.epoch
		state.responses.heartbeatReceived(g.now, lease, newEpoch, heartbeat.FencingToken, g.replica.requiredToken(m))
	}
	g.reconciler.reconcile(m, heartbeat)
	state.extendLease(g.now, lease)
}

// respond answers a heartbeat with the commands for its machine.
func (g *agentGateway) respond(m *machine, request HeartbeatRequest) {
	g.fenceUnclear(m)
	commands, ok := g.audit.checkCommands(m, g.fencedCommands(m, g.commands.commandsFor(m), true))
	if !ok {
		g.refuse(request)
		return
	}
	if hasStart(commands) {
		m.agent.responses.startAt = g.now
	}
	g.reply(request.RequestID, http.StatusOK, agent.HeartbeatResponse{FencingToken: g.replica.fencingToken(m), Commands: commands})
}

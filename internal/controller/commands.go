package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

// commandsFor compares what should be on the machine with what it reported.
func (c *Controller) commandsFor(m *machine) []agent.Command {
	rt := m.agent
	out := []agent.Command{}
	if rt.heardAt == 0 {
		return out
	}
	// A task may be entered together with the stops that make room for it: it
	// is launched once that room is free.
	room := c.reportedFreeCapacity(m)
	permissions := c.permissionsOver(m)
	listed := make(map[taskKey]bool, len(m.doc.Tasks))
	// Whatever is entered may be waiting for room: what ranks higher has it first.
	grade := func(t schema.Task) int {
		if j := c.replica.jobs[t.Job]; j != nil {
			return j.spec.Priority
		}
		return 0
	}
	tasks := slices.Clone(m.doc.Tasks)
	slices.SortStableFunc(tasks, func(a, b schema.Task) int {
		return cmp.Or(cmp.Compare(grade(b), grade(a)), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, t := range tasks {
		k := keyOf(t)
		p, there := rt.tasks[k]
		facts := c.taskFactsOf(t)
		if facts.MustStop() == guard.KeepRunning {
			listed[k] = true
			// One that is being given up must not be launched again meanwhile: the
			// same write may have put it elsewhere.
			if !there && !rt.entriesLeaving[k] && facts.MayStart(permissions) == guard.StartAllowed && room.tryReserve(&c.replica.jobs[t.Job].spec) {
				out = append(out, agent.Command{Action: agent.Start, Task: k.task(), Attempt: t.Attempt})
			}
			continue
		}
		j := c.replica.jobs[t.Job]
		if j != nil && j.accepted && !j.done.Contains(t.Index) {
			listed[k] = true // not to be reaped before its end is stored
			if there && p.State != agent.Ended {
				grace := 0.0
				if t.StopMode == schema.StopGracefully {
					grace = j.spec.CheckpointSeconds
				}
				out = append(out, agent.Command{Action: agent.Stop, Task: k.task(), Attempt: t.Attempt, GracePeriodSeconds: grace})
			}
		}
	}
	settled := c.quiesced(m)
	for _, k := range rt.sortedTasks() {
		p := rt.tasks[k]
		if listed[k] {
			continue
		}
		switch {
		case p.State != agent.Ended:
			out = append(out, agent.Command{Action: agent.Stop, Task: k.task(), Attempt: k.attempt})
		case settled:
			// Once reaped, a late launch would start the attempt anew: reap only
			// when no such command can be under way.
			out = append(out, agent.Command{Action: agent.Remove, Task: k.task(), Attempt: k.attempt})
		}
	}
	return out
}

// push sends a machine its orders at once, instead of with the next report.
func (c *Controller) push(m *machine) {
	rt := m.agent
	if rt == nil || rt.commandsInFlight > 0 || rt.commandUnclear || !c.leads(m.part()) {
		return
	}
	if rt.epoch == 0 {
		c.inspect(m)
		return
	}
	orders, ok := c.auditCommands(m, c.commandsFor(m))
	tok := c.fencingToken(m)
	if !ok || len(orders) == 0 && rt.tokenSeen == tok {
		return
	}
	if rt.tokenSeen > tok {
		return
	}
	rt.commandsInFlight++
	m.forgetOccupancy()
	id := c.newCallID()
	sess := rt.epoch
	c.agents.calls[id] = func(d AgentResult) {
		if m.agent != rt {
			return
		}
		rt.commandsInFlight--
		m.forgetOccupancy()
		if d.Heartbeat != nil && d.Heartbeat.Machine == m.name {
			c.reconcile(m, d.Heartbeat)
			c.planNeeded = true
			return
		}
		// No answer: the command may be carried out at any time while token and
		// session stand. The next write of the document raises the token.
		rt.commandUnclear, rt.unclearToken, rt.unclearEpoch = true, tok, sess
		c.planNeeded = true
		c.log.Info("direct command unanswered, fencing", "machine", m.name, "fencing_token", tok)
	}
	c.emit(AgentCall{CallID: id, Address: m.doc.Addr, Commands: &agent.CommandRequest{FencingToken: tok, Epoch: sess, Commands: orders}})
}

// pushCommands tells the machines whose entries have changed. That waits until a step has read all
// that it was given: what enters a task may be followed, in the same answer of the state service,
// by what cancels its job, and such a task was once started all the same.
func (c *Controller) pushCommands() {
	changed := c.agents.toPush
	c.agents.toPush = nil
	for _, m := range changed {
		if c.replica.machines[m.name] == m {
			c.push(m)
		}
	}
}

// inspect asks a machine for its report.
func (c *Controller) inspect(m *machine) {
	rt := m.agent
	if rt == nil || rt.probing || m.doc.Addr == "" {
		return
	}
	rt.probing = true
	session, seq := rt.epoch, rt.sequence
	id := c.newCallID()
	c.agents.calls[id] = func(d AgentResult) {
		if m.agent != rt {
			return
		}
		rt.probing = false
		if d.Heartbeat == nil || d.Heartbeat.Machine != m.name {
			rt.probeFailedAt = c.now
			rt.failedProbes++
			return
		}
		rt.probeFailedAt = 0
		if !d.Heartbeat.Newer(session, seq) && rt.epoch == session && rt.sequence == seq {
			// An answer to what was asked just now is no late copy: the machine has
			// begun to count anew, so it was started again and all that it had is
			// gone. Its reports would be passed over for ever otherwise.
			c.log.Info("agent restarted", "machine", m.name)
			rt.epoch, rt.sequence, rt.tokenSeen = 0, 0, 0
			rt.runningSince = map[taskKey]runStart{}
		}
		c.reconcile(m, d.Heartbeat)
		c.push(m)
	}
	c.emit(AgentCall{CallID: id, Address: m.doc.Addr})
}

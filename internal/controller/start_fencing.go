package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// This file makes sure that no copy of a direct start is carried out once the agent may have forgotten the attempt. A
// direct command may arrive again after it was carried out and answered, with any delay.
//
// Invariant: when an agent forgets an attempt, it has seen a fencing token that is higher than that of every direct
// command that started the attempt, or it is in a later epoch.
//
// Proof: while the agent knows an attempt, in any state, a start of it has no effect. It forgets the attempt in one of
// three ways.
//
//  1. By the end of its lease, which begins a later epoch. It refuses direct commands of an earlier epoch.
//  2. By a removal. The removal is sent under a token that is higher than those of the attempt's direct starts
//     (startFencing.mustRaiseFor), and an agent that carries out a command has seen the command's token.
//  3. Possibly by a start of a later attempt of the task, in place of the earlier one. The same holds for it.
//
// Starts of earlier leaderships have lower tokens than every command of this one. Starts in responses are not carried
// out again: an agent drops a response after responseLifetime, and a removal waits until no response with a start is
// open (quiesced).
//
// To raise the token takes no write of its own: the machine's entry reserves tokenReservation increments ahead, in a
// write that is made anyway, and the leader uses them one by one. A successor counts all reserved increments as used,
// so its token is higher than any that its predecessor may have sent.

const (
	// tokenReservation is how many raises of a machine's fencing token one write of the machine's entry reserves.
	tokenReservation = 1024
	// minReservedTokens is the number of unused raises below which the next write of the entry reserves more.
	minReservedTokens = tokenReservation / 2
	// maxReservationWait is how long a command waits for a write that is made anyway to reserve tokens.
	maxReservationWait = 5 * units.Second
)

// startFencing is what the controller that commands a machine knows of the machine's fencing tokens, and of the
// direct starts that only a raise of the token fences off. The zero value is that of a new leadership.
type startFencing struct {
	reserved     uint64            // raises that the stored entry reserves and that were not used yet
	raised       uint64            // raises since heartbeats had to show a raise to count as evidence
	reservation  tokenRange        // reservation that a commit in flight makes
	waitingSince units.Micros      // since when a command waits for a reservation; 0: none does
	directStarts map[string]uint64 // by task: attempt whose start was sent directly under the token in use
	raisedByPush units.Micros      // when the token was last raised for a direct command
}

// tokenRange is a change of a stored entry's TokenIncrements by the transaction with a write tag.
type tokenRange struct {
	from, to uint64
	writeTag string
}

// reserve records that a transaction is going to reserve tokens in the machine's entry.
func (f *startFencing) reserve(increments uint64, writeTag string) {
	f.reservation = tokenRange{from: increments, to: increments + tokenReservation, writeTag: writeTag}
}

// entryShown records a change of the machine's stored increments, and reports whether it is a reservation that no
// command has waited for. Only increments that this leadership has reserved may be used one by one; any others may have
// been used by another controller, and the token in use rises by them.
func (f *startFencing) entryShown(change tokenRange) (unneededYet bool) {
	own, waited := change == f.reservation, f.waitingSince > 0
	if own {
		f.reserved += change.to - change.from
	} else {
		f.reserved, f.raised = 0, 0
		clear(f.directStarts)
	}
	f.reservation = tokenRange{}
	f.waitingSince = 0
	return own && !waited
}

// wantsReservation reports whether the next write of the machine's entry should reserve tokens.
func (f *startFencing) wantsReservation() bool { return f.reserved < minReservedTokens }

// raise raises the fencing token in use, and reports whether a reservation permits that.
func (f *startFencing) raise(now units.Micros) bool {
	if f.reserved == 0 {
		if f.waitingSince == 0 {
			f.waitingSince = now
		}
		return false
	}
	f.reserved--
	f.raised++
	clear(f.directStarts)
	return true
}

// requireRaise makes heartbeats count as evidence only if they show the token in use.
func (f *startFencing) requireRaise() { f.raised = 0 }

// noteDirectStarts records the starts among commands that are sent directly under the token in use.
func (f *startFencing) noteDirectStarts(commands []agent.Command) {
	for _, command := range commands {
		if command.Action != agent.Start {
			continue
		}
		if f.directStarts == nil {
			f.directStarts = map[string]uint64{}
		}
		f.directStarts[command.Task] = command.Attempt
	}
}

// epochBegun forgets the direct starts of earlier epochs, which the agent refuses.
func (f *startFencing) epochBegun() {
	clear(f.directStarts)
	f.waitingSince = 0
}

// mustRaiseFor reports whether a command may make the agent forget an attempt whose start was sent directly under the
// token in use, so that the command must be sent under a higher one.
func (f *startFencing) mustRaiseFor(command agent.Command) bool {
	attempt, started := f.directStarts[command.Task]
	switch command.Action {
	case agent.Start:
		return started && attempt != command.Attempt
	case agent.Remove:
		return started && attempt == command.Attempt
	case agent.Stop: // the agent still knows the attempt
	}
	return false
}

// fencedCommands returns the commands that may be sent to a machine now: all of them, if need be under a raised
// fencing token, or if it can't be raised now, those that need no raise.
func (g *agentGateway) fencedCommands(m *machine, commands []agent.Command, mayRaise bool) []agent.Command {
	fencing := &m.agent.fencing
	if !slices.ContainsFunc(commands, fencing.mustRaiseFor) {
		return commands
	}
	if mayRaise && g.canShowRaise(m) && fencing.raise(g.now) {
		g.audit.countTokenRaise()
		g.log.Debug("fencing token raised", "machine", m.name, "fencing_token", g.replica.fencingToken(m), "agent_epoch", m.agent.epoch)
		return commands
	}
	return slices.DeleteFunc(commands, fencing.mustRaiseFor)
}

// canShowRaise reports whether the agent has seen the token in use, and no direct command is in flight that it would
// refuse after a raise.
func (g *agentGateway) canShowRaise(m *machine) bool {
	return m.agent.tokenSeen == g.replica.fencingToken(m) && g.replica.showsToken(m) && !m.agent.command.inFlight()
}

// mayRaiseForPush reports whether the fencing token may be raised for a direct command with these commands. An agent
// drops a response under a lower token that is on its way to it, which renews no lease then. So most raises are left to
// responses, and a direct command raises the token only to start a task, at most once in half a lease.
func (g *agentGateway) mayRaiseForPush(m *machine, commands []agent.Command) bool {
	fencing := &m.agent.fencing
	startNeedsRaise := slices.ContainsFunc(commands, func(command agent.Command) bool {
		return command.Action == agent.Start && fencing.mustRaiseFor(command)
	})
	return startNeedsRaise && (fencing.raisedByPush == 0 || g.now-fencing.raisedByPush > g.cfg.Settings.Lease()/2)
}

// fenceUnclear raises the fencing token, if a reservation permits it, when the result of a direct command is unclear
// under it or the agent has restarted under it.
func (g *agentGateway) fenceUnclear(m *machine) {
	if !g.replica.fencingNeeded(m) || !m.agent.fencing.raise(g.now) {
		return
	}
	m.agent.fencing.requireRaise()
	m.invalidateOccupancy()
	g.planNeeded = true
	g.audit.countTokenRaise()
}

// fencingNeeded reports whether the result of a direct command to the machine is unclear under its present fencing
// token, or the agent has restarted under it.
func (r *replica) fencingNeeded(m *machine) bool {
	token := r.fencingToken(m)
	return m.agent.command.unclear() && m.agent.command.token == token || m.agent.restart.token == token
}

// mustReserveTokens reports whether the machine's entry must be written to reserve fencing tokens, while heartbeats of
// the machine arrive: the token must be raised at once, or a command has waited for it long enough.
func (p *plan) mustReserveTokens(m *machine) bool {
	state := m.agent
	if state.heardAt == 0 || p.now-state.heardAt >= p.cfg.Settings.HeartbeatPeriod()*2 || state.fencing.reserved > 0 {
		return false
	}
	waiting := state.fencing.waitingSince
	return p.replica.fencingNeeded(m) || waiting > 0 && p.now-waiting > maxReservationWait
}

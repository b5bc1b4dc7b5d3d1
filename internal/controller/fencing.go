package controller

import "frostdock.example/frostdock/internal/units"

// This file determines when the absence of a task from a heartbeat proves that the task is not on the
// machine. Releases of entries for that reason (guard.ReleaseProvenAbsent) rely on it.
//
// Invariant: while a machine is quiesced, its latest heartbeat lists all tasks that are on the machine,
// and no task starts there until this controller sends a new start command.
//
// Proof: a start reaches an agent in one of three ways.
//
//  1. From another controller, or from this one under an earlier leadership or entry. Such a start has
//     a lower fencing token, since the token grows with each of these changes (leadershipManager: no
//     process leads a partition twice under one term). The agent refuses commands whose token is lower
//     than the highest that it has seen, and its latest heartbeat shows that it has seen a token of the
//     present leadership (showsToken). Tasks that it started before are listed there. After a restart of
//     the agent the token is raised, so that a heartbeat from before the restart does not show the
//     required one.
//  2. In a direct command of this controller. While the machine is quiesced, none is in flight. A
//     command that got no answer may be carried out late, as long as its token and the agent's epoch
//     are the present ones; it stays unclear until a heartbeat shows a higher token or a later epoch. A
//     command that was carried out and answered may be carried out again. It has no effect on an attempt
//     that the agent still knows, which the heartbeat lists, and the agent refuses it once it has
//     forgotten the attempt (start_fencing.go).
//  3. In the response to a heartbeat. An agent acts on a response for responseLifetime at most, and
//     sends its next heartbeat only after it has received the response or stopped waiting for it. So
//     that heartbeat lists the task if it was started; so does the answer to a call that was made after
//     the lifetime had passed. Until one of them has arrived, the start is open, however long ago it was
//     sent: the latest heartbeat may be from before it. The answer to an earlier call proves nothing,
//     whenever it arrives: an agent may send it while the response is still on its way.

// termBits is how many low bits of a fencing token hold the term of the machine's partition. The higher
// bits count how often the machine changed partitions and how often its token was raised.
const termBits = 31

// fencingToken returns the machine's fencing token; 0 if the machine's partition is not known. The token
// strictly grows with every handover of the machine and every change of the leader of its partition, and never falls
// while the machine is commanded. To other controllers all increments that the entry reserves count as used.
func (r *replica) fencingToken(m *machine) uint64 {
	p := r.partitions[m.shard.partition]
	if p == nil {
		return 0
	}
	increments := m.shard.handovers + m.doc.TokenIncrements
	if m.agent != nil {
		increments -= m.agent.fencing.reserved
	}
	return increments<<termBits | p.doc.Term
}

// requiredToken returns the lowest fencing token that a heartbeat must show to count as evidence: that of the
// present leadership, or a later one that was raised because of an unclear command or a restart of the agent.
func (r *replica) requiredToken(m *machine) uint64 {
	return r.fencingToken(m) - m.agent.fencing.raised<<termBits
}

// quiesced reports whether no command can still start a task on a machine, and the machine's latest heartbeat lists
// all tasks that earlier commands started; the head of this file has the proof.
func (r *replica) quiesced(m *machine) bool {
	state := m.agent
	return state.heardAt > 0 && r.showsToken(m) && state.command.settled() && !state.responses.startOpen()
}

// tokenShown reports whether a machine's latest heartbeat shows a fencing token of the present leadership that counts
// as evidence.
func (r *replica) tokenShown(m *machine) bool {
	return m.agent.tokenSeen >= r.requiredToken(m) && m.agent.tokenSeen <= r.fencingToken(m)
}

// showsToken reports whether a machine's latest heartbeat shows such a token, and is certainly not from before the
// agent's last restart.
func (r *replica) showsToken(m *machine) bool {
	return r.tokenShown(m) && m.agent.restart.token < r.requiredToken(m)
}

// responseLifetime is how long after the response to a heartbeat was sent an agent may still act on it,
// with a margin for clock drift.
const responseLifetime = 4*units.Second + 50*units.Millisecond

// startOpen reports whether a response has sent a start of which no heartbeat shows yet whether it was carried
// out.
func (r *responseState) startOpen() bool { return r.startAt > 0 }

// startOverdue reports whether a start is open although the agent can no longer carry it out. The next
// heartbeat is then missing, and only the answer to a new call can show the outcome.
func (r *responseState) startOverdue(now units.Micros) bool {
	return r.startOpen() && now > r.startAt+responseLifetime
}

// callAnswered records the agent's answer to a call that was made at calledAt: it closes a start that could no
// longer be carried out by then.
func (r *responseState) callAnswered(calledAt units.Micros) {
	if r.startOverdue(calledAt) {
		r.startAt = 0
	}
}

// directCommandStage is the state of the direct command to a machine.
type directCommandStage int

const (
	commandSettled  directCommandStage = iota // there is no command, or the agent has answered it
	commandInFlight                           // the command has no answer yet
	commandUnclear                            // the command got no answer, and may be carried out late
)

// directCommand is the direct command to a machine; there is at most one at a time.
type directCommand struct {
	stage directCommandStage
	token uint64 // fencing token of the command
	epoch uint64 // agent epoch that the command is for
}

func (d *directCommand) settled() bool  { return d.stage == commandSettled }
func (d *directCommand) inFlight() bool { return d.stage == commandInFlight }
func (d *directCommand) unclear() bool  { return d.stage == commandUnclear }

// send records that a command is sent.
func (d *directCommand) send(token, epoch uint64) {
	*d = directCommand{stage: commandInFlight, token: token, epoch: epoch}
}

// answered records that the agent has answered the command.
func (d *directCommand) answered() { d.stage = commandSettled }

// withdrawn records that the command was not sent, and never will be.
func (d *directCommand) withdrawn() { d.stage = commandSettled }

// unanswered records that the agent has not answered: it may carry out the command at any time while the
// command's token and epoch are the present ones.
func (d *directCommand) unanswered() { d.stage = commandUnclear }

// heartbeatReceived records the token and the epoch in a heartbeat. A higher value of either fences off an
// unclear command.
func (d *directCommand) heartbeatReceived(token, epoch uint64) {
	if d.unclear() && (token > d.token || epoch > d.epoch) {
		d.stage = commandSettled
	}
}

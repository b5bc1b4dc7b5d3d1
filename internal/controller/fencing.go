package controller

import "frostdock.example/frostdock/internal/units"

// This file holds what makes the absence of a task from a heartbeat a proof that the task is not on the
// machine. A release for that reason (guard.ReleaseProvenAbsent) rests on it.
//
// Invariant: while a machine is quiesced, its latest heartbeat lists all tasks that are on it, and none
// starts there unless this controller commands it from now on.
//
// Proof: a start reaches an agent in one of three ways.
//
//  1. From another controller, or from this one under an earlier leadership or entry. Such a start
//     bears a lower fencing token, since the token grows with each of these. The agent refuses
//     commands under a lower token than the highest that it has seen, and the heartbeat has shown that
//     it has seen the present one (tokenSeen). What it started before, the heartbeat lists.
//  2. In a direct command of this controller. None is in flight. One that got no answer may be
//     carried out late, while its token and the agent's epoch stand; it stays unclear until a
//     heartbeat shows a higher token or a later epoch.
//  3. In the response to a heartbeat. An agent acts on a response for responseLifetime at most, and
//     sends its next heartbeat only when it has the response or waits for it no more. So either that
//     heartbeat has come, and lists what was started, or the lifetime has passed. The answer to a
//     probe or a direct command proves nothing here: an agent gives it while a response is still on
//     its way, and a task whose start is delayed would look free and be placed on a second machine.

// termBits is how many low bits of a fencing token are the term of the machine's partition. Above them
// is how often the machine has changed hands.
const termBits = 31

// fencingToken strictly grows with every handover of the machine and every change of the leader of its
// partition.
func (r *replica) fencingToken(m *machine) uint64 {
	p := r.partitions[m.shard.partition]
	if p == nil {
		return 0
	}
	return (m.shard.handovers+m.doc.TokenIncrements)<<termBits | p.doc.Term
}

// quiesced reports whether no command can still start a task on a machine: see above.
func (r *replica) quiesced(m *machine, now units.Micros) bool {
	state := m.agent
	return state.heardAt > 0 && state.tokenSeen == r.fencingToken(m) && state.command.settled() && now > state.responses.startExpiresAt()
}

// responseLifetime is how long after it was given an agent may still act on the response to a
// heartbeat, with some time for the drift of the clocks.
const responseLifetime = 4*units.Second + 50*units.Millisecond

// startExpiresAt is until when a start that was given in the response to a heartbeat may arrive; 0 if
// there is none.
func (r *responseState) startExpiresAt() units.Micros {
	if r.startAt == 0 {
		return 0
	}
	return r.startAt + responseLifetime
}

// directCommandStage is where the direct command to a machine stands.
type directCommandStage int

const (
	commandSettled  directCommandStage = iota // there is none, or the agent has answered it
	commandInFlight                           // it has no answer yet
	commandUnclear                            // it got no answer, and may be carried out late
)

// directCommand is the direct command to a machine; there is one at a time.
type directCommand struct {
	stage directCommandStage
	token uint64 // fencing token under which it was given
	epoch uint64 // agent epoch for which it was
}

func (d *directCommand) settled() bool  { return d.stage == commandSettled }
func (d *directCommand) inFlight() bool { return d.stage == commandInFlight }
func (d *directCommand) unclear() bool  { return d.stage == commandUnclear }

// send notes that a command leaves.
func (d *directCommand) send(token, epoch uint64) {
	*d = directCommand{stage: commandInFlight, token: token, epoch: epoch}
}

// answered notes that the agent has answered.
func (d *directCommand) answered() { d.stage = commandSettled }

// withdrawn notes that the command did not leave, and never will.
func (d *directCommand) withdrawn() { d.stage = commandSettled }

// unanswered notes that the agent has not: the command may be carried out at any time while token and
// epoch stand.
func (d *directCommand) unanswered() { d.stage = commandUnclear }

// heartbeatCame notes the token and the epoch that a heartbeat shows. A higher one of either fences an
// unclear command off.
func (d *directCommand) heartbeatCame(token, epoch uint64) {
	if d.unclear() && (token > d.token || epoch > d.epoch) {
		d.stage = commandSettled
	}
}

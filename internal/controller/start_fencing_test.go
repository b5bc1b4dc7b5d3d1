package controller

import (
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// directStart is a controller that has started a task on n-000001 by a direct command, which the agent has carried out
// and answered.
type directStart struct {
	*startedByResponse
	token   uint64 // of the command that started the task
	removal []sentRemoval
}

// sentRemoval is a removal of an attempt with the token that it was sent under.
type sentRemoval struct {
	attempt, token uint64
	direct         bool
}

// firstAttempt is the attempt that directStart has started.
const firstAttempt = 1<<28 | 1

func newDirectStart(t *testing.T) *directStart {
	t.Helper()
	p := newUnreservedDirectStart(t)
	p.storeAgain()
	return p
}

// newUnreservedDirectStart returns one for whose machine no fencing tokens are reserved.
func newUnreservedDirectStart(t *testing.T) *directStart {
	t.Helper()
	p := &directStart{startedByResponse: &startedByResponse{pushCase: newPushCase(t), t: t}}
	p.refuse = false
	p.tasks = []agent.TaskStatus{{Task: "j-000001/0", Attempt: firstAttempt, State: agent.Running}}
	calls := directCommands(p.enterTask(schema.KeepRunning), agent.Start)
	if len(calls) != 1 {
		t.Fatalf("%d direct starts, want 1", len(calls))
	}
	p.token, p.started = calls[0].Commands.FencingToken, p.now
	p.step()
	return p
}

// storeAgain has the machine's document written once more by its leader, which reserves fencing tokens.
func (p *directStart) storeAgain() {
	m := p.machine()
	m.agent.fencing.reserve(m.doc.TokenIncrements, "reservation")
	shard := machineWith(m.doc.Tasks...)
	shard.Machines[0].TokenIncrements, shard.WriteTag = m.doc.TokenIncrements+tokenReservation, "reservation"
	p.show(shard)
}

// show has the watch show the machine's document.
func (p *directStart) show(shard schema.MachineShard) []Effect {
	event := kv.Event{Set: shardOfMachine(p.c.replica.layout), Value: encode(shard), ModRevision: p.store.revision + 1}
	return p.note(p.step(p.store.watchEvents(event)))
}

func (p *directStart) machine() *machine { return p.c.replica.machines["n-000001"] }

// enter shows the machine's document with other entries.
func (p *directStart) enter(tasks ...schema.Task) []Effect {
	shard := machineWith(tasks...)
	shard.Machines[0].TokenIncrements = p.machine().doc.TokenIncrements
	return p.show(shard)
}

// note records the removals among effects, and returns the effects.
func (p *directStart) note(effects []Effect) []Effect {
	for _, effect := range effects {
		switch e := effect.(type) {
		case AgentCall:
			if e.Commands != nil {
				p.noteRemovals(e.Commands.Commands, e.Commands.FencingToken, true)
			}
		case Reply:
			if response, ok := e.Body.(agent.HeartbeatResponse); ok {
				p.noteRemovals(response.Commands, response.FencingToken, false)
				p.store.agentTokens["n-000001"] = max(p.store.agentTokens["n-000001"], response.FencingToken)
			}
		case StoreCall, CloudCall, BroadcastHeartbeat: // carry no commands
		}
	}
	return effects
}

func (p *directStart) noteRemovals(commands []agent.Command, token uint64, direct bool) {
	for _, command := range commands {
		if command.Action == agent.Remove {
			p.removal = append(p.removal, sentRemoval{command.Attempt, token, direct})
		}
	}
}

// beat sends the agent's next heartbeat, with the highest token that the agent has seen.
func (p *directStart) beat() {
	request := p.heartbeat()
	request.Heartbeat.FencingToken = p.store.agentTokens["n-000001"]
	p.note(p.step(request))
}

// end has the task end with a cause.
func (p *directStart) end(cause agent.Cause) {
	p.tasks = []agent.TaskStatus{{Task: "j-000001/0", Attempt: firstAttempt, State: agent.Ended, Cause: cause}}
	p.beat()
}

// runSteps steps for a second.
func (p *directStart) runSteps() {
	for range 40 {
		p.note(p.step())
	}
}

// TestRemovalFencesDirectStart guards against a task that runs twice: an ended attempt is removed from its machine, and
// a copy of the direct command that started it arrives after that. The removal must be sent, and under a higher token.
func TestRemovalFencesDirectStart(t *testing.T) {
	for name, end := range map[string]func(p *directStart){
		"failed":  func(p *directStart) { p.end(agent.CauseError) },
		"refused": func(p *directStart) { p.end("no_room") },
		"moved": func(p *directStart) {
			p.enter(schema.Task{Job: "j-000001", Index: 0, Attempt: firstAttempt, StopMode: schema.StopGracefully})
			p.end(agent.CauseStopped)
		},
		"preempted": func(p *directStart) {
			p.enter(schema.Task{Job: "j-000001", Index: 0, Attempt: firstAttempt, StopMode: schema.StopImmediately})
			p.end(agent.CauseStopped)
		},
		"cancelled": func(p *directStart) { p.cancelJob(); p.end(agent.CauseStopped) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectStart(t)
			end(p)
			p.runSteps()
			p.checkEntry(false, "a second after the end")
			p.beat()
			p.runSteps()
			if len(p.removal) == 0 {
				t.Fatal("the ended attempt is not removed with the next heartbeat")
			}
			for _, removal := range p.removal {
				if removal.attempt != firstAttempt || removal.token <= p.token {
					t.Errorf("removal %+v; the start was sent under token %d", removal, p.token)
				}
			}
			if !p.c.planner.machineView.acceptsTasks(p.machine()) {
				t.Error("the machine accepts no tasks after the removal")
			}
		})
	}
}

// TestLaterAttemptFencesEarlierStart guards against a task that runs twice: an agent that keeps one attempt of a task
// forgets the earlier one when it starts a later one, and a copy of the earlier start arrives after that.
func TestLaterAttemptFencesEarlierStart(t *testing.T) {
	p := newDirectStart(t)
	p.end(agent.CauseError)
	p.runSteps()
	calls := directCommands(p.enter(schema.Task{Job: "j-000001", Index: 0, Attempt: firstAttempt + 1}), agent.Start)
	if len(calls) != 1 || calls[0].Commands.FencingToken <= p.token {
		t.Fatalf("starts of the later attempt: %+v; the earlier one was sent under token %d", calls, p.token)
	}
}

// TestNoReservation withholds a removal while no raise of the fencing token is reserved, and then has some reserved by a
// write of its own.
func TestNoReservation(t *testing.T) {
	p := newUnreservedDirectStart(t)
	p.enter()
	p.end(agent.CauseError)
	if len(p.removal) > 0 {
		t.Fatalf("removals %+v without a reservation", p.removal)
	}
	for waited := p.now; p.now < waited+maxReservationWait+planDelay; {
		p.beat()
		p.runSteps()
	}
	p.beat()
	if len(p.removal) == 0 || p.removal[0].token <= p.token {
		t.Errorf("removals %+v after the wait for a reservation; the start was sent under token %d", p.removal, p.token)
	}
}

// TestRestartFencesEarlierStarts guards against a start from before a restart of the agent, which resets the agent's
// token: the first command after the restart was noticed must be under a higher token than every one before.
func TestRestartFencesEarlierStarts(t *testing.T) {
	p := newDirectStart(t)
	m := p.machine()
	before := p.c.replica.fencingToken(m)
	m.agent.restarted(before)
	p.beat()
	if token := p.c.replica.fencingToken(m); token <= before {
		t.Errorf("token %d after the restart, %d before", token, before)
	}
	if p.c.facts.quiesced(m) {
		t.Error("quiesced before a heartbeat shows the raised token")
	}
}

// TestEntryShown checks which changes of a machine's stored increments may be used one by one.
func TestEntryShown(t *testing.T) {
	reservation := tokenRange{from: 3, to: 3 + tokenReservation, writeTag: "own"}
	for name, tc := range map[string]struct {
		shown    tokenRange
		reserved uint64
	}{
		"own reservation":                {reservation, tokenReservation},
		"the same by another controller": {tokenRange{3, 3 + tokenReservation, "other"}, 0},
		"another change":                 {tokenRange{3, 4, "own"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			fencing := startFencing{reserved: 2, raised: 1, directStarts: map[string]uint64{"j-000001/0": 1}}
			if name == "own reservation" {
				fencing.reserved = 0
			}
			fencing.reserve(reservation.from, reservation.writeTag)
			fencing.entryShown(tc.shown)
			if fencing.reserved != tc.reserved {
				t.Errorf("%d raises reserved, want %d", fencing.reserved, tc.reserved)
			}
			if tc.reserved == 0 && (fencing.raised != 0 || len(fencing.directStarts) != 0) {
				t.Errorf("%+v after a change that raises the token", fencing)
			}
		})
	}
}

// TestSuccessorTokenIsHigher checks that a raise is one step, and that a controller that knows only the stored entry
// computes a higher token than the leader may ever have sent.
func TestSuccessorTokenIsHigher(t *testing.T) {
	p := newDirectStart(t)
	m := p.machine()
	before := p.c.replica.fencingToken(m)
	for range tokenReservation {
		if !m.agent.fencing.raise(p.now) {
			t.Fatal("a reserved raise is refused")
		}
	}
	used := p.c.replica.fencingToken(m)
	if used != before+tokenReservation<<termBits || m.agent.fencing.raise(p.now) {
		t.Errorf("token %d after %d raises from %d", used, tokenReservation, before)
	}
	m.agent = nil
	if successor := p.c.replica.fencingToken(m) + 1; successor <= used { // its term is higher by 1
		t.Errorf("successor's token %d, used %d", successor, used)
	}
}

// TestFencingInvariantFires checks that the audit refuses a removal and a later attempt under the token of a direct
// start, and allows a removal of another attempt.
func TestFencingInvariantFires(t *testing.T) {
	p := newDirectStart(t)
	m := p.machine()
	m.agent.fencing.noteDirectStarts([]agent.Command{{Action: agent.Start, Task: "j-000001/0", Attempt: firstAttempt}})
	for _, tc := range []struct {
		command agent.Command
		allowed bool
	}{
		{agent.Command{Action: agent.Remove, Task: "j-000001/0", Attempt: firstAttempt}, false},
		{agent.Command{Action: agent.Start, Task: "j-000001/0", Attempt: firstAttempt + 1}, false},
		{agent.Command{Action: agent.Remove, Task: "j-000001/0", Attempt: firstAttempt - 1}, true},
	} {
		clear(p.c.audit.violations)
		allowed, _ := p.c.audit.checkCommands(m, []agent.Command{tc.command})
		if got := slices.Contains(allowed, tc.command); got != tc.allowed || p.c.audit.violations[invariantFencing] > 0 == tc.allowed {
			t.Errorf("%+v: allowed %v, violations %v", tc.command, got, p.c.audit.violations)
		}
	}
}

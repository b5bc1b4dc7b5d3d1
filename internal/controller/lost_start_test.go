package controller

import (
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// startedByResponse is a controller that has started a task on n-000001 in the response to a heartbeat, after
// which the task was to be stopped. The agent's latest heartbeat is from before the start.
type startedByResponse struct {
	*pushCase
	t       *testing.T
	cut     bool // no call to the machine is answered
	started units.Micros
}

func newStartedByResponse(t *testing.T) *startedByResponse {
	t.Helper()
	p := &startedByResponse{pushCase: newPushCase(t), t: t}
	p.enterTask(schema.KeepRunning) // the direct command comes back as not sent
	p.step()
	if countStarts(p.step(p.heartbeat())) != 1 {
		t.Fatal("no start in the response to the heartbeat")
	}
	p.started, p.refuse = p.now, false
	return p
}

// runUntil steps until a time after the start.
func (p *startedByResponse) runUntil(afterStart units.Micros) {
	for p.now < p.started+afterStart {
		p.step()
		if p.cut {
			p.dropAnswers()
		}
	}
}

// dropAnswers makes the calls that are in flight fail.
func (p *startedByResponse) dropAnswers() {
	for i, message := range p.msgs {
		if result, ok := message.(AgentResult); ok {
			p.msgs[i] = AgentResult{CallID: result.CallID}
		}
	}
}

// checkEntry fails the test unless the stored document lists the task, or does not, as wanted.
func (p *startedByResponse) checkEntry(want bool, when string) {
	p.t.Helper()
	var shard schema.MachineShard
	key := shardOfMachine(p.c.replica.layout)
	if !p.c.decode(key, p.store.keys[key].Value, &shard) {
		p.t.Fatal("unreadable machine shard")
	}
	listed := slices.ContainsFunc(shard.Machines, func(m schema.Machine) bool { return len(m.Tasks) > 0 })
	if listed != want {
		p.t.Errorf("%s: entry listed: %v, want %v", when, listed, want)
	}
}

// planDelay is ample time for a plan to be made and stored.
const planDelay = units.Second

// leaseEnd returns when, after the start, the lease of the agent has certainly expired.
func (p *startedByResponse) leaseEnd() units.Micros {
	return p.c.replica.machines["n-000001"].agent.leaseEnd - p.started
}

// TestStartWithoutNewerHeartbeat guards against a task that runs twice: its machine loses the network right
// after a response started the task, and the heartbeat from before the start is taken for a proof of absence.
// The entry is released once the lease has expired.
func TestStartWithoutNewerHeartbeat(t *testing.T) {
	for name, stop := range map[string]func(*startedByResponse){
		"stop requested": func(p *startedByResponse) { p.enterTask(schema.StopGracefully) },
		"job cancelled":  func(p *startedByResponse) { p.cancelJob() },
	} {
		t.Run(name, func(t *testing.T) {
			p := newStartedByResponse(t)
			p.cut = true
			stop(p)
			p.runUntil(p.leaseEnd())
			p.checkEntry(true, "while the lease may run")
			p.runUntil(p.leaseEnd() + planDelay)
			p.checkEntry(false, "after the lease")
		})
	}
}

// TestAnswerToEarlierCall guards against a proof of absence by an answer that arrives when the start can no
// longer be carried out, but was sent before that.
func TestAnswerToEarlierCall(t *testing.T) {
	p := newStartedByResponse(t)
	p.cut = true
	p.enterTask(schema.StopGracefully)
	p.runUntil(responseLifetime - planDelay)
	m := p.c.replica.machines["n-000001"]
	p.c.after(0, func() { p.c.agents.probe(m) })
	var calls []AgentCall
	for _, effect := range p.step() {
		if call, ok := effect.(AgentCall); ok {
			calls = append(calls, call)
		}
	}
	p.msgs = nil
	p.runUntil(responseLifetime + planDelay)
	for _, call := range calls {
		p.step(p.store.answerAgent(call))
	}
	p.runUntil(responseLifetime + 2*planDelay)
	if len(calls) != 1 || m.agent.heardAt < p.started+responseLifetime {
		t.Fatalf("%d calls, last heard %.1f s after the start", len(calls), (m.agent.heardAt - p.started).Seconds())
	}
	p.checkEntry(true, "after an answer to a call from before the end of the lifetime")
}

// TestNextHeartbeatReleases checks that the entry of a start that was not carried out is released as soon as
// the next heartbeat does not list the task, even while a response could still be on its way.
func TestNextHeartbeatReleases(t *testing.T) {
	p := newStartedByResponse(t)
	p.cut = true
	p.enterTask(schema.StopGracefully)
	p.step(p.heartbeat())
	p.runUntil(planDelay)
	p.checkEntry(false, "after the next heartbeat")
}

// TestAnswerToNewCallReleases checks that the entry is released on a machine whose heartbeats no longer arrive
// but which answers calls: it is asked once the start can no longer be carried out.
func TestAnswerToNewCallReleases(t *testing.T) {
	p := newStartedByResponse(t)
	p.enterTask(schema.StopGracefully)
	p.runUntil(responseLifetime)
	p.checkEntry(true, "before the end of the lifetime")
	p.runUntil(responseLifetime + probePeriod + planDelay)
	p.checkEntry(false, "after the answer to a new call")
}

// TestCopyFromBeforeRestart guards against a task that runs twice, or beyond its team's quota: its machine has
// restarted, and a late copy of a heartbeat from before the restart, whose sequence number is higher, is taken for a
// proof of absence.
func TestCopyFromBeforeRestart(t *testing.T) {
	p := newStartedByResponse(t)
	const sequenceBefore, sequenceAfter = 100, 1
	p.store.heartbeatSequence = sequenceBefore
	beforeRestart := p.heartbeat()
	p.step(beforeRestart)
	p.restart(sequenceAfter)
	p.tasks = []agent.TaskStatus{{Task: "j-000001/0", Attempt: 1<<28 | 1, State: agent.Running}}
	p.step(p.heartbeat())
	p.runUntil(p.now - p.started + planDelay)
	p.store.heartbeatSequence = sequenceAfter + 10
	p.step(p.heartbeat())

	p.enterTask(schema.StopGracefully)
	p.runUntil(p.now - p.started + planDelay) // the task saves its progress
	beforeRestart.Heartbeat.Sequence++
	p.step(beforeRestart)
	p.runUntil(p.now - p.started + planDelay)
	p.checkEntry(true, "after a copy of a heartbeat from before the restart")

	p.tasks = nil
	p.runUntil(p.now - p.started + overduePeriods*p.c.cfg.Settings.HeartbeatPeriod())
	p.checkEntry(false, "once the machine itself does not list the task")
}

// overduePeriods is the number of heartbeat periods after which a machine that sends no heartbeat was asked for one.
const overduePeriods = 2

// restart restarts the agent: it has no tasks, has seen no fencing token, and counts its heartbeats from the given
// number on. The controller learns of it by the answer to a probe.
func (p *startedByResponse) restart(sequence uint64) {
	p.store.heartbeatSequence = sequence
	m := p.c.replica.machines["n-000001"]
	p.c.after(0, func() { p.c.agents.probe(m) })
	p.step()
	p.step()
	if m.agent.sequence > sequence+2 {
		p.t.Fatalf("sequence %d: the restart was not noticed", m.agent.sequence)
	}
}

// TestCopyClosesNoStart guards against a start that counts as settled because of a late copy of a heartbeat from
// before the agent's restart, which shows an earlier fencing token and a higher sequence number.
func TestCopyClosesNoStart(t *testing.T) {
	p := newStartedByResponse(t)
	state := p.c.replica.machines["n-000001"].agent
	beforeRestart := p.heartbeat()
	beforeRestart.Heartbeat.FencingToken = state.tokenSeen - 1
	p.cut = true
	p.step(beforeRestart)
	if !state.responses.startOpen() || !state.restart.suspected {
		t.Errorf("start open: %v, restart suspected: %v", state.responses.startOpen(), state.restart.suspected)
	}
}

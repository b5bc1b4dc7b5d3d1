package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// directCommands returns, for each command of one action that effects push to a machine, the call that
// carries it.
func directCommands(effects []Effect, action agent.Action) (calls []AgentCall) {
	for _, effect := range effects {
		call, ok := effect.(AgentCall)
		if !ok || call.Commands == nil {
			continue
		}
		for _, command := range call.Commands.Commands {
			if command.Action == action {
				calls = append(calls, call)
			}
		}
	}
	return calls
}

// notSent replaces the results of calls among messages by results that say that the calls were not sent.
func notSent(messages []Message, calls []AgentCall) []Message {
	for _, call := range calls {
		for i, message := range messages {
			if result, ok := message.(AgentResult); ok && result.CallID == call.CallID {
				messages[i] = AgentResult{CallID: call.CallID, NotSent: true, Waited: units.Second}
			}
		}
	}
	return messages
}

// pushCase is a controller that commands n-000001, where a task of j-000001 is entered. Its step method
// makes all direct commands come back as not sent while refuse is set.
type pushCase struct {
	c      *Controller
	store  *fakeStore
	now    units.Micros
	msgs   []Message
	refuse bool
	tasks  []agent.TaskStatus // on the machine, as its agent reports
}

// heartbeatRequestID is the request ID of the agent's heartbeats.
const heartbeatRequestID = 9

func newPushCase(t *testing.T) *pushCase {
	t.Helper()
	c, store, _ := controllerWithForeignJob(t)
	return &pushCase{c: c, store: store, now: c.now, refuse: true}
}

func (p *pushCase) step(extra ...Message) []Effect {
	p.now += 25 * units.Millisecond
	effects := p.c.Step(p.now, p.now+units.Micros(1e15), append(p.msgs, extra...))
	p.msgs = nil
	for _, effect := range effects {
		for _, message := range p.store.answer(effect) {
			if result, ok := message.(AgentResult); ok {
				result.Heartbeat.Tasks = p.tasks
			}
			p.msgs = append(p.msgs, message)
		}
	}
	if p.refuse {
		p.msgs = notSent(p.msgs, append(directCommands(effects, agent.Start), directCommands(effects, agent.Stop)...))
	}
	return effects
}

// heartbeat returns the agent's next heartbeat.
func (p *pushCase) heartbeat() HeartbeatRequest {
	p.store.heartbeatSequence++
	token := p.c.replica.fencingToken(p.c.replica.machines["n-000001"])
	return HeartbeatRequest{RequestID: heartbeatRequestID, Heartbeat: agent.Heartbeat{
		Machine: "n-000001", Addr: "n-000001", Type: "big", Zone: "a", Epoch: 1,
		Sequence: p.store.heartbeatSequence, FencingToken: token, Tasks: p.tasks,
	}}
}

// enterTask shows the controller a task of j-000001 that is entered on n-000001, to run or to be stopped.
func (p *pushCase) enterTask(mode schema.StopMode) []Effect {
	entry := schema.Task{Job: "j-000001", Index: 0, Attempt: 1<<28 | 1, StopMode: mode}
	return p.step(p.store.watchEvents(kv.Event{Set: shardOfMachine(p.c.replica.layout), Value: encode(machineWith(entry)), ModRevision: p.store.revision + 1}))
}

// cancelJob shows the controller that j-000001 is cancelled.
func (p *pushCase) cancelJob() []Effect {
	return p.step(p.store.watchEvents(
		kv.Event{Set: schema.CancellationPrefix + "j-000001", Value: encode(map[string]string{"w": "x"}), ModRevision: p.store.revision + 1},
		kv.Event{Set: schema.OutcomePrefix + "j-000001", Value: encode(schema.Outcome{State: StageCancelled}), ModRevision: p.store.revision + 1}))
}

// TestNotSentIsDecidedAnew has the start of a task come back as not sent. The start raises no fencing
// token, is sent again after a delay, and is not sent once the task's job is cancelled.
func TestNotSentIsDecidedAnew(t *testing.T) {
	p := newPushCase(t)
	m := p.c.replica.machines["n-000001"]
	token := p.c.replica.fencingToken(m)
	starts := len(directCommands(p.enterTask(schema.KeepRunning), agent.Start))
	if starts != 1 {
		t.Fatalf("%d starts sent when the task was entered, want 1", starts)
	}
	// At most one retry after each delay, and one with each answered probe.
	const seconds, stepsPerSecond, maxStarts = 4, 40, 4*4 + 4 + 1
	for range seconds * stepsPerSecond {
		starts += len(directCommands(p.step(), agent.Start))
	}
	if starts < 2 || starts > maxStarts {
		t.Errorf("start sent %d times in %d s", starts, seconds)
	}
	if m.agent.command.unclear() || p.c.replica.fencingToken(m) != token {
		t.Errorf("command unclear: %v, token raised from %d to %d", m.agent.command.unclear(), token, p.c.replica.fencingToken(m))
	}
	starts = len(directCommands(p.cancelJob(), agent.Start))
	p.refuse = false
	for range seconds * stepsPerSecond {
		starts += len(directCommands(p.step(), agent.Start))
	}
	if starts != 0 {
		t.Errorf("%d starts sent after the cancellation", starts)
	}
}

// TestNotSentStopIsToldAgain has the stop of a task come back as not sent. The stop is sent in the response
// to the next heartbeat, and directly once calls are sent again.
func TestNotSentStopIsToldAgain(t *testing.T) {
	p := newPushCase(t)
	p.refuse = false
	p.tasks = []agent.TaskStatus{{Task: "j-000001/0", Attempt: 1<<28 | 1, State: agent.Running}}
	p.enterTask(schema.KeepRunning)
	p.step()
	p.step(p.heartbeat())
	p.refuse = true
	if stops := len(directCommands(p.enterTask(schema.StopImmediately), agent.Stop)); stops != 1 {
		t.Fatalf("%d stops sent when the entry asked for one, want 1", stops)
	}
	p.step()
	sent := false
	for _, effect := range p.step(p.heartbeat()) {
		if reply, ok := effect.(Reply); ok && reply.RequestID == heartbeatRequestID {
			response, _ := reply.Body.(agent.HeartbeatResponse)
			sent = len(response.Commands) == 1 && response.Commands[0].Action == agent.Stop
		}
	}
	if !sent {
		t.Error("no stop in the response to the next heartbeat")
	}
	p.refuse = false
	stops := 0
	for range 40 {
		stops += len(directCommands(p.step(), agent.Stop))
	}
	if stops == 0 {
		t.Error("stop not sent again directly")
	}
}

// TestCommandsLeaveWhileEntitled checks until when a start may be sent: as long as the proof of freshness
// that it was decided on is recent enough for starts.
func TestCommandsLeaveWhileEntitled(t *testing.T) {
	p := newPushCase(t)
	starts := directCommands(p.enterTask(schema.KeepRunning), agent.Start)
	if len(starts) != 1 || starts[0].SendDeadline != p.c.freshness.provenAt+maxStartProofAge {
		t.Errorf("starts %+v, proven at %v", starts, p.c.freshness.provenAt)
	}
	if remaining := starts[0].SendDeadline - p.c.now; remaining <= 0 || remaining > maxStartProofAge {
		t.Errorf("a start may be sent for another %v", remaining)
	}
}

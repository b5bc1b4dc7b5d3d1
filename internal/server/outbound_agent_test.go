package server

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

func startCommand() *agent.CommandRequest {
	start := agent.Command{Action: agent.Start, Task: "j-000001/0", Attempt: 1}
	return &agent.CommandRequest{FencingToken: 1, Epoch: 1, Commands: []agent.Command{start}}
}

// TestAgentCalls checks what calls of agents send, and what their answers become.
func TestAgentCalls(t *testing.T) {
	const commandBody = `{"baton":1,"shift":1,"orders":[{"order":"launch","piece":"j-000001/0","pass":1}]}`
	const responseBody = `{"bench":"n-1"}`
	heartbeat := &agent.Heartbeat{Machine: "n-1"}
	inspect := controller.AgentCall{CallID: testCallID}
	command := controller.AgentCall{CallID: testCallID, Commands: startCommand()}
	runOutboundCases(t, []outboundCase{
		{
			"inspect", inspect, getRequest("/inspect"), http.StatusOK, responseBody,
			controller.AgentResult{CallID: testCallID, Heartbeat: heartbeat},
		},
		{
			"command", command, postRequest("/commands", commandBody), http.StatusOK, responseBody,
			controller.AgentResult{CallID: testCallID, Heartbeat: heartbeat},
		},
		{
			"command that is out of date", command, postRequest("/commands", commandBody), http.StatusConflict, responseBody,
			controller.AgentResult{CallID: testCallID, Heartbeat: heartbeat},
		},
		{
			"command that is malformed", command, postRequest("/commands", commandBody), http.StatusBadRequest, responseBody,
			controller.AgentResult{CallID: testCallID},
		},
	})
}

// startSilentAgent accepts connections and never answers.
func startSilentAgent(t *testing.T) string {
	t.Helper()
	listener := listenOnLoopback(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return listener.Addr().String()
}

// maxCommandAge is how long after its decision a command may still leave, with time for a busy machine.
const maxCommandAge = 1400 * time.Millisecond

// TestNoOldCommand has so many machines not answer that the commands under way are as many as
// may be. A command that waits for its turn must not leave long after it was decided: what it
// starts may be cancelled by then, and the right to start may have lapsed.
//
// What happened: the command to the machine that answers left 4.5 s after it was decided, behind 4 times
// as many silent machines as calls may be under way, and could have left at any time.
//
// Why: a call waited for its turn without bound, and nobody looked once more before it left. The time that
// this test prints, and the tasks started late in scenario few_sockets, showed it; no log line did.
func TestNoOldCommand(t *testing.T) {
	s := newIsolatedServer(t, 64)
	silent := startSilentAgent(t)
	var mu sync.Mutex
	var received []time.Time
	answering := serveOnLoopback(t, func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		received = append(received, time.Now())
		mu.Unlock()
		_, _ = io.WriteString(ctx, "{}")
	})
	command := startCommand()
	for i := range 4 * cap(s.agents.commandSlots) {
		s.execute(controller.AgentCall{CallID: uint64(1000 + i), Address: silent, Commands: command})
	}
	time.Sleep(50 * time.Millisecond) // all of them wait before the last does
	decidedAt := time.Now()
	s.execute(controller.AgentCall{CallID: 1, Address: answering, Commands: command})
	time.Sleep(7 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, receivedAt := range received {
		if age := receivedAt.Sub(decidedAt); age > maxCommandAge {
			t.Errorf("a command left %v after it was decided", age)
		}
	}
}

// startAnsweringAgent answers every request, and counts them.
func startAnsweringAgent(t *testing.T) (address string, received *atomic.Int64) {
	t.Helper()
	received = &atomic.Int64{}
	address = serveOnLoopback(t, func(ctx *fasthttp.RequestCtx) {
		received.Add(1)
		_, _ = io.WriteString(ctx, `{"bench":"n-1"}`)
	})
	return address, received
}

// awaitResults waits for the results of so many calls, each of which must come once.
func awaitResults(t *testing.T, s *Server, count int) map[uint64]controller.AgentResult {
	t.Helper()
	results := map[uint64]controller.AgentResult{}
	for range count {
		select {
		case message := <-s.queue:
			result, ok := message.(controller.AgentResult)
			if _, twice := results[result.CallID]; !ok || twice {
				t.Fatalf("unexpected %+v", message)
			}
			results[result.CallID] = result
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d calls have ended", len(results), count)
		}
	}
	return results
}

// TestLateCommandComesBack calls 4 times as many silent machines as calls may be under way, and then one
// that answers. What can't leave in time comes back as not sent, and was not; what has left comes back
// without an answer. Every call ends once, and then the same command is sent and answered.
func TestLateCommandComesBack(t *testing.T) {
	s := newServer(newConfig(64))
	slots := cap(s.agents.commandSlots)
	answering, received := startAnsweringAgent(t)
	for i := range 4 * slots { // each of its own: connections to one would wait for each other
		s.execute(controller.AgentCall{CallID: uint64(1000 + i), Address: startSilentAgent(t), Commands: startCommand()})
	}
	time.Sleep(50 * time.Millisecond) // all of them wait before the last does
	late := controller.AgentCall{CallID: 1, Address: answering, Commands: startCommand()}
	s.execute(late)
	results := awaitResults(t, s, 4*slots+1)
	if !results[1].NotSent || results[1].Heartbeat != nil || results[1].Waited == 0 || received.Load() != 0 {
		t.Errorf("%+v, received %d times", results[1], received.Load())
	}
	sent := 0
	for _, result := range results {
		if result.Heartbeat != nil {
			t.Errorf("answered: %+v", result)
		}
		if !result.NotSent {
			sent++
		}
	}
	if sent != slots {
		t.Errorf("%d calls were sent, %d may be under way", sent, slots)
	}
	s.execute(late)
	if result := awaitResults(t, s, 1)[1]; result.NotSent || result.Heartbeat == nil || result.Waited != 0 || received.Load() != 1 {
		t.Errorf("%+v, received %d times", result, received.Load())
	}
	if len(s.agents.commandSlots) != 0 {
		t.Errorf("%d slots are taken", len(s.agents.commandSlots))
	}
}

// TestCommandOfLapsedRight executes a command whose right has ended by the controller's clock, as after the
// process has stood still. Nothing is sent, though there is nothing to wait for.
func TestCommandOfLapsedRight(t *testing.T) {
	s := newServer(newConfig(64))
	answering, received := startAnsweringAgent(t)
	s.execute(controller.AgentCall{CallID: 1, Address: answering, Commands: startCommand(), LeaveBefore: s.now() - 1})
	if result := awaitResults(t, s, 1)[1]; !result.NotSent || received.Load() != 0 {
		t.Errorf("%+v, received %d times", result, received.Load())
	}
	s.execute(controller.AgentCall{CallID: 2, Address: answering, Commands: startCommand(), LeaveBefore: s.now() + units.Second})
	if result := awaitResults(t, s, 1)[2]; result.NotSent || received.Load() != 1 {
		t.Errorf("%+v, received %d times", result, received.Load())
	}
}

// TestSilentAgentsLeaveSlots has machines called again that did not answer before. They must leave some
// calls to others: one that answers is not kept waiting by them.
func TestSilentAgentsLeaveSlots(t *testing.T) {
	s := newServer(newConfig(64))
	slots := cap(s.agents.inspectSlots)
	var silent []string
	for range slots {
		silent = append(silent, startSilentAgent(t))
	}
	answering, received := startAnsweringAgent(t)
	for round := range 2 {
		for i, address := range silent {
			s.execute(controller.AgentCall{CallID: uint64(100*round + i), Address: address})
		}
		if round == 0 {
			awaitResults(t, s, slots)
		}
	}
	time.Sleep(50 * time.Millisecond)
	s.execute(controller.AgentCall{CallID: 1000, Address: answering})
	if result := awaitResults(t, s, 1)[1000]; result.Heartbeat == nil || received.Load() != 1 {
		t.Errorf("%+v, received %d times", result, received.Load())
	}
	awaitResults(t, s, slots)
}

// TestCommandTooLateAtWrite has more than half of the time for a command pass between each two looks at the
// clock, as while its connection is dialled: it has its slot in time, and is too late when it is written.
func TestCommandTooLateAtWrite(t *testing.T) {
	s := newServer(newConfig(64))
	answering, received := startAnsweringAgent(t)
	clock := units.Second
	s.agents.now = func() units.Micros {
		clock += maxCommandWait * 6 / 10
		return clock
	}
	s.execute(controller.AgentCall{CallID: 1, Address: answering, Commands: startCommand()})
	if result := awaitResults(t, s, 1)[1]; !result.NotSent || result.Heartbeat != nil || received.Load() != 0 {
		t.Errorf("%+v, received %d times", result, received.Load())
	}
}

// TestBegunCommandIsNotCalledUnsent reads the body of a command in time, as its writer does, and looks for its
// end when it is too late. What happened: the look for the end counted as too late, so a command whose body may
// all have left came back as not sent, and nothing was fenced off. Why: every read looked at the clock, and
// the writer reads once more after the last byte. The two reads of this test showed it.
func TestBegunCommandIsNotCalledUnsent(t *testing.T) {
	now := units.Second
	body := &deadlineBody{now: func() units.Micros { return now }, sendDeadline: now + 1, reader: bytes.NewReader([]byte("{}"))}
	if n, err := body.Read(make([]byte, 8)); n != 2 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	now += units.Second
	if n, err := body.Read(make([]byte, 8)); n != 0 || !errors.Is(err, io.EOF) || body.expired {
		t.Errorf("%d bytes, %v, refused %v", n, err, body.expired)
	}
}

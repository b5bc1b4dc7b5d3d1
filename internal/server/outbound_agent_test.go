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

// TestAgentCalls checks the requests of calls to agents, and the messages that the responses result in.
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

// startSilentAgent starts an agent that accepts connections and never answers, and returns its address.
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

// maxCommandAge is how long after its decision a command may arrive: maxCommandWait and an allowance for a
// busy test machine.
const maxCommandAge = 1400 * time.Millisecond

// TestNoOldCommand fills all command slots with calls to silent machines. A command that waits for a slot
// must not be sent long after it was decided: by then its task may be cancelled, and the authority to
// start it may have lapsed. Without a bound on the wait and a check before sending, the command to the
// machine that answers was sent 4.5 s after its decision, behind 4 times as many silent machines as there
// are slots. This also showed as tasks started late in scenario few_sockets, but in no log line.
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
	time.Sleep(50 * time.Millisecond) // for all of them to wait before the last call
	decidedAt := time.Now()
	s.execute(controller.AgentCall{CallID: 1, Address: answering, Commands: command})
	time.Sleep(7 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, receivedAt := range received {
		if age := receivedAt.Sub(decidedAt); age > maxCommandAge {
			t.Errorf("a command was received %v after it was decided", age)
		}
	}
}

// startAnsweringAgent starts an agent that answers every request, and counts the requests.
func startAnsweringAgent(t *testing.T) (address string, received *atomic.Int64) {
	t.Helper()
	received = &atomic.Int64{}
	address = serveOnLoopback(t, func(ctx *fasthttp.RequestCtx) {
		received.Add(1)
		_, _ = io.WriteString(ctx, `{"bench":"n-1"}`)
	})
	return address, received
}

// awaitResults waits for the results of count calls, and fails the test if a call has two results.
func awaitResults(t *testing.T, s *Server, count int) map[uint64]controller.AgentResult {
	t.Helper()
	results := map[uint64]controller.AgentResult{}
	for range count {
		select {
		case message := <-s.queue:
			result, ok := message.(controller.AgentResult)
			if _, twice := results[result.CallID]; !ok || twice {
				t.Fatalf("unexpected or repeated message %+v", message)
			}
			results[result.CallID] = result
		case <-time.After(10 * time.Second):
			t.Fatalf("timed out with %d of %d call results", len(results), count)
		}
	}
	return results
}

// TestLateCommandComesBack calls 4 times as many silent machines as there are command slots, and then one
// that answers. A call that misses its deadline must not be sent and must be reported as not sent; a call
// that was sent must be reported without a heartbeat. Every call must end once. After that, the same
// command must be sent and answered.
func TestLateCommandComesBack(t *testing.T) {
	s := newServer(newConfig(64))
	slots := cap(s.agents.commandSlots)
	answering, received := startAnsweringAgent(t)
	for i := range 4 * slots { // an agent for each, as calls to the same one would wait for its connections
		s.execute(controller.AgentCall{CallID: uint64(1000 + i), Address: startSilentAgent(t), Commands: startCommand()})
	}
	time.Sleep(50 * time.Millisecond) // for all of them to wait before the last call
	late := controller.AgentCall{CallID: 1, Address: answering, Commands: startCommand()}
	s.execute(late)
	results := awaitResults(t, s, 4*slots+1)
	if !results[1].NotSent || results[1].Heartbeat != nil || results[1].Waited == 0 || received.Load() != 0 {
		t.Errorf("result %+v, agent received %d requests", results[1], received.Load())
	}
	sent := 0
	for _, result := range results {
		if result.Heartbeat != nil {
			t.Errorf("call to a silent agent: unexpected heartbeat: %+v", result)
		}
		if !result.NotSent {
			sent++
		}
	}
	if sent != slots {
		t.Errorf("%d calls were sent, want %d", sent, slots)
	}
	s.execute(late)
	if result := awaitResults(t, s, 1)[1]; result.NotSent || result.Heartbeat == nil || result.Waited != 0 || received.Load() != 1 {
		t.Errorf("result %+v, agent received %d requests", result, received.Load())
	}
	if len(s.agents.commandSlots) != 0 {
		t.Errorf("%d command slots are still in use", len(s.agents.commandSlots))
	}
}

// TestCommandOfLapsedRight executes a command whose authority has lapsed by the controller's clock, as happens
// after the process was suspended. The command must not be sent, though a slot is free.
func TestCommandOfLapsedRight(t *testing.T) {
	s := newServer(newConfig(64))
	answering, received := startAnsweringAgent(t)
	s.execute(controller.AgentCall{CallID: 1, Address: answering, Commands: startCommand(), SendDeadline: s.now() - 1})
	if result := awaitResults(t, s, 1)[1]; !result.NotSent || received.Load() != 0 {
		t.Errorf("result %+v, agent received %d requests", result, received.Load())
	}
	s.execute(controller.AgentCall{CallID: 2, Address: answering, Commands: startCommand(), SendDeadline: s.now() + units.Second})
	if result := awaitResults(t, s, 1)[2]; result.NotSent || received.Load() != 1 {
		t.Errorf("result %+v, agent received %d requests", result, received.Load())
	}
}

// TestSilentAgentsLeaveSlots calls silent machines a second time. These calls must leave some slots free, so
// that a call to a machine that answers need not wait for them.
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
		t.Errorf("result %+v, agent received %d requests", result, received.Load())
	}
	awaitResults(t, s, slots)
}

// TestCommandTooLateAtWrite advances the clock by more than half of maxCommandWait between each two reads of
// it, as a slow dial would: the command gets its slot in time, and misses its deadline when it is written.
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
		t.Errorf("result %+v, agent received %d requests", result, received.Load())
	}
}

// TestBegunCommandIsNotCalledUnsent reads the body of a command before its deadline, and reads the end of the
// body after it, as the HTTP client does: it reads once more after the last byte. When every read checked
// the deadline, the last of the two failed, so a command whose body may have been sent completely was
// reported as not sent, and nothing was fenced off.
func TestBegunCommandIsNotCalledUnsent(t *testing.T) {
	now := units.Second
	body := &deadlineBody{now: func() units.Micros { return now }, sendDeadline: now + 1, reader: bytes.NewReader([]byte("{}"))}
	if n, err := body.Read(make([]byte, 8)); n != 2 || err != nil {
		t.Fatalf("first read: %d bytes, error %v", n, err)
	}
	now += units.Second
	if n, err := body.Read(make([]byte, 8)); n != 0 || !errors.Is(err, io.EOF) || body.expired {
		t.Errorf("second read: %d bytes, error %v, expired %v", n, err, body.expired)
	}
}

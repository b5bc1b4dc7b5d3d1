package server

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/controller"
)

func startCommand() *agent.CommandRequest {
	start := agent.Command{Action: agent.Start, Task: "j-000001/0", Attempt: 1}
	return &agent.CommandRequest{FencingToken: 1, Epoch: 1, Commands: []agent.Command{start}}
}

// TestAgentCalls checks what calls of agents send, and what their answers become.
func TestAgentCalls(t *testing.T) {
	const commandBody = `{"baton":1,"shift":1,"orders":[{"order":"launch","piece":"j-000001/0","pass":1}]}`
	const answer = `{"bench":"n-1"}`
	heartbeat := &agent.Heartbeat{Machine: "n-1"}
	inspect := controller.AgentCall{CallID: testCallID}
	command := controller.AgentCall{CallID: testCallID, Commands: startCommand()}
	runOutboundCases(t, []outboundCase{
		{
			"inspect", inspect, getRequest("/inspect"), http.StatusOK, answer,
			controller.AgentResult{CallID: testCallID, Heartbeat: heartbeat},
		},
		{
			"command", command, postRequest("/commands", commandBody), http.StatusOK, answer,
			controller.AgentResult{CallID: testCallID, Heartbeat: heartbeat},
		},
		{
			"command that is out of date", command, postRequest("/commands", commandBody), http.StatusConflict, answer,
			controller.AgentResult{CallID: testCallID, Heartbeat: heartbeat},
		},
		{
			"command that is malformed", command, postRequest("/commands", commandBody), http.StatusBadRequest, answer,
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

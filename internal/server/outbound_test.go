package server

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/controller"
)

// silentWorker accepts connections and never answers.
func silentWorker(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return ln.Addr().String()
}

// maxCommandAge is how long after its decision a command may still leave, with time for a busy machine.
const maxCommandAge = 1400 * time.Millisecond

// TestNoOldCommand has so many machines not answer that the commands under way are as many as
// may be. A command that waits for its turn must not leave long after it was decided: what it
// starts may be cancelled by then, and the right to start may have lapsed.
func TestNoOldCommand(t *testing.T) {
	s := newIsolatedServer(t, 64)
	silent := silentWorker(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var mu sync.Mutex
	var received []time.Time
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			mu.Lock()
			received = append(received, time.Now())
			mu.Unlock()
			_, _ = io.WriteString(ctx, "{}")
		})
	}()
	command := &agent.CommandRequest{FencingToken: 1, Epoch: 1, Commands: []agent.Command{{Action: agent.Start, Task: "j-000001/0", Attempt: 1}}}
	for i := range 4 * cap(s.outbound.commandSlots) {
		s.execute(controller.AgentCall{CallID: uint64(1000 + i), Address: silent, Commands: command})
	}
	time.Sleep(50 * time.Millisecond) // all of them wait before the last does
	decidedAt := time.Now()
	s.execute(controller.AgentCall{CallID: 1, Address: ln.Addr().String(), Commands: command})
	time.Sleep(7 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, receivedAt := range received {
		if age := receivedAt.Sub(decidedAt); age > maxCommandAge {
			t.Errorf("a command left %v after it was decided", age)
		}
	}
}

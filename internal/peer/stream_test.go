package peer

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestStream sends heartbeats over a real connection, and ends both sides by cancelling their context.
func TestStream(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	received := make(chan Heartbeat)
	served := make(chan error)
	go func() { served <- serve(ctx, listener, func(heartbeat Heartbeat) { received <- heartbeat }) }()
	heartbeats := make(chan Heartbeat)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		Send(ctx, listener.Addr().String(), heartbeats)
	}()
	for _, member := range []string{"bay-1", "bay-2"} {
		heartbeats <- Heartbeat{Member: member}
		if got := await(t, received); got.Member != member {
			t.Errorf("got %+v", got)
		}
	}
	cancel()
	await(t, sent)
	if err := await(t, served); err != nil {
		t.Error(err)
	}
}

// await returns the next value of a channel, or the zero value if the channel is closed.
func await[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(20 * time.Second):
		t.Fatal("received nothing within 20 s")
		panic("unreachable")
	}
}

package peer

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxStreams is the most streams that are received concurrently. Further ones are closed as they are opened.
	maxStreams = 64
	// acceptRetryDelay keeps the accept loop from spinning while the process is out of sockets.
	acceptRetryDelay = 50 * time.Millisecond
	// readTimeout is how long nothing may arrive on a stream before it is closed.
	readTimeout = 10 * time.Second
)

// Listen passes each heartbeat that arrives at addr to handle until ctx ends. Each stream has its own
// goroutine that calls handle, so the calls may be concurrent.
//
// Listen returns once all streams are closed, which takes up to about maxStreamAge after the end of ctx:
// an open stream is read until its sender tries to reopen it, which fails without the listener.
func Listen(ctx context.Context, addr string, handle func(Heartbeat)) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	return serve(ctx, listener, handle)
}

// serve accepts streams until ctx ends, and waits until all have been closed.
func serve(ctx context.Context, listener net.Listener, handle func(Heartbeat)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(2 + maxStreams) // the two goroutines below, and one for each stream
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		acceptStreams(ctx, listener, group, handle)
		return nil
	})
	return group.Wait()
}

// acceptStreams starts a goroutine of the group for each stream, until the listener is closed
// because ctx has ended.
func acceptStreams(ctx context.Context, listener net.Listener, group *errgroup.Group, handle func(Heartbeat)) {
	for {
		conn, err := listener.Accept()
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case err != nil: // out of sockets
			time.Sleep(acceptRetryDelay)
			continue
		}
		started := group.TryGo(func() error {
			receive(conn, handle)
			return nil
		})
		if !started {
			_ = conn.Close() // nothing was written that an error could concern
		}
	}
}

// receive handles the heartbeats of one stream until the stream fails, the sender closes it, or
// nothing arrives for readTimeout.
func receive(conn net.Conn, handle func(Heartbeat)) {
	defer func() { _ = conn.Close() }() // only read from, so an error does not matter
	decoder := gob.NewDecoder(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout)) // fails only on a closed connection, where reading fails too
		var heartbeat Heartbeat
		if decoder.Decode(&heartbeat) != nil {
			return
		}
		handle(heartbeat)
	}
}

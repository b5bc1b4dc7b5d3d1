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
	// maxStreams is how many streams are received at once. More are closed as they are opened.
	maxStreams = 64
	// acceptRetryDelay keeps the accept loop from spinning while the process is out of sockets.
	acceptRetryDelay = 50 * time.Millisecond
	// maxSilence is how long a stream is kept on which nothing arrives.
	maxSilence = 10 * time.Second
)

// Listen hands each heartbeat that arrives at addr to handle until ctx ends. handle is called by
// one goroutine for each stream, at the same time.
//
// Listen returns once all streams are closed, which takes up to about maxStreamAge: a sender that
// goes on sending is heard until it opens its stream anew, which it can't any more.
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
			_ = conn.Close() // nothing was sent that an error could tell of
		}
	}
}

// receive handles the heartbeats of one stream until it breaks, the sender closes it, or nothing
// arrives for maxSilence.
func receive(conn net.Conn, handle func(Heartbeat)) {
	defer func() { _ = conn.Close() }() // only ever read from: an error tells nothing
	decoder := gob.NewDecoder(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(maxSilence)) // fails only on a closed connection, and so does reading
		var heartbeat Heartbeat
		if decoder.Decode(&heartbeat) != nil {
			return
		}
		handle(heartbeat)
	}
}

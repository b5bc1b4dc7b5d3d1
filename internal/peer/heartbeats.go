// Package peer carries heartbeats between controllers: gob over TCP, one stream in
// each direction. Heartbeats are evidence and hints, and tell of completed tasks, which stay
// completed: no rule depends on whether or when one arrives.
package peer

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// Heartbeat is what a controller tells the others about once a second.
type Heartbeat struct {
	Member  string
	Inc     string
	StateOK bool                // it has had an answer from the state service lately
	Heard   map[string]int64    // machines it has heard from: microseconds ago
	Open    map[string][]string // machines it commands that take work, and the images there
	Ended   []EndedTask         // tasks of others' jobs that completed on its machines, not yet stored
	Writes  float64             // changes a second that it has made lately
}

// EndedTask is a task that its machine has reported as completed.
type EndedTask struct {
	Job string
	Num int
	Ran int64 // microseconds; 0: not known
}

// maxStreamAge is how long a stream is used before it is opened anew. After a cut a
// connection may be dead without an error, and take what is written for minutes;
// until it is opened anew, the other side counts this controller as unheard.
const maxStreamAge = 10 * time.Second

// Listen takes heartbeats until ctx ends.
func Listen(ctx context.Context, addr string, handle func(Heartbeat)) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(66)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				time.Sleep(50 * time.Millisecond) // out of sockets: wait, then go on
				continue
			}
			if !group.TryGo(func() error { receive(conn, handle); return nil }) {
				_ = conn.Close()
			}
		}
	})
	return group.Wait()
}

func receive(conn net.Conn, handle func(Heartbeat)) {
	defer conn.Close()
	decoder := gob.NewDecoder(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		var heartbeat Heartbeat
		if decoder.Decode(&heartbeat) != nil {
			return
		}
		handle(heartbeat)
	}
}

// Send keeps a stream to addr and sends whatever comes from heartbeats.
func Send(ctx context.Context, addr string, heartbeats <-chan Heartbeat) {
	var conn net.Conn
	var encoder *gob.Encoder
	var opened time.Time
	closeStream := func() {
		if conn != nil {
			_ = conn.Close()
		}
		conn = nil
	}
	defer closeStream()
	for {
		select {
		case <-ctx.Done():
			return
		case heartbeat := <-heartbeats:
			if time.Since(opened) > maxStreamAge {
				closeStream()
			}
			if conn == nil {
				dialed, err := net.DialTimeout("tcp4", addr, time.Second)
				if err != nil {
					continue
				}
				conn, encoder, opened = dialed, gob.NewEncoder(dialed), time.Now()
			}
			_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if encoder.Encode(&heartbeat) != nil {
				closeStream()
			}
		}
	}
}

package peer

import (
	"context"
	"encoding/gob"
	"net"
	"time"
)

const (
	// maxStreamAge is how long a stream is used before it is reopened. After a network partition a
	// dead connection may accept writes for minutes without an error; until it is reopened, the
	// other side does not hear from this controller.
	maxStreamAge = 10 * time.Second

	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
)

// Send sends all heartbeats from the channel to addr until ctx ends. A heartbeat that cannot be sent is
// dropped: the next one repeats everything.
func Send(ctx context.Context, addr string, heartbeats <-chan Heartbeat) {
	out := stream{addr: addr}
	defer out.close()
	for {
		select {
		case <-ctx.Done():
			return
		case heartbeat := <-heartbeats:
			out.send(ctx, &heartbeat)
		}
	}
}

// stream is the connection to one peer. It is opened when there is something to send.
type stream struct {
	addr     string
	conn     net.Conn // nil: closed
	encoder  *gob.Encoder
	openedAt time.Time
}

// send writes a heartbeat. After a failure the stream is closed.
func (s *stream) send(ctx context.Context, heartbeat *Heartbeat) {
	if time.Since(s.openedAt) > maxStreamAge {
		s.close()
	}
	if s.conn == nil && s.open(ctx) != nil {
		return
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, where writing fails too
	if s.encoder.Encode(heartbeat) != nil {
		s.close()
	}
}

func (s *stream) open(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", s.addr)
	if err != nil {
		return err
	}
	s.conn, s.encoder, s.openedAt = conn, gob.NewEncoder(conn), time.Now()
	return nil
}

func (s *stream) close() {
	if s.conn != nil {
		_ = s.conn.Close() // undelivered heartbeats are out of date, so an error does not matter
	}
	s.conn = nil
}

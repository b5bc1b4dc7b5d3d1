package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// linkKind is a kind of messages to or from a controller that can be cut.
type linkKind int

const (
	linkHeartbeats         linkKind = iota // agents' heartbeats to the controller
	linkHeartbeatResponses                 // the controller's responses to them
	linkUserResponses                      // the controller's responses to users
	linkPeers                              // heartbeats from and to other controllers
)

// link is one kind of messages at one controller.
type link struct {
	kind       linkKind
	controller int
}

const (
	relayBufferBytes = 32 << 10
	dialTimeout      = time.Second
)

// network records which links of a run are cut. Stand-ins check it for each of their messages; the
// controllers' connections to each other go through relays that check it.
type network struct {
	mu       sync.Mutex
	cutUntil map[link]time.Time
}

func newNetwork() *network { return &network{cutUntil: map[link]time.Time{}} }

// cutFor cuts messages of a kind at a controller for a duration.
func (n *network) cutFor(kind linkKind, controller int, duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutUntil[link{kind, controller}] = time.Now().Add(duration)
}

// isCut reports whether messages of a kind at a controller are cut now.
func (n *network) isCut(kind linkKind, controller int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cutUntil[link{kind, controller}])
}

// heal ends all cuts.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cutUntil)
}

// peerRelay forwards connections from one controller to another, and closes them while either's peer
// link is cut.
type peerRelay struct {
	network  *network
	from, to int
	target   string
}

// relayPeers starts a relay at an address for connections from one controller to another. It runs
// until the run is stopped.
func (w *world) relayPeers(from, to int, address, target string) error {
	listener, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for peer connections of %s: %w", memberName(from), err)
	}
	relay := &peerRelay{network: w.network, from: from, to: to, target: target}
	w.spawn(func() {
		defer closeWith(w.ctx, listener)()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.spawn(func() { relay.forward(w.ctx, conn) })
		}
	})
	return nil
}

func (r *peerRelay) isCut() bool {
	return r.network.isCut(linkPeers, r.from) || r.network.isCut(linkPeers, r.to)
}

// forward copies data from a connection to the target until either side closes, the link is cut, or
// the run is stopped.
func (r *peerRelay) forward(ctx context.Context, conn net.Conn) {
	defer closeWith(ctx, conn)()
	if r.isCut() {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	out, err := dialer.DialContext(ctx, "tcp4", r.target)
	if err != nil {
		return
	}
	defer closeWith(ctx, out)()
	buffer := make([]byte, relayBufferBytes)
	for {
		count, readErr := conn.Read(buffer)
		if r.isCut() {
			return
		}
		if _, writeErr := out.Write(buffer[:count]); readErr != nil || writeErr != nil {
			return
		}
	}
}

// closeWith closes a socket when the context ends, or before, when the returned function is called.
// Errors of closing are ignored, since the socket is no longer used.
func closeWith(ctx context.Context, socket interface{ Close() error }) (closeNow func()) {
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	return func() {
		stop()
		_ = socket.Close()
	}
}

package soak

import (
	"net"
	"sync"
	"time"
)

// linkKind is a direction in which messages to or from a controller can be cut.
type linkKind int

const (
	linkHeartbeats       linkKind = iota // reports to the controller
	linkHeartbeatAnswers                 // its answers to reports
	linkUserAnswers                      // requests of users
	linkPeers                            // heartbeats from the controller
)

// network are the cuts between the hosts of a run, and what forwards heartbeats.
type network struct {
	mu          sync.Mutex
	cutUntil    map[linkKind]map[int]time.Time
	listeners   []net.Listener
	connections map[net.Conn]bool
}

func newNetwork() *network {
	return &network{cutUntil: map[linkKind]map[int]time.Time{}, connections: map[net.Conn]bool{}}
}

// cutFor cuts messages of a kind for some time.
func (n *network) cutFor(kind linkKind, controller int, duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutUntil[kind] == nil {
		n.cutUntil[kind] = map[int]time.Time{}
	}
	n.cutUntil[kind][controller] = time.Now().Add(duration)
}

// isCut reports whether messages of a kind are cut now.
func (n *network) isCut(kind linkKind, controller int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cutUntil[kind][controller])
}

// heal ends all cuts.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cutUntil)
}

// forward takes connections for one controller from another, and cuts them when either is cut.
func (n *network) forward(w *world, from, to int, address, target string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, listener)
	n.mu.Unlock()
	w.spawn(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.spawn(func() { n.relay(conn, from, to, target) })
		}
	})
	return nil
}

func (n *network) relay(conn net.Conn, from, to int, target string) {
	defer conn.Close()
	if n.isCut(linkPeers, from) || n.isCut(linkPeers, to) {
		return
	}
	out, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	n.track(conn, out)
	defer n.untrack(conn, out)
	buffer := make([]byte, 32<<10)
	for {
		count, err := conn.Read(buffer)
		if n.isCut(linkPeers, from) || n.isCut(linkPeers, to) {
			return
		}
		if _, werr := out.Write(buffer[:count]); err != nil || werr != nil {
			return
		}
	}
}

func (n *network) track(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range conns {
		n.connections[conn] = true
	}
}

func (n *network) untrack(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range conns {
		delete(n.connections, conn)
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for conn := range n.connections {
		_ = conn.Close()
	}
}

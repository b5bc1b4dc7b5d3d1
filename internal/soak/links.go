package soak

import (
	"net"
	"sync"
	"time"
)

// linkKind is a direction in which messages to or from a controller can be cut.
type linkKind int

const (
	linkWorkers linkKind = iota // reports to the controller
	linkAnswers                 // its answers to reports
	linkUsers                   // requests of users
	linkPeers                   // heartbeats from the controller
)

// links are the cuts between the hosts of a run, and what forwards heartbeats.
type links struct {
	mu        sync.Mutex
	until     map[linkKind]map[int]time.Time
	listeners []net.Listener
	conns     map[net.Conn]bool
}

func newLinks() *links {
	return &links{until: map[linkKind]map[int]time.Time{}, conns: map[net.Conn]bool{}}
}

// cutFor cuts messages of a kind for some time.
func (l *links) cutFor(kind linkKind, node int, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until[kind] == nil {
		l.until[kind] = map[int]time.Time{}
	}
	l.until[kind][node] = time.Now().Add(d)
}

// cut reports whether messages of a kind are cut now.
func (l *links) cut(kind linkKind, node int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.until[kind][node])
}

// heal ends all cuts.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.until)
}

// forward takes connections for one controller from another, and cuts them when either is cut.
func (l *links) forward(w *world, from, to int, address, target string) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, ln)
	l.mu.Unlock()
	w.run(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			w.run(func() { l.carry(conn, from, to, target) })
		}
	})
	return nil
}

func (l *links) carry(conn net.Conn, from, to int, target string) {
	defer conn.Close()
	if l.cut(linkPeers, from) || l.cut(linkPeers, to) {
		return
	}
	out, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	l.keep(conn, out)
	defer l.forget(conn, out)
	buffer := make([]byte, 32<<10)
	for {
		n, err := conn.Read(buffer)
		if l.cut(linkPeers, from) || l.cut(linkPeers, to) {
			return
		}
		if _, werr := out.Write(buffer[:n]); err != nil || werr != nil {
			return
		}
	}
}

func (l *links) keep(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

func (l *links) forget(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ln := range l.listeners {
		_ = ln.Close()
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
}

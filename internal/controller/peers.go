package controller

import (
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/units"
)

// peerTable keeps the latest heartbeat of each other controller. A heartbeat is evidence of its sender's
// recent state, never permission to act: only the key-value store grants that.
type peerTable struct {
	*environment
	latest map[string]peerState // by member
}

// peerState is the latest heartbeat of another controller.
type peerState struct {
	receivedAt units.Micros
	heartbeat  peer.Heartbeat
}

func newPeerTable(env *environment) *peerTable {
	return &peerTable{environment: env, latest: map[string]peerState{}}
}

// Maximum ages of a heartbeat that counts as evidence of the present state.
const (
	peerHeartbeatMaxAge = 3 * units.Second
	peerHeardMaxAge     = 4 * units.Second // as evidence that its sender hears a machine
)

// receive stores a heartbeat as the latest one of its sender.
func (t *peerTable) receive(heartbeat peer.Heartbeat) {
	t.latest[heartbeat.Member] = peerState{receivedAt: t.now, heartbeat: heartbeat}
}

// heartbeatOf returns the latest heartbeat of one process, if it is recent.
func (t *peerTable) heartbeatOf(member, incarnation string) (peer.Heartbeat, bool) {
	return t.heartbeatWithin(member, incarnation, peerHeartbeatMaxAge)
}

// heartbeatWithin returns the latest heartbeat of one process, if it is not older than maxAge.
func (t *peerTable) heartbeatWithin(member, incarnation string, maxAge units.Micros) (peer.Heartbeat, bool) {
	state, ok := t.latest[member]
	if !ok || state.heartbeat.Inc != incarnation || t.now-state.receivedAt > maxAge {
		return peer.Heartbeat{}, false
	}
	return state.heartbeat, true
}

// hears reports whether a process hears a machine; known is false without a recent heartbeat from it.
func (t *peerTable) hears(member, incarnation, machine string) (heard, known bool) {
	heartbeat, known := t.heartbeatWithin(member, incarnation, peerHeardMaxAge)
	if !known {
		return false, false
	}
	ago, listed := heartbeat.Heard[machine]
	return listed && units.Micros(ago) < 2*t.cfg.Settings.HeartbeatPeriod(), true
}

// anyHeardWithin reports whether any other controller heard a machine less than length ago.
func (t *peerTable) anyHeardWithin(machine string, length units.Micros) bool {
	for _, state := range t.latest {
		if ago, ok := state.heartbeat.Heard[machine]; ok && t.now-state.receivedAt+units.Micros(ago) < length {
			return true
		}
	}
	return false
}

// anyReachesStore reports whether a recent heartbeat says that its sender reaches the key-value store.
func (t *peerTable) anyReachesStore() bool {
	for _, state := range t.latest {
		if t.now-state.receivedAt < peerHeartbeatMaxAge && state.heartbeat.StateOK {
			return true
		}
	}
	return false
}

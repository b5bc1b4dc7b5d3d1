package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/units"
)

// peerTable keeps the latest heartbeat of each other controller.
type peerTable struct {
	latest map[string]peerState // by member
}

type peerState struct {
	receivedAt units.Micros
	heartbeat  peer.Heartbeat
}

func newPeerTable() peerTable { return peerTable{latest: map[string]peerState{}} }

func (c *Controller) handlePeerHeartbeat(m PeerHeartbeat) {
	c.peers.latest[m.Heartbeat.Member] = peerState{receivedAt: c.now, heartbeat: m.Heartbeat}
	c.completions.apply(m.Heartbeat.Ended)
}

// sendHeartbeat tells the others which machines this node hears, as evidence that a
// machine lives, and whether it reaches the state service.
func (c *Controller) sendHeartbeat() {
	b := peer.Heartbeat{Member: c.cfg.Member, Inc: c.membership.incarnation, StateOK: c.store.healthy(), Heard: map[string]int64{}, Open: map[string][]string{}}
	for name, m := range c.replica.machines {
		if m.agent != nil && c.leads(m.part()) && c.acceptsTasks(m) {
			b.Open[name] = slices.Sorted(maps.Keys(m.agent.images))
		}
	}
	for m, at := range c.agents.heardAt {
		if c.now-at > 2*c.cfg.Settings.Lease() {
			delete(c.agents.heardAt, m)
			continue
		}
		b.Heard[m] = int64(c.now - at)
	}
	writeRate := c.budget.updateAverageRate()
	if c.chainsEnabled() {
		b.Ended, b.Writes = c.completions.forPeers(), writeRate
	}
	c.emit(BroadcastHeartbeat{b})
}

// heartbeatLife is how long a heartbeat tells of the present.
const heartbeatLife = 3 * units.Second

// heartbeatOf is the latest heartbeat of one process, if it is recent.
func (c *Controller) heartbeatOf(member, incarnation string) (peer.Heartbeat, bool) {
	p, ok := c.peers.latest[member]
	if !ok || p.heartbeat.Inc != incarnation || c.now-p.receivedAt > heartbeatLife {
		return peer.Heartbeat{}, false
	}
	return p.heartbeat, true
}

package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/peer"
)

// peerHeartbeat periodically sends the other controllers what this controller knows, as evidence: which
// machines it hears, which of those that it commands take tasks, whether it reaches the key-value store,
// which tasks have completed on its machines, and how many changes it makes. A heartbeat may be lost,
// late or repeated, and has no answer.
type peerHeartbeat struct {
	*environment
	store       *storeClient
	replica     *replica
	membership  *membership
	authority   *authority
	budget      *writeBudget
	agents      *agentGateway
	completions *completionExchange
	machines    taskAcceptance
}

// taskAcceptance decides which machines take tasks.
type taskAcceptance interface {
	// acceptsTasks reports whether a machine that this controller commands may be given tasks.
	acceptsTasks(m *machine) bool
}

// send sends one heartbeat to every other controller.
func (h *peerHeartbeat) send() {
	heartbeat := peer.Heartbeat{
		Member: h.cfg.Member, Inc: h.membership.incarnation, StateOK: h.store.healthy(),
		Heard: h.agents.heardAgo(), Open: h.openMachines(),
	}
	writeRate := h.budget.updateAverageRate()
	if h.replica.dependenciesEnabled() {
		heartbeat.Ended, heartbeat.Writes = h.completions.forPeers(), writeRate
	}
	h.emit(BroadcastHeartbeat{heartbeat})
}

// openMachines returns the machines of led partitions that take tasks, with the images on each.
func (h *peerHeartbeat) openMachines() map[string][]string {
	open := map[string][]string{}
	for name, m := range h.replica.machines {
		if m.agent != nil && h.authority.leads(m.commandingPartition()) && h.machines.acceptsTasks(m) {
			open[name] = slices.Sorted(maps.Keys(m.agent.images))
		}
	}
	return open
}

package controller

// machineAcceptance tells which machines may be given tasks: of those that this controller commands by
// what it knows of their agents, of others by what their leaders say in heartbeats. It keeps nothing.
type machineAcceptance struct {
	*environment
	replica *replica
	peers   *peerTable
	fleet   *fleetMonitor
}

// acceptsTasks reports whether a machine that this controller commands may be given tasks.
func (a *machineAcceptance) acceptsTasks(m *machine) bool {
	state := m.agent
	heard := state.heardAt > 0 && a.now-state.heardAt < silenceAfter(a.cfg.Settings.HeartbeatPeriod())
	return heard && state.takesNewTasks() && state.responses.lost < maxLostResponses &&
		state.tokenSeen == a.replica.fencingToken(m) && !state.command.unclear() && !a.fleet.unreachableInbound(m)
}

// foreignMachineOpen reports whether the leader of another partition's machine says that it takes work,
// and which images are there.
func (a *machineAcceptance) foreignMachineOpen(m *machine) ([]string, bool) {
	partition := a.replica.partitions[m.shard.partition]
	if partition == nil {
		return nil, false
	}
	heartbeat, ok := a.peers.heartbeatOf(partition.doc.Member, partition.doc.Incarnation)
	if !ok {
		return nil, false
	}
	images, ok := heartbeat.Open[m.name]
	return images, ok
}

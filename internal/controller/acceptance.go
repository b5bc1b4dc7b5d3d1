package controller

// machineAcceptance decides which machines may be given tasks: those that this controller commands by the
// state of their agents, others by the heartbeats of the controllers that command them. It keeps no state.
type machineAcceptance struct {
	*environment
	replica *replica
	peers   *peerTable
	fleet   *fleetMonitor
}

// acceptsTasks reports whether a machine that this controller commands may be given tasks.
func (a *machineAcceptance) acceptsTasks(m *machine) bool {
	state := m.agent
	heard := state.heardAt > 0 && a.now-state.heardAt < heardTimeout(a.cfg.Settings.HeartbeatPeriod())
	return heard && state.takesNewTasks() && state.responses.lost < minLostResponses &&
		a.replica.tokenShown(m) && !state.command.unclear() && !a.fleet.unreachableInbound(m)
}

// foreignMachineAcceptsTasks reports whether the heartbeat of the controller that commands a machine lists
// the machine as accepting tasks, and returns the images that the machine holds.
func (a *machineAcceptance) foreignMachineAcceptsTasks(m *machine) ([]string, bool) {
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

package controller

import "frostdock.example/frostdock/internal/units"

// silentPartitions hands over a partition to a controller that hears most of its machines, when this
// controller hears none: its own network is then at fault, and as long as it leads the partition, the
// leases of the partition's machines run out. It decides nothing else, and writes through leadershipManager
// alone.
type silentPartitions struct {
	*environment
	store       *storeClient
	replica     *replica
	partitions  *partitionTable
	budget      *writeBudget
	leaderships *leadershipManager
	peers       *peerTable
}

// minPeriodsLed is for how many heartbeat periods a partition must have been led before it may be handed
// over because no machine is heard.
const minPeriodsLed = 3

// transfer hands over at most one partition.
func (s *silentPartitions) transfer() {
	for _, partition := range s.partitions.ledPartitions() {
		led := s.partitions.led[partition]
		tooNew := s.now-led.since < minPeriodsLed*s.cfg.Settings.HeartbeatPeriod()
		if led.commitsInFlight > 0 || tooNew || !s.budget.hasCredit() || s.store.failing {
			continue
		}
		for _, process := range s.replica.registeredProcesses() {
			if process.member() == s.cfg.Member || !s.hearsMostOf(process, partition) {
				continue
			}
			s.log.Warn("transferring leadership, no machine heard", "partition", partition, "to", process.member())
			s.leaderships.acquire(partition, process)
			return
		}
	}
}

// hearsMostOf reports whether another controller hears most machines of a partition.
func (s *silentPartitions) hearsMostOf(process processID, partition int) bool {
	heartbeat, ok := s.peers.heartbeatOf(process.member(), process.incarnation())
	if !ok {
		return false
	}
	machines, heard := 0, 0
	for _, m := range s.replica.machines {
		if m.commandingPartition() != partition {
			continue
		}
		machines++
		if ago, ok := heartbeat.Heard[m.name]; ok && units.Micros(ago) < 2*s.cfg.Settings.HeartbeatPeriod() {
			heard++
		}
	}
	return heard*2 > machines // false if the partition has no machines
}

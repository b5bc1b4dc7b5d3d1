package controller

import "frostdock.example/frostdock/internal/units"

// silentPartitions transfers a partition to another controller while this controller hears none of the
// machines that it commands, if the other one hears most of the partition's machines. The network of this
// controller is then at fault, and while it leads the partition, the leases of the partition's machines
// run out. silentPartitions decides nothing else, and writes only through leadershipManager.
type silentPartitions struct {
	*environment
	store       *storeClient
	replica     *replica
	partitions  *partitionTable
	budget      *writeBudget
	leaderships *leadershipManager
	peers       *peerTable
}

// minPeriodsLed is the number of heartbeat periods for which this controller must have led a partition
// before it may transfer it because no machine is heard.
const minPeriodsLed = 3

// transfer transfers at most one partition to another controller. The caller ensures that this controller
// hears no machine.
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

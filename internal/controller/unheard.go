package controller

import "frostdock.example/frostdock/internal/units"

// unheardPartitions hands over a partition to a controller that hears most of its machines, when this
// controller hears none: its own network is then at fault, and as long as it leads the partition, the
// leases of the partition's machines run out. It decides nothing else, and writes through leadershipManager
// alone.
type unheardPartitions struct {
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
func (u *unheardPartitions) transfer() {
	for _, partition := range u.partitions.ledPartitions() {
		led := u.partitions.led[partition]
		tooNew := u.now-led.since < minPeriodsLed*u.cfg.Settings.HeartbeatPeriod()
		if led.commitsInFlight > 0 || tooNew || !u.budget.hasCredit() || u.store.failing {
			continue
		}
		for _, process := range u.replica.registeredProcesses() {
			if process.member() == u.cfg.Member || !u.hearsMostOf(process, partition) {
				continue
			}
			u.log.Warn("transferring leadership, no machine heard", "partition", partition, "to", process.member())
			u.leaderships.acquire(partition, process)
			return
		}
	}
}

// hearsMostOf reports whether another controller hears most machines of a partition.
func (u *unheardPartitions) hearsMostOf(process processID, partition int) bool {
	heartbeat, ok := u.peers.heartbeatOf(process.member(), process.incarnation())
	if !ok {
		return false
	}
	machines, heard := 0, 0
	for _, m := range u.replica.machines {
		if m.part() != partition {
			continue
		}
		machines++
		if ago, ok := heartbeat.Heard[m.name]; ok && units.Micros(ago) < 2*u.cfg.Settings.HeartbeatPeriod() {
			heard++
		}
	}
	return heard*2 > machines // false if the partition has no machines
}

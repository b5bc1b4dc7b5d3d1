package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// teamPartitions lists the partitions that have teams, sorted, or only the first partition if there are no
// teams. These partitions have most of the work.
type teamPartitions []int

func newTeamPartitions(env *environment) teamPartitions {
	var partitions teamPartitions
	for _, team := range env.cfg.Settings.Teams {
		if p := env.partitionOf(team.Name); !slices.Contains(partitions, p) {
			partitions = append(partitions, p)
		}
	}
	slices.Sort(partitions)
	if len(partitions) == 0 {
		partitions = teamPartitions{0}
	}
	return partitions
}

// ofMachineShard returns the partition of a machine shard that has no document yet.
func (t teamPartitions) ofMachineShard(shard int) int { return t[shard%len(t)] }

// load returns the relative amount of work of a partition; one without teams has almost no work.
func (t teamPartitions) load(partition int) int {
	if slices.Contains(t, partition) {
		return 100
	}
	return 1
}

// leadership is this process's leadership of a partition under one revision of the partition's document;
// each later revision that names this process is a new leadership.
type leadership struct {
	partition       int
	revision        uint64 // mod revision of the partition's document, a condition of every write
	term            uint64
	since           units.Micros
	commitsInFlight int // commits of this partition that are in flight
	planning        planningState
}

// partitionTable holds the partitions that this process leads according to its replica. authority decides
// whether the process may act on that.
type partitionTable struct {
	replica   *replica
	led       map[int]*leadership
	withTeams teamPartitions
}

func newPartitionTable(replica *replica, withTeams teamPartitions) *partitionTable {
	return &partitionTable{replica: replica, led: map[int]*leadership{}, withTeams: withTeams}
}

// ledPartitions returns the led partitions, sorted.
func (t *partitionTable) ledPartitions() []int { return slices.Sorted(maps.Keys(t.led)) }

// terms returns the term of each led partition.
func (t *partitionTable) terms() map[int]uint64 {
	terms := make(map[int]uint64, len(t.led))
	for n, l := range t.led {
		terms[n] = l.term
	}
	return terms
}

// lead adds a leadership to the table.
func (t *partitionTable) lead(l *leadership) { t.led[l.partition] = l }

// resign gives up a partition, and discards the agent state of its machines.
func (t *partitionTable) resign(partition int) {
	delete(t.led, partition)
	for _, m := range t.replica.machines {
		if m.shard.partition == partition {
			m.agent = nil
		}
	}
}

// resignAll gives up all partitions, and discards the agent state of all machines.
func (t *partitionTable) resignAll() {
	clear(t.led)
	for _, m := range t.replica.machines {
		m.agent = nil
	}
}

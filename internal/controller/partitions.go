package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// teamPartitions are the partitions that have teams, in order; the first one if there are no teams.
// Most work is theirs.
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

// ofMachineShard is the partition of a machine shard that has no document yet.
func (t teamPartitions) ofMachineShard(shard int) int { return t[shard%len(t)] }

// load is how much work a partition is, against others: one without teams is next to none.
func (t teamPartitions) load(partition int) int {
	if slices.Contains(t, partition) {
		return 100
	}
	return 1
}

// leadership is a partition that this process leads, by one document of the partition: another revision
// of the document is another leadership.
type leadership struct {
	partition       int
	revision        uint64 // of the partition's document, a condition of every write
	term            uint64
	since           units.Micros
	commitsInFlight int // commits of this partition that are outstanding
	planning        planningState
}

// partitionTable knows which partitions this process leads, as far as its replica shows. Whether it may
// act on that is for authority to say.
type partitionTable struct {
	replica   *replica
	led       map[int]*leadership
	withTeams teamPartitions
}

func newPartitionTable(replica *replica, withTeams teamPartitions) *partitionTable {
	return &partitionTable{replica: replica, led: map[int]*leadership{}, withTeams: withTeams}
}

// ledPartitions lists the led partitions in order.
func (t *partitionTable) ledPartitions() []int { return slices.Sorted(maps.Keys(t.led)) }

// terms gives the term of each led partition.
func (t *partitionTable) terms() map[int]uint64 {
	terms := make(map[int]uint64, len(t.led))
	for n, l := range t.led {
		terms[n] = l.term
	}
	return terms
}

// lead enters a leadership.
func (t *partitionTable) lead(l *leadership) { t.led[l.partition] = l }

// resign gives up a partition, with what is known of its machines' agents.
func (t *partitionTable) resign(partition int) {
	delete(t.led, partition)
	for _, m := range t.replica.machines {
		if m.shard.partition == partition {
			m.agent = nil
		}
	}
}

// resignAll gives up all partitions, with what is known of any machine's agent.
func (t *partitionTable) resignAll() {
	clear(t.led)
	for _, m := range t.replica.machines {
		m.agent = nil
	}
}

package schema

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// Keys and prefixes of keys; the package comment says what stands under each.
const (
	RootPrefix         = "k/"
	ActivePrefix       = "k/a/"  // all that a controller keeps a replica of
	LayoutKey          = "k/a/0" // sorts before all other keys under ActivePrefix, so that it is read first
	RegistrationPrefix = "k/a/n/"
	PartitionPrefix    = "k/a/p/"
	MachineShardPrefix = "k/a/g/"
	JobShardPrefix     = "k/a/j/"
	ProgressPrefix     = "k/a/d/"
	CancellationPrefix = "k/a/x/"
	FirstMachineKey    = "k/a/b"
	OutcomePrefix      = "k/f/"
)

// RegistrationKey is the key of a process: its member and its incarnation.
func RegistrationKey(member, incarnation string) string {
	return RegistrationPrefix + member + "/" + incarnation
}

// PartitionKey is the key of partition n.
func PartitionKey(n int) string { return PartitionPrefix + strconv.Itoa(n) }

// MachineShardKey is the key of machine shard n.
func MachineShardKey(n int) string { return MachineShardPrefix + strconv.Itoa(n) }

// JobShardKey is the key of job shard n.
func JobShardKey(n int) string { return JobShardPrefix + strconv.Itoa(n) }

// ProgressKey is the key of a segment of a partition's progress.
func ProgressKey(partition, segment int) string {
	return ProgressPrefix + strconv.Itoa(partition) + "/" + strconv.Itoa(segment)
}

// Formats of the documents in a store. A process announces the latest that it knows in its
// Registration.
const (
	FormatInitial      = 0 // jobs without dependencies, shards that are never split
	FormatDependencies = 1 // jobs may depend on other jobs, shards may be split
)

// Layout says over how many documents machines and jobs are sharded. The first controller
// of a new store writes it, and the counts stay: the settings that they follow from may change
// while the documents are there, and two controllers that count differently would not find each
// other's machines.
type Layout struct {
	MachineShards int
	JobShards     int
	Format        int // of the documents in the store; raised once all members know a later one
}

// NewLayout is the layout of a new store whose values hold valueKB, and whose teams together may
// use maxCPUs at once; 0: any number.
func NewLayout(valueKB, maxCPUs float64) Layout {
	return Layout{MachineShards: machineShardCount(valueKB, maxCPUs), JobShards: jobShardCount(valueKB)}
}

// InitialLayout is the layout of a store that has documents but no layout: the first version
// stored none, and counted like this.
func InitialLayout(valueKB float64) Layout {
	return Layout{MachineShards: maxShardCount(valueKB), JobShards: jobShardCount(valueKB)}
}

// layoutDocument is a Layout as stored. From FormatDependencies on the counts stand under other
// names: a process of an earlier version that starts after the upgrade finds no counts, never
// finishes loading, and so cannot overwrite what it does not know.
type layoutDocument struct {
	InitialMachineShards int `json:"g"`
	InitialJobShards     int `json:"j"`
	Format               int `json:"format,omitempty"`
	MachineShards        int `json:"groups,omitempty"`
	JobShards            int `json:"shelves,omitempty"`
}

// MarshalJSON writes the form that belongs to the format.
func (l Layout) MarshalJSON() ([]byte, error) {
	if l.Format == FormatInitial {
		return json.Marshal(layoutDocument{InitialMachineShards: l.MachineShards, InitialJobShards: l.JobShards})
	}
	return json.Marshal(layoutDocument{Format: l.Format, MachineShards: l.MachineShards, JobShards: l.JobShards})
}

// UnmarshalJSON reads either form.
func (l *Layout) UnmarshalJSON(raw []byte) error {
	var doc layoutDocument
	if err := json.Unmarshal(raw, &doc); err != nil {
		return fmt.Errorf("decode layout: %w", err)
	}
	*l = Layout{MachineShards: doc.MachineShards, JobShards: doc.JobShards, Format: doc.Format}
	if doc.Format == FormatInitial {
		l.MachineShards, l.JobShards = doc.InitialMachineShards, doc.InitialJobShards
	}
	return errors.Join(checkShardCount(l.MachineShards), checkShardCount(l.JobShards))
}

// MaxShardCount is above any number of machine shards or job shards that a store can come to have.
const MaxShardCount = 1 << 16

// checkShardCount refuses a count that only a corrupt document has.
func checkShardCount(count int) error {
	if count < 0 || count > MaxShardCount {
		return fmt.Errorf("count of shards %d is not from 0 to %d", count, MaxShardCount)
	}
	return nil
}

// Bounds of the numbers of shards in a new store.
const (
	// minMachineShards keeps controllers from contending for the same documents where the quotas
	// bound what runs.
	minMachineShards = 12
	// minJobShards keeps controllers from contending for the same documents when jobs arrive at once.
	minJobShards = 24
	// minShards and maxShards bound what follows from the size of a value alone.
	minShards = 8
	maxShards = 256
	// valueKBOfAllShards is the size of all shards together: a thousand machines with eight tasks
	// each fill a third of it.
	valueKBOfAllShards = 384
	// bytesPerCPU is what a CPU in use costs in a machine shard that is not deflated: tasks of two
	// CPUs take 16 bytes each, machines of 16 CPUs 48 bytes.
	bytesPerCPU = 11
)

// machineShardCount is over how many documents machines are sharded: as many as a large fleet
// takes, but not more than the quotas of all teams can fill. Where fewer documents hold all that
// can run, each transaction tells of more machines, and freed CPUs are used sooner.
func machineShardCount(valueKB, maxCPUs float64) int {
	count := maxShardCount(valueKB)
	if maxCPUs <= 0 {
		return count
	}
	usableBytes := valueKB * 1024 * 2 / 3
	for count/2 >= minMachineShards && float64(count/2)*usableBytes >= maxCPUs*bytesPerCPU {
		count /= 2
	}
	return count
}

// jobShardCount is over how many documents jobs are sharded: few, so that one transaction
// accepts many of the jobs that are submitted at once.
func jobShardCount(valueKB float64) int { return max(minJobShards, maxShardCount(valueKB)/2) }

// maxShardCount is how many documents hold a large fleet.
func maxShardCount(valueKB float64) int {
	return max(minShards, min(maxShards, int(valueKBOfAllShards/valueKB)))
}

// MachineShardIndex is the number of the shard that a machine is in, of shards that were never
// split. Names are numbered in order of creation, so machines that are rented together are in
// different shards.
func MachineShardIndex(machine string, shards int) int { return nameNumber(machine) % shards }

// JobShardIndex is the number of the shard that a job is in, of shards that were never split.
func JobShardIndex(job string, shards int) int { return nameNumber(job) % shards }

// FindShard is the number of the shard that a name is in, where shards may have been split.
//
// A shard n of m holds the names whose numbers leave the remainder n by m. It is split into k by
// writing it and k-1 new ones, each as one of m*k: n becomes n, n+m, n+2m and so on. Siblings may
// be split differently, so every shard says of how many it is one, and holds a name only if the
// remainder by that number is its own.
//
// initialCount is the number of shards in the layout. splitCounts are the other numbers of which
// some shard says that it is one, the largest first. shardCount gives that number for a shard, 0
// if the shard was never split or is not there.
func FindShard(name string, initialCount int, splitCounts []int, shardCount func(n int) int) int {
	n, _ := OwnerShard(name, initialCount, splitCounts, shardCount)
	return n
}

// OwnerShard is FindShard that also tells whether the shard says that it holds the name. None may say
// so where not all shards are known: of a split that one part is known of, say.
func OwnerShard(name string, initialCount int, splitCounts []int, shardCount func(n int) int) (shard int, known bool) {
	number := nameNumber(name)
	for _, count := range splitCounts {
		if n := number % count; shardCount(n) == count {
			return n, true
		}
	}
	n := number % initialCount
	return n, shardCount(n) == 0
}

// nameNumber is the number that a name ends in, or a hash of a name without one.
func nameNumber(name string) int {
	digits := name[strings.LastIndexByte(name, '-')+1:]
	if number, err := strconv.ParseUint(digits, 10, 31); err == nil {
		return int(number)
	}
	hash := fnv.New32a()
	hash.Write([]byte(name)) // a hash.Hash never returns an error
	return int(hash.Sum32() >> 1)
}

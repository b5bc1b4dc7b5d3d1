package schema

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"strings"
)

// Keys and key prefixes; the package comment describes what is stored under each.
const (
	RootPrefix         = "k/"
	ActivePrefix       = "k/a/"  // everything that the controllers replicate
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

// RegistrationKey is the key of a process, identified by its member and its incarnation.
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

// Formats of the documents in a store. Each process announces the latest format that it knows in its
// Registration.
const (
	FormatInitial      = 0 // jobs without dependencies, shards that are never split
	FormatDependencies = 1 // jobs may depend on other jobs, shards may be split
)

// Layout is the initial number of machine shards and job shards, and the format of the stored
// documents. The first controller of a new store writes it, and the counts never change: the settings
// from which they are computed may change later, and two controllers with different counts would not
// find each other's machines.
type Layout struct {
	MachineShards int
	JobShards     int
	Format        int // format of the stored documents; raised once all members know a later one
}

// NewLayout returns the layout of a new store whose values hold up to valueKB, and whose teams together
// may use maxCPUs at the same time; 0: unlimited.
func NewLayout(valueKB, maxCPUs float64) Layout {
	return Layout{MachineShards: machineShardCount(valueKB, maxCPUs), JobShards: jobShardCount(valueKB)}
}

// InitialLayout returns the layout of a store that has documents but no layout. The first version
// stored no layout and computed the counts like this.
func InitialLayout(valueKB float64) Layout {
	return Layout{MachineShards: maxShardCount(valueKB), JobShards: jobShardCount(valueKB)}
}

// layoutDocument is the stored form of a Layout. From FormatDependencies on, the counts have other
// JSON names: a process of an earlier version that starts after the upgrade finds no counts, never
// finishes loading, and so cannot overwrite fields that it does not know.
type layoutDocument struct {
	InitialMachineShards int `json:"g"`
	InitialJobShards     int `json:"j"`
	Format               int `json:"format,omitempty"`
	MachineShards        int `json:"groups,omitempty"`
	JobShards            int `json:"shelves,omitempty"`
}

// MarshalJSON writes the counts under the JSON names of the layout's format.
func (l Layout) MarshalJSON() ([]byte, error) {
	if l.Format == FormatInitial {
		return json.Marshal(layoutDocument{InitialMachineShards: l.MachineShards, InitialJobShards: l.JobShards})
	}
	return json.Marshal(layoutDocument{Format: l.Format, MachineShards: l.MachineShards, JobShards: l.JobShards})
}

// UnmarshalJSON reads the counts under either set of JSON names.
func (l *Layout) UnmarshalJSON(raw []byte) error {
	var doc layoutDocument
	if err := json.Unmarshal(raw, &doc); err != nil {
		return fmt.Errorf("decode layout: %w", err)
	}
	*l = Layout{MachineShards: doc.MachineShards, JobShards: doc.JobShards, Format: doc.Format}
	if doc.Format == FormatInitial {
		l.MachineShards, l.JobShards = doc.InitialMachineShards, doc.InitialJobShards
	}
	return errors.Join(checkShardCount(l.MachineShards, MaxShardCount), checkShardCount(l.JobShards, MaxShardCount))
}

// Bounds of shard counts.
const (
	// MaxShardCount is the largest shard count that may be written: earlier versions cannot read a larger one.
	MaxShardCount = 1 << 16
	// MaxReadableShardCount is the largest shard count that is read. Names have numbers of 31 bits, so no larger
	// count divides them further. Earlier versions have written counts above MaxShardCount.
	MaxReadableShardCount = math.MaxInt32
)

// checkShardCount rejects a count that only a corrupt document can contain.
func checkShardCount(count, maxCount int) error {
	if count < 0 || count > maxCount {
		return fmt.Errorf("shard count %d is not between 0 and %d", count, maxCount)
	}
	return nil
}

// Bounds of the shard counts of a new store.
const (
	// minMachineShards is the least count to which the CPU quotas may reduce the machine shards. With
	// fewer, controllers would contend for the same documents.
	minMachineShards = 12
	// minJobShards keeps controllers from contending for the same documents when many jobs are
	// submitted at the same time.
	minJobShards = 24
	// minShards and maxShards bound the count that is computed from the size of a value alone.
	minShards = 8
	maxShards = 256
	// totalShardsKB is the capacity of all shards together: a thousand machines with eight tasks
	// each fill a third of it.
	totalShardsKB = 384
	// bytesPerCPU is the space that a CPU in use takes in a machine shard that is not deflated: tasks of
	// two CPUs take 16 bytes each and machines of 16 CPUs 48 bytes, so 16/2 + 48/16 per CPU.
	bytesPerCPU = 11
)

// machineShardCount returns the number of machine shards of a new store: as many as a large fleet
// needs, but not more than the quotas of all teams can fill. With fewer shards, each transaction
// covers more machines, and freed CPUs are used sooner.
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

// jobShardCount returns the number of job shards of a new store: few, so that one transaction
// accepts many of the jobs that are submitted at the same time.
func jobShardCount(valueKB float64) int { return max(minJobShards, maxShardCount(valueKB)/2) }

// maxShardCount returns the number of shards that hold a large fleet.
func maxShardCount(valueKB float64) int {
	return max(minShards, min(maxShards, int(totalShardsKB/valueKB)))
}

// ShardIndex returns the number of the shard that a name belongs to if there are that many shards and none
// was split. Machines are numbered in order of creation, so those that are rented together are in different
// shards.
func ShardIndex(name string, shards int) int { return nameNumber(name) % shards }

// FindShard returns the number of the shard that a name belongs to, where shards may have been split.
//
// A shard n with modulus m holds the names whose number modulo m is n. To split it into k parts, it is
// rewritten and k-1 new shards are written, each with modulus m*k: n becomes n, n+m, n+2m and so on.
// The parts may later be split differently, so every shard that was split stores its own modulus
// (ShardCount), and holds a name only if the name's number modulo that is the number of the shard.
//
// initialCount is the number of shards in the layout, the modulus of all shards that were never split.
// splitCounts are the other moduli that shards have stored, the largest first. splitCountOf returns the
// modulus that a shard has stored, 0 if the shard was never split or does not exist.
func FindShard(name string, initialCount int, splitCounts []int, splitCountOf func(n int) int) int {
	n, _ := OwnerShard(name, initialCount, splitCounts, splitCountOf)
	return n
}

// OwnerShard is like FindShard, and also reports whether the modulus of the shard confirms that it holds
// the name. Possibly no shard does while some shards are unknown, for example the other parts of a split
// of which one part is known.
func OwnerShard(name string, initialCount int, splitCounts []int, splitCountOf func(n int) int) (shard int, known bool) {
	number := nameNumber(name)
	for _, count := range splitCounts {
		if n := number % count; splitCountOf(n) == count {
			return n, true
		}
	}
	n := number % initialCount
	return n, splitCountOf(n) == 0
}

// nameNumber returns the number at the end of a name, or a hash of a name that does not end in one.
func nameNumber(name string) int {
	digits := name[strings.LastIndexByte(name, '-')+1:]
	if number, err := strconv.ParseUint(digits, 10, 31); err == nil {
		return int(number)
	}
	hash := fnv.New32a()
	hash.Write([]byte(name)) // a hash.Hash never returns an error
	return int(hash.Sum32() >> 1)
}

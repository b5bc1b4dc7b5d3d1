package controller

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// replica mirrors in this process what the key-value store holds, decoded and with the indexes that
// the duties need. It is fed by one watch and by this controller's own commits, in any order: of two
// states of a key the later revision counts. It is exact as of watchRevision.
//
// What a change means for this process's own duties (leadership, commands, limits, dependencies) it
// tells its observer; it decides nothing itself.
type replica struct {
	env      *environment
	observer replicaObserver

	revisions     map[string]uint64 // of every live key under schema.ActivePrefix
	tombstones    map[string]uint64 // keys that this controller deleted ahead of the watch
	watchRevision uint64
	// Pages of the store are read at different moments, so a loaded replica is whole only when the
	// changes up to the last page are known: what moved from one document to another meanwhile may
	// stand in neither before.
	completeRevision uint64
	synced           bool

	registeredSince   map[string]units.Micros // by key: when it was first seen here
	registeredFormats map[string]int          // by key: the format that the process knows
	partitions        map[int]*partitionDoc
	machineShards     []*machineShard
	machines          map[string]*machine
	everSeen          map[string]bool // names of all machines that were seen here
	machinesByName    []*machine      // sorted; nil when machines has changed
	unlocatedMachines map[string]bool // whose shard, since a split, was not shown yet
	jobs              map[string]*job
	unlocatedJobs     map[string]bool // the same of jobs
	unlocatedLog      period
	jobShards         []*jobShard
	jobsByAge         []*job // accepted jobs, the oldest first; nil when they have changed
	progressSegments  map[string]*progressSegment
	outcomes          *outcomeCache
	dependencies      *dag.Graph
	maxProgressGaps   int // that the stored progress of a job may have
	firstRented       *schema.FirstMachine

	defaultPartition func(shard int) int // the partition of a machine shard that has no document yet
	layoutKnown      bool                // the store's own layout is known
	layout           schema.Layout
	machineDirectory shardDirectory
	jobDirectory     shardDirectory
	format           int // of the documents, as the store says
}

// replicaObserver is told of changes that concern more than the replica.
type replicaObserver interface {
	// partitionChanged follows a change of a partition's leader.
	partitionChanged(partition int)
	// formatRaised follows a raised format of the store; it returns how many gaps a job's progress may
	// have from now on.
	formatRaised() int
	// jobAccepted and jobRemoved follow jobs that enter and leave the accepted ones.
	jobAccepted(j *job)
	jobRemoved(j *job)
	// jobCancelled follows a job that is shown as cancelled before its outcome may be.
	jobCancelled(id string)
	// outcomeShown follows a stored outcome, which never changes.
	outcomeShown(id string, outcome schema.Outcome)
	// machineChanged follows a machine's entry.
	machineChanged(m *machine, change machineChange)
}

// machineChange is what changed with a machine's entry.
type machineChange struct {
	previousTasks schema.Tasks
	entryChanged  bool
	moved         bool // to another partition
}

// maxOutcomes is how many outcomes a replica keeps; the store holds them all.
const maxOutcomes = 40000

func newReplica(env *environment, layout schema.Layout, defaultPartition func(shard int) int) *replica {
	r := &replica{
		env:       env,
		revisions: map[string]uint64{}, tombstones: map[string]uint64{},
		registeredSince: map[string]units.Micros{}, registeredFormats: map[string]int{},
		partitions: map[int]*partitionDoc{},
		machines:   map[string]*machine{}, everSeen: map[string]bool{},
		unlocatedMachines: map[string]bool{}, unlocatedJobs: map[string]bool{},
		jobs: map[string]*job{}, progressSegments: map[string]*progressSegment{},
		outcomes: newOutcomeCache(maxOutcomes), dependencies: dag.New(),
		maxProgressGaps: maxProgressGaps, defaultPartition: defaultPartition,
	}
	r.machineDirectory = newShardDirectory(func(shard int) int { return r.machineShards[shard].splitCount })
	r.jobDirectory = newShardDirectory(func(shard int) int { return r.jobShards[shard].splitCount })
	r.useLayout(layout)
	return r
}

// apply takes one change of a key. An older one than what is known is ignored, since this
// controller's own commits run ahead of the watch.
func (r *replica) apply(key string, value json.RawMessage, revision uint64, deleted bool) {
	if id, ok := strings.CutPrefix(key, schema.OutcomePrefix); ok {
		r.applyOutcome(key, id, value, deleted)
		return
	}
	if !r.isNewer(key, revision, deleted) {
		return
	}
	if deleted {
		delete(r.revisions, key)
	} else {
		r.revisions[key] = revision
	}
	r.env.planNeeded = true
	r.applyDocument(key, value, revision, deleted)
}

// isNewer reports whether a change is not known yet.
func (r *replica) isNewer(key string, revision uint64, deleted bool) bool {
	known, tombstone := r.revisions[key], r.tombstones[key]
	if revision < known || tombstone > 0 && revision <= tombstone {
		return false
	}
	return deleted || revision > known
}

// applyDocument passes a new state of a key on to what it holds.
func (r *replica) applyDocument(key string, value json.RawMessage, revision uint64, deleted bool) {
	switch {
	case strings.HasPrefix(key, schema.RegistrationPrefix):
		r.applyRegistration(key, value, deleted)
	case strings.HasPrefix(key, schema.PartitionPrefix):
		r.applyPartition(key, value, revision, deleted)
	case strings.HasPrefix(key, schema.MachineShardPrefix):
		if n, ok := numberAfterPrefix(key, schema.MachineShardPrefix, schema.MaxShardCount); ok && !deleted {
			r.growMachineShards(n + 1)
			r.applyMachineShard(r.machineShards[n], value, revision)
		}
	case strings.HasPrefix(key, schema.JobShardPrefix):
		if n, ok := numberAfterPrefix(key, schema.JobShardPrefix, schema.MaxShardCount); ok {
			r.growJobShards(n + 1)
			r.applyJobShard(r.jobShards[n], value, revision)
		}
	case strings.HasPrefix(key, schema.ProgressPrefix):
		r.applyProgressSegment(key, value)
	case key == schema.LayoutKey:
		r.applyLayout(key, value, deleted)
	case key == schema.FirstMachineKey:
		r.applyFirstRented(key, value, deleted)
	case strings.HasPrefix(key, schema.CancellationPrefix):
		r.applyCancellation(strings.TrimPrefix(key, schema.CancellationPrefix), deleted)
	}
}

func (r *replica) applyOutcome(key, id string, value json.RawMessage, deleted bool) {
	var outcome schema.Outcome
	if !deleted && r.env.decode(key, value, &outcome) {
		r.observer.outcomeShown(id, outcome)
	}
}

func (r *replica) applyFirstRented(key string, value json.RawMessage, deleted bool) {
	var doc schema.FirstMachine
	if !deleted && r.env.decode(key, value, &doc) {
		r.firstRented = &doc
	}
}

// numberAfterPrefix reads the number after a key's prefix; it must be below the limit.
func numberAfterPrefix(key, prefix string, limit int) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	return n, err == nil && n >= 0 && n < limit
}

// sortedMachines lists the machines in the order of their names: the order of a map would make runs
// differ.
func (r *replica) sortedMachines() []*machine {
	if r.machinesByName == nil {
		r.machinesByName = slices.SortedFunc(maps.Values(r.machines), func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return r.machinesByName
}

// sortedJobs lists the accepted jobs that are not over, the oldest first.
func (r *replica) sortedJobs() []*job {
	if r.jobsByAge == nil {
		r.jobsByAge = make([]*job, 0, len(r.jobs))
		for _, j := range r.jobs {
			if j.accepted {
				r.jobsByAge = append(r.jobsByAge, j)
			}
		}
		slices.SortFunc(r.jobsByAge, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.spec.AcceptedAt, b.spec.AcceptedAt), strings.Compare(a.id, b.id))
		})
	}
	return r.jobsByAge
}

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

// replica is this process's decoded mirror of the key-value store, with the indexes that the
// controller's components need. It is fed by one watch and by this controller's own commits, in any
// order: of two states of a key, the one with the later revision counts. It holds every change up to
// watchRevision.
//
// It makes no decisions: it notifies its observer of changes that affect other components of this
// process (leadership, commands, limits, dependencies).
type replica struct {
	env      *environment
	observer replicaObserver

	revisions     map[string]uint64 // mod revision of every live key under schema.ActivePrefix
	tombstones    map[string]uint64 // deleted keys, with the revision of the deletion, until the watch has reached it
	unreadable    map[string]bool   // keys whose latest shown document could not be decoded; nothing else records that
	watchRevision uint64
	// completeRevision is the latest revision of a loaded page. Pages are read at different times, so an
	// entry that moves from one document to another during the load may be on no page: a loaded replica
	// is complete only once the watch has reached this revision.
	completeRevision uint64
	synced           bool

	registeredSince   map[string]units.Micros // by key: when the registration was first seen here
	registeredFormats map[string]int          // by key: the latest format that the process knows
	partitions        map[int]*partitionDoc
	machineShards     shardTable[machineShard]
	machines          map[string]*machine
	everSeen          map[string]bool // names of all machines that this replica was ever shown
	machinesByName    []*machine      // sorted by name; nil when they must be sorted again
	unlocatedMachines map[string]bool // machines whose shard has not been shown since a split
	jobs              map[string]*job
	unlocatedJobs     map[string]bool // jobs whose shard has not been shown since a split
	unlocatedLog      period
	unreadableLog     period
	jobShards         shardTable[jobShard]
	jobsByAge         []*job // accepted jobs, the oldest first; nil when they must be sorted again
	progressSegments  map[string]*progressSegment
	outcomes          *outcomeCache
	dependencies      *dag.Graph
	firstRented       *schema.FirstMachine

	layoutKnown      bool // the layout was read from the store
	layout           schema.Layout
	machineDirectory shardDirectory
	jobDirectory     shardDirectory
	format           int // format version of the stored documents
}

// replicaObserver is notified of changes that affect more than the replica.
type replicaObserver interface {
	// partitionChanged is called after a change of a partition's leader.
	partitionChanged(partition int)
	// formatRaised is called after the store's format was raised.
	formatRaised()
	// jobAccepted and jobRemoved are called after a job has entered or left the accepted jobs.
	jobAccepted(j *job)
	jobRemoved(j *job)
	// jobCancelled is called when a job is shown as cancelled, which may be before its outcome is shown.
	jobCancelled(id string)
	// outcomeShown is called when a stored outcome, which never changes, is shown.
	outcomeShown(id string, outcome schema.Outcome)
	// machineChanged is called after a machine's entry was applied.
	machineChanged(m *machine, change machineChange)
}

// machineChange is what changed in a machine's entry.
type machineChange struct {
	previousTasks schema.Tasks
	entryChanged  bool
	moved         bool // the machine moved to another partition
}

// maxOutcomes is how many outcomes a replica caches; the store holds all of them.
const maxOutcomes = 40000

// newReplica returns an empty replica. defaultPartition returns the partition of a machine shard that has no
// document yet.
func newReplica(env *environment, layout schema.Layout, defaultPartition func(shard int) int) *replica {
	r := &replica{
		env:       env,
		revisions: map[string]uint64{}, tombstones: map[string]uint64{}, unreadable: map[string]bool{},
		registeredSince: map[string]units.Micros{}, registeredFormats: map[string]int{},
		partitions: map[int]*partitionDoc{},
		machines:   map[string]*machine{}, everSeen: map[string]bool{},
		unlocatedMachines: map[string]bool{}, unlocatedJobs: map[string]bool{},
		jobs: map[string]*job{}, progressSegments: map[string]*progressSegment{},
		outcomes: newOutcomeCache(maxOutcomes), dependencies: dag.New(),
	}
	r.machineShards.newShard = func(n int) *machineShard {
		return &machineShard{number: n, key: schema.MachineShardKey(n), partition: defaultPartition(n)}
	}
	r.jobShards.newShard = func(n int) *jobShard { return &jobShard{number: n, key: schema.JobShardKey(n)} }
	r.machineDirectory = newShardDirectory(r.machineShardState)
	r.jobDirectory = newShardDirectory(r.jobShardState)
	r.useLayout(layout)
	return r
}

// apply applies one change of a key. A change that is older than the known state is ignored, since this
// controller's own commits are applied before the watch shows them.
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
		r.noteDeleted(key, revision)
	} else {
		r.revisions[key] = revision
	}
	r.env.planNeeded = true
	if r.applyDocument(key, value, revision, deleted) {
		delete(r.unreadable, key)
	} else {
		r.unreadable[key] = true
	}
}

// allReadable reports whether the replica could decode the latest shown state of every document. While it
// could not, the replica keeps what the document showed before, and a newly started controller knows nothing
// of its contents: nothing may then be concluded from what the replica lacks.
func (r *replica) allReadable() bool { return len(r.unreadable) == 0 }

// logUnreadable logs the documents that could not be decoded.
func (r *replica) logUnreadable() {
	if !r.allReadable() && r.unreadableLog.due(r.env.now, unreadableLogPeriod) {
		r.env.log.Error("unreadable documents, nothing is placed or started", "keys", slices.Sorted(maps.Keys(r.unreadable)), "revision", r.watchRevision)
	}
}

// unreadableLogPeriod is the minimum time between two log lines about unreadable documents.
const unreadableLogPeriod = 10 * units.Second

// isNewer reports whether a change is newer than the known state of its key.
func (r *replica) isNewer(key string, revision uint64, deleted bool) bool {
	known, tombstone := r.revisions[key], r.tombstones[key]
	if revision < known || tombstone > 0 && revision <= tombstone {
		return false
	}
	return deleted || revision > known
}

// applyDocument passes the new state of a key to the handler of its kind of document. It reports whether the
// document is readable, if something is concluded from what documents of its kind do not contain.
func (r *replica) applyDocument(key string, value json.RawMessage, revision uint64, deleted bool) bool {
	switch {
	case strings.HasPrefix(key, schema.RegistrationPrefix):
		r.applyRegistration(key, value, deleted)
	case strings.HasPrefix(key, schema.PartitionPrefix):
		return r.applyPartition(key, value, revision, deleted)
	case strings.HasPrefix(key, schema.MachineShardPrefix):
		return r.applyMachineShardKey(key, value, revision, deleted)
	case strings.HasPrefix(key, schema.JobShardPrefix):
		return r.applyJobShardKey(key, value, revision)
	case strings.HasPrefix(key, schema.ProgressPrefix):
		return r.applyProgressSegment(key, value)
	case key == schema.LayoutKey:
		return r.applyLayout(key, value, deleted)
	case key == schema.FirstMachineKey:
		r.applyFirstRented(key, value, deleted)
	case strings.HasPrefix(key, schema.CancellationPrefix):
		r.applyCancellation(strings.TrimPrefix(key, schema.CancellationPrefix), deleted)
	}
	return true
}

func (r *replica) applyOutcome(key, id string, value json.RawMessage, deleted bool) {
	var outcome schema.Outcome
	if !deleted && r.env.decode(key, value, &outcome) {
		r.observer.outcomeShown(id, outcome)
	}
}

// applyFirstRented applies the document of the first rented machine. While it is not readable, no machine
// counts as rented, so none is returned.
func (r *replica) applyFirstRented(key string, value json.RawMessage, deleted bool) {
	var doc schema.FirstMachine
	if !deleted && r.env.decode(key, value, &doc) {
		r.firstRented = &doc
	}
}

// numberAfterPrefix returns the number after a key's prefix, and whether it is valid and below the limit.
func numberAfterPrefix(key, prefix string, limit int) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	return n, err == nil && n >= 0 && n < limit
}

// sortedMachines returns the machines in the order of their names: map order would make runs differ.
func (r *replica) sortedMachines() []*machine {
	if r.machinesByName == nil {
		r.machinesByName = slices.SortedFunc(maps.Values(r.machines), func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return r.machinesByName
}

// sortedJobs returns the accepted jobs that are not over, the oldest first.
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

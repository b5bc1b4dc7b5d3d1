package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// replica is this process's copy of what the state service holds. It is fed by
// one watch and by the node's own commits, and is exact as of watchRev.
type replica struct {
	revisions     map[string]uint64 // every live key under schema.Active
	tombstones    map[string]uint64 // keys this node deleted ahead of the watch
	watchRevision uint64
	// Pages of a copy are read at different moments: it is whole only when the changes up
	// to the last of them are known. What went from one document to another meanwhile
	// may stand in neither before.
	completeRevision uint64
	synced           bool
	watchID          int // the watch that counts; answers to older ones are passed over
	behindSince      units.Micros

	registeredSince   map[string]units.Micros // key -> first seen here
	registeredFormats map[string]int          // key -> the format that the process knows
	partitions        map[int]*partitionDoc
	machineShards     []*machineShard
	machines          map[string]*machine
	everSeen          map[string]bool // names of all machines that were seen here
	machinesByName    []*machine      // of machines, in order; nil when that has changed
	jobs              map[string]*job
	jobShards         []*jobShard
	jobsByAge         []*job // accepted jobs, the oldest first; nil when that has changed
	progressSegments  map[string]*progressSegment
	outcomes          *outcomeCache
	dependencies      *dag.Graph
	maxProgressGaps   int // gaps that the stored progress of a job may have
	firstRented       *schema.FirstMachine

	defaultPartition   func(group int) int // the partition of a machine shard that has no document yet
	layoutKnown        bool                // the store's own layout is known
	layout             schema.Layout
	machineShardCounts []int // of how many machine shards some machine shard says that it is one, the largest first
	jobShardCounts     []int
	format             int // of the documents, as the store says
}

type partitionDoc struct {
	revision uint64
	doc      schema.Partition
}

// machineShard is a document of machines; its stamp is 0 while there is none.
type machineShard struct {
	number    int
	key       string
	spread    int // of how many machine shards it is one, if it was split
	revision  uint64
	size      int // of the value as stored
	partition int
	handover  uint64
	machines  []*machine   // in order of their names
	movedAt   units.Micros // when it was last seen to change partitions
	changedAt units.Micros // and when to change at all
}

// jobShard is a document of accepted jobs.
type jobShard struct {
	number int
	key    string
	spread int // of how many job shards it is one, if it was split
	size   int
	jobIDs []string
}

// progressSegment is a document of jobs' progress.
type progressSegment struct {
	key       string
	partition int
	size      int
	jobs      map[string]schema.JobProgress
}

func newReplica(layout schema.Layout, defaultPart func(group int) int) *replica {
	r := &replica{
		revisions: map[string]uint64{}, tombstones: map[string]uint64{}, registeredSince: map[string]units.Micros{},
		partitions: map[int]*partitionDoc{}, machines: map[string]*machine{}, jobs: map[string]*job{}, progressSegments: map[string]*progressSegment{}, everSeen: map[string]bool{}, outcomes: newOutcomeCache(40000),
		registeredFormats: map[string]int{}, dependencies: dag.New(), maxProgressGaps: maxProgressGaps,
		defaultPartition: defaultPart,
	}
	r.applyLayout(layout)
	return r
}

// applyLayout spreads machines and jobs over so many documents. Documents that are known
// already stay.
func (r *replica) applyLayout(layout schema.Layout) {
	r.layout = layout
	r.growMachineShards(layout.MachineShards)
	r.growJobShards(layout.JobShards)
	r.machineShards, r.jobShards = r.machineShards[:layout.MachineShards], r.jobShards[:layout.JobShards]
	for key := range r.revisions { // what was read by another layout is to be read again
		if strings.HasPrefix(key, schema.MachineShardPrefix) || strings.HasPrefix(key, schema.JobShardPrefix) {
			delete(r.revisions, key)
		}
	}
}

// growMachineShards has at least so many machine shards; those that have no document are empty.
func (r *replica) growMachineShards(most int) {
	for n := len(r.machineShards); n < most; n++ {
		r.machineShards = append(r.machineShards, &machineShard{number: n, key: schema.MachineShardKey(n), partition: r.defaultPartition(n)})
	}
}

func (r *replica) growJobShards(most int) {
	for n := len(r.jobShards); n < most; n++ {
		r.jobShards = append(r.jobShards, &jobShard{number: n, key: schema.JobShardKey(n)})
	}
}

func (r *replica) machineShardOf(machine string) *machineShard {
	return r.machineShards[schema.FindShard(machine, r.layout.MachineShards, r.machineShardCounts, func(n int) int { return r.machineShards[n].spread })]
}

func (r *replica) jobShardOf(job string) *jobShard {
	return r.jobShards[schema.FindShard(job, r.layout.JobShards, r.jobShardCounts, func(n int) int { return r.jobShards[n].spread })]
}

// withShardCount enters a number of documents among the others, the largest first.
func withShardCount(levels []int, of int) []int {
	if of <= 0 || slices.Contains(levels, of) {
		return levels
	}
	levels = append(slices.Clone(levels), of)
	slices.SortFunc(levels, func(a, b int) int { return cmp.Compare(b, a) })
	return levels
}

func (r *replica) job(id string) *job {
	j := r.jobs[id]
	if j == nil {
		j = &job{id: id, bindings: map[int]binding{}, activeCount: -1, maxGaps: &r.maxProgressGaps}
		r.jobs[id] = j
	}
	return j
}

// apply takes one change, in any order: an older one than what is known is
// passed over, since the node's own commits run ahead of the watch.
func (c *Controller) apply(key string, val json.RawMessage, stamp uint64, deleted bool) {
	r := c.replica
	if strings.HasPrefix(key, schema.OutcomePrefix) {
		if !deleted {
			var f schema.Outcome
			if c.decode(key, val, &f) {
				c.learnOutcome(strings.TrimPrefix(key, schema.OutcomePrefix), f)
			}
		}
		return
	}
	if stamp < r.revisions[key] || stamp <= r.tombstones[key] && r.tombstones[key] > 0 {
		return
	}
	if stamp == r.revisions[key] && !deleted {
		return
	}
	if deleted {
		delete(r.revisions, key)
	} else {
		r.revisions[key] = stamp
	}
	c.planNeeded = true
	switch {
	case strings.HasPrefix(key, schema.RegistrationPrefix):
		c.applyRegistration(key, val, deleted)
	case strings.HasPrefix(key, schema.PartitionPrefix):
		c.applyPartition(key, val, stamp, deleted)
	case strings.HasPrefix(key, schema.MachineShardPrefix):
		if n, ok := numberAfterPrefix(key, schema.MachineShardPrefix, maxShards); ok && !deleted {
			r.growMachineShards(n + 1)
			c.applyMachineShard(r.machineShards[n], val, stamp)
		}
	case strings.HasPrefix(key, schema.JobShardPrefix):
		if n, ok := numberAfterPrefix(key, schema.JobShardPrefix, maxShards); ok {
			r.growJobShards(n + 1)
			c.applyJobShard(r.jobShards[n], val)
		}
	case strings.HasPrefix(key, schema.ProgressPrefix):
		c.applyProgressSegment(key, val)
	case key == schema.LayoutKey:
		c.applyLayout(key, val, deleted)
	case key == schema.FirstMachineKey:
		var doc schema.FirstMachine
		if !deleted && c.decode(key, val, &doc) {
			r.firstRented = &doc
		}
	case strings.HasPrefix(key, schema.CancellationPrefix):
		c.applyCancellation(strings.TrimPrefix(key, schema.CancellationPrefix), deleted)
	}
}

// maxShards is above any number of documents that a store can come to have.
const maxShards = 1 << 16

// numberAfterPrefix reads the number after a key's prefix; it must be below the limit.
func numberAfterPrefix(key, prefix string, limit int) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	return n, err == nil && n >= 0 && n < limit
}

// applyRegistration notes a controller's registration, or its end.
func (c *Controller) applyRegistration(key string, val json.RawMessage, deleted bool) {
	if deleted {
		delete(c.replica.registeredSince, key)
		delete(c.replica.registeredFormats, key)
		return
	}
	if _, ok := c.replica.registeredSince[key]; !ok {
		c.replica.registeredSince[key] = c.now
	}
	var doc schema.Registration
	if c.decode(key, val, &doc) {
		c.replica.registeredFormats[key] = doc.Format
	}
}

// applyPartition takes a partition's new owner.
func (c *Controller) applyPartition(key string, val json.RawMessage, stamp uint64, deleted bool) {
	n, ok := numberAfterPrefix(key, schema.PartitionPrefix, math.MaxInt)
	if !ok || deleted {
		return
	}
	var doc schema.Partition
	if c.decode(key, val, &doc) {
		c.replica.partitions[n] = &partitionDoc{revision: stamp, doc: doc}
		c.applyLeadership(n)
	}
}

// applyLayout takes the store's layout, once, and its format, which may be raised.
func (c *Controller) applyLayout(key string, val json.RawMessage, deleted bool) {
	r := c.replica
	var doc schema.Layout
	if deleted || !c.decode(key, val, &doc) || doc.MachineShards <= 0 || doc.JobShards <= 0 {
		return
	}
	if !r.layoutKnown {
		r.applyLayout(doc)
		r.layoutKnown = true
	}
	if doc.Format > r.format {
		r.format = doc.Format
		c.log.Info("store format version", "format", doc.Format)
		c.store.limits.adoptTighter()
		r.maxProgressGaps = progressGapsFor(c.maxValueBytes())
	}
}

// applyCancellation notes that a job is cancelled, or that it is cleared away.
func (c *Controller) applyCancellation(id string, deleted bool) {
	j := c.replica.job(id)
	j.cancellationShown = !deleted
	j.forgetOccupancies()
	if !deleted {
		c.propagateOutcome(id, dag.Outcome{State: dag.Cancelled})
	}
	if deleted {
		c.replica.dropIfUnused(j)
	}
}

// applyJobShard takes a job shard's new contents; none when it was deleted.
func (c *Controller) applyJobShard(s *jobShard, val json.RawMessage) {
	r := c.replica
	var doc schema.JobShard
	if len(val) > 0 && !c.decode(s.key, val, &doc) {
		return
	}
	r.jobsByAge = nil
	old := s.jobIDs
	s.jobIDs, s.size, s.spread = make([]string, 0, len(doc.Jobs)), len(val), doc.ShardCount
	r.growJobShards(min(doc.ShardCount, maxShards))
	r.jobShardCounts = withShardCount(r.jobShardCounts, doc.ShardCount)
	still := make(map[string]bool, len(doc.Jobs))
	for i := range doc.Jobs {
		spec := &doc.Jobs[i]
		s.jobIDs = append(s.jobIDs, spec.ID)
		still[spec.ID] = true
		j := r.job(spec.ID)
		if !j.accepted {
			j.spec, j.accepted = *spec, true
			j.partition = c.partitionOf(spec.Team)
			j.forgetOccupancies()
			c.addToGraph(j)
		}
	}
	for _, id := range old {
		if j := r.jobs[id]; j != nil && !still[id] && !r.movedToSplit(s, id) {
			j.accepted = false
			j.forgetOccupancies()
			c.removeFromGraph(j)
			r.dropIfUnused(j)
		}
	}
}

// movedToSplit reports whether a job that is on a job shard no more went with a part that was split
// off. That part is shown next, if it has not been shown yet.
func (r *replica) movedToSplit(from *jobShard, id string) bool {
	if from.spread == 0 || schema.JobShardIndex(id, from.spread) == from.number {
		return false
	}
	to := r.jobShards[schema.JobShardIndex(id, from.spread)]
	if slices.Contains(to.jobIDs, id) {
		return true
	}
	if r.revisions[to.key] >= r.revisions[from.key] {
		return false // it has left that part since
	}
	to.jobIDs = append(to.jobIDs, id)
	return true
}

// applyProgressSegment takes a progress document's new contents; none when it was deleted.
func (c *Controller) applyProgressSegment(key string, val json.RawMessage) {
	r := c.replica
	var doc schema.ProgressSegment
	if len(val) > 0 && !c.decode(key, val, &doc) {
		return
	}
	old := r.progressSegments[key]
	p := &progressSegment{key: key, size: len(val), jobs: doc.Jobs}
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, schema.ProgressPrefix), "%d/", &p.partition); err != nil {
		c.log.Error("unreadable key", "key", key)
		return
	}
	delete(r.progressSegments, key)
	if len(doc.Jobs) > 0 {
		r.progressSegments[key] = p
	}
	for id, d := range doc.Jobs {
		j := r.job(id)
		j.progressSegment = p
		if j.storedRanges == d.DoneRanges {
			continue
		}
		set, err := schema.ParseTaskSet(d.DoneRanges)
		if err != nil {
			c.log.Error("unreadable progress", "job", id, "err", err)
			continue
		}
		j.activeCount = -1
		j.forgetOccupancies()
		// A job that is being moved to another document stands in both for a while.
		j.done, j.storedRanges = j.done.Union(set), d.DoneRanges
		j.allDone = j.allDone.Union(j.done)
		if d.Samples >= j.storedAverageCount {
			j.storedAverage, j.storedAverageCount = units.FromSeconds(d.AverageSeconds), d.Samples
		}
		for n := range j.unstoredCompletions {
			if set.Contains(n) {
				delete(j.unstoredCompletions, n)
			}
		}
	}
	if old == nil {
		return
	}
	for id := range old.jobs {
		if j := r.jobs[id]; j != nil && j.progressSegment == old {
			j.progressSegment = nil
			r.dropIfUnused(j)
		}
	}
}

// applyMachineShard takes a machine shard's new contents.
func (c *Controller) applyMachineShard(g *machineShard, val json.RawMessage, stamp uint64) {
	r := c.replica
	var doc schema.MachineShard
	if !c.decode(g.key, val, &doc) {
		return
	}
	partBefore := g.partition
	moved := g.partition != doc.Partition
	g.changedAt = c.now
	if moved {
		g.movedAt = c.now
	}
	g.revision, g.size, g.partition, g.handover, g.spread = stamp, len(val), doc.Partition, doc.Handovers, doc.ShardCount
	r.growMachineShards(min(doc.ShardCount, maxShards))
	r.machineShardCounts = withShardCount(r.machineShardCounts, doc.ShardCount)
	before := g.machines
	g.machines = make([]*machine, 0, len(doc.Machines))
	for i := range doc.Machines {
		d := &doc.Machines[i]
		m := r.machines[d.Name]
		if m == nil {
			m = &machine{name: d.Name, shard: g}
			r.machines[d.Name] = m
			r.everSeen[d.Name] = true
			r.machinesByName = nil
		}
		wasIn := partBefore
		if m.shard != g { // split off the document where it stood
			wasIn = m.shard.partition
			m.shard.machines = slices.DeleteFunc(m.shard.machines, func(x *machine) bool { return x == m })
			m.shard = g
		}
		g.machines = append(g.machines, m)
		c.applyMachine(m, d, wasIn != doc.Partition)
	}
	for _, m := range before {
		if m.shard == g && !slices.Contains(g.machines, m) && !r.machineMovedToSplit(m) {
			c.unbind(m)
			delete(r.machines, m.name)
			r.machinesByName = nil
		}
	}
}

// machineMovedToSplit reports whether a machine that its machine shard does not list any more went with a part
// that was split off and is shown next. What is known of the machine stays.
func (r *replica) machineMovedToSplit(m *machine) bool {
	from := m.shard
	if from.spread == 0 || schema.MachineShardIndex(m.name, from.spread) == from.number {
		return false
	}
	to := r.machineShards[schema.MachineShardIndex(m.name, from.spread)]
	if to.revision >= from.revision {
		return false
	}
	if to.revision == 0 {
		to.partition, to.handover = from.partition, from.handover
	}
	to.machines = append(to.machines, m)
	m.shard = to
	return true
}

// unbind takes what the machine's entry lists off the jobs.
func (c *Controller) unbind(m *machine) {
	for _, t := range m.doc.Tasks {
		j := c.replica.job(t.Job)
		if b, ok := j.bindings[t.Index]; ok && b.machine == m && b.attempt == t.Attempt {
			j.removeBinding(t.Index)
		}
		c.replica.dropIfUnused(j)
	}
}

func (c *Controller) applyMachine(m *machine, doc *schema.Machine, moved bool) {
	own := c.partitions.led[m.shard.partition]
	old := m.doc
	changed := !slices.Equal(old.Tasks, doc.Tasks) || old.TokenIncrements != doc.TokenIncrements || old.Decommissioned != doc.Decommissioned || old.Name == ""
	if changed {
		c.unbind(m)
		m.doc = *doc
		m.forgetOccupancy()
		m.noteEntries(c.now)
		for _, t := range doc.Tasks {
			j := c.replica.job(t.Job)
			j.addBinding(t.Index, binding{m, t.Attempt})
			if t.DoneTenths > 0 && !j.isDone(t.Index) {
				c.noteCompletion(j, t.Index, units.Micros(t.DoneTenths-1)*runTimeUnit)
			}
			if b := j.bindings[t.Index]; t.DoneTenths > 0 && b.machine == m && b.attempt == t.Attempt {
				if j.recordedInEntry == nil {
					j.recordedInEntry = map[int]bool{}
				}
				j.recordedInEntry[t.Index], j.activeCount = true, -1
			}
		}
		if !moved && own == nil {
			c.noteUnaskedReleases(old.Tasks)
		}
	}
	switch {
	case own == nil || doc.Decommissioned:
		m.agent = nil
	case m.agent == nil || moved || m.agent.leadership != own:
		c.beginCommand(m, own)
	case changed:
		for k := range m.agent.completions {
			if !m.lists(k) {
				delete(m.agent.completions, k)
			}
		}
		c.agents.toPush = append(c.agents.toPush, m)
	}
}

// noteEntries keeps when each task of the machine's entry was first seen.
func (m *machine) noteEntries(now units.Micros) {
	before := m.entrySeenAt
	m.entrySeenAt = make(map[taskKey]units.Micros, len(m.doc.Tasks))
	for _, t := range m.doc.Tasks {
		k := keyOf(t)
		at, ok := before[k]
		if !ok {
			at = now
		}
		m.entrySeenAt[k] = at
	}
}

// noteUnaskedReleases notes tasks of this node's partitions that another owner took off its
// machine though nobody had asked for it: they failed there. Without this a job
// that fails everywhere would be placed on others' machines without end.
func (c *Controller) noteUnaskedReleases(old schema.Tasks) {
	for _, t := range old {
		j := c.replica.jobs[t.Job]
		if j == nil || !j.accepted || j.cancelled() || t.StopMode > 0 || j.isDone(t.Index) || c.partitions.led[j.partition] == nil {
			continue
		}
		if _, ok := j.bindings[t.Index]; !ok {
			c.backOff(j)
		}
	}
}

// decode reads a stored document. An unreadable one is logged and left out.
func (c *Controller) decode(key string, val json.RawMessage, into any) bool {
	if err := json.Unmarshal(val, into); err != nil {
		c.log.Error("unreadable document", "key", key, "err", err)
		return false
	}
	return true
}

// sortedMachines lists the machines in the order of their names: map order
// would make runs differ.
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

package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
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
	stamps   map[string]uint64 // every live key under schema.Active
	tombs    map[string]uint64 // keys this node deleted ahead of the watch
	watchRev uint64
	// Pages of a copy are read at different moments: it is whole only when the changes up
	// to the last of them are known. What went from one document to another meanwhile
	// may stand in neither before.
	completeAt uint64
	synced     bool
	watchN     int    // the watch that counts; answers to older ones are passed over
	seenRev    uint64 // latest revision that any answer has shown
	behind     units.Micros

	nodes         map[string]units.Micros // key -> first seen here
	formats       map[string]int          // key -> the format that the process knows
	parts         map[int]*part
	machineShards []*machineShard
	machines      map[string]*machine
	ever          map[string]bool // names of all machines that were seen here
	byName        []*machine      // of machines, in order; nil when that has changed
	jobs          map[string]*job
	jobShards     []*jobShard
	byAge         []*job // accepted jobs, the oldest first; nil when that has changed
	packs         map[string]*progressPack
	finals        *finals
	chains        *dag.Graph
	gapsMost      int // gaps that the stored progress of a job may have
	base          *schema.BaseDoc

	defaultPart        func(group int) int // the partition of a machine shard that has no document yet
	laidOut            bool                // the store's own layout is known
	layout             schema.Layout
	machineShardLevels []int // of how many machine shards some machine shard says that it is one, the largest first
	jobShardLevels     []int
	format             int // of the documents, as the store says
}

type part struct {
	stamp uint64
	doc   schema.Part
}

// machineShard is a document of machines; its stamp is 0 while there is none.
type machineShard struct {
	n         int
	key       string
	spread    int // of how many machine shards it is one, if it was split
	stamp     uint64
	size      int // of the value as stored
	part      int
	handover  uint64
	members   []*machine   // in order of their names
	movedAt   units.Micros // when it was last seen to change partitions
	changedAt units.Micros // and when to change at all
}

// jobShard is a document of accepted jobs.
type jobShard struct {
	n      int
	key    string
	spread int // of how many job shards it is one, if it was split
	size   int
	ids    []string
}

// progressPack is a document of jobs' progress.
type progressPack struct {
	key  string
	part int
	size int
	jobs map[string]schema.Done
}

func newReplica(layout schema.Layout, defaultPart func(group int) int) *replica {
	r := &replica{
		stamps: map[string]uint64{}, tombs: map[string]uint64{}, nodes: map[string]units.Micros{},
		parts: map[int]*part{}, machines: map[string]*machine{}, jobs: map[string]*job{}, packs: map[string]*progressPack{}, ever: map[string]bool{}, finals: newFinals(40000),
		formats: map[string]int{}, chains: dag.New(), gapsMost: maxProgressGaps,
		defaultPart: defaultPart,
	}
	r.layOut(layout)
	return r
}

// layOut spreads machines and jobs over so many documents. Documents that are known
// already stay.
func (r *replica) layOut(layout schema.Layout) {
	r.layout = layout
	r.growMachineShards(layout.Groups)
	r.growJobShards(layout.Shelves)
	r.machineShards, r.jobShards = r.machineShards[:layout.Groups], r.jobShards[:layout.Shelves]
	for key := range r.stamps { // what was read by another layout is to be read again
		if strings.HasPrefix(key, schema.MachineShards) || strings.HasPrefix(key, schema.JobShards) {
			delete(r.stamps, key)
		}
	}
}

// growMachineShards has at least so many machine shards; those that have no document are empty.
func (r *replica) growMachineShards(most int) {
	for n := len(r.machineShards); n < most; n++ {
		r.machineShards = append(r.machineShards, &machineShard{n: n, key: schema.MachineShardKey(n), part: r.defaultPart(n)})
	}
}

func (r *replica) growJobShards(most int) {
	for n := len(r.jobShards); n < most; n++ {
		r.jobShards = append(r.jobShards, &jobShard{n: n, key: schema.JobShardKey(n)})
	}
}

func (r *replica) machineShardOf(machine string) *machineShard {
	return r.machineShards[schema.Shard(machine, r.layout.Groups, r.machineShardLevels, func(n int) int { return r.machineShards[n].spread })]
}

func (r *replica) jobShardOf(job string) *jobShard {
	return r.jobShards[schema.Shard(job, r.layout.Shelves, r.jobShardLevels, func(n int) int { return r.jobShards[n].spread })]
}

// withLevel enters a number of documents among the others, the largest first.
func withLevel(levels []int, of int) []int {
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
		j = &job{id: id, bound: map[int]bind{}, live: -1, gapsMost: &r.gapsMost}
		r.jobs[id] = j
	}
	return j
}

// apply takes one change, in any order: an older one than what is known is
// passed over, since the node's own commits run ahead of the watch.
func (c *Core) apply(key string, val json.RawMessage, stamp uint64, deleted bool) {
	r := c.replica
	if strings.HasPrefix(key, schema.Finals) {
		if !deleted {
			var f schema.Final
			if c.decode(key, val, &f) {
				c.learnEnd(strings.TrimPrefix(key, schema.Finals), f)
			}
		}
		return
	}
	if stamp < r.stamps[key] || stamp <= r.tombs[key] && r.tombs[key] > 0 {
		return
	}
	if stamp == r.stamps[key] && !deleted {
		return
	}
	if deleted {
		delete(r.stamps, key)
	} else {
		r.stamps[key] = stamp
	}
	c.dirty = true
	switch {
	case strings.HasPrefix(key, schema.Nodes):
		c.applyNode(key, val, deleted)
	case strings.HasPrefix(key, schema.Parts):
		c.applyPartition(key, val, stamp, deleted)
	case strings.HasPrefix(key, schema.MachineShards):
		if n, ok := numberIn(key, schema.MachineShards, mostShards); ok && !deleted {
			r.growMachineShards(n + 1)
			c.applyMachineShard(r.machineShards[n], val, stamp)
		}
	case strings.HasPrefix(key, schema.JobShards):
		if n, ok := numberIn(key, schema.JobShards, mostShards); ok {
			r.growJobShards(n + 1)
			c.applyJobShard(r.jobShards[n], val)
		}
	case strings.HasPrefix(key, schema.Progress):
		c.applyPack(key, val)
	case key == schema.LayoutOf:
		c.applyLayout(key, val, deleted)
	case key == schema.Base:
		var doc schema.BaseDoc
		if !deleted && c.decode(key, val, &doc) {
			r.base = &doc
		}
	case strings.HasPrefix(key, schema.Cancels):
		c.applyCancel(strings.TrimPrefix(key, schema.Cancels), deleted)
	}
}

// mostShards is above any number of documents that a store can come to have.
const mostShards = 1 << 16

// numberIn reads the number after a key's prefix; it must be below the limit.
func numberIn(key, prefix string, limit int) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	return n, err == nil && n >= 0 && n < limit
}

// applyNode notes a controller's registration, or its end.
func (c *Core) applyNode(key string, val json.RawMessage, deleted bool) {
	if deleted {
		delete(c.replica.nodes, key)
		delete(c.replica.formats, key)
		return
	}
	if _, ok := c.replica.nodes[key]; !ok {
		c.replica.nodes[key] = c.now
	}
	var doc schema.Registration
	if c.decode(key, val, &doc) {
		c.replica.formats[key] = doc.Format
	}
}

// applyPartition takes a partition's new owner.
func (c *Core) applyPartition(key string, val json.RawMessage, stamp uint64, deleted bool) {
	n, ok := numberIn(key, schema.Parts, math.MaxInt)
	if !ok || deleted {
		return
	}
	var doc schema.Part
	if c.decode(key, val, &doc) {
		c.replica.parts[n] = &part{stamp: stamp, doc: doc}
		c.ownership(n)
	}
}

// applyLayout takes the store's layout, once, and its format, which may be raised.
func (c *Core) applyLayout(key string, val json.RawMessage, deleted bool) {
	r := c.replica
	var doc schema.Layout
	if deleted || !c.decode(key, val, &doc) || doc.Groups <= 0 || doc.Shelves <= 0 {
		return
	}
	if !r.laidOut {
		r.layOut(doc)
		r.laidOut = true
	}
	if doc.Format > r.format {
		r.format = doc.Format
		c.log.Info("format of the store", "format", doc.Format)
		c.limits.prepare()
		r.gapsMost = gapsWithin(c.valueMax())
	}
}

// applyCancel notes that a job is cancelled, or that it is cleared away.
func (c *Core) applyCancel(id string, deleted bool) {
	j := c.replica.job(id)
	j.marked = !deleted
	j.touch()
	if !deleted {
		c.noteEnd(id, dag.End{Outcome: dag.Cancelled})
	}
	if deleted {
		c.replica.tidy(j)
	}
}

// applyJobShard takes a job shard's new contents; none when it was deleted.
func (c *Core) applyJobShard(s *jobShard, val json.RawMessage) {
	r := c.replica
	var doc schema.JobShard
	if len(val) > 0 && !c.decode(s.key, val, &doc) {
		return
	}
	r.byAge = nil
	old := s.ids
	s.ids, s.size, s.spread = make([]string, 0, len(doc.Jobs)), len(val), doc.Spread
	r.growJobShards(min(doc.Spread, mostShards))
	r.jobShardLevels = withLevel(r.jobShardLevels, doc.Spread)
	still := make(map[string]bool, len(doc.Jobs))
	for i := range doc.Jobs {
		spec := &doc.Jobs[i]
		s.ids = append(s.ids, spec.ID)
		still[spec.ID] = true
		j := r.job(spec.ID)
		if !j.known {
			j.spec, j.known = *spec, true
			j.part = c.partOf(spec.Team)
			j.touch()
			c.enterChain(j)
		}
	}
	for _, id := range old {
		if j := r.jobs[id]; j != nil && !still[id] && !r.wentTo(s, id) {
			j.known = false
			j.touch()
			c.leaveChain(j)
			r.tidy(j)
		}
	}
}

// wentTo reports whether a job that is on a job shard no more went with a part that was split
// off. That part is shown next, if it has not been shown yet.
func (r *replica) wentTo(from *jobShard, id string) bool {
	if from.spread == 0 || schema.JobShardOf(id, from.spread) == from.n {
		return false
	}
	to := r.jobShards[schema.JobShardOf(id, from.spread)]
	if slices.Contains(to.ids, id) {
		return true
	}
	if r.stamps[to.key] >= r.stamps[from.key] {
		return false // it has left that part since
	}
	to.ids = append(to.ids, id)
	return true
}

// applyPack takes a progress document's new contents; none when it was deleted.
func (c *Core) applyPack(key string, val json.RawMessage) {
	r := c.replica
	var doc schema.Pack
	if len(val) > 0 && !c.decode(key, val, &doc) {
		return
	}
	old := r.packs[key]
	p := &progressPack{key: key, size: len(val), jobs: doc.Jobs}
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, schema.Progress), "%d/", &p.part); err != nil {
		c.log.Error("unreadable key", "key", key)
		return
	}
	delete(r.packs, key)
	if len(doc.Jobs) > 0 {
		r.packs[key] = p
	}
	for id, d := range doc.Jobs {
		j := r.job(id)
		j.pack = p
		if j.storedAs == d.Ranges {
			continue
		}
		set, err := schema.ParseSet(d.Ranges)
		if err != nil {
			c.log.Error("unreadable progress", "job", id, "err", err)
			continue
		}
		j.live = -1
		j.touch()
		// A job that is being moved to another document stands in both for a while.
		j.done, j.storedAs = j.done.Union(set), d.Ranges
		j.merged = j.merged.Union(j.done)
		if d.Of >= j.avgOf {
			j.avg, j.avgOf = units.FromSeconds(d.AvgS), d.Of
		}
		for n := range j.unstoredDone {
			if set.Has(n) {
				delete(j.unstoredDone, n)
			}
		}
	}
	if old == nil {
		return
	}
	for id := range old.jobs {
		if j := r.jobs[id]; j != nil && j.pack == old {
			j.pack = nil
			r.tidy(j)
		}
	}
}

// applyMachineShard takes a machine shard's new contents.
func (c *Core) applyMachineShard(g *machineShard, val json.RawMessage, stamp uint64) {
	r := c.replica
	var doc schema.MachineShard
	if !c.decode(g.key, val, &doc) {
		return
	}
	partBefore := g.part
	moved := g.part != doc.Part
	g.changedAt = c.now
	if moved {
		g.movedAt = c.now
	}
	g.stamp, g.size, g.part, g.handover, g.spread = stamp, len(val), doc.Part, doc.Handover, doc.Spread
	r.growMachineShards(min(doc.Spread, mostShards))
	r.machineShardLevels = withLevel(r.machineShardLevels, doc.Spread)
	before := g.members
	g.members = make([]*machine, 0, len(doc.Machines))
	for i := range doc.Machines {
		d := &doc.Machines[i]
		m := r.machines[d.Name]
		if m == nil {
			m = &machine{name: d.Name, g: g}
			r.machines[d.Name] = m
			r.ever[d.Name] = true
			r.byName = nil
		}
		wasIn := partBefore
		if m.g != g { // split off the document where it stood
			wasIn = m.g.part
			m.g.members = slices.DeleteFunc(m.g.members, func(x *machine) bool { return x == m })
			m.g = g
		}
		g.members = append(g.members, m)
		c.applyMachine(m, d, wasIn != doc.Part)
	}
	for _, m := range before {
		if m.g == g && !slices.Contains(g.members, m) && !r.wentWith(m) {
			c.unbind(m)
			delete(r.machines, m.name)
			r.byName = nil
		}
	}
}

// wentWith reports whether a machine that its machine shard does not list any more went with a part
// that was split off and is shown next. What is known of the machine stays.
func (r *replica) wentWith(m *machine) bool {
	from := m.g
	if from.spread == 0 || schema.MachineShardOf(m.name, from.spread) == from.n {
		return false
	}
	to := r.machineShards[schema.MachineShardOf(m.name, from.spread)]
	if to.stamp >= from.stamp {
		return false
	}
	if to.stamp == 0 {
		to.part, to.handover = from.part, from.handover
	}
	to.members = append(to.members, m)
	m.g = to
	return true
}

// unbind takes what the machine's entry lists off the jobs.
func (c *Core) unbind(m *machine) {
	for _, t := range m.doc.Tasks {
		j := c.replica.job(t.Job)
		if b, ok := j.bound[t.Num]; ok && b.m == m && b.attempt == t.Attempt {
			j.unbind(t.Num)
		}
		c.replica.tidy(j)
	}
}

func (c *Core) applyMachine(m *machine, doc *schema.Machine, moved bool) {
	own := c.owned[m.g.part]
	old := m.doc
	changed := !slices.Equal(old.Tasks, doc.Tasks) || old.Handover != doc.Handover || old.Retired != doc.Retired || old.Name == ""
	if changed {
		c.unbind(m)
		m.doc = *doc
		m.touch()
		m.noteEntered(c.now)
		for _, t := range doc.Tasks {
			j := c.replica.job(t.Job)
			j.bind(t.Num, bind{m, t.Attempt})
			if t.Ran > 0 && !j.isDone(t.Num) {
				c.completed(j, t.Num, units.Micros(t.Ran-1)*tenth)
			}
			if b := j.bound[t.Num]; t.Ran > 0 && b.m == m && b.attempt == t.Attempt {
				if j.recordedDone == nil {
					j.recordedDone = map[int]bool{}
				}
				j.recordedDone[t.Num], j.live = true, -1
			}
		}
		if !moved && own == nil {
			c.missed(old.Tasks)
		}
	}
	switch {
	case own == nil || doc.Retired:
		m.rt = nil
	case m.rt == nil || moved || m.rt.owner != own:
		c.acquire(m, own)
	case changed:
		for k := range m.rt.ended {
			if !m.lists(k) {
				delete(m.rt.ended, k)
			}
		}
		c.pokes = append(c.pokes, m)
	}
}

// noteEntered keeps when each task of the machine's entry was first seen.
func (m *machine) noteEntered(now units.Micros) {
	before := m.enteredAt
	m.enteredAt = make(map[taskKey]units.Micros, len(m.doc.Tasks))
	for _, t := range m.doc.Tasks {
		k := keyOf(t)
		at, ok := before[k]
		if !ok {
			at = now
		}
		m.enteredAt[k] = at
	}
}

// missed notes tasks of this node's partitions that another owner took off its
// machine though nobody had asked for it: they failed there. Without this a job
// that fails everywhere would be placed on others' machines without end.
func (c *Core) missed(old schema.Tasks) {
	for _, t := range old {
		j := c.replica.jobs[t.Job]
		if j == nil || !j.known || j.cancelled() || t.Stop > 0 || j.isDone(t.Num) || c.owned[j.part] == nil {
			continue
		}
		if _, ok := j.bound[t.Num]; !ok {
			c.failed(j)
		}
	}
}

// decode reads a stored document. An unreadable one is logged and left out.
func (c *Core) decode(key string, val json.RawMessage, into any) bool {
	if err := json.Unmarshal(val, into); err != nil {
		c.log.Error("unreadable document", "key", key, "err", err)
		return false
	}
	return true
}

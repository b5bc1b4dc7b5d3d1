package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// flushEvery is how long a job's progress may wait for others while changes are scarce,
// or while tasks wait for a place. Nothing is reaped before its end is stored, so nothing
// is lost.
const flushEvery = 20 * units.Second

// finishJobs stores ends and progress of the partition's jobs, and clears away
// the cancelled ones.
func (c *Core) finishJobs(b *batch, jobs []*job) {
	least := b.joint() - b.joint()/2 // the rest is for what waits to start
	for _, j := range jobs {
		if c.writing[schema.Finals+j.id] {
			continue
		}
		final, _ := c.replica.finals.get(j.id)
		reason := j.facts(final).mayForget()
		if reason == keepJob || !b.canClear(j) || reason == forgetDerived && b.joint() <= least {
			continue
		}
		c.audit.forgets[reason]++
		switch reason {
		case forgetCancelled:
			key := schema.Cancels + j.id
			b.clear(j)
			b.op(kv.Op{Delete: key}, c.replica.stamps[key])
		case forgetDerived:
			b.endDerived(j)
		case forgetCompleted:
			f := schema.Final{Stage: Done, Done: j.spec.Tasks, At: int64(c.wall), Mark: b.mark}
			// Whoever writes the end first decides between done and cancelled.
			b.op(kv.Op{Set: schema.Finals + j.id, Value: encode(f)}, 0)
			b.clear(j)
		}
	}
	every := flushEvery
	if c.changesPlentiful() && !waits(c.sortedJobs()) {
		every = 0
	}
	var open []*job
	for _, j := range jobs {
		if len(j.unstoredDone) == 0 || j.cancelled() || j.doneCount() == j.spec.Tasks {
			continue
		}
		if j.flushAt == 0 {
			j.flushAt = c.now
		}
		open = append(open, j)
		if c.now-j.flushAt >= every && !b.packs.edited(j) && b.joint() > least {
			b.flush(j)
		}
	}
	for _, j := range open { // what stands in the same documents goes with them
		if b.packs.edited(j) && j.flushAt < c.now {
			b.flush(j)
		}
	}
}

// waits reports whether tasks of the jobs wait for a place: each change that stores
// progress is one less that gives the places of ended tasks to the next ones, of this
// controller or of another, which may use what is left. With tasks of a few seconds two
// thirds of all changes went into progress.
func waits(jobs []*job) bool {
	return slices.ContainsFunc(jobs, func(j *job) bool { return !j.cancelled() && j.waiting() > 0 })
}

// changesPlentiful reports whether changes are not scarce at the moment.
func (c *Core) changesPlentiful() bool { return c.tokens > c.tokensMost/2 }

// flush stores a job's progress.
func (b *batch) flush(j *job) {
	set := j.done.Union(j.merged)
	avg, of := j.average()
	if !b.packs.put(j, schema.Done{Ranges: set.String(), AvgS: avg.Seconds(), Of: of}) {
		return
	}
	j.flushAt = b.c.now
	b.saved = append(b.saved, savedRuns{j, j.runSum, j.runCount})
}

func (b *batch) op(op kv.Op, stamp uint64) {
	b.finals = append(b.finals, op)
	b.guards = append(b.guards, kv.Guard{Key: op.Set + op.Delete, Stamp: stamp})
	b.spendJoint(1)
	b.size -= len(op.Value) + 100
}

// canClear reports whether what clears a job away fits into the batch.
func (b *batch) canClear(j *job) bool {
	s := b.c.replica.jobShardOf(j.id)
	need, bytes := 1, 300
	if b.cleared[s] == nil {
		need++
		bytes += s.size
	}
	return b.joint() >= need && b.size >= bytes && !b.c.writing[s.key] && s.size <= b.c.valueMax()
}

// clear removes a job that is over from its job shard. Its progress goes when its
// document is next written; while changes are plenty, at once.
func (b *batch) clear(j *job) {
	s := b.c.replica.jobShardOf(j.id)
	if b.cleared[s] == nil {
		b.cleared[s] = map[string]bool{}
		b.spendJoint(1)
		b.size -= s.size
	}
	b.cleared[s][j.id] = true
	if j.pack != nil && !b.c.writing[j.pack.key] && !b.c.oversized(j.pack) && (b.packs.edited(j) || b.joint() > 2 && b.size > j.pack.size+headBytes && b.c.changesPlentiful()) {
		delete(b.packs.edit(j.pack.key), j.id)
	}
}

// packing changes the documents that hold the progress of a partition's jobs.
// Only the partition's owner writes them, so a job may stand in any of them.
type packing struct {
	b     *batch
	edits map[string]map[string]schema.Done
	sizes map[string]int
	moved map[string]string // jobs that were entered in another document, and in which
}

func newPacking(b *batch) *packing {
	return &packing{b: b, edits: map[string]map[string]schema.Done{}, sizes: map[string]int{}, moved: map[string]string{}}
}

// edited reports whether the document of the job's progress is written anyway.
func (p *packing) edited(j *job) bool { return j.pack != nil && p.edits[j.pack.key] != nil }

// edit gives the contents of a document to be changed.
func (p *packing) edit(key string) map[string]schema.Done {
	if e := p.edits[key]; e != nil {
		return e
	}
	e := map[string]schema.Done{}
	if old := p.b.c.replica.packs[key]; old != nil {
		p.sizes[key] = old.size
		for id, d := range old.jobs {
			if j := p.b.c.replica.jobs[id]; j != nil && j.known {
				e[id] = d
			} else { // over
				p.sizes[key] -= len(id) + len(d.Ranges)
			}
		}
	}
	p.edits[key] = e
	p.b.spendJoint(1)
	p.b.size -= p.sizes[key] + headBytes
	return e
}

// put enters a job's progress, in another document than before if that one is
// full. It reports whether the batch had room for it.
func (p *packing) put(j *job, d schema.Done) bool {
	b := p.b
	cost := len(d.Ranges) + len(j.id) + 60
	if key, ok := p.moved[j.id]; ok { // by this batch
		grown := len(d.Ranges) - len(p.edits[key][j.id].Ranges)
		if p.sizes[key]+grown >= b.c.valueMax() {
			return false
		}
		p.edits[key][j.id] = d
		p.sizes[key] += grown
		b.size -= grown
		return true
	}
	written := j.pack != nil && !b.c.oversized(j.pack) // its document may be written again
	if written {
		old := j.pack.key
		if b.c.writing[old] || p.edits[old] == nil && (b.joint() < 1 || b.size < j.pack.size+headBytes+cost) {
			return false
		}
		grown := cost - len(j.pack.jobs[j.id].Ranges)
		size := j.pack.size
		if p.edits[old] != nil {
			size = p.sizes[old]
		}
		if size+grown < b.c.valueMax() {
			p.edit(old)[j.id] = d
			p.sizes[old] += grown
			b.size -= grown
			return true
		}
		if b.joint() < 2 && p.edits[old] == nil {
			return false
		}
	}
	key := p.roomy(cost)
	if key == "" || p.edits[key] == nil && b.joint() < 1 || b.size < cost+headBytes {
		return false
	}
	if written {
		delete(p.edit(j.pack.key), j.id)
	}
	p.edit(key)[j.id] = d
	p.moved[j.id] = key
	p.sizes[key] += cost
	b.size -= cost
	return true
}

// roomy finds a document with room for so many bytes: one that is written
// anyway, or else the first with room, or else a new one.
func (p *packing) roomy(cost int) string {
	most := p.b.c.valueMax()
	for _, key := range slices.Sorted(maps.Keys(p.edits)) {
		if p.sizes[key]+cost < most {
			return key
		}
	}
	for n := 0; ; n++ {
		key := schema.ProgressKey(p.b.o.n, n)
		if p.b.c.writing[key] || p.edits[key] != nil {
			continue
		}
		old := p.b.c.replica.packs[key]
		if old == nil {
			if cost+headBytes > most {
				return "" // no value is large enough for it
			}
			return key
		}
		// Those that stand there already grow as well.
		if old.size+cost < most*2/3 {
			return key
		}
	}
}

func (p *packing) changedKeys() []string { return slices.Sorted(maps.Keys(p.edits)) }

func (p *packing) doc(key string) *schema.Pack {
	return &schema.Pack{Jobs: p.edits[key], Mark: p.b.mark}
}

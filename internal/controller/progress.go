package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// progressFlushPeriod is how long a job's progress may wait for others while changes are scarce,
// or while tasks wait for a place. Nothing is reaped before its end is stored, so nothing
// is lost.
const progressFlushPeriod = 20 * units.Second

// finishJobs stores ends and progress of the partition's jobs, and clears away
// the cancelled ones.
func (c *Controller) finishJobs(b *plan, jobs []*job) {
	least := b.jointRoom() - b.jointRoom()/2 // the rest is for what waits to start
	for _, j := range jobs {
		if c.commits.keysInFlight[schema.OutcomePrefix+j.id] {
			continue
		}
		final, _ := c.replica.outcomes.get(j.id)
		reason := j.facts(final).MayForget()
		if reason == guard.KeepJob || !b.canRemoveJob(j) || reason == guard.ForgetCancelledByDependency && b.jointRoom() <= least {
			continue
		}
		c.audit.countForgotten(reason)
		switch reason {
		case guard.ForgetCancelled:
			key := schema.CancellationPrefix + j.id
			b.removeJob(j)
			b.addJoint(kv.Operation{Delete: key}, c.replica.revisions[key])
		case guard.ForgetCancelledByDependency:
			b.storeDerivedCancellation(j)
		case guard.ForgetCompleted:
			f := schema.Outcome{State: StageDone, TasksDone: j.spec.Tasks, RecordedAt: int64(c.timeOfDay), WriteTag: b.writeTag}
			// Whoever writes the end first decides between done and cancelled.
			b.addJoint(kv.Operation{Set: schema.OutcomePrefix + j.id, Value: encode(f)}, 0)
			b.removeJob(j)
		}
	}
	every := progressFlushPeriod
	if c.changesPlentiful() && !anyWaiting(c.replica.sortedJobs()) {
		every = 0
	}
	var open []*job
	for _, j := range jobs {
		if len(j.unstoredCompletions) == 0 || j.cancelled() || j.doneCount() == j.spec.Tasks {
			continue
		}
		if j.progressWrittenAt == 0 {
			j.progressWrittenAt = c.now
		}
		open = append(open, j)
		if c.now-j.progressWrittenAt >= every && !b.progress.written(j) && b.jointRoom() > least {
			b.storeProgress(j)
		}
	}
	for _, j := range open { // what stands in the same documents goes with them
		if b.progress.written(j) && j.progressWrittenAt < c.now {
			b.storeProgress(j)
		}
	}
}

// anyWaiting reports whether tasks of the jobs wait for a place: each change that stores
// progress is one less that gives the places of ended tasks to the next ones, of this
// controller or of another, which may use what is left. With tasks of a few seconds two
// thirds of all changes went into progress.
func anyWaiting(jobs []*job) bool {
	return slices.ContainsFunc(jobs, func(j *job) bool { return !j.cancelled() && j.waiting() > 0 })
}

// changesPlentiful reports whether changes are not scarce at the moment.
func (c *Controller) changesPlentiful() bool { return c.budget.credit > c.budget.maxCredit/2 }

// storeProgress stores a job's progress.
func (b *plan) storeProgress(j *job) {
	set := j.done.Union(j.allDone)
	avg, of := j.average()
	if !b.progress.put(j, schema.JobProgress{DoneRanges: set.String(), AverageSeconds: avg.Seconds(), Samples: of}) {
		return
	}
	j.progressWrittenAt = b.c.now
	b.savedRuns = append(b.savedRuns, savedRuntime{j, j.runSum, j.runCount})
}

func (b *plan) addJoint(op kv.Operation, stamp uint64) {
	b.jointOps = append(b.jointOps, op)
	b.jointConditions = append(b.jointConditions, kv.Condition{Key: op.Set + op.Delete, ModRevision: stamp})
	b.takeJoint(1)
	b.bytesLeft -= len(op.Value) + 100
}

// canRemoveJob reports whether what clears a job away fits into the batch.
func (b *plan) canRemoveJob(j *job) bool {
	s := b.c.replica.jobShardOf(j.id)
	need, bytes := 1, 300
	if b.cleared[s] == nil {
		need++
		bytes += s.size
	}
	return b.jointRoom() >= need && b.bytesLeft >= bytes && !b.c.commits.keysInFlight[s.key] && s.size <= b.c.maxValueBytes()
}

// removeJob removes a job that is over from its job shard. Its progress goes when its
// document is next written; while changes are plenty, at once.
func (b *plan) removeJob(j *job) {
	s := b.c.replica.jobShardOf(j.id)
	if b.cleared[s] == nil {
		b.cleared[s] = map[string]bool{}
		b.takeJoint(1)
		b.bytesLeft -= s.size
	}
	b.cleared[s][j.id] = true
	if j.progressSegment != nil && !b.c.commits.keysInFlight[j.progressSegment.key] && !b.c.oversized(j.progressSegment) && (b.progress.written(j) || b.jointRoom() > 2 && b.bytesLeft > j.progressSegment.size+documentOverheadBytes && b.c.changesPlentiful()) {
		delete(b.progress.segment(j.progressSegment.key), j.id)
	}
}

// progressWriter changes the documents that hold the progress of a partition's jobs.
// Only the partition's owner writes them, so a job may stand in any of them.
type progressWriter struct {
	plan     *plan
	segments map[string]map[string]schema.JobProgress
	sizes    map[string]int
	movedTo  map[string]string // jobs that were entered in another document, and in which
}

func newProgressWriter(b *plan) *progressWriter {
	return &progressWriter{plan: b, segments: map[string]map[string]schema.JobProgress{}, sizes: map[string]int{}, movedTo: map[string]string{}}
}

// written reports whether the document of the job's progress is written anyway.
func (p *progressWriter) written(j *job) bool {
	return j.progressSegment != nil && p.segments[j.progressSegment.key] != nil
}

// segment gives the contents of a document to be changed.
func (p *progressWriter) segment(key string) map[string]schema.JobProgress {
	if e := p.segments[key]; e != nil {
		return e
	}
	e := map[string]schema.JobProgress{}
	if old := p.plan.c.replica.progressSegments[key]; old != nil {
		p.sizes[key] = old.size
		for id, d := range old.jobs {
			if j := p.plan.c.replica.jobs[id]; j != nil && j.accepted {
				e[id] = d
			} else { // over
				p.sizes[key] -= len(id) + len(d.DoneRanges)
			}
		}
	}
	p.segments[key] = e
	p.plan.takeJoint(1)
	p.plan.bytesLeft -= p.sizes[key] + documentOverheadBytes
	return e
}

// put enters a job's progress, in another document than before if that one is
// full. It reports whether the batch had room for it.
func (p *progressWriter) put(j *job, d schema.JobProgress) bool {
	b := p.plan
	cost := len(d.DoneRanges) + len(j.id) + 60
	if key, ok := p.movedTo[j.id]; ok { // by this batch
		grown := len(d.DoneRanges) - len(p.segments[key][j.id].DoneRanges)
		if p.sizes[key]+grown >= b.c.maxValueBytes() {
			return false
		}
		p.segments[key][j.id] = d
		p.sizes[key] += grown
		b.bytesLeft -= grown
		return true
	}
	written := j.progressSegment != nil && !b.c.oversized(j.progressSegment) // its document may be written again
	if written {
		old := j.progressSegment.key
		if b.c.commits.keysInFlight[old] || p.segments[old] == nil && (b.jointRoom() < 1 || b.bytesLeft < j.progressSegment.size+documentOverheadBytes+cost) {
			return false
		}
		grown := cost - len(j.progressSegment.jobs[j.id].DoneRanges)
		size := j.progressSegment.size
		if p.segments[old] != nil {
			size = p.sizes[old]
		}
		if size+grown < b.c.maxValueBytes() {
			p.segment(old)[j.id] = d
			p.sizes[old] += grown
			b.bytesLeft -= grown
			return true
		}
		if b.jointRoom() < 2 && p.segments[old] == nil {
			return false
		}
	}
	key := p.segmentWithRoom(cost)
	if key == "" || p.segments[key] == nil && b.jointRoom() < 1 || b.bytesLeft < cost+documentOverheadBytes {
		return false
	}
	if written {
		delete(p.segment(j.progressSegment.key), j.id)
	}
	p.segment(key)[j.id] = d
	p.movedTo[j.id] = key
	p.sizes[key] += cost
	b.bytesLeft -= cost
	return true
}

// segmentWithRoom finds a document with room for so many bytes: one that is written
// anyway, or else the first with room, or else a new one.
func (p *progressWriter) segmentWithRoom(cost int) string {
	most := p.plan.c.maxValueBytes()
	for _, key := range slices.Sorted(maps.Keys(p.segments)) {
		if p.sizes[key]+cost < most {
			return key
		}
	}
	for n := 0; ; n++ {
		key := schema.ProgressKey(p.plan.leadership.partition, n)
		if p.plan.c.commits.keysInFlight[key] || p.segments[key] != nil {
			continue
		}
		old := p.plan.c.replica.progressSegments[key]
		if old == nil {
			if cost+documentOverheadBytes > most {
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

func (p *progressWriter) changedKeys() []string { return slices.Sorted(maps.Keys(p.segments)) }

func (p *progressWriter) document(key string) *schema.ProgressSegment {
	return &schema.ProgressSegment{Jobs: p.segments[key], WriteTag: p.plan.writeTag}
}

package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// maxProgressGaps is how many gaps the stored progress of a job may have, unless values are short.
const maxProgressGaps = 200

// jobProgressBytes is an upper estimate of a job's progress without its id and its ranges.
const jobProgressBytes = 60

// progressWriter stages the progress segments that a plan writes. Only the partition's leader writes
// them, so a job may stand in any of them; what it stages is written whole with the joint changes, and
// takes its part of the plan's budget at once.
type progressWriter struct {
	plan     *plan
	segments map[string]*stagedSegment // by key
	movedTo  map[string]string         // jobs that this plan has put into another segment, and its key
}

// stagedSegment is a progress segment as it is to be written.
type stagedSegment struct {
	jobs map[string]schema.JobProgress
	size int // an upper estimate
}

func newProgressWriter(p *plan) *progressWriter {
	return &progressWriter{plan: p, segments: map[string]*stagedSegment{}, movedTo: map[string]string{}}
}

// written reports whether the segment of the job's progress is written anyway.
func (w *progressWriter) written(j *job) bool {
	return j.progressSegment != nil && w.segments[j.progressSegment.key] != nil
}

// segment gives a segment to be changed, without the jobs that are over.
func (w *progressWriter) segment(key string) *stagedSegment {
	if staged := w.segments[key]; staged != nil {
		return staged
	}
	staged := &stagedSegment{jobs: map[string]schema.JobProgress{}}
	if stored := w.plan.replica.progressSegments[key]; stored != nil {
		staged.size = stored.size
		for id, progress := range stored.jobs {
			if j := w.plan.replica.acceptedJob(id); j != nil {
				staged.jobs[id] = progress
			} else {
				staged.size -= len(id) + len(progress.DoneRanges)
			}
		}
	}
	w.segments[key] = staged
	w.plan.budget.takeJoint()
	w.plan.budget.takeBytes(staged.size + documentOverheadBytes)
	return staged
}

// enter enters a job's progress into a segment, which makes it longer by so much.
func (w *progressWriter) enter(staged *stagedSegment, id string, progress schema.JobProgress, growth int) {
	staged.jobs[id] = progress
	staged.size += growth
	w.plan.budget.takeBytes(growth)
}

// remove takes a job's progress out of its segment.
func (w *progressWriter) remove(j *job) { delete(w.segment(j.progressSegment.key).jobs, j.id) }

// put enters a job's progress, into another segment than before if that one is full. It reports whether
// the plan had space for it.
func (w *progressWriter) put(j *job, progress schema.JobProgress) bool {
	if key, moved := w.movedTo[j.id]; moved {
		return w.putAgain(w.segments[key], j, progress)
	}
	cost := len(progress.DoneRanges) + len(j.id) + jobProgressBytes
	segment := j.progressSegment
	if segment == nil || w.plan.oversized(segment) { // which must not be written any more
		return w.putElsewhere(j, progress, cost, nil)
	}
	if !w.mayWrite(segment, cost) {
		return false
	}
	if w.putInPlace(j, progress, cost) {
		return true
	}
	if w.plan.budget.jointLeft() < 2 && w.segments[segment.key] == nil {
		return false
	}
	return w.putElsewhere(j, progress, cost, segment)
}

// putAgain enters newer progress of a job that this plan has moved into a segment already.
func (w *progressWriter) putAgain(staged *stagedSegment, j *job, progress schema.JobProgress) bool {
	growth := len(progress.DoneRanges) - len(staged.jobs[j.id].DoneRanges)
	if staged.size+growth >= w.plan.store.limits.maxValueBytes() {
		return false
	}
	w.enter(staged, j.id, progress, growth)
	return true
}

// mayWrite reports whether a stored segment can be written by this plan, with so much more in it.
func (w *progressWriter) mayWrite(segment *progressSegment, cost int) bool {
	if w.plan.commits.isInFlight(segment.key) {
		return false
	}
	budget := &w.plan.budget
	return w.segments[segment.key] != nil || budget.jointLeft() >= 1 && budget.bytes >= segment.size+documentOverheadBytes+cost
}

// putInPlace enters a job's progress into the segment in which it stands, if that does not become too
// long.
func (w *progressWriter) putInPlace(j *job, progress schema.JobProgress, cost int) bool {
	segment := j.progressSegment
	growth := cost - len(segment.jobs[j.id].DoneRanges)
	size := segment.size
	if staged := w.segments[segment.key]; staged != nil {
		size = staged.size
	}
	if size+growth >= w.plan.store.limits.maxValueBytes() {
		return false
	}
	w.enter(w.segment(segment.key), j.id, progress, growth)
	return true
}

// putElsewhere enters a job's progress into a segment with space for it, and takes it out of the
// segment in which it stood; nil: that one stays as it is.
func (w *progressWriter) putElsewhere(j *job, progress schema.JobProgress, cost int, from *progressSegment) bool {
	budget := &w.plan.budget
	key := w.segmentWithSpace(cost)
	if key == "" || w.segments[key] == nil && budget.jointLeft() < 1 || budget.bytes < cost+documentOverheadBytes {
		return false
	}
	if from != nil {
		w.remove(j)
	}
	w.enter(w.segment(key), j.id, progress, cost)
	w.movedTo[j.id] = key
	return true
}

// segmentWithSpace finds a segment with space for so many bytes: one that is written anyway, or else
// the first with space, or else a new one. It is empty if no value is long enough.
func (w *progressWriter) segmentWithSpace(cost int) string {
	most := w.plan.store.limits.maxValueBytes()
	for _, key := range w.changedKeys() {
		if w.segments[key].size+cost < most {
			return key
		}
	}
	for number := 0; ; number++ {
		key := schema.ProgressKey(w.plan.leadership.partition, number)
		if w.plan.commits.isInFlight(key) || w.segments[key] != nil {
			continue
		}
		stored := w.plan.replica.progressSegments[key]
		if stored == nil {
			if cost+documentOverheadBytes > most {
				return ""
			}
			return key
		}
		if stored.size+cost < most*2/3 { // those that stand there already grow as well
			return key
		}
	}
}

// changedKeys are the keys of the segments to be written, in order.
func (w *progressWriter) changedKeys() []string { return slices.Sorted(maps.Keys(w.segments)) }

// document is a segment as it is to be stored.
func (w *progressWriter) document(key string) *schema.ProgressSegment {
	return &schema.ProgressSegment{Jobs: w.segments[key].jobs, WriteTag: w.plan.writeTag}
}

// emptyOversizedSegments moves progress out of segments that are too long to be written any more, and
// then deletes those, which is possible at any length. A job may stand in two segments meanwhile: what
// either says is true.
func (p *plan) emptyOversizedSegments() {
	if !p.replica.dependenciesEnabled() {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(p.replica.progressSegments)) {
		segment := p.replica.progressSegments[key]
		if segment.partition != p.leadership.partition || !p.oversized(segment) || p.commits.isInFlight(key) {
			continue
		}
		if !p.moveProgressOutOf(segment) || p.budget.jointLeft() < 1 {
			return
		}
		p.log.Info("progress segment emptied", "segment", key, "bytes", segment.size)
		p.addJoint(kv.Operation{Delete: key}, p.replica.revisions[key])
	}
}

// moveProgressOutOf puts the progress of a segment's jobs elsewhere. It reports whether the plan had
// space for all of it.
func (p *plan) moveProgressOutOf(segment *progressSegment) bool {
	for _, id := range slices.Sorted(maps.Keys(segment.jobs)) {
		j := p.replica.acceptedJob(id)
		if j != nil && j.progressSegment == segment && !p.progress.put(j, segment.jobs[id]) {
			return false
		}
	}
	return true
}

// oversized reports whether a progress segment is longer than what may be written.
func (p *planner) oversized(segment *progressSegment) bool {
	return segment != nil && segment.size > p.store.limits.maxValueBytes()
}

package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// maxProgressGaps is how many gaps the stored progress of a job may have, unless the maximum value size
// permits fewer (progressGapsFor).
const maxProgressGaps = 200

// jobProgressBytes is an upper estimate of the stored size of a job's progress without its id and ranges.
const jobProgressBytes = 60

// progressWriter stages the progress segments that a plan writes. Only the partition's leader writes
// them, so a job's progress may be in any of them. A staged segment is written whole with the joint
// changes, and is deducted from the plan's budget when it is staged.
type progressWriter struct {
	plan     *plan
	segments map[string]*stagedSegment // by key
	movedTo  map[string]string         // by job: key of the segment that this plan has moved its progress to
}

// stagedSegment is a progress segment as the plan will write it.
type stagedSegment struct {
	jobs map[string]schema.JobProgress
	size int // upper estimate of the stored value, in bytes
}

func newProgressWriter(p *plan) *progressWriter {
	return &progressWriter{plan: p, segments: map[string]*stagedSegment{}, movedTo: map[string]string{}}
}

// segmentStaged reports whether the plan writes the segment with the job's progress anyway.
func (w *progressWriter) segmentStaged(j *job) bool {
	return j.progressSegment != nil && w.segments[j.progressSegment.key] != nil
}

// segment returns a staged segment, which it stages first if necessary, without the jobs that are over.
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

// setProgress sets a job's progress in a staged segment, whose size grows by growth bytes.
func (w *progressWriter) setProgress(staged *stagedSegment, id string, progress schema.JobProgress, growth int) {
	staged.jobs[id] = progress
	staged.size += growth
	w.plan.budget.takeBytes(growth)
}

// remove removes a job's progress from its segment.
func (w *progressWriter) remove(j *job) { delete(w.segment(j.progressSegment.key).jobs, j.id) }

// put stages a job's progress in the segment that has it, or in another if that one is full. It reports
// whether the plan had space for the progress.
func (w *progressWriter) put(j *job, progress schema.JobProgress) bool {
	if key, moved := w.movedTo[j.id]; moved {
		return w.putAgain(w.segments[key], j, progress)
	}
	cost := len(progress.DoneRanges) + len(j.id) + jobProgressBytes
	segment := j.progressSegment
	if segment == nil || w.plan.oversized(segment) { // an oversized segment must not be written any more
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

// putAgain replaces the progress of a job that this plan has already moved to another segment.
func (w *progressWriter) putAgain(staged *stagedSegment, j *job, progress schema.JobProgress) bool {
	growth := len(progress.DoneRanges) - len(staged.jobs[j.id].DoneRanges)
	if staged.size+growth >= w.plan.store.limits.maxValueBytes() {
		return false
	}
	w.setProgress(staged, j.id, progress, growth)
	return true
}

// mayWrite reports whether this plan can write a stored segment to which it adds cost bytes.
func (w *progressWriter) mayWrite(segment *progressSegment, cost int) bool {
	if w.plan.commits.isInFlight(segment.key) {
		return false
	}
	budget := &w.plan.budget
	return w.segments[segment.key] != nil || budget.jointLeft() >= 1 && budget.bytes >= segment.size+documentOverheadBytes+cost
}

// putInPlace stages a job's progress in its present segment, unless that would become too long.
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
	w.setProgress(w.segment(segment.key), j.id, progress, growth)
	return true
}

// putElsewhere stages a job's progress in a segment with space for it, and removes it from segment from;
// if from is nil, the segment that it was in stays as it is.
func (w *progressWriter) putElsewhere(j *job, progress schema.JobProgress, cost int, from *progressSegment) bool {
	budget := &w.plan.budget
	key := w.segmentWithSpace(cost)
	if key == "" || w.segments[key] == nil && budget.jointLeft() < 1 || budget.bytes < cost+documentOverheadBytes {
		return false
	}
	if from != nil {
		w.remove(j)
	}
	w.setProgress(w.segment(key), j.id, progress, cost)
	w.movedTo[j.id] = key
	return true
}

// segmentWithSpace returns the key of a segment with space for cost bytes: one that is written anyway, or
// else the first with space, or else a new one. The key is empty if no stored value may be that long.
func (w *progressWriter) segmentWithSpace(cost int) string {
	maxBytes := w.plan.store.limits.maxValueBytes()
	for _, key := range w.changedKeys() {
		if w.segments[key].size+cost < maxBytes {
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
			if cost+documentOverheadBytes > maxBytes {
				return ""
			}
			return key
		}
		if stored.size+cost < maxBytes*2/3 { // leaves space for the growth of the progress in it
			return key
		}
	}
}

// changedKeys returns the keys of the segments to be written, in order.
func (w *progressWriter) changedKeys() []string { return slices.Sorted(maps.Keys(w.segments)) }

// document returns a segment's document as it is to be stored.
func (w *progressWriter) document(key string) *schema.ProgressSegment {
	return &schema.ProgressSegment{Jobs: w.segments[key].jobs, WriteTag: w.plan.writeTag}
}

// emptyOversizedSegments moves progress out of segments that are too long to be written any more, and
// then deletes these segments, which is possible at any length. Until then a job's progress may be in two
// segments; that in either is valid.
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

// moveProgressOutOf moves the progress of a segment's jobs to other segments. It reports whether the plan
// had space for all of it.
func (p *plan) moveProgressOutOf(segment *progressSegment) bool {
	for _, id := range slices.Sorted(maps.Keys(segment.jobs)) {
		j := p.replica.acceptedJob(id)
		if j != nil && j.progressSegment == segment && !p.progress.put(j, segment.jobs[id]) {
			return false
		}
	}
	return true
}

// oversized reports whether a progress segment is longer than a stored value may be.
func (p *planner) oversized(segment *progressSegment) bool {
	return segment != nil && segment.size > p.store.limits.maxValueBytes()
}

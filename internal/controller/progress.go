package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// jobProgressBytes is an upper estimate of the stored size of a job's progress without its id and ranges.
const jobProgressBytes = 60

// progressWriter stages the progress segments that a plan writes. Only the partition's leader writes
// them, so a part of a job's progress may be in any of them, but each segment has one part of a job at most. A staged
// segment is written whole with the joint changes, and is deducted from the plan's budget when it is staged.
//
// It guarantees that no write takes a stored completion out of the store: what a segment lists stays in it, unless
// another segment that is written in the same transaction lists it.
type progressWriter struct {
	plan     *plan
	segments map[string]*stagedSegment // by key
	written  map[progressSlot]bool     // parts that this plan has staged
}

// progressSlot is the place of a job's part in a segment.
type progressSlot struct{ job, segment string }

// stagedSegment is a progress segment as the plan will write it.
type stagedSegment struct {
	jobs map[string]schema.JobProgress
	size int // upper estimate of the stored value, in bytes
}

func newProgressWriter(p *plan) *progressWriter {
	return &progressWriter{plan: p, segments: map[string]*stagedSegment{}, written: map[progressSlot]bool{}}
}

// isStaged reports whether the plan writes a segment anyway.
func (w *progressWriter) isStaged(segment *progressSegment) bool {
	return segment != nil && w.segments[segment.key] != nil
}

// anyStaged reports whether the plan writes a segment with a part of the job's progress anyway.
func (w *progressWriter) anyStaged(j *job) bool {
	return slices.ContainsFunc(j.progressSegments, w.isStaged)
}

// alreadyStored reports whether this plan has staged the part already. All of a job's progress may be in segments that must
// not be written any more: it is moved out of them first (emptyOversizedSegments).
func (w *progressWriter) alreadyStored(j *job, part *progressPart) bool {
	if part.segment == nil {
		return len(j.progressSegments) > 0
	}
	return w.written[progressSlot{j.id, part.segment.key}]
}

// progressCost returns an upper estimate of the stored size of a job's progress.
func progressCost(j *job, progress schema.JobProgress) int {
	return len(progress.DoneRanges) + len(j.id) + jobProgressBytes
}

// segment returns a staged segment, which it stages first if necessary, without the jobs that are over.
func (w *progressWriter) segment(key string) *stagedSegment {
	if staged := w.segments[key]; staged != nil {
		return staged
	}
	staged := &stagedSegment{jobs: map[string]schema.JobProgress{}}
	if stored := w.plan.replica.progressSegments[key]; stored != nil {
		staged.size = w.liveSize(stored)
		for id, progress := range stored.jobs {
			if w.plan.replica.acceptedJob(id) != nil {
				staged.jobs[id] = progress
			}
		}
	}
	w.segments[key] = staged
	w.plan.budget.takeJoint()
	w.plan.budget.takeBytes(staged.size + documentOverheadBytes)
	return staged
}

// setProgress sets a job's progress in a staged segment, whose size grows by growth bytes.
func (w *progressWriter) setProgress(key string, j *job, progress schema.JobProgress, growth int) {
	staged := w.segment(key)
	staged.jobs[j.id] = progress
	staged.size += growth
	w.plan.budget.takeBytes(growth)
	w.written[progressSlot{j.id, key}] = true
}

// remove removes a job's progress from a segment.
func (w *progressWriter) remove(j *job, segment *progressSegment) {
	delete(w.segment(segment.key).jobs, j.id)
}

// ownValueBytes is the longest progress that fits into a segment of its own.
func (w *progressWriter) ownValueBytes() int {
	return w.plan.store.limits.maxValueBytes() - documentOverheadBytes
}

// storePart stages a part of a job's progress with its unstored completions, or with the first of them if all are too
// many. It returns how many it has staged.
func (w *progressWriter) storePart(j *job, part *progressPart) int {
	for added := part.unstored; !added.Empty(); added, _ = added.Halves() {
		staged, fits := w.stageCompletions(j, part.segment, part.stored.Union(added))
		if staged {
			return added.Len()
		}
		if fits {
			return 0
		}
	}
	return 0
}

// stageCompletions stages the completions of a part of a job's progress. A part that has grown too long for a value is
// divided, once all members unite the completions of several segments: to the first version, the last segment that it is
// shown has all of them. It reports whether the plan had space for them, and whether one value, or two for a divided part,
// may be that long.
func (w *progressWriter) stageCompletions(j *job, segment *progressSegment, done schema.TaskSet) (staged, fits bool) {
	progress := progressOf(j, done)
	if progressCost(j, progress) <= w.ownValueBytes() {
		return w.put(j, progress, segment), true
	}
	if segment == nil || !w.plan.replica.dependenciesEnabled() || progressCost(j, progress) > 2*w.ownValueBytes() {
		return false, false
	}
	lowerHalf, upperHalf := done.Halves()
	lower, upper := progressOf(j, lowerHalf), progressOf(j, upperHalf)
	if max(progressCost(j, lower), progressCost(j, upper)) > w.ownValueBytes() {
		return false, false
	}
	return w.divide(j, segment, lower, upper), true
}

// progressOf returns the stored form of completions of a job, with the average run time of its tasks.
func progressOf(j *job, done schema.TaskSet) schema.JobProgress {
	average, samples := j.average()
	return schema.JobProgress{DoneRanges: done.String(), AverageSeconds: average.Seconds(), Samples: samples}
}

// put stages a job's progress in the segment that has it, which is nil if none has, or in another if that one is full.
// It reports whether the plan had space for the progress.
func (w *progressWriter) put(j *job, progress schema.JobProgress, segment *progressSegment) bool {
	if segment == nil {
		return w.putElsewhere(j, progress, nil)
	}
	if !w.mayWrite(segment, growthOf(j, progress, segment)) {
		return false
	}
	return w.putInPlace(j, progress, segment) || w.putElsewhere(j, progress, segment)
}

// divide stages the lower half of a part of a job's progress in its present segment and the upper half in another. It
// reports whether the plan had space for both.
func (w *progressWriter) divide(j *job, segment *progressSegment, lower, upper schema.JobProgress) bool {
	upperKey := w.segmentWithSpace(j, progressCost(j, upper))
	if upperKey == "" || w.plan.commits.isInFlight(segment.key) {
		return false
	}
	price := w.price(upperKey, progressCost(j, upper)).plus(w.price(segment.key, growthOf(j, lower, segment)))
	return w.affords(price) && w.putElsewhere(j, upper, nil) && w.put(j, lower, segment)
}

// mayWrite reports whether this plan can write a stored segment that grows by growth bytes.
func (w *progressWriter) mayWrite(segment *progressSegment, growth int) bool {
	return !w.plan.commits.isInFlight(segment.key) && (w.isStaged(segment) || w.affords(w.price(segment.key, growth)))
}

// putInPlace stages a job's progress in its present segment, unless that would become too long.
func (w *progressWriter) putInPlace(j *job, progress schema.JobProgress, segment *progressSegment) bool {
	growth := growthOf(j, progress, segment)
	size := 0
	if staged := w.segments[segment.key]; staged != nil {
		size = staged.size
	} else {
		size = w.liveSize(segment)
	}
	if size+growth >= w.plan.store.limits.maxValueBytes() {
		return false
	}
	w.setProgress(segment.key, j, progress, growth)
	return true
}

// putElsewhere stages a job's progress in a segment with space for it, and removes it from segment from;
// if from is nil, the segment that it was in stays as it is.
func (w *progressWriter) putElsewhere(j *job, progress schema.JobProgress, from *progressSegment) bool {
	cost := progressCost(j, progress)
	key := w.segmentWithSpace(j, cost)
	price := w.price(key, cost)
	if from != nil {
		price = price.plus(w.price(from.key, 0))
	}
	if key == "" || !w.affords(price) {
		return false
	}
	if from != nil {
		w.remove(j, from)
	}
	w.setProgress(key, j, progress, cost)
	return true
}

// changedKeys returns the keys of the segments to be written, in order.
func (w *progressWriter) changedKeys() []string { return slices.Sorted(maps.Keys(w.segments)) }

// document returns a segment's document as it is to be stored.
func (w *progressWriter) document(key string) *schema.ProgressSegment {
	return &schema.ProgressSegment{Jobs: w.segments[key].jobs, WriteTag: w.plan.writeTag}
}

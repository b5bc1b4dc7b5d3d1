package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// segmentWithSpace returns the key of a segment with space for cost bytes of a job that it does not have a part of: one
// that is written anyway, or else the first with space, or else a new one. The key is empty if no stored value may be
// that long.
func (w *progressWriter) segmentWithSpace(j *job, cost int) string {
	maxBytes := w.plan.store.limits.maxValueBytes()
	for _, key := range w.changedKeys() {
		if w.segments[key].size+cost < maxBytes && !w.hasPart(key, j) {
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
			if cost > w.ownValueBytes() {
				return ""
			}
			return key
		}
		if w.plan.oversized(stored) { // this plan may delete it
			continue
		}
		if w.liveSize(stored)+cost < maxBytes*2/3 && !w.hasPart(key, j) { // leaves space for the growth of the progress in it
			return key
		}
	}
}

// hasPart reports whether a segment, as stored or as staged, has a part of a job's progress.
func (w *progressWriter) hasPart(key string, j *job) bool {
	if staged := w.segments[key]; staged != nil {
		if _, has := staged.jobs[j.id]; has {
			return true
		}
	}
	return slices.ContainsFunc(j.progressSegments, func(segment *progressSegment) bool { return segment.key == key })
}

// liveSize returns the size of a stored segment without the jobs that are over.
func (w *progressWriter) liveSize(stored *progressSegment) int {
	size := stored.size
	for id, progress := range stored.jobs {
		if w.plan.replica.acceptedJob(id) == nil {
			size -= len(id) + len(progress.DoneRanges)
		}
	}
	return size
}

// growthOf returns by how many bytes a segment with a part of a job's progress grows if the part is replaced.
func growthOf(j *job, progress schema.JobProgress, segment *progressSegment) int {
	return progressCost(j, progress) - len(segment.jobs[j.id].DoneRanges)
}

// writePrice is what a write takes of a plan's budget.
type writePrice struct{ changes, bytes int }

func (p writePrice) plus(other writePrice) writePrice {
	return writePrice{p.changes + other.changes, p.bytes + other.bytes}
}

// price returns what it takes to write a segment that grows by growth bytes.
func (w *progressWriter) price(key string, growth int) writePrice {
	if w.segments[key] != nil {
		return writePrice{bytes: growth}
	}
	price := writePrice{changes: 1, bytes: growth + documentOverheadBytes}
	if stored := w.plan.replica.progressSegments[key]; stored != nil {
		price.bytes += stored.size
	}
	return price
}

// affords reports whether the plan's budget has space for a write.
func (w *progressWriter) affords(price writePrice) bool {
	return w.plan.budget.jointLeft() >= price.changes && w.plan.budget.bytes >= price.bytes
}

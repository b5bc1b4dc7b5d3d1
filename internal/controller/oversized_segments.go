package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/kv"
)

// emptyOversizedSegments moves progress out of segments that are too long to be written any more, and
// then deletes these segments, which is possible at any length. Until then a part of a job's progress may be in two
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

// moveProgressOutOf moves the progress of a segment's jobs to other segments. It reports whether all of it is there, or
// will be with this plan.
func (p *plan) moveProgressOutOf(segment *progressSegment) bool {
	for _, id := range slices.Sorted(maps.Keys(segment.jobs)) {
		j := p.replica.acceptedJob(id)
		if j != nil && !p.progress.copyOutOf(segment, j) {
			return false
		}
	}
	return true
}

// copyOutOf copies the progress of a job that only a segment that must not be written has to another segment, or the
// first part of it if all is too long. It reports whether that was all.
func (w *progressWriter) copyOutOf(segment *progressSegment, j *job) bool {
	rest := w.plan.storedOnlyIn(j, segment)
	if rest.Empty() {
		return true
	}
	progress := segment.jobs[j.id]
	part := rest
	progress.DoneRanges = part.String()
	for progressCost(j, progress) > w.ownValueBytes() {
		part, _ = part.Halves()
		progress.DoneRanges = part.String()
	}
	return w.putElsewhere(j, progress, nil) && part.Len() == rest.Len()
}

// oversized reports whether a progress segment is longer than a stored value may be.
func (p *planner) oversized(segment *progressSegment) bool {
	return segment != nil && segment.size > p.store.limits.maxValueBytes()
}

package controller

import (
	"cmp"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// progressPart is the part of a job's progress that one segment stores. The parts divide the job's tasks by their
// numbers, so that gaps that are filled make the parts shorter: a task belongs to the last part that does not begin
// after it.
type progressPart struct {
	segment  *progressSegment // nil: no segment stores the part yet
	stored   schema.TaskSet   // completions that the segment lists
	unstored schema.TaskSet   // completions that belong to the part and are not stored
}

// partsToStore returns the parts of a job's progress that have unstored completions, those with most of them first.
func (p *plan) partsToStore(j *job) []progressPart {
	unstored := schema.NewTaskSet(slices.Sorted(maps.Keys(j.unstoredCompletions)))
	parts := p.storedParts(j)
	if len(parts) == 0 {
		parts = []progressPart{{}}
	}
	for i := len(parts) - 1; i > 0; i-- {
		unstored, parts[i].unstored = unstored.SplitAt(parts[i].stored.First())
	}
	parts[0].unstored = unstored
	parts = slices.DeleteFunc(parts, func(part progressPart) bool { return part.unstored.Empty() })
	slices.SortStableFunc(parts, func(a, b progressPart) int { return cmp.Compare(b.unstored.Len(), a.unstored.Len()) })
	return parts
}

// storedParts returns the parts of a job's progress in the order of their tasks, without those in segments that must not
// be written any more.
func (p *plan) storedParts(j *job) []progressPart {
	var parts []progressPart
	for _, segment := range j.progressSegments {
		if !p.oversized(segment) {
			parts = append(parts, progressPart{segment: segment, stored: storedIn(j, segment)})
		}
	}
	slices.SortStableFunc(parts, func(a, b progressPart) int { return cmp.Compare(a.stored.First(), b.stored.First()) })
	return parts
}

// storedIn returns the completions of a job that a segment lists.
func storedIn(j *job, segment *progressSegment) schema.TaskSet {
	if len(j.progressSegments) == 1 {
		return j.done
	}
	stored, err := schema.ParseTaskSet(segment.jobs[j.id].DoneRanges)
	if err != nil { // nothing is planned while a document is not readable
		return schema.TaskSet{}
	}
	return stored
}

// storedOnlyIn returns the completions of a job that a segment lists and no segment that may still be written does.
func (p *plan) storedOnlyIn(j *job, segment *progressSegment) schema.TaskSet {
	only := storedIn(j, segment)
	for _, part := range p.storedParts(j) {
		if part.segment != segment {
			only = only.Without(part.stored)
		}
	}
	return only
}

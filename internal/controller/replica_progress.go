package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// progressSegment is a stored document with the progress of some of a partition's jobs. Progress that is too long for one
// document is divided among several: a job's completed tasks are those that any segment lists.
type progressSegment struct {
	key       string
	partition int
	size      int // of the stored value, in bytes
	jobs      map[string]schema.JobProgress
}

// applyProgressSegment applies a progress segment's new contents; value is empty if it was deleted. It reports
// whether the contents are readable.
func (r *replica) applyProgressSegment(key string, value json.RawMessage) bool {
	var doc schema.ProgressSegment
	if len(value) > 0 && !r.env.decode(key, value, &doc) {
		return false
	}
	segment := &progressSegment{key: key, size: len(value), jobs: doc.Jobs}
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, schema.ProgressPrefix), "%d/", &segment.partition); err != nil {
		r.env.log.Error("unreadable key", "key", key)
		return len(value) == 0
	}
	previous := r.progressSegments[key]
	r.replaceSegment(previous, segment)
	readable := true
	for id, progress := range doc.Jobs {
		if previous != nil && previous.jobs[id] == progress && !r.unreadable[key] {
			continue // its tasks are known already
		}
		if err := r.jobs[id].addStoredProgress(progress); err != nil {
			r.env.log.Error("unreadable progress", "job", id, "err", err)
			readable = false
		}
	}
	return readable
}

// replaceSegment replaces the last shown state of a segment, nil if there was none, in the replica and in the jobs that
// it lists.
func (r *replica) replaceSegment(previous, segment *progressSegment) {
	delete(r.progressSegments, segment.key)
	if len(segment.jobs) > 0 {
		r.progressSegments[segment.key] = segment
	}
	for id := range segment.jobs {
		r.job(id).showSegment(segment)
	}
	if previous == nil {
		return
	}
	for id := range previous.jobs {
		if _, listed := segment.jobs[id]; !listed {
			r.jobs[id].hideSegment(segment.key)
			r.dropIfUnused(r.jobs[id])
		}
	}
}

// compareKey orders segments by their keys.
func (s *progressSegment) compareKey(key string) int { return strings.Compare(s.key, key) }

// showSegment records the latest state of a segment that has a part of the job's progress.
func (j *job) showSegment(segment *progressSegment) {
	i, found := slices.BinarySearchFunc(j.progressSegments, segment.key, (*progressSegment).compareKey)
	if found {
		j.progressSegments[i] = segment
	} else {
		j.progressSegments = slices.Insert(j.progressSegments, i, segment)
	}
}

// hideSegment records that a segment no longer has a part of the job's progress.
func (j *job) hideSegment(key string) {
	j.progressSegments = slices.DeleteFunc(j.progressSegments, func(segment *progressSegment) bool { return segment.key == key })
}

// addStoredProgress adds the progress that a segment stores for the job. While a part of it is being moved to another
// segment, it is in both, and the progress in either is valid.
func (j *job) addStoredProgress(progress schema.JobProgress) error {
	stored, err := schema.ParseTaskSet(progress.DoneRanges)
	if err != nil {
		return fmt.Errorf("progress of %s: %w", j.id, err)
	}
	j.activeCount = -1
	j.invalidateOccupancies()
	j.done = j.done.Union(stored)
	if progress.Samples >= j.storedAverageCount {
		j.storedAverage, j.storedAverageCount = units.FromSeconds(progress.AverageSeconds), progress.Samples
	}
	for n := range j.unstoredCompletions {
		if stored.Contains(n) {
			delete(j.unstoredCompletions, n)
		}
	}
	return nil
}

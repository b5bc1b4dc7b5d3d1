package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// progressSegment is a document of jobs' progress.
type progressSegment struct {
	key       string
	partition int
	size      int // of the stored value
	jobs      map[string]schema.JobProgress
}

// job finds what is known of a job, or begins to know it.
func (r *replica) job(id string) *job {
	j := r.jobs[id]
	if j == nil {
		j = &job{id: id, bindings: map[int]binding{}, activeCount: -1, maxGaps: &r.maxProgressGaps}
		r.jobs[id] = j
	}
	return j
}

// dropIfUnused forgets a job of which nothing is left in the store.
func (r *replica) dropIfUnused(j *job) {
	if !j.accepted && !j.cancellationShown && j.progressSegment == nil && len(j.bindings) == 0 {
		delete(r.jobs, j.id)
	}
}

// applyCancellation notes that a job is cancelled, or that it has been removed since.
func (r *replica) applyCancellation(id string, deleted bool) {
	j := r.job(id)
	j.cancellationShown = !deleted
	j.forgetOccupancies()
	if deleted {
		r.dropIfUnused(j)
		return
	}
	r.observer.jobCancelled(id)
}

// applyJobShard takes a job shard's new contents; none when it was deleted.
func (r *replica) applyJobShard(s *jobShard, value json.RawMessage) {
	var doc schema.JobShard
	if len(value) > 0 && !r.env.decode(s.key, value, &doc) {
		return
	}
	r.jobsByAge = nil
	previous := s.jobIDs
	s.jobIDs, s.size, s.splitCount = make([]string, 0, len(doc.Jobs)), len(value), doc.ShardCount
	r.growJobShards(doc.ShardCount)
	r.jobShardCounts = withShardCount(r.jobShardCounts, doc.ShardCount)
	listed := make(map[string]bool, len(doc.Jobs))
	for i := range doc.Jobs {
		spec := &doc.Jobs[i]
		s.jobIDs = append(s.jobIDs, spec.ID)
		listed[spec.ID] = true
		r.acceptJob(spec)
	}
	for _, id := range previous {
		if !listed[id] && !r.jobMovedToSplit(s, id) {
			r.removeJob(id)
		}
	}
}

// acceptJob enters a job that a job shard lists, if it is not known as accepted yet.
func (r *replica) acceptJob(spec *schema.Job) {
	j := r.job(spec.ID)
	if j.accepted {
		return
	}
	j.spec, j.accepted = *spec, true
	j.partition = r.env.partitionOf(spec.Team)
	j.forgetOccupancies()
	r.observer.jobAccepted(j)
}

// removeJob takes a job out that no job shard lists any more.
func (r *replica) removeJob(id string) {
	j := r.jobs[id]
	if j == nil {
		return
	}
	j.accepted = false
	j.forgetOccupancies()
	r.observer.jobRemoved(j)
	r.dropIfUnused(j)
}

// jobMovedToSplit reports whether a job that a job shard lists no more went with a part that was
// split off. That part is shown next, if it has not been shown yet.
func (r *replica) jobMovedToSplit(from *jobShard, id string) bool {
	if r.jobs[id] == nil || from.splitCount == 0 || schema.JobShardIndex(id, from.splitCount) == from.number {
		return false
	}
	to := r.jobShards[schema.JobShardIndex(id, from.splitCount)]
	if slices.Contains(to.jobIDs, id) {
		return true
	}
	if r.revisions[to.key] >= r.revisions[from.key] {
		return false // it has left that part since
	}
	to.jobIDs = append(to.jobIDs, id)
	return true
}

// applyProgressSegment takes a progress segment's new contents; none when it was deleted.
func (r *replica) applyProgressSegment(key string, value json.RawMessage) {
	var doc schema.ProgressSegment
	if len(value) > 0 && !r.env.decode(key, value, &doc) {
		return
	}
	previous := r.progressSegments[key]
	segment := &progressSegment{key: key, size: len(value), jobs: doc.Jobs}
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, schema.ProgressPrefix), "%d/", &segment.partition); err != nil {
		r.env.log.Error("unreadable key", "key", key)
		return
	}
	delete(r.progressSegments, key)
	if len(doc.Jobs) > 0 {
		r.progressSegments[key] = segment
	}
	for id, progress := range doc.Jobs {
		j := r.job(id)
		j.progressSegment = segment
		if err := j.addStoredProgress(progress); err != nil {
			r.env.log.Error("unreadable progress", "job", id, "err", err)
		}
	}
	if previous == nil {
		return
	}
	for id := range previous.jobs {
		if j := r.jobs[id]; j != nil && j.progressSegment == previous {
			j.progressSegment = nil
			r.dropIfUnused(j)
		}
	}
}

// addStoredProgress adds what a progress segment says of the job. A job that is being moved to
// another segment stands in both for a while, and what either says is true.
func (j *job) addStoredProgress(progress schema.JobProgress) error {
	if j.storedRanges == progress.DoneRanges {
		return nil
	}
	stored, err := schema.ParseTaskSet(progress.DoneRanges)
	if err != nil {
		return fmt.Errorf("progress of %s: %w", j.id, err)
	}
	j.activeCount = -1
	j.forgetOccupancies()
	j.done, j.storedRanges = j.done.Union(stored), progress.DoneRanges
	j.allDone = j.allDone.Union(j.done)
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

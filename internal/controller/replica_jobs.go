package controller

import (
	"encoding/json"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// job returns the record of a job, and creates an empty one if there is none.
func (r *replica) job(id string) *job {
	j := r.jobs[id]
	if j == nil {
		j = &job{id: id, bindings: map[int]binding{}, activeCount: -1}
		r.jobs[id] = j
	}
	return j
}

// dropIfUnused deletes the record of a job that has nothing left in the store.
func (r *replica) dropIfUnused(j *job) {
	if !j.accepted && !j.cancellationShown && len(j.progressSegments) == 0 && len(j.bindings) == 0 {
		delete(r.jobs, j.id)
	}
}

// applyCancellation records that a job is cancelled, or that its cancellation document was deleted.
func (r *replica) applyCancellation(id string, deleted bool) {
	j := r.job(id)
	j.cancellationShown = !deleted
	j.invalidateOccupancies()
	if deleted {
		r.dropIfUnused(j)
		return
	}
	r.observer.jobCancelled(id)
}

// applyJobShard applies a job shard's new contents, and reports whether they are readable. A deleted shard
// still owns its names, but lists no jobs.
func (r *replica) applyJobShard(s *jobShard, value json.RawMessage, revision uint64) bool {
	doc := schema.JobShard{ShardCount: s.shardCount}
	if len(value) > 0 {
		doc.ShardCount = 0
		if !r.env.decode(s.key, value, &doc) {
			return false
		}
	}
	delete(r.unreadable, s.key) // before the jobs that wait for the shard are located
	r.jobsByAge = nil
	previousIDs := r.detachJobs(s)
	s.jobIDs, s.size, s.shardCount, s.revision = make([]string, 0, len(doc.Jobs)), len(value), doc.ShardCount, revision
	r.jobDirectory.noteCount(s.number, doc.ShardCount)
	for i := range doc.Jobs {
		if spec := &doc.Jobs[i]; !r.jobDirectory.isStale(spec.ID, s.number, revision) {
			r.attachJob(spec, s)
		}
	}
	r.locateJobs(previousIDs)
	if len(r.unlocatedJobs) > 0 {
		r.locateJobs(slices.Sorted(maps.Keys(r.unlocatedJobs)))
	}
	return true
}

// detachJobs removes all jobs from a shard's list, and returns their ids.
func (r *replica) detachJobs(s *jobShard) []string {
	for _, id := range s.jobIDs {
		r.jobs[id].shard = nil
	}
	return s.jobIDs
}

// attachJob adds a job to the list of the job shard whose document contains it.
func (r *replica) attachJob(spec *schema.Job, s *jobShard) {
	j := r.job(spec.ID)
	if j.shard != nil && j.shard != s {
		j.shard.jobIDs = slices.DeleteFunc(j.shard.jobIDs, func(id string) bool { return id == j.id })
	}
	if j.shard != s { // ignores a duplicate in the document
		s.jobIDs = append(s.jobIDs, j.id)
	}
	j.shard = s
	delete(r.unlocatedJobs, j.id)
	if !j.accepted {
		r.acceptJob(j, spec)
	}
}

// acceptJob adds a job to the accepted jobs.
func (r *replica) acceptJob(j *job, spec *schema.Job) {
	j.spec, j.accepted, j.removedFromShard = *spec, true, false
	j.partition = r.env.partitionOf(spec.Team)
	j.invalidateOccupancies()
	r.observer.jobAccepted(j)
}

// locateJobs handles accepted jobs that no job shard lists at present: a job is over if the shard that
// owns its id has been shown, and waits for that shard if not.
func (r *replica) locateJobs(ids []string) {
	for _, id := range ids {
		j := r.jobs[id]
		if j == nil || !j.accepted || j.shard != nil {
			continue
		}
		if owner, shown := r.jobDirectory.owner(id); shown {
			r.jobDirectory.noteRemoved(id, r.jobShards.find(owner).revision)
			r.removeJob(j)
		} else {
			r.unlocatedJobs[id] = true
		}
	}
}

// removeJob removes a job that has left its shard from the accepted jobs. Its outcome was stored before
// it was removed from the shard, or in the same transaction.
func (r *replica) removeJob(j *job) {
	j.accepted, j.removedFromShard = false, true
	delete(r.unlocatedJobs, j.id)
	j.invalidateOccupancies()
	r.observer.jobRemoved(j)
	r.dropIfUnused(j)
}

// provenOver reports whether a job that is not among the accepted jobs is known to be over, rather than
// just not shown yet. The absence of its id alone proves nothing. The job is over if
//   - the shard that owns the id was shown, and no longer lists it, or
//   - its outcome "done" is known (a cancelled job may still have tasks, and leaves its shard only when
//     their entries are gone), or
//   - the replica is complete as of enteredRevision, at which one of its tasks already had an entry. A
//     task is entered only while its job is accepted, so the job has left since.
func (r *replica) provenOver(id string, enteredRevision uint64) bool {
	j := r.jobs[id]
	if j != nil && (j.accepted || j.removedFromShard) {
		return j.removedFromShard
	}
	if outcome, known := r.outcomes.get(id); known && outcome.State == StageDone {
		return true
	}
	_, shown := r.jobDirectory.owner(id)
	return shown && r.complete() && enteredRevision <= r.watchRevision
}

// provesNeverAccepted reports whether a job that has no outcome and is not among the accepted jobs was never
// accepted. A complete replica has been shown every document; one that is not readable may list the job.
func (r *replica) provesNeverAccepted(id string) bool {
	_, shown := r.jobDirectory.owner(id)
	return shown
}

// knownCancelled reports whether a job is known to be cancelled, even if it is not shown as accepted.
func (r *replica) knownCancelled(id string) bool {
	if j := r.jobs[id]; j != nil && j.cancelled() {
		return true
	}
	outcome, known := r.outcomes.get(id)
	return known && outcome.State == StageCancelled
}

package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// progressFlushPeriod is how long the storing of a job's progress may be delayed while write credit is
// scarce or tasks wait for capacity. The delay loses nothing, since no entry is released before its
// task's completion is stored.
const progressFlushPeriod = 20 * units.Second

// finishJobs stores outcomes and progress of the partition's jobs, and removes the jobs that are over.
func (p *plan) finishJobs(jobs []*job) {
	reserved := p.budget.jointLeft() - p.budget.jointLeft()/2 // half is left for tasks that wait to start
	p.removeFinished(jobs, reserved)
	p.storeProgressOf(jobs, reserved)
}

// removeFinished removes the jobs that may be forgotten, each together with its outcome. Jobs that were
// cancelled by a dependency are removed only while more than the reserved joint changes are left.
func (p *plan) removeFinished(jobs []*job, reserved int) {
	for _, j := range jobs {
		if p.commits.isInFlight(schema.OutcomePrefix + j.id) {
			continue
		}
		outcome, _ := p.replica.outcomes.get(j.id)
		reason := j.facts(outcome).MayForget()
		if reason == guard.KeepJob || !p.canRemoveJob(j) || reason == guard.ForgetCancelledByDependency && p.budget.jointLeft() <= reserved {
			continue
		}
		p.audit.countForgotten(reason)
		switch reason {
		case guard.ForgetCancelled:
			p.removeCancelled(j)
		case guard.ForgetCancelledByDependency:
			p.storeDerivedCancellation(j)
		case guard.KeepJob: // skipped above
		case guard.ForgetCompleted:
			p.storeCompletion(j)
		}
	}
}

// removeCancelled removes a cancelled job and its cancellation document. The job's outcome was stored
// together with that document.
func (p *plan) removeCancelled(j *job) {
	key := schema.CancellationPrefix + j.id
	p.removeJob(j)
	p.addJoint(kv.Operation{Delete: key}, p.replica.revisions[key])
}

// storeCompletion stores the outcome of a job whose tasks are all done, and removes the job. The outcome
// is written only if there is none, so the first write decides between done and cancelled.
func (p *plan) storeCompletion(j *job) {
	outcome := schema.Outcome{State: StageDone, TasksDone: j.spec.Tasks, RecordedAt: int64(p.unixTime), WriteTag: p.writeTag}
	p.addJoint(kv.Operation{Set: schema.OutcomePrefix + j.id, Value: encode(outcome)}, 0)
	p.removeJob(j)
}

// storeDerivedCancellation stores the outcome of a job that was cancelled by a dependency, and removes the
// job. Such a job never had a task.
func (p *plan) storeDerivedCancellation(j *job) {
	p.removeJob(j)
	if _, stored := p.replica.outcomes.get(j.id); stored {
		return // another controller has also accepted the job, as cancelled, and stored its outcome
	}
	outcome := schema.Outcome{
		State: StageCancelled, RecordedAt: int64(p.unixTime), CancelledBy: j.dependency.CancelledBy(), WriteTag: p.writeTag,
	}
	p.addJoint(kv.Operation{Set: schema.OutcomePrefix + j.id, Value: encode(outcome)}, 0)
}

// canRemoveJob reports whether the changes that remove a job fit into the plan.
func (p *plan) canRemoveJob(j *job) bool {
	const outcomeBytes = 300 // upper estimate of a stored outcome
	shard := j.shard
	if shard == nil { // the replica does not yet show the job shard that the job moved to
		return false
	}
	changes, bytes := 1, outcomeBytes
	if p.joint.removedJobs[shard] == nil {
		changes++
		bytes += shard.size
	}
	return p.budget.jointLeft() >= changes && p.budget.bytes >= bytes &&
		!p.commits.isInFlight(shard.key) && p.canShorten(shard, j)
}

// canShorten reports whether the store accepts a job shard's document without a job and without those that
// this plan removes anyway: it may have become too long to be written when the limits were announced.
func (p *plan) canShorten(shard *jobShard, j *job) bool {
	if shard.size <= p.store.limits.maxValueBytes() {
		return true
	}
	without := map[string]bool{j.id: true}
	maps.Copy(without, p.joint.removedJobs[shard])
	return len(encode(p.replica.jobShardDocument(shard, without))) <= p.store.limits.acceptedValueBytes()
}

// removeJob removes a job from its job shard; its outcome is stored already, or in the same transaction.
// The job's progress is removed by this plan if write credit is plentiful, else when its segment is next
// written.
func (p *plan) removeJob(j *job) {
	shard := j.shard
	if p.joint.removedJobs[shard] == nil {
		p.joint.removedJobs[shard] = map[string]bool{}
		p.budget.takeJoint()
		p.budget.takeBytes(shard.size)
	}
	p.joint.removedJobs[shard][j.id] = true
	for _, segment := range j.progressSegments {
		if p.mayRemoveProgress(segment) {
			p.progress.remove(j, segment)
		}
	}
}

// mayRemoveProgress reports whether this plan can remove the progress of a job that it removes from a segment.
func (p *plan) mayRemoveProgress(segment *progressSegment) bool {
	if p.commits.isInFlight(segment.key) || p.oversized(segment) {
		return false
	}
	return p.progress.isStaged(segment) ||
		p.budget.jointLeft() > 2 && p.budget.hasBytesFor(segment.size) && p.writes.plentiful()
}

// storeProgressOf stores the progress of jobs whose flush period is over, while more than the reserved
// joint changes are left, and of jobs whose segment is written anyway.
func (p *plan) storeProgressOf(jobs []*job, reserved int) {
	flushPeriod := progressFlushPeriod
	if p.writes.plentiful() && !anyWaiting(p.replica.sortedJobs()) {
		flushPeriod = 0
	}
	var unstored []*job
	for _, j := range jobs {
		if len(j.unstoredCompletions) == 0 || j.cancelled() || j.doneCount() == j.spec.Tasks {
			continue
		}
		if j.progressWrittenAt == 0 {
			j.progressWrittenAt = p.now
		}
		unstored = append(unstored, j)
		if p.now-j.progressWrittenAt >= flushPeriod && p.budget.jointLeft() > reserved {
			p.storeProgress(j, func(part *progressPart) bool {
				return !p.progress.isStaged(part.segment) && p.budget.jointLeft() > reserved
			})
		}
	}
	for _, j := range unstored {
		if p.progress.anyStaged(j) {
			p.storeProgress(j, func(part *progressPart) bool { return p.progress.isStaged(part.segment) })
		}
	}
}

// storeProgress stores the eligible parts of a job's progress for which the plan has space. A flush is over when as many
// completions are stored as were not stored when it began; until then the next plans go on with it.
func (p *plan) storeProgress(j *job, eligible func(part *progressPart) bool) {
	staged, total := 0, 0
	for _, part := range p.partsToStore(j) {
		total += part.unstored.Len()
		if !p.progress.alreadyStored(j, &part) && eligible(&part) {
			staged += p.progress.storePart(j, &part)
		}
	}
	if staged == 0 {
		return
	}
	p.joint.saveRuns(j)
	if j.flushLeft == 0 {
		j.flushLeft = total
	}
	j.flushLeft = max(0, min(total, j.flushLeft)-staged)
	if j.flushLeft == 0 {
		j.progressWrittenAt = p.now
	}
}

// anyWaiting reports whether tasks of the jobs wait for capacity. Progress is stored less often then:
// each change that stores progress leaves one change less for giving the capacity of completed tasks to
// waiting ones, here or at another controller, which may use the credit left over. With short tasks,
// storing progress as usual would take most of all changes.
func anyWaiting(jobs []*job) bool {
	return slices.ContainsFunc(jobs, func(j *job) bool { return !j.cancelled() && j.waiting() > 0 })
}

// plentiful reports whether more than half of the maximum write credit is available.
func (b *writeBudget) plentiful() bool { return b.credit > b.maxCredit/2 }

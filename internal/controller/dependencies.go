package controller

import (
	"net/http"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Jobs that wait for other jobs. What an end is, only the state service says: a job starts
// when all that it needs have a stored end that is "done". Its cancellation is derived from
// the stored end of any job that it needs, directly or through others; so one write cancels a
// chain, and no order of crashes or late submissions leaves a link behind. The jobs' own ends
// are written afterwards.

// dagOutcome is a stored end as the chains see it.
func dagOutcome(f schema.Outcome) dag.Outcome {
	end := dag.Outcome{State: dag.Cancelled, At: units.Micros(f.RecordedAt)}
	if f.State == StageDone {
		end.State = dag.Done
	}
	return end
}

// learnOutcome takes a stored end, which never changes.
func (c *Controller) learnOutcome(id string, f schema.Outcome) {
	c.replica.outcomes.put(id, f)
	c.propagateOutcome(id, dagOutcome(f))
}

// propagateOutcome passes an end on to the jobs that need the one that is over.
func (c *Controller) propagateOutcome(id string, end dag.Outcome) {
	cancelled, ready := c.replica.dependencies.RecordOutcome(id, end)
	if j := c.replica.jobs[id]; j != nil {
		j.forgetOccupancies()
	}
	c.cancelDependents(cancelled)
	if len(ready) > 0 {
		c.log.Info("dependencies done", "jobs", ready, "after", id)
		c.planNeeded = true
	}
}

// cancelDependents notes that jobs are cancelled because of one that they need.
func (c *Controller) cancelDependents(ids []string) {
	for _, id := range ids {
		if j := c.replica.jobs[id]; j != nil && j.accepted {
			j.forgetOccupancies()
		}
	}
	if len(ids) > 0 {
		c.log.Info("jobs cancelled by dependency", "jobs", ids)
		c.planNeeded = true
	}
}

// addToGraph enters an accepted job among the chains.
func (c *Controller) addToGraph(j *job) {
	r := c.replica
	entry := dag.Job{ID: j.id, Needs: j.spec.Needs, Priority: j.spec.Priority}
	if j.spec.DeadlineSeconds > 0 {
		entry.DueAt = units.Micros(j.spec.AcceptedAt) + units.FromSeconds(j.spec.DeadlineSeconds)
	}
	cancelled := r.dependencies.Add(entry, func(id string) (dag.Outcome, bool) {
		f, ok := r.outcomes.get(id)
		return dagOutcome(f), ok
	})
	j.dependency = r.dependencies.Node(j.id)
	if j.cancellationShown { // it was shown before the job itself
		c.propagateOutcome(j.id, dag.Outcome{State: dag.Cancelled})
	}
	c.cancelDependents(cancelled)
}

// removeFromGraph takes a job out that is over.
func (c *Controller) removeFromGraph(j *job) {
	c.replica.dependencies.Remove(j.id)
	j.dependency = nil
}

// eligibleSince is from when on a job counts as waiting for room: its submission, or the moment when
// the last job that it needs was done.
func (j *job) eligibleSince() units.Micros {
	return max(units.Micros(j.spec.AcceptedAt), j.dependency.ReadyAt())
}

// priority is the job's priority: the highest of its own and those of all jobs that need it.
func (j *job) priority() int {
	if j.dependency == nil {
		return j.spec.Priority
	}
	return j.dependency.Priority()
}

// blocked reports whether a job waits for others, so that it wants nothing for now.
func (j *job) blocked() bool { return !j.cancelled() && !j.dependency.Ready() }

// maxOutcomeReads is how many ends are read at once for jobs that need them.
const maxOutcomeReads = 4

// readMissingOutcomes reads ends that jobs wait for and that this copy does not have: a copy holds the
// ends that it was shown since it was loaded, and not all of those.
func (c *Controller) readMissingOutcomes() {
	r := c.replica
	if !r.synced || c.store.failing || len(c.outcomeReads.inFlight) >= maxOutcomeReads {
		return
	}
	for _, id := range r.dependencies.Unresolved(2 * maxOutcomeReads) {
		if !c.outcomeReads.inFlight[id] && c.outcomeReads.period.due(c.now, c.store.requestInterval(0.2)) {
			c.readOutcome(id)
		}
	}
}

// readOutcome reads one.
func (c *Controller) readOutcome(id string) {
	c.outcomeReads.inFlight[id] = true
	c.fetchOutcome(id, func(lookup outcomeLookup, _ schema.Outcome) {
		if lookup == outcomeFound {
			delete(c.outcomeReads.inFlight, id)
			return
		}
		// Not over after all, and soon shown among the accepted ones; or no answer.
		c.after(units.Second, func() { delete(c.outcomeReads.inFlight, id) })
	})
}

// outcomeLookup is what a read of a job's outcome has shown.
type outcomeLookup int

const (
	outcomeUndecided outcomeLookup = iota // it can't be told now
	outcomeFound
	outcomeNone // the job has none
)

// fetchOutcome reads a job's outcome from the store.
func (c *Controller) fetchOutcome(id string, then func(lookup outcomeLookup, f schema.Outcome)) {
	key := schema.OutcomePrefix + id
	c.store.call(kv.Request{Kind: kv.Get, Key: key}, func(r kv.Response) {
		var f schema.Outcome
		switch {
		case r.Status == kv.StatusOK && c.decode(key, r.Value, &f):
			c.learnOutcome(id, f)
			then(outcomeFound, f)
		case r.Status == kv.StatusNotFound:
			then(outcomeNone, f)
		default:
			then(outcomeUndecided, f)
		}
	})
}

// learnConflictingOutcomes reads the ends among the documents that failed a transaction, unless they are known.
// That the copy does not show an end is no proof that there is none: a batch that went by it
// was refused again and again, and its partition stored nothing more.
func (c *Controller) learnConflictingOutcomes(failed []string) {
	for _, key := range failed {
		id, isEnd := strings.CutPrefix(key, schema.OutcomePrefix)
		if _, known := c.replica.outcomes.get(id); isEnd && !known {
			c.fetchOutcome(id, func(outcomeLookup, schema.Outcome) {})
		}
	}
}

// dependencyCheck is what became of the jobs that a submission names.
type dependencyCheck struct {
	open        []string // not over
	cancelledBy string   // one that is cancelled; empty: none is
	rejection   string   // why the submission can't be accepted; empty: it can
	undecided   bool     // it can't be decided now
}

// checkDependencies finds out what became of the jobs that a submission names. The copy must be as
// recent as the submission. A job that is not among the accepted ones then is over, and has
// an end, or was never accepted: users name a job the moment another controller has accepted
// it.
func (c *Controller) checkDependencies(id string, names []string, then func(dependencyCheck)) {
	result := dependencyCheck{}
	var ask []string
	for _, name := range names {
		j := c.replica.jobs[name]
		f, over := c.replica.outcomes.get(name)
		switch {
		case name == id:
			result.rejection = "waitsOn: " + name + ": a job can't wait for itself"
		case over:
			result.addOutcome(name, f)
		case j != nil && j.accepted && j.spec.Service:
			result.rejection = "waitsOn: " + name + ": a service is never done"
		case j != nil && j.accepted && j.cancelled():
			result.cancelledBy = name
		case j != nil && j.accepted:
			result.open = append(result.open, name)
		default:
			ask = append(ask, name)
		}
	}
	c.fetchOutcomes(ask, &result, func() { then(result) })
}

// addOutcome notes the end of a named job.
func (n *dependencyCheck) addOutcome(name string, f schema.Outcome) {
	if dagOutcome(f).State == dag.Cancelled {
		n.cancelledBy = name
	}
}

// fetchOutcomes reads the ends of named jobs, a few at a time. What was read stays known, so that a
// repeated submission goes on where this one was given up.
func (c *Controller) fetchOutcomes(names []string, result *dependencyCheck, then func()) {
	if len(names) == 0 || result.rejection != "" || result.undecided {
		then()
		return
	}
	now := names[:min(len(names), maxOutcomeReads)]
	rest := names[len(now):]
	left := len(now)
	for _, name := range now {
		c.fetchOutcome(name, func(lookup outcomeLookup, f schema.Outcome) {
			switch lookup {
			case outcomeFound:
				result.addOutcome(name, f)
			case outcomeNone:
				result.rejection = "waitsOn: " + name + ": no such job was accepted"
			default:
				result.undecided = true
			}
			if left--; left == 0 {
				c.fetchOutcomes(rest, result, then)
			}
		})
	}
}

// admitSubmission takes a submission that can run, after the jobs that it names have been looked up.
func (c *Controller) admitSubmission(q UserRequest) {
	if len(q.Job.Needs) == 0 {
		c.queueAccept(q)
		return
	}
	if !c.chainsEnabled() { // a process of the version before would lose what it waits for
		c.answerUser(q.RequestID, http.StatusServiceUnavailable, nil)
		return
	}
	c.checkDependencies(q.JobID, q.Job.Needs, func(n dependencyCheck) {
		switch {
		case n.rejection != "":
			c.answerUser(q.RequestID, http.StatusUnprocessableEntity, map[string]string{"error": n.rejection})
		case n.undecided:
			c.answerUser(q.RequestID, http.StatusServiceUnavailable, nil)
		case n.cancelledBy != "":
			c.acceptCancelled(q, n.cancelledBy)
		default:
			q.Job.Needs = slices.Clone(n.open) // a stored end never changes: those that are done need no mention
			c.queueAccept(q)
		}
	})
}

// acceptCancelled accepts a job that needs a cancelled one: all that is stored of it is its end.
func (c *Controller) acceptCancelled(q UserRequest, because string) {
	mark := c.commits.newWriteTag()
	f := schema.Outcome{State: StageCancelled, RecordedAt: int64(c.timeOfDay), CancelledBy: because, WriteTag: mark}
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: schema.OutcomePrefix + q.JobID}},
		Operations: []kv.Operation{{Set: schema.OutcomePrefix + q.JobID, Value: encode(f)}},
	}
	c.commits.commit(txn, mark, func(res commitOutcome, _ uint64, _ []string) {
		switch res {
		case commitApplied:
			c.answerUser(q.RequestID, http.StatusCreated, outcomeStatus(q.JobID, f))
		case commitConflict: // it is over already
			c.currentStatus(q.JobID, func(st *JobStatus, ok bool) { c.answerKnownJob(q.RequestID, st, ok) })
		default:
			c.answerUser(q.RequestID, http.StatusServiceUnavailable, nil)
		}
	})
}

// storeDerivedCancellation stores the end of a job that is cancelled because of another, at leisure, and
// clears it away. It never had a task.
func (b *plan) storeDerivedCancellation(j *job) {
	b.removeJob(j)
	if _, stored := b.c.replica.outcomes.get(j.id); stored {
		return // accepted as cancelled by another controller, beside this entry
	}
	f := schema.Outcome{State: StageCancelled, RecordedAt: int64(b.c.timeOfDay), CancelledBy: j.dependency.CancelledBy(), WriteTag: b.writeTag}
	b.addJoint(kv.Operation{Set: schema.OutcomePrefix + j.id, Value: encode(f)}, 0)
}

// outcomeReads are reads of outcomes that jobs depend on and that the replica lacks.
type outcomeReads struct {
	inFlight map[string]bool
	period   period
}

func newOutcomeReads() outcomeReads { return outcomeReads{inFlight: map[string]bool{}} }

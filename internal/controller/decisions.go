package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
)

// What may be started, stopped, released, forgotten and answered is decided here and nowhere
// else, from facts alone, and each decision has its reason. That something is absent from the
// copy is never by itself the reason: an end is, or a report, or the end of a lease.

// taskFacts is what is known of a task that is entered on a machine, and of its job.
type taskFacts struct {
	accepted         bool // the job is among the accepted ones
	cancelled        bool // the job is, itself or because of one that it needs
	dependenciesDone bool // all jobs that it needs have a stored end "done"
	completed        bool // the task is, as far as this controller knows
	completionStored bool // its completion is stored
	stopRequested    bool // its entry says that it is to be stopped
}

// taskFactsOf gathers the facts of an entry.
func (c *Controller) taskFactsOf(t schema.Task) taskFacts {
	j := c.replica.jobs[t.Job]
	if j == nil || !j.accepted {
		return taskFacts{}
	}
	return taskFacts{
		accepted: true, cancelled: j.cancelled(), dependenciesDone: j.dependency.Ready(), completed: j.isDone(t.Index),
		completionStored: j.done.Contains(t.Index), stopRequested: t.StopMode > 0,
	}
}

// stopReason is why a task must not run on a machine on which it is entered.
type stopReason string

const (
	keepRunning         stopReason = ""
	stopNotAccepted     stopReason = "job is over"
	stopCancelled       stopReason = "job is cancelled"
	stopCompleted       stopReason = "task is completed"
	stopRequestedByPlan stopReason = "requested by plan"
)

// mustStop tells whether the task must not run where it is entered.
func (f taskFacts) mustStop() stopReason {
	switch {
	case !f.accepted:
		return stopNotAccepted
	case f.cancelled:
		return stopCancelled
	case f.stopRequested:
		return stopRequestedByPlan
	case f.completed:
		return stopCompleted
	}
	return keepRunning
}

// authority is what a controller may do at a moment.
type permissions struct {
	mayCommand bool // it owns the machine's partition, and its copy is recent enough to command
	mayStart   bool // its copy is recent enough for starts
}

// startRefusal is why a task must not be started.
type startRefusal string

const (
	startAllowed          startRefusal = ""
	startNotAuthorized    startRefusal = "not authorized"
	startReplicaTooOld    startRefusal = "replica too old"
	startDependenciesOpen startRefusal = "dependencies not done"
	startMustNotRun       startRefusal = "must not run"
)

// mayStart tells whether the task may be started now.
func (f taskFacts) mayStart(r permissions) startRefusal {
	switch {
	case f.mustStop() != keepRunning:
		return startMustNotRun
	case !f.dependenciesDone:
		return startDependenciesOpen
	case !r.mayCommand:
		return startNotAuthorized
	case !r.mayStart:
		return startReplicaTooOld
	}
	return startAllowed
}

// machineFacts is what a machine's commander knows of a task's presence there.
type machineFacts struct {
	reported       bool // the latest report has the task
	ended          bool // and says that it has ended
	tokenSeen      bool // the report shows the machine's present token
	leaseExpired   bool // the machine's session is surely over
	quiesced       bool // no command can still arrive, so that absence from a report proves something
	machineDeleted bool // the cloud has confirmed that the machine is deleted
}

// machineFactsOf gathers them for an entry of a machine that this controller commands.
func (c *Controller) machineFactsOf(m *machine, t schema.Task) machineFacts {
	piece, there := m.agent.tasks[keyOf(t)]
	return machineFacts{
		reported: there && m.agent.heardAt > 0, ended: piece.State == agent.Ended, tokenSeen: m.agent.tokenSeen == c.fencingToken(m),
		leaseExpired: c.now > m.agent.leaseEnd, quiesced: c.quiesced(m), machineDeleted: m.deleted,
	}
}

// releaseReason is why an entry may go.
type releaseReason string

const (
	keepEntry               releaseReason = ""
	releaseCompletionStored releaseReason = "completion stored"
	releaseReportedEnd      releaseReason = "reported as ended"
	releaseLeaseExpired     releaseReason = "lease expired"
	releaseProvenAbsent     releaseReason = "proven absent"
	releaseMachineDeleted   releaseReason = "machine deleted"
	releaseJobOver          releaseReason = "job is over"
)

// mayRelease tells whether the task is certainly not, or no longer, active on the machine.
func (f taskFacts) mayRelease(m machineFacts) releaseReason {
	switch {
	case m.machineDeleted:
		return releaseMachineDeleted
	case !f.accepted: // who clears a job away has stored its end with it
		return releaseJobOver
	case f.completionStored:
		return releaseCompletionStored
	case f.completed: // not stored: without the entry it would run again
		return keepEntry
	case m.leaseExpired:
		return releaseLeaseExpired
	case m.reported && m.ended && m.tokenSeen:
		// Only a report under the present token tells of an end that lasts: an older one
		// may be a late copy, and the attempt was started again in a later session.
		return releaseReportedEnd
	case m.reported:
		return keepEntry
	case f.mustStop() != keepRunning && m.quiesced:
		return releaseProvenAbsent
	}
	return keepEntry
}

// jobFacts is what the owner of a job's partition knows of it.
type jobFacts struct {
	cancelled             bool
	cancellationShown     bool // its mark is shown, and goes with it
	cancelledByDependency bool // it is cancelled because of a job that it needs
	entered               bool // tasks of it may be on machines
	completed             bool // all of its tasks are
}

func (j *job) facts(final schema.Outcome) jobFacts {
	return jobFacts{
		cancelled: j.cancelled(), cancellationShown: j.cancellationShown, cancelledByDependency: j.dependency.CancelledBy() != "" || final.CancelledBy != "",
		entered: len(j.bindings) > 0, completed: j.doneCount() == j.spec.Tasks,
	}
}

// forgetReason is why a job may leave the accepted ones; its end is stored by then.
type forgetReason string

const (
	keepJob                     forgetReason = ""
	forgetCompleted             forgetReason = "done"
	forgetCancelled             forgetReason = "cancelled"
	forgetCancelledByDependency forgetReason = "cancelled by dependency"
)

// mayForget tells whether the job may leave the accepted ones.
func (f jobFacts) mayForget() forgetReason {
	switch {
	case !f.cancelled && f.completed:
		return forgetCompleted
	case !f.cancelled || f.entered:
		return keepJob
	case f.cancellationShown:
		return forgetCancelled
	case f.cancelledByDependency:
		return forgetCancelledByDependency
	}
	return keepJob // its end is known and its mark, which was written with it, is shown next
}

// answerBasis is what an answer to a user rests on.
type answerBasis string

const (
	answerStoredOutcome  answerBasis = "stored outcome"
	answerDerivedOutcome answerBasis = "derived outcome"
	answerRecentReplica  answerBasis = "recent replica"
)

// basisOf tells what an answer with that state rests on.
func (st *JobStatus) basisOf(endStored bool) answerBasis {
	switch {
	case endStored:
		return answerStoredOutcome
	case st.Stage == StageCancelled:
		return answerDerivedOutcome
	}
	return answerRecentReplica
}

// contradicts reports whether an answer is older than an end that is stored.
func (st *JobStatus) contradicts(end schema.Outcome) bool { return st.Stage != end.State }

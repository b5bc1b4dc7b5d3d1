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
	accepted   bool // the job is among the accepted ones
	cancelled  bool // the job is, itself or because of one that it needs
	needsDone  bool // all jobs that it needs have a stored end "done"
	completed  bool // the task is, as far as this controller knows
	endStored  bool // its completion is stored
	stopMarked bool // its entry says that it is to be stopped
}

// taskFactsOf gathers the facts of an entry.
func (c *Core) taskFactsOf(t schema.Task) taskFacts {
	j := c.replica.jobs[t.Job]
	if j == nil || !j.known {
		return taskFacts{}
	}
	return taskFacts{
		accepted: true, cancelled: j.cancelled(), needsDone: j.chain.Ready(), completed: j.isDone(t.Num),
		endStored: j.done.Has(t.Num), stopMarked: t.Stop > 0,
	}
}

// stopReason is why a task must not run on a machine on which it is entered.
type stopReason string

const (
	keepRunning      stopReason = ""
	stopNotAccepted  stopReason = "job is over"
	stopCancelled    stopReason = "job is cancelled"
	stopCompleted    stopReason = "task is completed"
	stopMarkedByPlan stopReason = "its place is wanted"
)

// mustStop tells whether the task must not run where it is entered.
func (f taskFacts) mustStop() stopReason {
	switch {
	case !f.accepted:
		return stopNotAccepted
	case f.cancelled:
		return stopCancelled
	case f.stopMarked:
		return stopMarkedByPlan
	case f.completed:
		return stopCompleted
	}
	return keepRunning
}

// rights is what a controller may do at a moment.
type rights struct {
	commands bool // it owns the machine's partition, and its copy is recent enough to command
	starts   bool // its copy is recent enough for starts
}

// startRefusal is why a task must not be started.
type startRefusal string

const (
	startAllowed     startRefusal = ""
	startNotEntitled startRefusal = "not entitled"
	startCopyTooOld  startRefusal = "copy too old"
	startNeedsOpen   startRefusal = "needed jobs are not done"
	startUnwanted    startRefusal = "must not run"
)

// mayStart tells whether the task may be started now.
func (f taskFacts) mayStart(r rights) startRefusal {
	switch {
	case f.mustStop() != keepRunning:
		return startUnwanted
	case !f.needsDone:
		return startNeedsOpen
	case !r.commands:
		return startNotEntitled
	case !r.starts:
		return startCopyTooOld
	}
	return startAllowed
}

// machineFacts is what a machine's commander knows of a task's presence there.
type machineFacts struct {
	reported    bool // the latest report has the task
	ended       bool // and says that it has ended
	tokenSeen   bool // the report shows the machine's present token
	leaseOver   bool // the machine's session is surely over
	settled     bool // no command can still arrive, so that absence from a report proves something
	machineGone bool // the cloud has confirmed that the machine is deleted
}

// machineFactsOf gathers them for an entry of a machine that this controller commands.
func (c *Core) machineFactsOf(m *machine, t schema.Task) machineFacts {
	piece, there := m.rt.pieces[keyOf(t)]
	return machineFacts{
		reported: there && m.rt.heardAt > 0, ended: piece.State == agent.Ended, tokenSeen: m.rt.seen == c.token(m),
		leaseOver: c.now > m.rt.leaseEnd, settled: c.settled(m), machineGone: m.gone,
	}
}

// releaseReason is why an entry may go.
type releaseReason string

const (
	keepEntry          releaseReason = ""
	releaseEndStored   releaseReason = "end is stored"
	releaseReportedEnd releaseReason = "reported as ended"
	releaseLeaseOver   releaseReason = "lease is over"
	releaseNotThere    releaseReason = "surely not there"
	releaseMachineGone releaseReason = "machine is deleted"
	releaseJobOver     releaseReason = "job is over"
)

// mayRelease tells whether the task is certainly not, or no longer, active on the machine.
func (f taskFacts) mayRelease(m machineFacts) releaseReason {
	switch {
	case m.machineGone:
		return releaseMachineGone
	case !f.accepted: // who clears a job away has stored its end with it
		return releaseJobOver
	case f.endStored:
		return releaseEndStored
	case f.completed: // not stored: without the entry it would run again
		return keepEntry
	case m.leaseOver:
		return releaseLeaseOver
	case m.reported && m.ended && m.tokenSeen:
		// Only a report under the present token tells of an end that lasts: an older one
		// may be a late copy, and the attempt was started again in a later session.
		return releaseReportedEnd
	case m.reported:
		return keepEntry
	case f.mustStop() != keepRunning && m.settled:
		return releaseNotThere
	}
	return keepEntry
}

// jobFacts is what the owner of a job's partition knows of it.
type jobFacts struct {
	cancelled bool
	marked    bool // its mark is shown, and goes with it
	derived   bool // it is cancelled because of a job that it needs
	entered   bool // tasks of it may be on machines
	completed bool // all of its tasks are
}

func (j *job) facts(final schema.Final) jobFacts {
	return jobFacts{
		cancelled: j.cancelled(), marked: j.marked, derived: j.chain.Because() != "" || final.Because != "",
		entered: len(j.bound) > 0, completed: j.doneCount() == j.spec.Tasks,
	}
}

// forgetReason is why a job may leave the accepted ones; its end is stored by then.
type forgetReason string

const (
	keepJob         forgetReason = ""
	forgetCompleted forgetReason = "done"
	forgetCancelled forgetReason = "cancelled"
	forgetDerived   forgetReason = "cancelled with a needed job"
)

// mayForget tells whether the job may leave the accepted ones.
func (f jobFacts) mayForget() forgetReason {
	switch {
	case !f.cancelled && f.completed:
		return forgetCompleted
	case !f.cancelled || f.entered:
		return keepJob
	case f.marked:
		return forgetCancelled
	case f.derived:
		return forgetDerived
	}
	return keepJob // its end is known and its mark, which was written with it, is shown next
}

// answerBasis is what an answer to a user rests on.
type answerBasis string

const (
	answerStoredEnd  answerBasis = "stored end"
	answerDerivedEnd answerBasis = "end of a needed job"
	answerRecentCopy answerBasis = "recent copy"
)

// basisOf tells what an answer with that state rests on.
func (st *Status) basisOf(endStored bool) answerBasis {
	switch {
	case endStored:
		return answerStoredEnd
	case st.Stage == Cancelled:
		return answerDerivedEnd
	}
	return answerRecentCopy
}

// contradicts reports whether an answer is older than an end that is stored.
func (st *Status) contradicts(end schema.Final) bool { return st.Stage != end.Stage }

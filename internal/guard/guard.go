// Package guard decides, from facts alone, what a controller may do that cannot be taken back: start
// a task, stop one, release a task's entry on a machine, forget a job, answer a user. No other place
// decides any of these. Each decision has a reason that is told in the log.
//
// Invariants:
//   - A task is started only under leadership and a recent replica, when its job is accepted and not
//     cancelled, its dependencies are done, and it is neither completed nor to be stopped.
//   - A task's entry is released only when the task is certainly not active on the machine: its
//     completion is stored, the machine's heartbeat says under the present fencing token that it
//     ended, the machine's lease has expired, no command can still start it and the heartbeat lacks
//     it, or the machine is deleted.
//   - A job is forgotten only when its outcome is stored, or is written in the same transaction.
//   - A final answer to a user never contradicts a stored outcome.
//
// The absence of something from a replica proves nothing, since a replica may show documents in an order
// in which a job is in none of them for a while. A job that is not among the accepted ones is over
// only if that is proven; where it is not (NotProvenOver), its tasks are neither started nor stopped and
// their entries stay, until the replica shows the job or the proof.
//
// The package keeps no state and knows no controller: gathering the facts, and looking at effects once
// more as they leave, is the caller's part.
package guard

// TaskFacts is what is known of a task that is entered on a machine, and of its job. The zero value is
// a task whose job was accepted and is over.
type TaskFacts struct {
	Accepted         bool // the job is among the accepted ones
	NotProvenOver    bool // it is not, and nothing proves that it has left them: it may just not be shown
	Cancelled        bool // the job is, itself or because of one that it depends on
	DependenciesDone bool // all jobs that it depends on have the stored outcome "done"
	Completed        bool // the task is, as far as this controller knows
	CompletionStored bool // its completion is stored
	StopRequested    bool // its entry says that it is to be stopped
}

// StopReason is why a task must not run on a machine.
type StopReason string

// Reasons to stop a task.
const (
	KeepRunning         StopReason = ""
	StopNotAccepted     StopReason = "job is over"
	StopCancelled       StopReason = "job is cancelled"
	StopCompleted       StopReason = "task is completed"
	StopRequestedByPlan StopReason = "requested by plan"
	StopNotEntered      StopReason = "not entered" // no entry allows it to run; MustStop judges entries only
)

// MustStop tells whether the task must not run where it is entered, and why.
func (f TaskFacts) MustStop() StopReason {
	switch {
	case !f.Accepted && !f.NotProvenOver:
		return StopNotAccepted
	case f.Cancelled:
		return StopCancelled
	case f.StopRequested:
		return StopRequestedByPlan
	case f.Completed:
		return StopCompleted
	}
	return KeepRunning
}

// Permissions is what a controller may do with a machine at a moment.
type Permissions struct {
	MayCommand bool // it leads the machine's partition, and its replica is recent enough to command
	MayStart   bool // its replica is recent enough for starts
}

// StartRefusal is why a task must not be started.
type StartRefusal string

// Reasons to refuse a start.
const (
	StartAllowed          StartRefusal = ""
	StartNotAuthorized    StartRefusal = "not authorized"
	StartReplicaTooOld    StartRefusal = "replica too old"
	StartDependenciesOpen StartRefusal = "dependencies not done"
	StartMustNotRun       StartRefusal = "must not run"
	StartJobNotShown      StartRefusal = "job not shown"
)

// MayStart tells whether the task may be started now, and why not.
func (f TaskFacts) MayStart(permissions Permissions) StartRefusal {
	switch {
	case f.MustStop() != KeepRunning:
		return StartMustNotRun
	case !f.Accepted:
		return StartJobNotShown
	case !f.DependenciesDone:
		return StartDependenciesOpen
	case !permissions.MayCommand:
		return StartNotAuthorized
	case !permissions.MayStart:
		return StartReplicaTooOld
	}
	return StartAllowed
}

// MachineFacts is what the controller that commands a machine knows of a task's presence there.
type MachineFacts struct {
	Reported       bool // the latest heartbeat has the task
	Ended          bool // and says that it has ended
	TokenSeen      bool // the machine has shown its present fencing token
	LeaseExpired   bool // the machine's lease has surely expired
	Quiesced       bool // no command can still arrive, so that absence from a heartbeat proves something
	MachineDeleted bool // the cloud has confirmed that the machine is deleted
}

// ReleaseReason is why a task's entry on a machine may go.
type ReleaseReason string

// Reasons to release an entry.
const (
	KeepEntry               ReleaseReason = ""
	ReleaseCompletionStored ReleaseReason = "completion stored"
	ReleaseReportedEnd      ReleaseReason = "reported as ended"
	ReleaseLeaseExpired     ReleaseReason = "lease expired"
	ReleaseProvenAbsent     ReleaseReason = "proven absent"
	ReleaseMachineDeleted   ReleaseReason = "machine deleted"
	ReleaseJobOver          ReleaseReason = "job is over"
)

// MayRelease tells whether the task is certainly not, or no longer, active on the machine, and why.
func (f TaskFacts) MayRelease(machine MachineFacts) ReleaseReason {
	switch {
	case machine.MachineDeleted:
		return ReleaseMachineDeleted
	case !f.Accepted && f.NotProvenOver: // what is known of its completions may not be shown either
		return KeepEntry
	case !f.Accepted: // who clears a job away has stored its outcome with it
		return ReleaseJobOver
	case f.CompletionStored:
		return ReleaseCompletionStored
	case f.Completed: // not stored: without the entry it would run again
		return KeepEntry
	case machine.LeaseExpired:
		return ReleaseLeaseExpired
	case machine.Reported && machine.Ended && machine.TokenSeen:
		// Only a heartbeat under the present token tells of a completion that lasts: an older one may
		// be a late duplicate, from before the attempt was started again in a later agent epoch.
		return ReleaseReportedEnd
	case machine.Reported:
		return KeepEntry
	case f.MustStop() != KeepRunning && machine.Quiesced:
		return ReleaseProvenAbsent
	}
	return KeepEntry
}

// JobFacts is what the leader of a job's partition knows of it.
type JobFacts struct {
	Cancelled             bool
	CancellationShown     bool // its cancellation document is shown, and goes with it
	CancelledByDependency bool // it is cancelled because of a job that it depends on
	Entered               bool // tasks of it may be on machines
	Completed             bool // all of its tasks are
}

// ForgetReason is why a job may leave the accepted ones.
type ForgetReason string

// Reasons to forget a job.
const (
	KeepJob                     ForgetReason = ""
	ForgetCompleted             ForgetReason = "done"
	ForgetCancelled             ForgetReason = "cancelled"
	ForgetCancelledByDependency ForgetReason = "cancelled by dependency"
)

// MayForget tells whether the job may leave the accepted ones, and why. Its outcome is stored by then,
// or in the same transaction.
func (f JobFacts) MayForget() ForgetReason {
	switch {
	case !f.Cancelled && f.Completed:
		return ForgetCompleted
	case !f.Cancelled || f.Entered:
		return KeepJob
	case f.CancellationShown:
		return ForgetCancelled
	case f.CancelledByDependency:
		return ForgetCancelledByDependency
	}
	return KeepJob // its outcome is known, and its cancellation, written with the outcome, is shown next
}

// AnswerFacts is what is known when a user is told of a job.
type AnswerFacts struct {
	Final         bool // the answer says that the job is done or cancelled
	Cancelled     bool // the answer says that the job is cancelled
	OutcomeStored bool // an outcome of the job is stored
	Agrees        bool // and the answer says the same
}

// AnswerBasis is what a final answer to a user rests on.
type AnswerBasis string

// What answers rest on.
const (
	AnswerStoredOutcome  AnswerBasis = "stored outcome"
	AnswerDerivedOutcome AnswerBasis = "derived outcome"
	AnswerRecentReplica  AnswerBasis = "recent replica"
)

// Basis tells what the answer rests on.
func (f AnswerFacts) Basis() AnswerBasis {
	switch {
	case f.OutcomeStored:
		return AnswerStoredOutcome
	case f.Cancelled:
		return AnswerDerivedOutcome
	}
	return AnswerRecentReplica
}

// Overtaken reports whether the answer is older than an outcome that is stored: the outcome is to be
// told instead.
func (f AnswerFacts) Overtaken() bool { return f.OutcomeStored && !f.Agrees }

// Contradicts reports whether the answer breaks the invariant: it names another outcome than the
// stored one.
func (f AnswerFacts) Contradicts() bool { return f.Overtaken() && f.Final }

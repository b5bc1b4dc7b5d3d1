// Package guard decides, from facts alone, which irreversible actions a controller may take: start a
// task, stop one, release a task's entry on a machine, forget a job (remove it from the accepted jobs),
// answer a user. These decisions are made nowhere else. Each one has a reason, which is logged.
//
// Invariants:
//   - A task is started only by the leader of the machine's partition, with a recent replica, and only if
//     the job is accepted and not cancelled, the job's dependencies are done, and the task is neither
//     completed nor to be stopped.
//   - A task's entry is released only when the task is certainly not active on the machine: its
//     completion is stored, the machine's heartbeat reports under the current fencing token that the
//     task ended, the machine's lease has expired, no command can still start the task and a heartbeat that
//     lists all that earlier commands started does not list it, or the machine is deleted.
//   - A job is forgotten only when its outcome is stored, or is written in the same transaction.
//   - A final answer to a user never contradicts a stored outcome.
//
// The absence of a job from a replica proves nothing: documents may be shown in an order in which none
// of them lists the job for a while. A job that is not among the accepted jobs is over only if that is
// proven. Until the replica shows either the job or that proof (NotProvenOver), the job's tasks are neither
// started nor stopped, and their entries stay.
//
// The package keeps no state and does not depend on the controller: the caller gathers the facts, and
// checks outgoing effects a second time before they are carried out.
package guard

// TaskFacts is what is known about a task that has an entry on a machine, and about its job. The zero
// value describes a task whose job was accepted and is over.
type TaskFacts struct {
	Accepted         bool // the job is among the accepted jobs
	NotProvenOver    bool // the job is not among the accepted jobs, but not proven to be over: the replica may lack it
	Cancelled        bool // the job is cancelled, directly or because of a job that it depends on
	DependenciesDone bool // every job that the job depends on has the stored outcome "done"
	Completed        bool // the task has completed, as far as this controller knows
	CompletionStored bool // the task's completion is stored
	StopRequested    bool // the task's entry requests that it be stopped
	Superseded       bool // a later attempt of the task has an entry
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
	StopSuperseded      StopReason = "later attempt entered"
	StopNotEntered      StopReason = "not entered" // the task has no entry; never returned by MustStop, which judges entries only
)

// MustStop returns why the task must not run on the machine that it is entered on, or KeepRunning.
func (f TaskFacts) MustStop() StopReason {
	switch {
	case !f.Accepted && !f.NotProvenOver:
		return StopNotAccepted
	case f.Cancelled:
		return StopCancelled
	case f.StopRequested:
		return StopRequestedByPlan
	case f.Superseded:
		return StopSuperseded
	case f.Completed:
		return StopCompleted
	}
	return KeepRunning
}

// Permissions is what a controller may do with a machine at the time of the decision.
type Permissions struct {
	MayCommand bool // it leads the machine's partition, and its replica is recent enough to send commands
	MayStart   bool // its replica is recent enough to start tasks
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

// MayStart returns why the task must not be started now, or StartAllowed.
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

// MachineFacts is what the controller that commands a machine knows about a task's presence on it.
type MachineFacts struct {
	Reported       bool // the latest heartbeat lists the task
	Ended          bool // the latest heartbeat reports that the task has ended
	TokenSeen      bool // the latest heartbeat shows the machine's current fencing token
	LeaseExpired   bool // the machine's lease has certainly expired
	Quiesced       bool // no command can still arrive, and the latest heartbeat lists what earlier ones started
	MachineDeleted bool // the cloud has confirmed that the machine is deleted
}

// ReleaseReason is why a task's entry on a machine may be released.
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

// MayRelease returns why the task is certainly not, or no longer, active on the machine, or KeepEntry.
func (f TaskFacts) MayRelease(machine MachineFacts) ReleaseReason {
	switch {
	case machine.MachineDeleted:
		return ReleaseMachineDeleted
	case !f.Accepted && f.NotProvenOver: // the replica may lack the job's completions as well
		return KeepEntry
	case !f.Accepted: // a job is removed only with or after its stored outcome
		return ReleaseJobOver
	case f.CompletionStored:
		return ReleaseCompletionStored
	case f.Completed: // the completion is not stored: without the entry the task would run again
		return KeepEntry
	case machine.LeaseExpired:
		return ReleaseLeaseExpired
	case machine.Reported && machine.Ended && machine.TokenSeen:
		// Only a heartbeat under the current token proves that the task has ended for good: an older one
		// may be a late duplicate, from before the attempt was started again in a later agent epoch.
		return ReleaseReportedEnd
	case machine.Reported:
		return KeepEntry
	case f.MustStop() != KeepRunning && machine.Quiesced:
		return ReleaseProvenAbsent
	}
	return KeepEntry
}

// JobFacts is what the leader of a job's partition knows about the job.
type JobFacts struct {
	Cancelled             bool
	CancellationShown     bool // the replica shows its cancellation document, which is deleted with the job
	CancelledByDependency bool // it is cancelled because of a job that it depends on
	HasEntries            bool // some of its tasks may be on machines: they have entries, stored or about to be stored
	Completed             bool // all of its tasks have completed
}

// ForgetReason is why a job may be removed from the accepted jobs.
type ForgetReason string

// Reasons to forget a job.
const (
	KeepJob                     ForgetReason = ""
	ForgetCompleted             ForgetReason = "done"
	ForgetCancelled             ForgetReason = "cancelled"
	ForgetCancelledByDependency ForgetReason = "cancelled by dependency"
)

// MayForget returns why the job may be removed from the accepted jobs, or KeepJob. Its outcome is
// stored by then, or is written in the same transaction.
func (f JobFacts) MayForget() ForgetReason {
	switch {
	case !f.Cancelled && f.Completed:
		return ForgetCompleted
	case !f.Cancelled || f.HasEntries:
		return KeepJob
	case f.CancellationShown:
		return ForgetCancelled
	case f.CancelledByDependency:
		return ForgetCancelledByDependency
	}
	return KeepJob // the outcome is known, but the cancellation document, written with it, is not shown yet
}

// AnswerFacts is what is known about an answer that states a job's status to a user.
type AnswerFacts struct {
	Final         bool // the answer says that the job is done or cancelled
	Cancelled     bool // the answer says that the job is cancelled
	OutcomeStored bool // an outcome of the job is stored
	Agrees        bool // the answer agrees with the stored outcome
}

// AnswerBasis is the evidence that an answer to a user rests on.
type AnswerBasis string

// Possible bases of an answer.
const (
	AnswerStoredOutcome  AnswerBasis = "stored outcome"
	AnswerDerivedOutcome AnswerBasis = "derived outcome"
	AnswerRecentReplica  AnswerBasis = "recent replica"
)

// Basis returns the evidence that the answer rests on.
func (f AnswerFacts) Basis() AnswerBasis {
	switch {
	case f.OutcomeStored:
		return AnswerStoredOutcome
	case f.Cancelled:
		return AnswerDerivedOutcome
	}
	return AnswerRecentReplica
}

// Outdated reports whether the answer is older than a stored outcome that differs from it: the user
// must receive that outcome instead.
func (f AnswerFacts) Outdated() bool { return f.OutcomeStored && !f.Agrees }

// Contradicts reports whether the answer violates the invariant: it is final, and states another
// outcome than the stored one.
func (f AnswerFacts) Contradicts() bool { return f.Outdated() && f.Final }

package soak

import (
	"net/http"
	"slices"
	"time"
)

// RequestKind is the kind of a user's request.
type RequestKind string

// The requests of users.
const (
	SubmitRequest RequestKind = "submit"
	PollRequest   RequestKind = "poll"
	CancelRequest RequestKind = "abort"
)

// Stage is the state of a job as reported to a user.
type Stage string

// The stages; done and cancelled are outcomes.
const (
	StagePending   Stage = "pending"
	StageRunning   Stage = "running"
	StageDone      Stage = "done"
	StageCancelled Stage = "cancelled"
)

func (s Stage) isOutcome() bool { return s == StageDone || s == StageCancelled }

// isSuccess reports whether a response with this status describes a job.
func isSuccess(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// isRejection reports whether a response with this status rejects a submission for good.
func isRejection(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
}

// Submitted registers a job before its first submission is sent.
func (c *Checker) Submitted(facts JobFacts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[facts.ID] = &jobHistory{JobFacts: facts, machines: map[int]string{}, completed: map[int]bool{}}
	c.observations.Jobs++
}

// CancelRequested registers that a user is about to cancel a job.
func (c *Checker) CancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelRequested = true
}

// KnownBefore is what users had been told about a job when a request was sent.
type KnownBefore struct {
	at       time.Duration
	accepted bool
	outcome  Stage
}

// BeforeRequest is called just before a request about a job is sent. Its result is passed to
// ResponseReceived: responses can overtake each other, so each is checked against what was known before
// its request.
func (c *Checker) BeforeRequest(id string) KnownBefore {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := KnownBefore{at: c.clock()}
	if job := c.jobs[id]; job != nil {
		known.accepted, known.outcome = job.accepted, job.outcome
	}
	return known
}

// ResponseReceived is called with each response to a user.
func (c *Checker) ResponseReceived(kind RequestKind, id string, status int, stage Stage, known KnownBefore) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations.Responses++
	job := c.jobs[id]
	switch {
	case job == nil && isSuccess(status):
		c.reportViolation(RuleInvented, "%s was never submitted, but is reported as %q", id, stage)
	case job == nil:
	case isSuccess(status):
		c.stageReported(job, stage, known)
	case status == http.StatusNotFound && known.accepted:
		c.reportViolation(RuleForgotten, "%s was accepted, but a %s request gets 404", id, kind)
	case isRejection(status) && kind == SubmitRequest && known.accepted:
		c.reportViolation(RuleForgotten, "%s was accepted, but a repeated submission gets %d", id, status)
	}
}

func (c *Checker) stageReported(job *jobHistory, stage Stage, known KnownBefore) {
	if job.RejectReason != "" {
		c.reportViolation(RuleAcceptedBad, "%s was accepted, although it %s", job.ID, job.RejectReason)
	}
	if !job.accepted {
		job.accepted, job.acceptedAt = true, c.clock()
	}
	if known.outcome != "" && stage != known.outcome {
		c.reportViolation(RuleWentBack, "%s was reported as %s and is now reported as %s", job.ID, known.outcome, stage)
	}
	switch stage {
	case StageDone:
		c.checkDone(job)
	case StageCancelled:
		c.checkCancelled(job)
	case StagePending, StageRunning:
		c.checkOpen(job, stage, known)
	default:
		c.reportViolation(RuleMalformed, "%s is reported with the unknown stage %q", job.ID, stage)
	}
	if stage.isOutcome() && job.outcome == "" {
		job.outcome = stage
	}
}

func (c *Checker) checkDone(job *jobHistory) {
	if len(job.completed) < job.Tasks {
		c.reportViolation(RuleNotDone, "%s is reported as done with %d of %d tasks completed", job.ID, len(job.completed), job.Tasks)
	}
}

func (c *Checker) checkCancelled(job *jobHistory) {
	if !c.mayBeCancelled(job) {
		c.reportViolation(RuleWentBack, "%s is reported as cancelled, but no user cancelled it or a job that it needs", job.ID)
	}
	if !job.cancelled {
		job.cancelled, job.cancelledAt = true, c.clock()
	}
}

// checkOpen checks a response that reports a job as open against what users had been told when the
// request was sent.
func (c *Checker) checkOpen(job *jobHistory, stage Stage, known KnownBefore) {
	cancelledAt, cancelled := c.dependencyCancelledAt(job)
	if cancelled && known.at > max(cancelledAt, job.acceptedAt)+c.cancelDeadline {
		c.reportViolation(RuleOrphaned, "%s is reported as %s to a request sent %.2f s after a user was told that a job that it needs is cancelled",
			job.ID, stage, (known.at - cancelledAt).Seconds())
	}
}

// mayBeCancelled reports whether a user asked to cancel the job, or a direct or transitive dependency
// that is not done.
func (c *Checker) mayBeCancelled(job *jobHistory) bool {
	return job.cancelRequested || slices.ContainsFunc(job.Needs, func(id string) bool {
		dependency := c.jobs[id]
		return dependency != nil && dependency.outcome != StageDone && c.mayBeCancelled(dependency)
	})
}

// dependencyCancelledAt returns when a user was first told that a direct or transitive dependency of
// the job is cancelled.
func (c *Checker) dependencyCancelledAt(job *jobHistory) (earliest time.Duration, found bool) {
	for _, id := range job.Needs {
		dependency := c.jobs[id]
		if dependency == nil {
			continue
		}
		if at, ok := c.cancelledAt(dependency); ok && (!found || at < earliest) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// cancelledAt returns when a user was first told that the job, or one of its direct or transitive
// dependencies, is cancelled.
func (c *Checker) cancelledAt(job *jobHistory) (time.Duration, bool) {
	at, found := c.dependencyCancelledAt(job)
	if job.cancelled && (!found || job.cancelledAt < at) {
		return job.cancelledAt, true
	}
	return at, found
}

// Accepted reports whether a user has been told that the job is accepted.
func (c *Checker) Accepted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	return job != nil && job.accepted
}

// Outcome returns the outcome of the job that users were told, or "" if they were told none.
func (c *Checker) Outcome(id string) Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job != nil {
		return job.outcome
	}
	return ""
}

package soak

import (
	"net/http"
	"slices"
	"time"
)

// RequestKind is what a user asks.
type RequestKind string

// The requests of users.
const (
	SubmitRequest RequestKind = "submit"
	PollRequest   RequestKind = "poll"
	CancelRequest RequestKind = "abort"
)

// Stage is what a user is told of a job.
type Stage string

// The stages; done and cancelled are outcomes.
const (
	StagePending   Stage = "pending"
	StageRunning   Stage = "running"
	StageDone      Stage = "done"
	StageCancelled Stage = "cancelled"
)

func (s Stage) isOutcome() bool { return s == StageDone || s == StageCancelled }

// isSuccess reports whether an answer tells of a job.
func isSuccess(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// isRejection reports whether an answer to a submission refuses it for good.
func isRejection(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
}

// Submitted registers a job before it is sent for the first time.
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

// KnownBefore is what users had been told of a job when a request was sent.
type KnownBefore struct {
	at       time.Duration
	accepted bool
	outcome  Stage
}

// BeforeRequest is called just before a request about a job is sent. Its result goes to Answered:
// an answer may be overtaken by another, and is judged by what was known before its request.
func (c *Checker) BeforeRequest(id string) KnownBefore {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := KnownBefore{at: c.clock()}
	if job := c.jobs[id]; job != nil {
		known.accepted, known.outcome = job.accepted, job.outcome
	}
	return known
}

// Answered is called with each answer to a user.
func (c *Checker) Answered(kind RequestKind, id string, status int, stage Stage, known KnownBefore) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations.Answers++
	job := c.jobs[id]
	switch {
	case job == nil && isSuccess(status):
		c.violate(RuleInvented, "%s was never submitted and is called %q", id, stage)
	case job == nil:
	case isSuccess(status):
		c.stageReported(job, stage, known)
	case status == http.StatusNotFound && known.accepted:
		c.violate(RuleForgotten, "%s is accepted, and a %s gets 404", id, kind)
	case isRejection(status) && kind == SubmitRequest && known.accepted:
		c.violate(RuleForgotten, "%s is accepted, and its repeat gets %d", id, status)
	}
}

func (c *Checker) stageReported(job *jobHistory, stage Stage, known KnownBefore) {
	if job.RejectReason != "" {
		c.violate(RuleAcceptedBad, "%s is accepted, and it %s", job.ID, job.RejectReason)
	}
	if !job.accepted {
		job.accepted, job.acceptedAt = true, c.clock()
	}
	if known.outcome != "" && stage != known.outcome {
		c.violate(RuleWentBack, "%s was called %s and is called %s", job.ID, known.outcome, stage)
	}
	switch stage {
	case StageDone:
		c.checkDone(job)
	case StageCancelled:
		c.checkCancelled(job)
	case StagePending, StageRunning:
		c.checkOpen(job, stage, known)
	default:
		c.violate(RuleMalformed, "%s has the stage %q", job.ID, stage)
	}
	if stage.isOutcome() && job.outcome == "" {
		job.outcome = stage
	}
}

func (c *Checker) checkDone(job *jobHistory) {
	if len(job.completed) < job.Tasks {
		c.violate(RuleNotDone, "%s is called done with %d of %d tasks", job.ID, len(job.completed), job.Tasks)
	}
}

func (c *Checker) checkCancelled(job *jobHistory) {
	if !c.mayBeCancelled(job) {
		c.violate(RuleWentBack, "%s is called cancelled, and nobody cancelled it or what it needs", job.ID)
	}
	if !job.cancelled {
		job.cancelled, job.cancelledAt = true, c.clock()
	}
}

// checkOpen judges that a job is called open by what users had been told when they asked.
func (c *Checker) checkOpen(job *jobHistory, stage Stage, known KnownBefore) {
	cancelledAt, cancelled := c.dependencyCancelledAt(job)
	if cancelled && known.at > max(cancelledAt, job.acceptedAt)+c.cancelDeadline {
		c.violate(RuleOrphaned, "%s is called %s to a question %.2f s after the user of a job that it needs was told that that is cancelled",
			job.ID, stage, (known.at - cancelledAt).Seconds())
	}
}

// mayBeCancelled reports whether a user asked to cancel the job, or one that it needs directly
// or through others.
func (c *Checker) mayBeCancelled(job *jobHistory) bool {
	return job.cancelRequested || slices.ContainsFunc(job.Needs, func(id string) bool {
		dependency := c.jobs[id]
		return dependency != nil && dependency.outcome != StageDone && c.mayBeCancelled(dependency)
	})
}

// dependencyCancelledAt is when the user of a job that this one needs, directly or through others,
// was first told that it is cancelled.
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

// cancelledAt is when a user was first told that the job, or one that it needs directly or through
// others, is cancelled.
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

// Outcome is what users were told of how the job ended; empty: it is not over.
func (c *Checker) Outcome(id string) Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job != nil {
		return job.outcome
	}
	return ""
}

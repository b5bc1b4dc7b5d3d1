package simulator

import (
	"net/http"

	"frostdock.example/frostdock/internal/units"
)

// After how long and how many unanswered polls a user counts as forgotten: once all faults are over,
// and while others are answered.
const (
	maxSilenceAfterFaults             = 75 * units.Second
	minFailedPollsAfterFaults         = 8 // the network alone loses some
	maxSilenceWhileOthersAnswered     = 90 * units.Second
	minFailedPollsWhileOthersAnswered = 10
)

// pollFailures are the failed polls of a job since the last that was answered.
type pollFailures struct {
	since          units.Micros // 0: none has failed
	count          int
	pollsBefore    int // polls of all jobs before them
	answeredBefore int // those of them that were answered
}

// accepts reports whether a status says that a job is accepted.
func accepts(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// submissionAnswered is called for each answer to a submission, also a repeated one.
func (c *Checker) submissionAnswered(jobID string, answer userAnswer) {
	refused := answer.status == http.StatusBadRequest || answer.status == http.StatusUnprocessableEntity
	if job := c.checkAnswer(jobID, answer); job != nil && refused && job.accepted {
		c.violate(RuleForgotten, "%s is accepted and its repeat gets %d", jobID, answer.status)
	}
}

// cancellationAnswered is called for each answer to a cancellation.
func (c *Checker) cancellationAnswered(jobID string, answer userAnswer) {
	if job := c.checkAnswer(jobID, answer); job != nil {
		c.checkKnown(jobID, answer)
	}
}

// pollAnswered is called for each answer to a poll.
func (c *Checker) pollAnswered(jobID string, answer userAnswer) {
	answered := answer.status == http.StatusOK || answer.status == http.StatusNotFound
	c.polls++
	if answered {
		c.answeredPolls++
	}
	job := c.checkAnswer(jobID, answer)
	if job == nil {
		return
	}
	c.checkKnown(jobID, answer)
	if answered {
		job.failedPolls = pollFailures{}
		return
	}
	c.pollFailed(job)
}

// checkAnswer checks what all answers have in common. It returns the job; nil: nobody submitted it.
func (c *Checker) checkAnswer(jobID string, answer userAnswer) *jobHistory {
	job := c.jobs[jobID]
	switch {
	case !accepts(answer.status):
	case job == nil:
		c.violate(RuleInvented, "%s was never submitted and is called %q", jobID, answer.stage)
	default:
		c.stageReported(job, answer)
	}
	return job
}

// checkKnown checks that a job is known that was accepted when the request was sent.
func (c *Checker) checkKnown(jobID string, answer userAnswer) {
	if answer.status == http.StatusNotFound && answer.knownStage != "" {
		c.violate(RuleForgotten, "%s is accepted and gets 404", jobID)
	}
}

// pollFailed checks that a job's polls don't fail for long.
func (c *Checker) pollFailed(job *jobHistory) {
	failures := &job.failedPolls
	failures.count++
	if failures.since == 0 {
		failures.since, failures.answeredBefore, failures.pollsBefore = c.now, c.answeredPolls, c.polls
	}
	if !job.accepted {
		return
	}
	if c.faultsEndAt > 0 && c.now-max(failures.since, c.faultsEndAt) > maxSilenceAfterFaults && failures.count >= minFailedPollsAfterFaults {
		c.violate(RuleForgotten, "no poll for %s has been answered since %.1f, though all faults are over", job.spec.ID, failures.since.Seconds())
		failures.since = c.now
	}
	mostAnswered := (c.answeredPolls-failures.answeredBefore)*2 > c.polls-failures.pollsBefore
	if c.now-failures.since > maxSilenceWhileOthersAnswered && failures.count >= minFailedPollsWhileOthersAnswered && mostAnswered {
		c.violate(RuleForgotten, "every poll for %s has failed since %.1f", job.spec.ID, failures.since.Seconds())
		failures.since = 0
	}
}

// lastStage is what the user of a job has last been told; empty: nothing.
func (c *Checker) lastStage(jobID string) string {
	if job := c.jobs[jobID]; job != nil {
		return job.lastStage
	}
	return ""
}

// isOver reports whether a stage is one that a job keeps.
func isOver(stage string) bool { return stage == stageDone || stage == stageCancelled }

// isOpen reports whether a stage is one that a job may leave.
func isOpen(stage string) bool { return stage == stagePending || stage == stageRunning }

// stageReported checks the stage that a user is told.
func (c *Checker) stageReported(job *jobHistory, answer userAnswer) {
	stage := answer.stage
	if job.rejectReason != "" {
		c.violate(RuleAcceptedBad, "%s is accepted, and it %s", job.spec.ID, job.rejectReason)
	}
	if !job.accepted {
		job.accepted, job.acceptedAt = true, c.now
	}
	over := isOver(job.lastStage)
	if (isOver(answer.knownStage) || over && !isOpen(stage)) && stage != job.lastStage {
		c.violate(RuleWentBack, "%s was called %s and now %s", job.spec.ID, job.lastStage, stage)
	}
	c.checkOrphaned(job, stage)
	switch stage {
	case stageDone:
		if len(job.completed) < job.spec.Tasks {
			c.violate(RuleNotDone, "%s is called done with %d of %d tasks", job.spec.ID, len(job.completed), job.spec.Tasks)
		}
	case stageCancelled:
		c.cancellationReported(job)
	}
	if !over {
		job.lastStage = stage
	}
}

// checkOrphaned checks that a job is not open long after one that it needs was cancelled.
func (c *Checker) checkOrphaned(job *jobHistory, stage string) {
	cancelledAt := c.dependencyCancelledAt(job)
	if cancelledAt > 0 && c.now > max(cancelledAt, job.acceptedAt)+c.cancelDeadline && isOpen(stage) {
		c.violate(RuleOrphaned, "%s is called %s %.1f s after the user of a job that it needs was told that that is cancelled", job.spec.ID, stage, (c.now - cancelledAt).Seconds())
	}
}

// cancellationReported notes that a user is told that a job is cancelled.
func (c *Checker) cancellationReported(job *jobHistory) {
	if !c.mayBeCancelled(job) {
		c.violate(RuleWentBack, "%s is called cancelled, its user did not cancel it", job.spec.ID)
	}
	if job.cancelledAt == 0 {
		job.cancelledAt = c.now
	}
}

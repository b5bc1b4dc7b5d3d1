package simulator

import (
	"net/http"

	"frostdock.example/frostdock/internal/units"
)

// A job counts as forgotten when its polls have failed for longer than the time and at least as often
// as the count given here: one pair applies after all faults are over, the other while more than half of
// all users' polls are answered.
const (
	maxSilenceAfterFaults             = 75 * units.Second
	minFailedPollsAfterFaults         = 8 // the network itself loses some polls
	maxSilenceWhileOthersAnswered     = 90 * units.Second
	minFailedPollsWhileOthersAnswered = 10
)

// pollFailures counts the failed polls of a job since its last answered poll.
type pollFailures struct {
	since          units.Micros // time of the first failed poll; 0: none has failed
	count          int
	pollsBefore    int // polls of all jobs up to the first failed one
	answeredBefore int // how many of pollsBefore were answered
}

// accepts reports whether an HTTP status means that the job is accepted.
func accepts(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// submissionAnswered is called for each answer to a submission, first or repeated.
func (c *Checker) submissionAnswered(jobID string, answer userAnswer) {
	refused := answer.status == http.StatusBadRequest || answer.status == http.StatusUnprocessableEntity
	if job := c.checkAnswer(jobID, answer); job != nil && refused && job.accepted {
		c.violate(RuleForgotten, "%s is accepted, but its repeated submission gets status %d", jobID, answer.status)
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

// checkAnswer makes the checks that are common to all kinds of answers. It returns the job, or nil if
// nobody submitted it.
func (c *Checker) checkAnswer(jobID string, answer userAnswer) *jobHistory {
	job := c.jobs[jobID]
	switch {
	case !accepts(answer.status):
	case job == nil:
		c.violate(RuleInvented, "%s was never submitted, but is reported %q", jobID, answer.stage)
	default:
		c.stageReported(job, answer)
	}
	return job
}

// checkKnown checks that a job that was accepted when the request was sent is not answered with 404.
func (c *Checker) checkKnown(jobID string, answer userAnswer) {
	if answer.status == http.StatusNotFound && answer.knownStage != "" {
		c.violate(RuleForgotten, "%s is accepted, but a request for it gets 404", jobID)
	}
}

// pollFailed counts a failed poll and checks that the job's polls don't fail for too long.
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

// lastStage returns the stage that a job's user was last told; empty: none.
func (c *Checker) lastStage(jobID string) string {
	if job := c.jobs[jobID]; job != nil {
		return job.lastStage
	}
	return ""
}

// isOver reports whether a stage is final: done or cancelled.
func isOver(stage string) bool { return stage == stageDone || stage == stageCancelled }

// isOpen reports whether a stage is not final: pending or running.
func isOpen(stage string) bool { return stage == stagePending || stage == stageRunning }

// stageReported checks the stage in an answer and records it.
func (c *Checker) stageReported(job *jobHistory, answer userAnswer) {
	stage := answer.stage
	if job.rejectReason != "" {
		c.violate(RuleAcceptedBad, "%s is accepted although it %s", job.spec.ID, job.rejectReason)
	}
	if !job.accepted {
		job.accepted, job.acceptedAt = true, c.now
	}
	over := isOver(job.lastStage)
	if (isOver(answer.knownStage) || over && !isOpen(stage)) && stage != job.lastStage {
		c.violate(RuleWentBack, "%s was reported %s and is now reported %s", job.spec.ID, job.lastStage, stage)
	}
	c.checkOrphaned(job, stage)
	switch stage {
	case stageDone:
		if len(job.completed) < job.spec.Tasks {
			c.violate(RuleNotDone, "%s is reported done with %d of %d tasks completed", job.spec.ID, len(job.completed), job.spec.Tasks)
		}
	case stageCancelled:
		c.cancellationReported(job)
	}
	if !over {
		job.lastStage = stage
	}
}

// checkOrphaned checks that a job is over by the cancellation deadline after one of its dependencies
// was cancelled.
func (c *Checker) checkOrphaned(job *jobHistory, stage string) {
	cancelledAt := c.dependencyCancelledAt(job)
	if cancelledAt > 0 && c.now > max(cancelledAt, job.acceptedAt)+c.cancelDeadline && isOpen(stage) {
		c.violate(RuleOrphaned, "%s is reported %s %.1f s after the cancellation of a dependency was confirmed", job.spec.ID, stage, (c.now - cancelledAt).Seconds())
	}
}

// cancellationReported records that a user is told that a job is cancelled, and checks that a
// cancellation was requested.
func (c *Checker) cancellationReported(job *jobHistory) {
	if !c.mayBeCancelled(job) {
		c.violate(RuleWentBack, "%s is reported cancelled, but neither it nor an unfinished dependency was cancelled", job.spec.ID)
	}
	if job.cancelledAt == 0 {
		job.cancelledAt = c.now
	}
}

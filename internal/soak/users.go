package soak

import (
	"slices"
	"sync"
	"time"
)

// fakeUsers simulates users, who submit, resubmit, poll and cancel jobs at all controllers. It reports
// the responses to the checker.
type fakeUsers struct {
	world *world

	mu        sync.Mutex
	nextJob   int
	jobs      map[string]*userJob
	submitted []string // IDs of the jobs that may be accepted, in order of their submission
}

const (
	// recentJobs is how many of the latest jobs may be cancelled, resubmitted or needed by others.
	recentJobs = 25
	// userCheckInterval is how often cancel checks whether the job is accepted.
	userCheckInterval = 50 * time.Millisecond
	// finishCheckInterval is how often finish checks whether all jobs are over.
	finishCheckInterval = 200 * time.Millisecond
	// wideArrayFraction says when an array of many small tasks is submitted: after this fraction of the run.
	wideArrayFraction = 5
	// userRetryDelay is the delay before a user retries a request that did not succeed.
	userRetryDelay = 500 * time.Millisecond
	// minPollPause and maxPollPause bound the pause between polls of a job.
	minPollPause, maxPollPause = 700 * time.Millisecond, 1500 * time.Millisecond
	// outcomePollPause is the additional pause once the outcome is known, since users may poll again.
	outcomePollPause = 3 * time.Second
)

func newUsers(w *world) *fakeUsers { return &fakeUsers{world: w, jobs: map[string]*userJob{}} }

// job returns a submitted job, or nil if there is none with this ID.
func (u *fakeUsers) job(id string) *userJob {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id]
}

// start runs the users' actions for a duration.
func (u *fakeUsers) start(duration time.Duration) {
	until := time.Now().Add(duration)
	u.repeat(until, 150*time.Millisecond, 700*time.Millisecond, func() { u.submit(u.drawJob()) })
	u.repeat(until, 300*time.Millisecond, 1500*time.Millisecond, func() {
		if u.world.upgraded.Load() { // the production version may not support dependencies
			u.world.spawn(u.submitPipeline)
		}
	})
	u.world.after(duration/wideArrayFraction, func() { u.submit(u.wideArray()) })
	u.repeat(until, 200*time.Millisecond, time.Second, u.sendUnusualRequest)
	u.repeat(until, 300*time.Millisecond, 1500*time.Millisecond, func() {
		if id := u.recentJob(); id != "" {
			u.world.spawn(func() { u.cancel(id) })
		}
	})
}

// repeat runs an action repeatedly until a given time, each time after a random pause.
func (u *fakeUsers) repeat(until time.Time, minPause, maxPause time.Duration, action func()) {
	u.world.spawn(func() {
		for time.Now().Before(until) && u.world.sleep(u.thinkTime(minPause, maxPause)) {
			action()
		}
	})
}

// thinkTime draws the pause between two user actions. It is shorter for a larger fleet, which has more users.
func (u *fakeUsers) thinkTime(low, high time.Duration) time.Duration {
	return u.world.rng.between(low, high) * baseWorkers / time.Duration(max(baseWorkers, u.world.opts.Workers))
}

// recentJob draws the ID of one of the latest jobs, or returns "" if there is none, or if it is the wide array, which
// nobody cancels.
func (u *fakeUsers) recentJob() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.submitted) == 0 {
		return ""
	}
	id := pick(u.world.rng, u.submitted[max(0, len(u.submitted)-recentJobs):]...)
	if u.jobs[id].slow {
		return ""
	}
	return id
}

// submit registers a job, sends it until it is accepted or rejected, and polls an accepted job from then on.
func (u *fakeUsers) submit(job *userJob) {
	job.body = newSubmission(job)
	u.mu.Lock()
	u.jobs[job.facts.ID] = job
	if job.facts.RejectReason == "" {
		u.submitted = append(u.submitted, job.facts.ID)
	}
	u.mu.Unlock()
	u.world.checker.Submitted(job.facts)
	u.world.spawn(func() {
		if accepted := u.sendUntilAnswered(job); accepted {
			u.pollUntilStopped(job.facts.ID)
		}
	})
}

// sendUntilAnswered submits a job until it is accepted or rejected. It reports false if the job is
// rejected, and true also if the run ends before.
func (u *fakeUsers) sendUntilAnswered(job *userJob) bool {
	for {
		status, _ := u.request(SubmitRequest, job.facts.ID, job.body)
		if isRejection(status) {
			if job.facts.RejectReason == "" { // the run fails, since the job is never over
				u.world.events.add("BROKEN %s is rejected with status %d", job.facts.ID, status)
			}
			return false
		}
		if isSuccess(status) || !u.world.sleep(userRetryDelay) {
			return true
		}
	}
}

func (u *fakeUsers) pollUntilStopped(id string) {
	for u.world.sleep(u.world.rng.between(minPollPause, maxPollPause)) {
		if _, stage := u.request(PollRequest, id, nil); stage.isOutcome() {
			u.world.sleep(outcomePollPause)
		}
	}
}

// cancel requests the cancellation of a job once it is accepted, and retries until a response says that
// the job is over.
func (u *fakeUsers) cancel(id string) {
	for !u.world.checker.Accepted(id) {
		if !u.world.sleep(userCheckInterval) {
			return
		}
	}
	u.world.checker.CancelRequested(id)
	for {
		if status, _ := u.request(CancelRequest, id, nil); isCancelled(status) || !u.world.sleep(userRetryDelay) {
			return
		}
	}
}

// finish cancels the services and waits until all jobs are over. It returns the jobs that are not over
// within the timeout.
func (u *fakeUsers) finish(timeout time.Duration) (unfinished []string) {
	u.mu.Lock()
	ids := slices.Clone(u.submitted)
	u.mu.Unlock()
	for _, id := range ids {
		if u.job(id).facts.Service {
			u.world.spawn(func() { u.cancel(id) })
		}
	}
	deadline := time.Now().Add(timeout)
	for {
		unfinished = u.unfinished(ids)
		if len(unfinished) == 0 {
			u.world.sleep(cancelDeadline + time.Second) // the tasks of the last cancelled job must be gone as well
			u.world.checker.Finish()
			return nil
		}
		if time.Now().After(deadline) || !u.world.sleep(finishCheckInterval) {
			return unfinished
		}
	}
}

func (u *fakeUsers) unfinished(ids []string) []string {
	var open []string
	for _, id := range ids {
		if u.world.checker.Outcome(id) == "" {
			open = append(open, id)
		}
	}
	return open
}

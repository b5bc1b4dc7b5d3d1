package simulator

import (
	"errors"
	"fmt"
	"net/http"
	"sort"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	submitTimeout         = 5 * units.Second
	cancelTimeout         = 5 * units.Second
	pollTimeout           = 2 * units.Second
	connectFailureTime    = 100 * units.Millisecond // until a request fails because no controller is healthy
	retryDelay            = units.Second
	submissionRetryWindow = 60 * units.Second      // how long a user retries a submission
	dependencyDelay       = 20 * units.Millisecond // between checks whether a job's dependencies are accepted
	minPollDelay          = 4 * units.Second
	pollDelaySpread       = 2 * units.Second
	pollDelayAfterEnd     = 30 * units.Second // users may query a job at any time after its end
)

// errMalformed is passed to the controller in place of a body that can't be decoded.
var errMalformed = errors.New("malformed")

// statusNone is the status of a request that got no answer.
const statusNone = 0

// fakeUsers submit jobs, poll them and cancel some.
type fakeUsers struct {
	world *World
	jobs  map[string]*userJob // by id

	cancelAtEndRate float64 // probability that a job is cancelled at the moment of its completion
	invalidJobs     int     // number submitted so far
}

// userJob is a job as its user knows it.
type userJob struct {
	spec                schema.Job
	runSeconds          float64
	long                longTasks
	failsEverywhere     bool // its program has a bug: its tasks fail on every machine
	ignoresDependencies bool // it is submitted before its dependencies are known to be accepted
	rejectReason        rejectReason
	submittedAt         units.Micros // when it was last submitted
	acceptedAt          units.Micros
	rejectedStatus      int // HTTP status of its permanent rejection; 0: not rejected
	cancelRequested     bool
	stage               string // the last one reported to its user
}

// longTasks says which tasks of a job run longer than the others: those whose number is a multiple of every.
type longTasks struct {
	every      int // 0: none
	runSeconds float64
}

// runTime returns how long a task of the job runs, in seconds.
func (j *userJob) runTime(number int) float64 {
	if j.long.every > 0 && number%j.long.every == 0 {
		return j.long.runSeconds
	}
	return j.runSeconds
}

// over reports whether the job's user was told that the job is done or cancelled.
func (j *userJob) over() bool { return j.stage == stageDone || j.stage == stageCancelled }

// userAnswer is the answer to a user's request.
type userAnswer struct {
	status int
	stage  string // of the job; empty: not in the answer
	// knownStage is the stage that the user knew when the request was sent: answers may arrive out of
	// order.
	knownStage string
}

func newUsers(w *World) *fakeUsers { return &fakeUsers{world: w, jobs: map[string]*userJob{}} }

func (u *fakeUsers) find(id string) *userJob { return u.jobs[id] }

// job returns the job of a task on a machine. It panics if no user submitted the job.
func (u *fakeUsers) job(id string) *userJob {
	job := u.jobs[id]
	if job == nil {
		panic("a machine has a task of a job that was never submitted: " + id)
	}
	return job
}

func (u *fakeUsers) sortedJobs() []*userJob {
	var sorted []*userJob
	for _, job := range u.jobs {
		sorted = append(sorted, job)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].spec.ID < sorted[j].spec.ID })
	return sorted
}

// healthyProcess draws a controller to which the load balancer sends requests, or returns nil if there
// is none.
func (u *fakeUsers) healthyProcess() *controllerProcess {
	var healthy []*controllerProcess
	for _, process := range u.world.processes {
		if process.running && process.healthy {
			healthy = append(healthy, process)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	return healthy[u.world.rng.IntN(len(healthy))]
}

// request sends a request to a random healthy controller and waits for the answer until the timeout. If
// no controller is healthy, the request fails after connectFailureTime.
func (u *fakeUsers) request(kind controller.UserRequestKind, id string, job *schema.Job, timeout units.Micros, received func(userAnswer)) {
	w := u.world
	knownStage := w.checker.lastStage(id)
	process := u.healthyProcess()
	if process == nil {
		w.after(connectFailureTime, func() { received(userAnswer{status: statusNone, knownStage: knownStage}) })
		return
	}
	call(w, usersHost, process.name, timeout, func(answer func(controller.Reply)) {
		process.requestForUser(kind, id, job, answer)
	}, func(reply controller.Reply, ok bool) {
		status := reply.Status
		if !ok {
			status = statusNone
		}
		received(userAnswer{status: status, stage: replyStage(reply), knownStage: knownStage})
	})
}

// requestForUser passes a user's request to the controller; a submission without a job is malformed.
func (p *controllerProcess) requestForUser(kind controller.UserRequestKind, id string, job *schema.Job, answer func(controller.Reply)) {
	request := controller.UserRequest{Kind: kind, JobID: id}
	switch {
	case job != nil:
		submitted := *job
		if p.previousVersion {
			submitted.Needs = nil // the previous version ignores fields that it doesn't know
		}
		request.Job = &submitted
	case kind == controller.SubmitJob:
		request.Malformed = errMalformed
	}
	p.request(func(requestID uint64) controller.Message {
		request.RequestID = requestID
		return request
	}, answer)
}

func replyStage(reply controller.Reply) string {
	if status, ok := reply.Body.(*controller.JobStatus); ok && status != nil {
		return status.Stage
	}
	return ""
}

// submit submits a job and retries until it is accepted or permanently rejected. It waits until the
// job's dependencies are accepted; a job that ignores them is submitted immediately.
func (u *fakeUsers) submit(job *userJob) {
	u.jobs[job.spec.ID] = job
	u.world.checker.submitted(&job.spec)
	if job.rejectReason != "" {
		u.world.checker.mustReject(job.spec.ID, job.rejectReason)
	}
	u.trySubmit(job, u.world.now)
}

// trySubmit submits a job and retries until submissionRetryWindow after its first submission.
func (u *fakeUsers) trySubmit(job *userJob, firstAttemptAt units.Micros) {
	w := u.world
	if !job.ignoresDependencies && !u.allAccepted(job.spec.Needs) {
		w.after(dependencyDelay, func() { u.trySubmit(job, firstAttemptAt) })
		return
	}
	if len(job.spec.Needs) > 0 && job.submittedAt == 0 {
		firstAttemptAt = w.now
	}
	job.submittedAt = w.now
	u.sendSubmission(job, job.rejectReason == lacksField, func(answer userAnswer) {
		switch answer.status {
		case http.StatusOK, http.StatusCreated:
			u.accepted(job, answer.stage)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			job.rejectedStatus = answer.status
		default:
			if w.now-firstAttemptAt < submissionRetryWindow {
				w.after(retryDelay, func() { u.trySubmit(job, firstAttemptAt) })
			}
		}
	})
}

// sendSubmission submits a job once, either complete or malformed.
func (u *fakeUsers) sendSubmission(job *userJob, malformed bool, received func(userAnswer)) {
	id, spec := job.spec.ID, &job.spec
	if malformed {
		spec = nil
	}
	u.request(controller.SubmitJob, id, spec, submitTimeout, func(answer userAnswer) {
		u.world.checker.submissionAnswered(id, answer)
		received(answer)
	})
}

// accepted records that a job is accepted, and begins to poll it.
func (u *fakeUsers) accepted(job *userJob, stage string) {
	if job.acceptedAt == 0 {
		job.acceptedAt = u.world.now
	}
	job.stage = stage
	u.world.after(u.pollDelay(), func() { u.poll(job) })
}

// allAccepted reports whether users know that all these jobs are accepted.
func (u *fakeUsers) allAccepted(ids []string) bool {
	for _, id := range ids {
		if job := u.jobs[id]; job == nil || job.acceptedAt == 0 {
			return false
		}
	}
	return true
}

func (u *fakeUsers) pollDelay() units.Micros {
	return minPollDelay + units.Micros(u.world.rng.Int64N(int64(pollDelaySpread)))
}

// poll queries a job now and then periodically until the run ends.
func (u *fakeUsers) poll(job *userJob) {
	u.request(controller.QueryJob, job.spec.ID, nil, pollTimeout, func(answer userAnswer) {
		u.world.checker.pollAnswered(job.spec.ID, answer)
		if answer.status == http.StatusOK {
			job.stage = answer.stage
		}
		delay := u.pollDelay()
		if job.over() {
			delay = pollDelayAfterEnd
		}
		u.world.after(delay, func() { u.poll(job) })
	})
}

// pollUnknownJob queries a job that was never submitted.
func (u *fakeUsers) pollUnknownJob() {
	id := fmt.Sprintf("j-%012d", 900000000000+u.world.rng.Int64N(1000))
	u.request(controller.QueryJob, id, nil, pollTimeout, func(answer userAnswer) { u.world.checker.pollAnswered(id, answer) })
}

// resubmit submits a known job again, either complete or malformed.
func (u *fakeUsers) resubmit(id string, malformed bool) {
	u.sendSubmission(u.jobs[id], malformed, func(userAnswer) {})
}

// cancel requests the cancellation of a job and retries until it is confirmed.
func (u *fakeUsers) cancel(id string) {
	u.jobs[id].cancelRequested = true
	u.world.checker.cancelRequested(id)
	u.tryCancel(u.jobs[id])
}

func (u *fakeUsers) tryCancel(job *userJob) {
	u.request(controller.CancelJob, job.spec.ID, nil, cancelTimeout, func(answer userAnswer) {
		u.world.checker.cancellationAnswered(job.spec.ID, answer)
		if answer.status == http.StatusOK {
			job.stage = answer.stage
			return
		}
		u.world.after(retryDelay, func() { u.tryCancel(job) })
	})
}

// cancelJobsAtEnd makes users cancel some jobs at the moment of their completion, for a duration.
func (u *fakeUsers) cancelJobsAtEnd(rate float64, duration units.Micros) {
	u.cancelAtEndRate = rate
	u.world.after(duration, func() { u.cancelAtEndRate = 0 })
}

// jobCompleted cancels a job, with probability cancelAtEndRate, at the moment of its completion.
func (u *fakeUsers) jobCompleted(id string) {
	if u.cancelAtEndRate > 0 && !u.jobs[id].cancelRequested && u.world.rng.Float64() < u.cancelAtEndRate {
		u.cancel(id)
	}
}

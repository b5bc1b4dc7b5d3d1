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
	submitTimeout      = 5 * units.Second
	cancelTimeout      = 5 * units.Second
	pollTimeout        = 2 * units.Second
	connectFailureTime = 100 * units.Millisecond // until a user knows that no controller is healthy
	retryDelay         = units.Second
	submissionPatience = 60 * units.Second      // how long a user goes on submitting
	dependencyDelay    = 20 * units.Millisecond // between looks at whether the jobs that one needs are accepted
	minPollDelay       = 4 * units.Second
	pollDelaySpread    = 2 * units.Second
	pollDelayWhenOver  = 30 * units.Second // users may ask again at any later time
)

// errMalformed is what the controller is given in place of a body that can't be read.
var errMalformed = errors.New("malformed")

// statusNone stands for a request that got no answer.
const statusNone = 0

// fakeUsers submit jobs, poll them and cancel some.
type fakeUsers struct {
	world *World
	jobs  map[string]*userJob // by id

	cancelAtEndRate float64 // chance that a job is cancelled at the moment of its end
	invalidJobs     int     // submitted so far
}

// userJob is a job as its user knows it.
type userJob struct {
	spec            schema.Job
	runSeconds      float64
	failing         bool // its program has a mistake: it fails everywhere
	ignoresNeeds    bool // it is submitted though the jobs that it needs are not known to be accepted
	rejectReason    rejectReason
	submittedAt     units.Micros // when it was last submitted
	acceptedAt      units.Micros
	rejectedStatus  int // with which it was refused for good; 0: it was not
	cancelRequested bool
	stage           string // the last that its user was told
}

// over reports whether the job's user was told that it has ended.
func (j *userJob) over() bool { return j.stage == stageDone || j.stage == stageCancelled }

// userAnswer is what a user gets for a request.
type userAnswer struct {
	status int
	stage  string // of the job; empty: not told
	// knownStage is what the user had been told when the request was sent: an answer may be overtaken
	// by another on its way.
	knownStage string
}

func newUsers(w *World) *fakeUsers { return &fakeUsers{world: w, jobs: map[string]*userJob{}} }

func (u *fakeUsers) find(id string) *userJob { return u.jobs[id] }

// job finds the job of a task that some machine has.
func (u *fakeUsers) job(id string) *userJob {
	job := u.jobs[id]
	if job == nil {
		panic("a task of a job that nobody submitted: " + id)
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

// healthyProcess draws a controller to which the load balancer sends requests; nil: there is none.
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

// request sends a request to a random healthy controller. Failures to connect are soon known,
// everything else is waited for.
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

// requestForUser gives the controller a user's request; a submission without a job is malformed.
func (p *controllerProcess) requestForUser(kind controller.UserRequestKind, id string, job *schema.Job, answer func(controller.Reply)) {
	request := controller.UserRequest{Kind: kind, JobID: id}
	switch {
	case job != nil:
		submitted := *job
		if p.previousVersion {
			submitted.Needs = nil // it ignores what it doesn't know
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

// submit sends a job until it is accepted or refused for good: as soon as the jobs that it needs are
// accepted, or at once.
func (u *fakeUsers) submit(job *userJob) {
	u.jobs[job.spec.ID] = job
	u.world.checker.submitted(&job.spec)
	if job.rejectReason != "" {
		u.world.checker.mustReject(job.spec.ID, job.rejectReason)
	}
	u.trySubmit(job, u.world.now)
}

// trySubmit submits a job again and again, for some time since its first submission.
func (u *fakeUsers) trySubmit(job *userJob, first units.Micros) {
	w := u.world
	if !job.ignoresNeeds && !u.allAccepted(job.spec.Needs) {
		w.after(dependencyDelay, func() { u.trySubmit(job, first) })
		return
	}
	if len(job.spec.Needs) > 0 && job.submittedAt == 0 {
		first = w.now
	}
	job.submittedAt = w.now
	u.sendSubmission(job, job.rejectReason == lacksField, func(answer userAnswer) {
		switch answer.status {
		case http.StatusOK, http.StatusCreated:
			u.accepted(job, answer.stage)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			job.rejectedStatus = answer.status
		default:
			if w.now-first < submissionPatience {
				w.after(retryDelay, func() { u.trySubmit(job, first) })
			}
		}
	})
}

// sendSubmission submits a job once, whole or malformed.
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

// accepted notes that a job is accepted, and begins to poll it.
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

// poll asks about a job, now and until the run ends.
func (u *fakeUsers) poll(job *userJob) {
	u.request(controller.QueryJob, job.spec.ID, nil, pollTimeout, func(answer userAnswer) {
		u.world.checker.pollAnswered(job.spec.ID, answer)
		if answer.status == http.StatusOK {
			job.stage = answer.stage
		}
		delay := u.pollDelay()
		if job.over() {
			delay = pollDelayWhenOver
		}
		u.world.after(delay, func() { u.poll(job) })
	})
}

// pollUnknownJob asks about a job that nobody submitted.
func (u *fakeUsers) pollUnknownJob() {
	id := fmt.Sprintf("j-%012d", 900000000000+u.world.rng.Int64N(1000))
	u.request(controller.QueryJob, id, nil, pollTimeout, func(answer userAnswer) { u.world.checker.pollAnswered(id, answer) })
}

// repeat submits a known job again, whole or malformed.
func (u *fakeUsers) repeat(id string, malformed bool) {
	u.sendSubmission(u.jobs[id], malformed, func(userAnswer) {})
}

// cancel asks to cancel a job until that is answered.
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

// cancelJobsAtEnd has users cancel some jobs at the moment of their end, for a while.
func (u *fakeUsers) cancelJobsAtEnd(rate float64, duration units.Micros) {
	u.cancelAtEndRate = rate
	u.world.after(duration, func() { u.cancelAtEndRate = 0 })
}

// jobCompleted may cancel a job at the moment of its end.
func (u *fakeUsers) jobCompleted(id string) {
	if u.cancelAtEndRate > 0 && !u.jobs[id].cancelRequested && u.world.rng.Float64() < u.cancelAtEndRate {
		u.cancel(id)
	}
}

package simulator

import (
	"fmt"
	"sort"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fakeUsers submit jobs, ask about them and cancel some.
type fakeUsers struct {
	world *World
	jobs  map[string]*userJob

	cancelAtEnd float64 // chance that a job is called off at the moment of its end
	invalidJobs int
}

type userJob struct {
	spec            schema.Job
	runSeconds      float64
	failing         bool // submitted with a mistake: it fails everywhere
	acceptedAt      units.Micros
	doneAt          units.Micros
	stage           string
	rejectedStatus  int
	submittedAt     units.Micros // when it was last submitted
	cancelRequested bool
	rejectReason    string // why it must not be accepted
	ignoresNeeds    bool   // it is submitted though the jobs that it names are not known to be accepted
}

func newUsers(w *World) *fakeUsers { return &fakeUsers{world: w, jobs: map[string]*userJob{}} }

func (u *fakeUsers) find(id string) *userJob { return u.jobs[id] }

func (u *fakeUsers) job(id string) *userJob {
	job := u.jobs[id]
	if job == nil {
		panic("a task of a job that nobody submitted: " + id)
	}
	return job
}

// request sends a request to a random healthy node; failures to connect are soon
// known, everything else is waited for.
func (u *fakeUsers) request(kind controller.UserRequestKind, id string, job *schema.Job, limit units.Micros, received func(status int, body any, knownStage string)) {
	w := u.world
	knownStage := w.Checker.LastStage(id)
	var healthy []*controllerProcess
	for _, process := range w.processes {
		if process.running && process.healthy {
			healthy = append(healthy, process)
		}
	}
	if len(healthy) == 0 {
		w.after(100*units.Millisecond, func() { received(0, nil, knownStage) })
		return
	}
	process := healthy[w.rng.IntN(len(healthy))]
	call(w, "users", process.name, limit, func(answer func(controller.Reply)) {
		var copied *schema.Job
		if job != nil {
			submitted := *job
			copied = &submitted
			if process.previousVersion {
				copied.Needs = nil // it ignores what it doesn't know
			}
		}
		process.request(func(to uint64) controller.Message {
			request := controller.UserRequest{RequestID: to, Kind: kind, JobID: id, Job: copied}
			if copied == nil && kind == controller.SubmitJob {
				request.Malformed = fmt.Errorf("malformed")
			}
			return request
		}, answer)
	}, func(reply controller.Reply, ok bool) {
		if !ok {
			reply.Status = 0
		}
		received(reply.Status, reply.Body, knownStage)
	})
}

func replyStage(body any) string {
	if status, ok := body.(*controller.JobStatus); ok && status != nil {
		return status.Stage
	}
	return ""
}

// submit sends a job until it is accepted or refused for good.
func (u *fakeUsers) submit(job *userJob) {
	u.jobs[job.spec.ID] = job
	u.world.Checker.Submitted(&job.spec)
	if job.rejectReason != "" {
		u.world.Checker.MustReject(job.spec.ID, job.rejectReason)
	}
	spec := &job.spec
	if job.rejectReason == "lacks a field" {
		spec = nil
	}
	first := u.world.now
	var attempt func()
	attempt = func() {
		if !job.ignoresNeeds && !u.allAccepted(job.spec.Needs) { // each as soon as those that it needs are accepted
			u.world.after(20*units.Millisecond, attempt)
			return
		}
		if len(job.spec.Needs) > 0 && job.submittedAt == 0 {
			first = u.world.now
		}
		job.submittedAt = u.world.now
		u.request(controller.SubmitJob, job.spec.ID, spec, 5*units.Second, func(status int, body any, knownStage string) {
			u.world.Checker.Answered("submit", job.spec.ID, status, replyStage(body), knownStage)
			switch status {
			case 200, 201:
				if job.acceptedAt == 0 {
					job.acceptedAt = u.world.now
				}
				job.stage = replyStage(body)
				u.world.after(u.pollDelay(), func() { u.poll(job) })
			case 400, 422:
				job.rejectedStatus = status
			default:
				if u.world.now-first < 60*units.Second {
					u.world.after(units.Second, attempt)
				}
			}
		})
	}
	attempt()
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
	return 4*units.Second + units.Micros(u.world.rng.Int64N(int64(2*units.Second)))
}

func (u *fakeUsers) poll(job *userJob) {
	u.request(controller.QueryJob, job.spec.ID, nil, 2*units.Second, func(status int, body any, knownStage string) {
		u.world.Checker.Answered("poll", job.spec.ID, status, replyStage(body), knownStage)
		if status == 200 {
			job.stage = replyStage(body)
			if job.stage == controller.StageDone && job.doneAt == 0 {
				job.doneAt = u.world.now
			}
		}
		next := u.pollDelay()
		if job.stage == controller.StageDone || job.stage == controller.StageCancelled {
			next = 30 * units.Second // they may ask again at any later time
		}
		u.world.after(next, func() { u.poll(job) })
	})
}

// repeat submits a known job again, whole or malformed.
func (u *fakeUsers) repeat(id string, broken bool) {
	job := u.jobs[id]
	spec := &job.spec
	if broken {
		spec = nil
	}
	u.request(controller.SubmitJob, id, spec, 5*units.Second, func(status int, body any, knownStage string) {
		u.world.Checker.Answered("submit", id, status, replyStage(body), knownStage)
	})
}

// sendInvalid sends what no user should send, until then: repeats of unfinished jobs, of
// which some are malformed, cancellations of done ones, and jobs that can't run.
func (u *fakeUsers) sendInvalid(until units.Micros) {
	if u.world.now > until {
		return
	}
	u.world.after(700*units.Millisecond, func() { u.sendInvalid(until) })
	all := u.sortedJobs()
	if len(all) == 0 {
		return
	}
	job := all[u.world.rng.IntN(len(all))]
	switch u.world.rng.IntN(4) {
	case 0:
		if job.acceptedAt > 0 {
			u.repeat(job.spec.ID, u.world.rng.IntN(2) == 0)
		}
	case 1:
		if job.stage == controller.StageDone && !job.cancelRequested {
			u.cancel(job.spec.ID)
		}
	default:
		u.invalidJobs++
		invalid := &userJob{runSeconds: 10, spec: job.spec}
		invalid.spec.ID = fmt.Sprintf("j-%06d", 700000+u.invalidJobs)
		switch u.world.rng.IntN(4) {
		case 0:
			invalid.rejectReason, invalid.spec.CPUs = "fits no machine", 100000
		case 1:
			invalid.rejectReason, invalid.spec.Team = "has no team", "nobody"
		case 2:
			invalid.rejectReason, invalid.spec.Zone = "names no zone", "nowhere"
		case 3:
			invalid.rejectReason = "lacks a field"
		}
		u.submit(invalid)
	}
}

// jobCompleted may call a job off at the moment of its end.
func (u *fakeUsers) jobCompleted(id string) {
	if job := u.jobs[id]; u.cancelAtEnd > 0 && !job.cancelRequested && u.world.rng.Float64() < u.cancelAtEnd {
		u.cancel(id)
	}
}

// pollUnknownJob asks about a job that nobody submitted.
func (u *fakeUsers) pollUnknownJob() {
	id := fmt.Sprintf("j-%012d", 900000000000+u.world.rng.Int64N(1000))
	u.request(controller.QueryJob, id, nil, 2*units.Second, func(status int, body any, knownStage string) {
		u.world.Checker.Answered("poll", id, status, replyStage(body), knownStage)
	})
}

func (u *fakeUsers) cancel(id string) {
	job := u.jobs[id]
	job.cancelRequested = true
	u.world.Checker.CancelRequested(id)
	var attempt func()
	attempt = func() {
		u.request(controller.CancelJob, id, nil, 5*units.Second, func(status int, body any, knownStage string) {
			u.world.Checker.Answered("abort", id, status, replyStage(body), knownStage)
			if status == 200 {
				job.stage = replyStage(body)
				return
			}
			u.world.after(units.Second, attempt)
		})
	}
	attempt()
}

func (u *fakeUsers) sortedJobs() []*userJob {
	var out []*userJob
	for _, job := range u.jobs {
		out = append(out, job)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].spec.ID < out[b].spec.ID })
	return out
}

package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

var teams = []string{"red", "blue", "green"}

// userJob is a job as its user sees it.
type userJob struct {
	facts   JobFacts
	runTime time.Duration
	grade   string
	body    map[string]any
}

// fakeUsers submit jobs at all controllers, repeat, ask and cancel.
type fakeUsers struct {
	world     *world
	mu        sync.Mutex
	nextJob   int
	jobs      map[string]*userJob
	submitted []string // in order of their submission
}

func newUsers(w *world) *fakeUsers { return &fakeUsers{world: w, jobs: map[string]*userJob{}} }

func (u *fakeUsers) job(id string) *userJob {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id]
}

// one of some words.
func pick[T any](w *world, from ...T) T { return from[w.rng.intN(len(from))] }

// start has users at work for some time.
func (u *fakeUsers) start(duration time.Duration) {
	until := time.Now().Add(duration)
	going := func() bool { return time.Now().Before(until) }
	u.world.spawn(func() {
		for going() && u.world.sleep(u.thinkTime(150*time.Millisecond, 700*time.Millisecond)) {
			u.submit(u.drawJob())
		}
	})
	u.world.spawn(func() {
		for going() && u.world.sleep(u.thinkTime(300*time.Millisecond, 1500*time.Millisecond)) {
			if u.world.upgraded.Load() {
				u.world.spawn(u.pipeline)
			}
		}
	})
	u.world.spawn(func() {
		for going() && u.world.sleep(u.thinkTime(200*time.Millisecond, time.Second)) {
			u.sendInvalid()
		}
	})
	u.world.spawn(func() {
		for going() && u.world.sleep(u.thinkTime(300*time.Millisecond, 1500*time.Millisecond)) {
			if id := u.recentJob(); id != "" {
				u.world.spawn(func() { u.cancel(id) })
			}
		}
	})
}

// usualWorkers is the fleet for which the pauses between submissions are meant; a larger one has
// more users.
const usualWorkers = 20

// thinkTime draws a time between two of the users' doings.
func (u *fakeUsers) thinkTime(low, high time.Duration) time.Duration {
	return u.world.rng.between(low, high) * usualWorkers / time.Duration(max(usualWorkers, u.world.opts.Workers))
}

// recentJob draws one of the latest jobs.
func (u *fakeUsers) recentJob() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.submitted) == 0 {
		return ""
	}
	latest := u.submitted[max(0, len(u.submitted)-25):]
	return latest[u.world.rng.intN(len(latest))]
}

// drawJob draws a job that needs none, or now and then an earlier one.
func (u *fakeUsers) drawJob() *userJob {
	service := u.world.rng.chance(0.12)
	tasks := 1 + u.world.rng.intN(12)
	if service || u.world.rng.chance(0.4) {
		tasks = 1 + u.world.rng.intN(3)
	}
	job := u.newJob(tasks, u.world.rng.between(500*time.Millisecond, 5*time.Second))
	job.facts.Service = service
	if service {
		job.grade = "production"
	} else if u.world.upgraded.Load() && u.world.rng.chance(0.2) {
		job.facts.Needs = u.drawDependency()
	}
	return job
}

// drawDependency names an accepted job, which may be over or cancelled.
func (u *fakeUsers) drawDependency() []string {
	id := u.recentJob()
	if id == "" || !u.world.checker.Accepted(id) || u.job(id).facts.Service || u.job(id).facts.RejectReason != "" {
		return nil
	}
	return []string{id}
}

// newJob makes a job of so many tasks.
func (u *fakeUsers) newJob(tasks int, run time.Duration) *userJob {
	u.mu.Lock()
	u.nextJob++
	id := fmt.Sprintf("j-%06d", u.nextJob)
	u.mu.Unlock()
	return &userJob{
		facts: JobFacts{ID: id, Team: pick(u.world, teams...), Tasks: tasks, CPUs: pick(u.world, 1.0, 1.0, 2.0), Spot: u.world.rng.chance(0.5),
			Zone: pick(u.world, "", "", "", zones[0], zones[1])},
		runTime: run, grade: pick(u.world, "best_effort", "standard", "urgent"),
	}
}

// pipeline submits a chain, each link as soon as those that it needs are accepted, and may
// cancel one of its links.
func (u *fakeUsers) pipeline() {
	shortRun := func() time.Duration { return u.world.rng.between(300*time.Millisecond, 2*time.Second) }
	first := u.newJob(1+u.world.rng.intN(3), shortRun())
	first.facts.Needs = u.drawDependency()
	left, right := u.newJob(1+u.world.rng.intN(8), shortRun()), u.newJob(1+u.world.rng.intN(8), shortRun())
	left.facts.Needs, right.facts.Needs = []string{first.facts.ID}, []string{first.facts.ID}
	join := u.newJob(1+u.world.rng.intN(3), shortRun())
	join.facts.Needs = []string{left.facts.ID, right.facts.ID}
	last := u.newJob(1, shortRun())
	last.facts.Needs = []string{join.facts.ID, first.facts.ID}
	links := []*userJob{first, left, right, join, last}
	if u.world.rng.chance(0.5) {
		victim := pick(u.world, links[:4]...).facts.ID
		u.world.after(u.world.rng.between(0, 6*time.Second), func() { u.cancel(victim) })
	}
	for _, link := range links {
		if link == last && u.world.rng.chance(0.3) && !u.world.sleep(u.world.rng.between(time.Second, 8*time.Second)) {
			return
		}
		for !u.allAccepted(link.facts.Needs) {
			if !u.world.sleep(20 * time.Millisecond) {
				return
			}
		}
		u.submit(link)
	}
}

func (u *fakeUsers) allAccepted(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !u.world.checker.Accepted(id) })
}

// sendInvalid sends what no user should: questions about nothing, repeats, and jobs that can't run.
func (u *fakeUsers) sendInvalid() {
	switch u.world.rng.intN(4) {
	case 0:
		u.request("poll", fmt.Sprintf("j-9%05d", u.world.rng.intN(1000)), "GET", nil)
	case 1:
		if id := u.recentJob(); id != "" && u.world.checker.Accepted(id) {
			u.request("submit", id, "POST", u.job(id).body)
		}
	case 2:
		job := u.newJob(1, time.Second)
		job.facts.CPUs, job.facts.RejectReason = 1000, "fits no machine"
		u.submit(job)
	case 3:
		job := u.newJob(1, time.Second)
		job.facts.RejectReason = "lacks a field"
		u.submit(job)
	}
}

// submit registers a job and sends it until it is accepted or refused, and asks about it from then on.
func (u *fakeUsers) submit(job *userJob) {
	job.body = submissionBody(job)
	if job.facts.RejectReason == "lacks a field" {
		delete(job.body, "crew")
	}
	u.mu.Lock()
	u.jobs[job.facts.ID] = job
	if job.facts.RejectReason == "" {
		u.submitted = append(u.submitted, job.facts.ID)
	}
	u.mu.Unlock()
	u.world.checker.Submitted(job.facts)
	u.world.spawn(func() {
		for {
			status, _ := u.request("submit", job.facts.ID, "POST", job.body)
			if status == 400 || status == 422 {
				if job.facts.RejectReason == "" {
					u.world.events.add("BROKEN %s is refused with %d", job.facts.ID, status)
				}
				return
			}
			if status == 200 || status == 201 || !u.world.sleep(500*time.Millisecond) {
				break
			}
		}
		for u.world.sleep(u.world.rng.between(700*time.Millisecond, 1500*time.Millisecond)) {
			if _, stage := u.request("poll", job.facts.ID, "GET", nil); stage == "done" || stage == "cancelled" {
				u.world.sleep(3 * time.Second) // they may ask again
			}
		}
	})
}

func submissionBody(job *userJob) map[string]any {
	facts := job.facts
	kind := "array"
	if facts.Service {
		kind = "daemon"
	}
	body := map[string]any{
		"uid": facts.ID, "lot": "soak", "crew": facts.Team, "cut": kind, "grade": job.grade, "pieces": facts.Tasks, "cpus": facts.CPUs, "cards": 0.0,
		"memoryGb": facts.CPUs, "pattern": "image", "sizeGb": 0.1, "stocks": nil, "yard": nil, "samePlace": false, "spread": false,
		"loaners": facts.Spot, "sawS": job.runTime.Seconds(), "stackS": 0.0, "stowS": 0.0, "dueS": nil,
	}
	if facts.Zone != "" {
		body["yard"] = facts.Zone
	}
	if len(facts.Needs) > 0 {
		body["waitsOn"] = facts.Needs
	}
	return body
}

// cancel asks to cancel a job until it is told that the job is over.
func (u *fakeUsers) cancel(id string) {
	for !u.world.checker.Accepted(id) {
		if !u.world.sleep(50 * time.Millisecond) {
			return
		}
	}
	u.world.checker.CancelRequested(id)
	for {
		if status, _ := u.request("abort", id, "POST", nil); status == 200 || !u.world.sleep(500*time.Millisecond) {
			return
		}
	}
}

// request sends a request to a controller that is ready, and tells the checker.
func (u *fakeUsers) request(kind, id, method string, body any) (status int, stage string) {
	path := map[string]string{"submit": "/submissions", "poll": "/submissions/" + id, "abort": "/submissions/" + id + "/abort"}[kind]
	controller := u.readyController()
	if controller == nil {
		return 0, ""
	}
	asked := u.world.checker.BeforeRequest(id)
	var reply struct {
		Stage string `json:"stage"`
	}
	timeout := 5 * time.Second
	if kind == "poll" {
		timeout = 2 * time.Second
	}
	status = controller.call(method, path, body, timeout, &reply)
	if u.world.network.isCut(linkUserAnswers, controller.index) {
		return 0, ""
	}
	if status != 0 {
		u.world.checker.Answered(kind, id, status, reply.Stage, asked)
	}
	if (status == 200 || status == 201) && kind != "poll" {
		u.world.events.add("%s of %s at %s: %s", kind, id, controller.name, reply.Stage)
	}
	return status, reply.Stage
}

func (u *fakeUsers) readyController() *controllerProcess {
	var ready []*controllerProcess
	for _, process := range u.world.controllers {
		if process.isReady() {
			ready = append(ready, process)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return pick(u.world, ready...)
}

// finish cancels the services and waits until all jobs are over; it lists those that are not
// in time.
func (u *fakeUsers) finish(timeout time.Duration) []string {
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
		var open []string
		for _, id := range ids {
			if u.world.checker.Outcome(id) == "" {
				open = append(open, id)
			}
		}
		if len(open) == 0 {
			u.world.sleep(cancelDeadline + time.Second) // what was cancelled last must be gone as well
			u.world.checker.Finish()
			return nil
		}
		if time.Now().After(deadline) || !u.world.sleep(200*time.Millisecond) {
			return open
		}
	}
}

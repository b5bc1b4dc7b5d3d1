package soak

import (
	"fmt"
	"slices"
	"time"
)

// userJob is a job as its user sees it.
type userJob struct {
	facts   JobFacts
	runTime time.Duration
	slow    bool // every second task runs for slowRunTime instead
	grade   string
	body    *submission
}

// runTimeOf returns how long a task of the job runs.
func (j *userJob) runTimeOf(index int) time.Duration {
	if j.slow && index%2 == 0 {
		return slowRunTime
	}
	return j.runTime
}

// Reasons why a job must not be accepted.
const (
	fitsNoMachine RejectReason = "fits no machine"
	lacksField    RejectReason = "lacks a required field"
)

// Shares of the kinds of jobs and pipelines.
const (
	serviceShare           = 0.12
	smallJobShare          = 0.4 // of job arrays
	dependencyShare        = 0.2 // of job arrays
	spotShare              = 0.5
	cancelledPipelineShare = 0.5 // of pipelines: one of their jobs is cancelled
	lateLastJobShare       = 0.3 // of pipelines: their last job is submitted late
)

// Sizes of jobs.
const (
	maxSmallJobTasks = 3
	maxMiddleTasks   = 8 // of each of the jobs in the middle of a pipeline
	maxTasks         = 12
	hugeCPUs         = 1000 // more than any machine has
	wideTasks        = 1200 // of an array whose progress does not fit into a value after the limits were lowered
	wideCPUs         = 0.02
)

// Run times of jobs.
const (
	minRunTime, maxRunTime                 = 500 * time.Millisecond, 5 * time.Second
	minPipelineRunTime, maxPipelineRunTime = 300 * time.Millisecond, 2 * time.Second
	wideRunTime, slowRunTime               = 200 * time.Millisecond, 6 * time.Second
)

// pipelineCheckInterval is how often awaitAccepted checks whether the jobs are accepted.
const pipelineCheckInterval = 20 * time.Millisecond

// submission is the body of a request that submits a job.
type submission struct {
	ID                string   `json:"uid"`
	Project           string   `json:"lot"`
	Team              string   `json:"crew,omitempty"` // left out to provoke a rejection
	Kind              string   `json:"cut"`
	Grade             string   `json:"grade"`
	Tasks             int      `json:"pieces"`
	CPUs              float64  `json:"cpus"`
	GPUs              float64  `json:"cards"`
	MemoryGB          float64  `json:"memoryGb"`
	Image             string   `json:"pattern"`
	ImageGB           float64  `json:"sizeGb"`
	Datasets          []string `json:"stocks"`
	Zone              *string  `json:"yard"`
	SamePlace         bool     `json:"samePlace"`
	Spread            bool     `json:"spread"`
	Spot              bool     `json:"loaners"`
	RunSeconds        float64  `json:"sawS"`
	CheckpointSeconds float64  `json:"stackS"`
	StopSeconds       float64  `json:"stowS"`
	DueSeconds        *float64 `json:"dueS"`
	Needs             []string `json:"waitsOn,omitempty"`
}

func newSubmission(job *userJob) *submission {
	facts := job.facts
	body := &submission{
		ID: facts.ID, Project: "soak", Team: facts.Team, Kind: "array", Grade: job.grade, Tasks: facts.Tasks,
		CPUs: facts.CPUs, MemoryGB: facts.CPUs, Image: "image", ImageGB: 0.1, Spot: facts.Spot,
		RunSeconds: job.runTime.Seconds(), Needs: facts.Needs,
	}
	if facts.Service {
		body.Kind = "daemon"
	}
	if facts.Zone != "" {
		body.Zone = &facts.Zone
	}
	if facts.RejectReason == lacksField {
		body.Team = ""
	}
	return body
}

// newJob draws a job with the given number of tasks and run time.
func (u *fakeUsers) newJob(tasks int, runTime time.Duration) *userJob {
	u.mu.Lock()
	u.nextJob++
	id := fmt.Sprintf("j-%06d", u.nextJob)
	u.mu.Unlock()
	rng := u.world.rng
	return &userJob{
		facts: JobFacts{
			ID: id, Team: pick(rng, teams...), Tasks: tasks, CPUs: pick(rng, 1.0, 1.0, 2.0),
			Spot: rng.chance(spotShare), Zone: pick(rng, "", "", "", zones[0], zones[1]),
		},
		runTime: runTime, grade: pick(rng, "best_effort", "standard", "urgent"),
	}
}

// drawJob draws a job array or a service. Some arrays need an earlier job.
func (u *fakeUsers) drawJob() *userJob {
	rng := u.world.rng
	service := rng.chance(serviceShare)
	tasks := 1 + rng.intN(maxTasks)
	if service || rng.chance(smallJobShare) {
		tasks = 1 + rng.intN(maxSmallJobTasks)
	}
	job := u.newJob(tasks, rng.between(minRunTime, maxRunTime))
	job.facts.Service = service
	if service {
		job.grade = "production"
	} else if u.world.upgraded.Load() && rng.chance(dependencyShare) {
		job.facts.Needs = u.drawDependency()
	}
	return job
}

// wideArray returns an array of many small tasks, every second of which is slow, so that its progress has many gaps.
func (u *fakeUsers) wideArray() *userJob {
	job := u.newJob(wideTasks, wideRunTime)
	job.facts.CPUs, job.facts.Zone, job.slow = wideCPUs, "", true
	return job
}

// drawDependency returns the ID of an accepted recent job, which may be over or cancelled, or nil.
func (u *fakeUsers) drawDependency() []string {
	id := u.recentJob()
	if id == "" || !u.world.checker.Accepted(id) || u.job(id).facts.Service || u.job(id).facts.RejectReason != "" {
		return nil
	}
	return []string{id}
}

// drawPipeline draws a pipeline of dependent jobs: one, two in parallel that need it, one that joins
// them, and a last one.
func (u *fakeUsers) drawPipeline() []*userJob {
	rng := u.world.rng
	job := func(most int) *userJob {
		return u.newJob(1+rng.intN(most), rng.between(minPipelineRunTime, maxPipelineRunTime))
	}
	first := job(maxSmallJobTasks)
	first.facts.Needs = u.drawDependency()
	left, right := job(maxMiddleTasks), job(maxMiddleTasks)
	left.facts.Needs, right.facts.Needs = []string{first.facts.ID}, []string{first.facts.ID}
	join := job(maxSmallJobTasks)
	join.facts.Needs = []string{left.facts.ID, right.facts.ID}
	last := u.newJob(1, rng.between(minPipelineRunTime, maxPipelineRunTime))
	last.facts.Needs = []string{join.facts.ID, first.facts.ID}
	return []*userJob{first, left, right, join, last}
}

// submitPipeline submits a pipeline, each job as soon as its dependencies are accepted, and may cancel
// one of them. The last job may be submitted late, when its dependencies are over.
func (u *fakeUsers) submitPipeline() {
	rng := u.world.rng
	jobs := u.drawPipeline()
	last := len(jobs) - 1
	if rng.chance(cancelledPipelineShare) {
		cancelled := pick(rng, jobs[:last]...).facts.ID
		u.world.after(rng.between(0, 6*time.Second), func() { u.cancel(cancelled) })
	}
	for i, job := range jobs {
		if i == last && rng.chance(lateLastJobShare) && !u.world.sleep(rng.between(time.Second, 8*time.Second)) {
			return
		}
		if !u.awaitAccepted(job.facts.Needs) {
			return
		}
		u.submit(job)
	}
}

// awaitAccepted waits until all the jobs are accepted. It reports false if the run ends before.
func (u *fakeUsers) awaitAccepted(ids []string) bool {
	isNotAccepted := func(id string) bool { return !u.world.checker.Accepted(id) }
	for slices.ContainsFunc(ids, isNotAccepted) {
		if !u.world.sleep(pipelineCheckInterval) {
			return false
		}
	}
	return true
}

// sendUnusualRequest polls an unknown job, repeats a submission, or submits a job that must be rejected.
func (u *fakeUsers) sendUnusualRequest() {
	switch u.world.rng.intN(4) {
	case 0:
		u.request(PollRequest, fmt.Sprintf("j-9%05d", u.world.rng.intN(1000)), nil)
	case 1:
		if id := u.recentJob(); id != "" && u.world.checker.Accepted(id) {
			u.request(SubmitRequest, id, u.job(id).body)
		}
	case 2:
		job := u.newJob(1, time.Second)
		job.facts.CPUs, job.facts.RejectReason = hugeCPUs, fitsNoMachine
		u.submit(job)
	case 3:
		job := u.newJob(1, time.Second)
		job.facts.RejectReason = lacksField
		u.submit(job)
	}
}

package simulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Checker watches every rule of the protocol. It is told what happens and keeps
// what was broken.
type Checker struct {
	now            units.Micros
	Violations     []string
	Starts         int
	CancelDeadline units.Micros
	FaultsEndAt    units.Micros       // when all troubles are over; 0: not known
	cpuLimit       map[string]float64 // CPUs a team may use; 0: no limit
	gpuLimit       map[string]float64
	jobs           map[string]*jobHistory
	machines       map[string]cloud.ListedMachine
	usage          map[string]*teamUse     // what each team's tasks take
	startedAt      map[string]units.Micros // when each job's first task started
	polls          int
	answeredPolls  int
}

// teamUse is what the tasks of a team that are on machines take.
type teamUse struct{ cpus, gpus float64 }

// jobHistory is what the checker knows of a job.
type jobHistory struct {
	machines        map[int]string // its tasks that are on machines, and on which
	spec            *schema.Job
	accepted        bool
	acceptedAt      units.Micros // when it was accepted
	cancelRequested bool         // its user has asked to cancel
	lastStage       string
	cancelledAt     units.Micros // when its user was told
	completed       map[int]bool
	failingSince    units.Micros // since when every poll has failed; 0: not
	answeredBefore  int          // polls answered in all when the failing began
	pollsBefore     int
	failedPolls     int          // polls in a row
	rejectReason    string       // why it must not be accepted
	waitingSince    units.Micros // since when a task of it has waited beside a machine with room; 0: none does
	completedAt     units.Micros // when its last task completed; 0: not yet
}

// NewChecker returns a checker that knows of no job.
func NewChecker() *Checker {
	return &Checker{cpuLimit: map[string]float64{}, gpuLimit: map[string]float64{}, jobs: map[string]*jobHistory{},
		machines: map[string]cloud.ListedMachine{}, usage: map[string]*teamUse{}, startedAt: map[string]units.Micros{}, CancelDeadline: 47 * units.Second}
}

func (c *Checker) violate(rule, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%.3f %s: %s", c.now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

// Submitted registers a job that a user has submitted.
func (c *Checker) Submitted(job *schema.Job) {
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &jobHistory{spec: job, completed: map[int]bool{}, machines: map[int]string{}}
	}
}

// MustReject registers that a job must not be accepted, and why.
func (c *Checker) MustReject(jobID, why string) { c.jobs[jobID].rejectReason = why }

// launchDeadline is how long after a confirmed cancellation a start may still be
// ordered: until its commander has heard of it, or has noticed that it hears nothing.
const launchDeadline = 6 * units.Second

// LaunchCommanded is called when a machine carries out the order to start a task: given is
// when it was sent. One that was under way at the cancellation may arrive late.
func (c *Checker) LaunchCommanded(jobID string, num int, machine string, sentAt units.Micros) {
	if job := c.jobs[jobID]; job.cancelledAt > 0 && sentAt > job.cancelledAt+launchDeadline {
		c.violate("ran_cancelled", "%s/%d is ordered to start on %s %.1f s after its user was told", jobID, num, machine, (sentAt - job.cancelledAt).Seconds())
	}
}

// Waiting is told whether a task of the job waits beside a machine that has room for
// it, while nothing forbids it to run there.
func (c *Checker) Waiting(jobID, machine string, waiting bool) {
	job := c.jobs[jobID]
	switch {
	case !waiting || c.FaultsEndAt == 0 || c.now < c.FaultsEndAt:
		job.waitingSince = 0
	case job.waitingSince == 0:
		job.waitingSince = c.now
	case c.now-job.waitingSince > 90*units.Second:
		c.violate("left_waiting", "a task of %s has waited since %.1f, and %s has room for it", jobID, job.waitingSince.Seconds(), machine)
		job.waitingSince = c.now
	}
}

// AllCompleted reports whether all tasks of a job have completed.
func (c *Checker) AllCompleted(jobID string) bool {
	return len(c.jobs[jobID].completed) == c.jobs[jobID].spec.Tasks
}

// machinesOf lists the machines that a job's tasks are on.
func (c *Checker) machinesOf(jobID string) []string {
	var out []string
	for _, num := range slices.Sorted(maps.Keys(c.jobs[jobID].machines)) {
		out = append(out, c.jobs[jobID].machines[num])
	}
	return out
}

// IsCompleted reports whether a task has completed.
func (c *Checker) IsCompleted(jobID string, num int) bool {
	job := c.jobs[jobID]
	return job != nil && job.completed[num]
}

// Completed notes that a task has completed.
func (c *Checker) Completed(jobID string, num int) {
	job := c.jobs[jobID]
	job.completed[num] = true
	if len(job.completed) == job.spec.Tasks && job.completedAt == 0 {
		job.completedAt = c.now
	}
}

// readyAt is when the last job that this one needs was done; -1: not all are.
func (c *Checker) readyAt(job *jobHistory) units.Micros {
	readyAt := job.acceptedAt
	for _, id := range job.spec.Needs {
		dependency := c.jobs[id]
		if dependency == nil || dependency.completedAt == 0 {
			return -1
		}
		readyAt = max(readyAt, dependency.completedAt)
	}
	return readyAt
}

// dependencyCancelledAt is when the user of a job that this one needs, directly or through others,
// was first told that it is cancelled; 0: never.
func (c *Checker) dependencyCancelledAt(job *jobHistory) units.Micros {
	earliest := units.Micros(0)
	for _, id := range job.spec.Needs {
		dependency := c.jobs[id]
		if dependency == nil {
			continue
		}
		for _, at := range []units.Micros{dependency.cancelledAt, c.dependencyCancelledAt(dependency)} {
			if at > 0 && (earliest == 0 || at < earliest) {
				earliest = at
			}
		}
	}
	return earliest
}

// mayBeCancelled reports whether a user asked to cancel the job, or one that it needs and
// that was not over then.
func (c *Checker) mayBeCancelled(job *jobHistory) bool {
	if job.cancelRequested {
		return true
	}
	for _, id := range job.spec.Needs {
		if dependency := c.jobs[id]; dependency != nil && dependency.lastStage != "done" && c.mayBeCancelled(dependency) {
			return true
		}
	}
	return false
}

// TaskStarted is called when a task holds its image on a machine and starts.
func (c *Checker) TaskStarted(machine string, listed cloud.ListedMachine, jobID string, num int) {
	taskID := fmt.Sprintf("%s/%d", jobID, num)
	job := c.jobs[jobID]
	c.Starts++
	if _, ok := c.startedAt[jobID]; !ok {
		c.startedAt[jobID] = c.now
	}
	if c.readyAt(job) < 0 {
		c.violate("too_early", "%s starts on %s before all that its job needs is done", taskID, machine)
	}
	other, twice := job.machines[num]
	if twice {
		c.violate("ran_twice", "%s starts on %s while it is on %s", taskID, machine, other)
	}
	spec := job.spec
	if !api.AllowsType(spec, listed.Type) || listed.Spot && !spec.Spot || spec.Zone != "" && spec.Zone != listed.Zone {
		c.violate("wrong_place", "%s on %s (%s, %s, spot %v)", taskID, machine, listed.Type, listed.Zone, listed.Spot)
	}
	same := 1
	for _, otherNum := range slices.Sorted(maps.Keys(job.machines)) {
		if zone := c.machines[job.machines[otherNum]].Zone; zone == listed.Zone {
			same++
		} else if spec.OneZone {
			c.violate("wrong_place", "%s in %s while %s/%d is in %s", taskID, listed.Zone, jobID, otherNum, zone)
		}
	}
	usage := c.usage[spec.Team]
	if usage == nil {
		usage = &teamUse{}
		c.usage[spec.Team] = usage
	}
	cpus, gpus := usage.cpus+spec.CPUs, usage.gpus+spec.GPUs
	if spec.Spread && same > (spec.Tasks+1)/2 {
		c.violate("wrong_place", "%s is number %d of %d in %s", taskID, same, spec.Tasks, listed.Zone)
	}
	if limit := c.cpuLimit[spec.Team]; limit > 0 && cpus > limit+1e-6 {
		c.violate("quota", "%s takes %v of %v CPUs when %s starts on %s beside %s", spec.Team, cpus, limit, taskID, machine, c.placements(spec.Team))
	}
	if limit := c.gpuLimit[spec.Team]; limit > 0 && gpus > limit+1e-6 {
		c.violate("quota", "%s takes %v of %v GPUs", spec.Team, gpus, limit)
	}
	if job.cancelledAt > 0 && c.now > job.cancelledAt+c.CancelDeadline {
		c.violate("ran_cancelled", "%s starts %.1f s after its user was told", taskID, (c.now - job.cancelledAt).Seconds())
	}
	c.machines[machine] = listed
	if !twice {
		usage.cpus, usage.gpus = cpus, gpus
	}
	job.machines[num] = machine
}

// placements lists where a team's tasks are.
func (c *Checker) placements(team string) string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[id]
		for _, num := range slices.Sorted(maps.Keys(job.machines)) {
			if job.spec.Team == team {
				fmt.Fprintf(&b, "%s/%d@%s ", id, num, job.machines[num])
			}
		}
	}
	return b.String()
}

// TaskStopped is called when a task is no longer on a machine.
func (c *Checker) TaskStopped(machine, jobID string, num int) {
	job := c.jobs[jobID]
	if job.machines[num] != machine {
		return
	}
	delete(job.machines, num)
	c.usage[job.spec.Team].cpus -= job.spec.CPUs
	c.usage[job.spec.Team].gpus -= job.spec.GPUs
}

// IsRunning reports whether a task is on a machine.
func (c *Checker) IsRunning(jobID string, num int) bool {
	_, ok := c.jobs[jobID].machines[num]
	return ok
}

// CheckDeadlines looks for what time alone breaks.
func (c *Checker) CheckDeadlines() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[id]
		if job.cancelledAt == 0 || c.now <= job.cancelledAt+c.CancelDeadline {
			continue
		}
		for _, num := range slices.Sorted(maps.Keys(job.machines)) {
			c.violate("ran_cancelled", "%s/%d is on %s %.1f s after its user was told", id, num, job.machines[num], (c.now - job.cancelledAt).Seconds())
			job.cancelledAt = c.now // once is enough
		}
	}
}

// Answered is called for each answer to a user about a job: stage is empty
// unless the status is 200 or 201.
// was is what the user had been told when the question was sent: an answer may
// be overtaken by another on its way.
func (c *Checker) Answered(request, jobID string, status int, stage, knownStage string) {
	job := c.jobs[jobID]
	if request == "poll" {
		c.polls++
		if status == 200 || status == 404 {
			c.answeredPolls++
		}
	}
	if job == nil {
		if status == 200 || status == 201 {
			c.violate("invented", "%s was never submitted and is called %q", jobID, stage)
		}
		return
	}
	switch {
	case status == 200 || status == 201:
		c.stageReported(job, stage, knownStage)
	case status == 404 && request != "submit" && knownStage != "": // accepted when the question was sent: an answer may be overtaken
		c.violate("forgotten", "%s is accepted and gets 404", jobID)
	case (status == 400 || status == 422) && request == "submit" && job.accepted:
		c.violate("forgotten", "%s is accepted and its repeat gets %d", jobID, status)
	}
	if request != "poll" {
		return
	}
	if status == 200 || status == 404 {
		job.failingSince, job.failedPolls = 0, 0
		return
	}
	job.failedPolls++
	if job.failingSince == 0 {
		job.failingSince, job.answeredBefore, job.pollsBefore = c.now, c.answeredPolls, c.polls
	}
	// Some of a user's questions are lost by the network alone.
	if c.FaultsEndAt > 0 && c.now-max(job.failingSince, c.FaultsEndAt) > 75*units.Second && job.failedPolls >= 8 && job.accepted {
		c.violate("forgotten", "no question about %s has been answered since %.1f, though all troubles are over", job.spec.ID, job.failingSince.Seconds())
		job.failingSince = c.now
	}
	if c.now-job.failingSince > 90*units.Second && job.failedPolls >= 10 && (c.answeredPolls-job.answeredBefore)*2 > c.polls-job.pollsBefore && job.accepted {
		c.violate("forgotten", "every poll for %s has failed since %.1f", jobID, job.failingSince.Seconds())
		job.failingSince = 0
	}
}

// LastStage is what the user of a job has last been told.
func (c *Checker) LastStage(jobID string) string {
	if job := c.jobs[jobID]; job != nil {
		return job.lastStage
	}
	return ""
}

func (c *Checker) stageReported(job *jobHistory, stage, knownStage string) {
	if job.rejectReason != "" {
		c.violate("accepted_bad", "%s is accepted, and it %s", job.spec.ID, job.rejectReason)
	}
	if !job.accepted {
		job.accepted, job.acceptedAt = true, c.now
	}
	over := job.lastStage == "done" || job.lastStage == "cancelled"
	if (knownStage == "done" || knownStage == "cancelled" || over && stage != "pending" && stage != "running") && stage != job.lastStage {
		c.violate("went_back", "%s was called %s and now %s", job.spec.ID, job.lastStage, stage)
	}
	if at := c.dependencyCancelledAt(job); at > 0 && c.now > max(at, job.acceptedAt)+c.CancelDeadline && (stage == "pending" || stage == "running") {
		c.violate("orphaned", "%s is called %s %.1f s after the user of a job that it needs was told that that is cancelled", job.spec.ID, stage, (c.now - at).Seconds())
	}
	switch stage {
	case "done":
		if len(job.completed) < job.spec.Tasks {
			c.violate("not_done", "%s is called done with %d of %d tasks", job.spec.ID, len(job.completed), job.spec.Tasks)
		}
	case "cancelled":
		if !c.mayBeCancelled(job) {
			c.violate("went_back", "%s is called cancelled, its user did not cancel it", job.spec.ID)
		}
		if job.cancelledAt == 0 {
			job.cancelledAt = c.now
		}
	}
	if !over {
		job.lastStage = stage
	}
}

// CancelRequested is called when a user first asks to cancel.
func (c *Checker) CancelRequested(jobID string) { c.jobs[jobID].cancelRequested = true }

// Finish closes a day.
func (c *Checker) Finish() {
	if c.Starts == 0 {
		c.violate("nothing_ran", "no task was started")
	}
	groups := map[string][]*jobHistory{}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		// Those that came late, or that their users gave up, are nobody's fault.
		if job := c.jobs[id]; job.accepted && !c.mayBeCancelled(job) && c.readyAt(job) >= 0 && c.now-c.readyAt(job) > startDeadline {
			groups["class "+job.spec.Class] = append(groups["class "+job.spec.Class], job)
			groups["team "+job.spec.Team] = append(groups["team "+job.spec.Team], job)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		c.checkHalfStarted(name, groups[name])
		if strings.HasPrefix(name, "class") {
			c.checkLargestJobs(name, groups[name])
		}
	}
}

// startDeadline is when the largest jobs must have begun.
const startDeadline = 240 * units.Second

// checkHalfStarted fails a day on which less than half of some jobs have begun.
func (c *Checker) checkHalfStarted(name string, jobs []*jobHistory) {
	begun := 0
	for _, job := range jobs {
		if _, ok := c.startedAt[job.spec.ID]; ok {
			begun++
		}
	}
	if begun*2 < len(jobs) {
		c.violate("unserved", "%s: %d of %d jobs have begun", name, begun, len(jobs))
	}
}

// checkLargestJobs fails a day on which less than half of a class's largest jobs begin in
// time: of the tenth with the most tasks.
func (c *Checker) checkLargestJobs(name string, jobs []*jobHistory) {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b *jobHistory) int { return b.spec.Tasks - a.spec.Tasks })
	jobs = jobs[:(len(jobs)+9)/10]
	begun := 0
	for _, job := range jobs {
		if at, ok := c.startedAt[job.spec.ID]; ok && at-c.readyAt(job) <= startDeadline {
			begun++
		}
	}
	if begun*2 < len(jobs) {
		c.violate("unserved", "%s: %d of its %d largest jobs began in time", name, begun, len(jobs))
	}
}

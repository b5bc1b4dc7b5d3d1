package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Checker judges a history by the protocol's rules. It is told what workers, users and the
// cloud saw, and knows nothing of how the service works. Times are since its making, on the
// monotonic clock.
type Checker struct {
	mu             sync.Mutex
	startedAt      time.Time
	clock          func() time.Duration // replaced in tests
	log            func(format string, args ...any)
	cancelDeadline time.Duration
	cpuLimit       map[string]float64 // CPUs that a team may use; 0: any
	usage          map[string]float64
	jobs           map[string]*jobHistory
	machineZones   map[string]string // of machines
	report         Report
}

// JobFacts is what the checker has to know of a job.
type JobFacts struct {
	ID           string
	Team         string
	Tasks        int
	CPUs         float64
	Zone         string // the only zone allowed; empty: any
	Spot         bool   // spot machines are allowed
	Needs        []string
	Service      bool
	RejectReason string // why it must not be accepted; empty: it may be
}

// jobHistory is what has been seen of a job.
type jobHistory struct {
	JobFacts
	accepted         bool
	acceptedAt       time.Duration
	cancelRequested  bool // a user has asked to cancel it
	outcome          string
	cancelledAt      time.Duration
	cancelled        bool
	machines         map[int]string // tasks that are on machines
	completed        map[int]bool
	deadlineReported bool // its tasks were reported as on a machine too long
}

// deadlineCheckInterval is how often what time alone breaks is looked for.
const deadlineCheckInterval = 100 * time.Millisecond

// NewChecker returns a checker that has seen nothing.
func NewChecker(cancelIn time.Duration, limits map[string]float64) *Checker {
	c := &Checker{
		startedAt: time.Now(), cancelDeadline: cancelIn, cpuLimit: limits, usage: map[string]float64{},
		jobs: map[string]*jobHistory{}, machineZones: map[string]string{}, log: func(string, ...any) {},
	}
	c.clock = func() time.Duration { return time.Since(c.startedAt) }
	return c
}

func (c *Checker) violate(rule, format string, args ...any) {
	line := fmt.Sprintf("%.3f %s: %s", c.clock().Seconds(), rule, fmt.Sprintf(format, args...))
	c.report.Broken = append(c.report.Broken, line)
	c.log("BROKEN %s", line)
}

// Submitted registers a job before it is sent for the first time.
func (c *Checker) Submitted(facts JobFacts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[facts.ID] = &jobHistory{JobFacts: facts, machines: map[int]string{}, completed: map[int]bool{}}
	c.report.Jobs++
}

// CancelRequested registers that a user is about to cancel a job.
func (c *Checker) CancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelRequested = true
}

// KnownBefore is what users had been told of a job when a question was sent.
type KnownBefore struct {
	at       time.Duration
	accepted bool
	outcome  string
}

// BeforeRequest is called just before a question about a job is sent.
func (c *Checker) BeforeRequest(id string) KnownBefore {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := KnownBefore{at: c.clock()}
	if job := c.jobs[id]; job != nil {
		asked.accepted, asked.outcome = job.accepted, job.outcome
	}
	return asked
}

// Answered is called with each answer to a user; kind is submit, poll or abort.
func (c *Checker) Answered(kind, id string, status int, stage string, asked KnownBefore) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Answers++
	job := c.jobs[id]
	told := status == 200 || status == 201
	switch {
	case job == nil && told:
		c.violate("invented", "%s was never submitted and is called %q", id, stage)
	case job == nil:
	case told:
		c.stageReported(job, stage, asked)
	case status == 404 && asked.accepted:
		c.violate("forgotten", "%s is accepted, and a %s gets 404", id, kind)
	case (status == 400 || status == 422) && kind == "submit" && asked.accepted:
		c.violate("forgotten", "%s is accepted, and its repeat gets %d", id, status)
	}
}

func (c *Checker) stageReported(job *jobHistory, stage string, asked KnownBefore) {
	if job.RejectReason != "" {
		c.violate("accepted_bad", "%s is accepted, and it %s", job.ID, job.RejectReason)
	}
	if !job.accepted {
		job.accepted, job.acceptedAt = true, c.clock()
	}
	if asked.outcome != "" && stage != asked.outcome {
		c.violate("went_back", "%s was called %s and is called %s", job.ID, asked.outcome, stage)
	}
	switch stage {
	case "done":
		if len(job.completed) < job.Tasks {
			c.violate("not_done", "%s is called done with %d of %d tasks", job.ID, len(job.completed), job.Tasks)
		}
	case "cancelled":
		if !c.mayBeCancelled(job) {
			c.violate("went_back", "%s is called cancelled, and nobody cancelled it or what it needs", job.ID)
		}
		if !job.cancelled {
			job.cancelled, job.cancelledAt = true, c.clock()
		}
	case "pending", "running":
		if at, ok := c.dependencyCancelledAt(job); ok && asked.at > max(at, job.acceptedAt)+c.cancelDeadline {
			c.violate("orphaned", "%s is called %s to a question %.2f s after the user of a job that it needs was told that that is cancelled", job.ID, stage, (asked.at - at).Seconds())
		}
	default:
		c.violate("malformed", "%s has the stage %q", job.ID, stage)
	}
	if (stage == "done" || stage == "cancelled") && job.outcome == "" {
		job.outcome = stage
	}
}

// mayBeCancelled reports whether a user asked to cancel the job, or one that it needs directly
// or through others.
func (c *Checker) mayBeCancelled(job *jobHistory) bool {
	return job.cancelRequested || slices.ContainsFunc(job.Needs, func(id string) bool {
		dependency := c.jobs[id]
		return dependency != nil && dependency.outcome != "done" && c.mayBeCancelled(dependency)
	})
}

// dependencyCancelledAt is when the user of a job that this one needs, directly or through others,
// was first told that it is cancelled.
func (c *Checker) dependencyCancelledAt(job *jobHistory) (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for _, id := range job.Needs {
		dependency := c.jobs[id]
		if dependency == nil {
			continue
		}
		at, ok := c.dependencyCancelledAt(dependency)
		if dependency.cancelled && (!ok || dependency.cancelledAt < at) {
			at, ok = dependency.cancelledAt, true
		}
		if ok && (!found || at < earliest) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// MachineStarted registers a machine and its zone.
func (c *Checker) MachineStarted(machine, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machineZones[machine] = zone
}

// TaskStarted is called when a task holds its image on a machine and starts.
func (c *Checker) TaskStarted(machine, zone string, spot bool, id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Started++
	job := c.jobs[id]
	if job == nil {
		c.violate("invented", "%s/%d starts, and nobody submitted it", id, num)
		return
	}
	for _, neededID := range job.Needs {
		if dependency := c.jobs[neededID]; dependency == nil || len(dependency.completed) < dependency.Tasks || dependency.Service {
			c.violate("too_early", "%s/%d starts on %s before %s is done", id, num, machine, neededID)
		}
	}
	other, twice := job.machines[num]
	if twice {
		c.violate("ran_twice", "%s/%d starts on %s while it is on %s", id, num, machine, other)
	}
	if spot && !job.Spot || job.Zone != "" && job.Zone != zone {
		c.violate("wrong_place", "%s/%d starts on %s in %s, spot %v", id, num, machine, zone, spot)
	}
	if !twice {
		c.usage[job.Team] += job.CPUs
	}
	if limit := c.cpuLimit[job.Team]; limit > 0 && c.usage[job.Team] > limit+1e-6 {
		c.violate("quota", "%s uses %v of %v CPUs when %s/%d starts", job.Team, c.usage[job.Team], limit, id, num)
	}
	if job.cancelled {
		c.report.LateStarts++
		if age := c.clock() - job.cancelledAt; age > c.cancelDeadline {
			c.violate("ran_cancelled", "%s/%d starts %.2f s after its user was told", id, num, age.Seconds())
		}
	}
	job.machines[num] = machine
}

// TaskStopped is called when a task is no longer on a machine.
func (c *Checker) TaskStopped(machine, id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil || job.machines[num] != machine {
		return
	}
	delete(job.machines, num)
	c.usage[job.Team] -= job.CPUs
}

// Completed is called when a task has completed.
func (c *Checker) Completed(id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].completed[num] = true
}

// IsCompleted reports whether a task has completed: its result is kept.
func (c *Checker) IsCompleted(id string, num int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	return job != nil && job.completed[num]
}

// CheckDeadlines looks for what time alone breaks.
func (c *Checker) CheckDeadlines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[id]
		if len(job.machines) == 0 || job.deadlineReported {
			continue
		}
		at, due := c.dependencyCancelledAt(job)
		if job.cancelled && (!due || job.cancelledAt < at) {
			at, due = job.cancelledAt, true
		}
		if due && c.clock() > at+c.cancelDeadline {
			job.deadlineReported = true
			c.violate("ran_cancelled", "%s has tasks on %v %.2f s after the user was told", id, slices.Sorted(maps.Values(job.machines)), (c.clock() - at).Seconds())
		}
	}
}

// checkDeadlinesUntil calls Tick until the run is over.
func (c *Checker) checkDeadlinesUntil(stopped <-chan struct{}) func() {
	return func() {
		tick := time.NewTicker(deadlineCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-tick.C:
				c.CheckDeadlines()
			}
		}
	}
}

// Finish is called when all troubles are over and all has ended: no task may run on that
// belongs to a job that is over, which the service would no longer know.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.report.Started == 0 {
		c.violate("nothing_ran", "no task was started")
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if job := c.jobs[id]; job.outcome != "" && len(job.machines) > 0 {
			c.violate("orphaned", "%s is %s, and tasks of it go on on %v", id, job.outcome, slices.Sorted(maps.Values(job.machines)))
		}
	}
}

// Accepted reports whether a user has been told that the job is accepted.
func (c *Checker) Accepted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	return job != nil && job.accepted
}

// Outcome is what users were told of the job's end; empty: it has not ended.
func (c *Checker) Outcome(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[id]; job != nil {
		return job.outcome
	}
	return ""
}

// Started counts the tasks that were started.
func (c *Checker) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report.Started
}

// Report is what has been seen so far.
func (c *Checker) Report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.report
	out.Broken = slices.Clone(c.report.Broken)
	return &out
}

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
	mu       sync.Mutex
	begin    time.Time
	clock    func() time.Duration // replaced in tests
	note     func(format string, args ...any)
	cancelIn time.Duration
	limits   map[string]float64 // CPUs that a team may use; 0: any
	use      map[string]float64
	jobs     map[string]*jobHistory
	zones    map[string]string // of machines
	report   Report
}

// JobFacts is what the checker has to know of a job.
type JobFacts struct {
	ID      string
	Team    string
	Tasks   int
	CPUs    float64
	Zone    string // the only zone allowed; empty: any
	Spot    bool   // spot machines are allowed
	Needs   []string
	Service bool
	Bad     string // why it must not be accepted; empty: it may be
}

// jobHistory is what has been seen of a job.
type jobHistory struct {
	JobFacts
	accepted    bool
	acceptedAt  time.Duration
	asked       bool // a user has asked to cancel it
	final       string
	cancelledAt time.Duration
	cancelled   bool
	on          map[int]string // tasks that are on machines
	done        map[int]bool
	breached    bool // its tasks were reported as on a machine too long
}

// tickEvery is how often what time alone breaks is looked for.
const tickEvery = 100 * time.Millisecond

// NewChecker returns a checker that has seen nothing.
func NewChecker(cancelIn time.Duration, limits map[string]float64) *Checker {
	c := &Checker{
		begin: time.Now(), cancelIn: cancelIn, limits: limits, use: map[string]float64{},
		jobs: map[string]*jobHistory{}, zones: map[string]string{}, note: func(string, ...any) {},
	}
	c.clock = func() time.Duration { return time.Since(c.begin) }
	return c
}

func (c *Checker) fail(rule, format string, args ...any) {
	line := fmt.Sprintf("%.3f %s: %s", c.clock().Seconds(), rule, fmt.Sprintf(format, args...))
	c.report.Broken = append(c.report.Broken, line)
	c.note("BROKEN %s", line)
}

// Submitted registers a job before it is sent for the first time.
func (c *Checker) Submitted(facts JobFacts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[facts.ID] = &jobHistory{JobFacts: facts, on: map[int]string{}, done: map[int]bool{}}
	c.report.Jobs++
}

// Cancelling registers that a user is about to cancel a job.
func (c *Checker) Cancelling(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].asked = true
}

// Asked is what users had been told of a job when a question was sent.
type Asked struct {
	at       time.Duration
	accepted bool
	final    string
}

// Asking is called just before a question about a job is sent.
func (c *Checker) Asking(id string) Asked {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := Asked{at: c.clock()}
	if j := c.jobs[id]; j != nil {
		asked.accepted, asked.final = j.accepted, j.final
	}
	return asked
}

// Answered is called with each answer to a user; kind is submit, poll or abort.
func (c *Checker) Answered(kind, id string, status int, stage string, asked Asked) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Answers++
	j := c.jobs[id]
	told := status == 200 || status == 201
	switch {
	case j == nil && told:
		c.fail("invented", "%s was never submitted and is called %q", id, stage)
	case j == nil:
	case told:
		c.told(j, stage, asked)
	case status == 404 && asked.accepted:
		c.fail("forgotten", "%s is accepted, and a %s gets 404", id, kind)
	case (status == 400 || status == 422) && kind == "submit" && asked.accepted:
		c.fail("forgotten", "%s is accepted, and its repeat gets %d", id, status)
	}
}

func (c *Checker) told(j *jobHistory, stage string, asked Asked) {
	if j.Bad != "" {
		c.fail("accepted_bad", "%s is accepted, and it %s", j.ID, j.Bad)
	}
	if !j.accepted {
		j.accepted, j.acceptedAt = true, c.clock()
	}
	if asked.final != "" && stage != asked.final {
		c.fail("went_back", "%s was called %s and is called %s", j.ID, asked.final, stage)
	}
	switch stage {
	case "done":
		if len(j.done) < j.Tasks {
			c.fail("not_done", "%s is called done with %d of %d tasks", j.ID, len(j.done), j.Tasks)
		}
	case "cancelled":
		if !c.mayBeCancelled(j) {
			c.fail("went_back", "%s is called cancelled, and nobody cancelled it or what it needs", j.ID)
		}
		if !j.cancelled {
			j.cancelled, j.cancelledAt = true, c.clock()
		}
	case "pending", "running":
		if at, ok := c.neededCancelled(j); ok && asked.at > max(at, j.acceptedAt)+c.cancelIn {
			c.fail("orphaned", "%s is called %s to a question %.2f s after the user of a job that it needs was told that that is cancelled", j.ID, stage, (asked.at - at).Seconds())
		}
	default:
		c.fail("malformed", "%s has the stage %q", j.ID, stage)
	}
	if (stage == "done" || stage == "cancelled") && j.final == "" {
		j.final = stage
	}
}

// mayBeCancelled reports whether a user asked to cancel the job, or one that it needs directly
// or through others.
func (c *Checker) mayBeCancelled(j *jobHistory) bool {
	return j.asked || slices.ContainsFunc(j.Needs, func(id string) bool {
		need := c.jobs[id]
		return need != nil && need.final != "done" && c.mayBeCancelled(need)
	})
}

// neededCancelled is when the user of a job that this one needs, directly or through others,
// was first told that it is cancelled.
func (c *Checker) neededCancelled(j *jobHistory) (time.Duration, bool) {
	var first time.Duration
	found := false
	for _, id := range j.Needs {
		need := c.jobs[id]
		if need == nil {
			continue
		}
		at, ok := c.neededCancelled(need)
		if need.cancelled && (!ok || need.cancelledAt < at) {
			at, ok = need.cancelledAt, true
		}
		if ok && (!found || at < first) {
			first, found = at, true
		}
	}
	return first, found
}

// MachineUp registers a machine and its zone.
func (c *Checker) MachineUp(machine, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[machine] = zone
}

// On is called when a task holds its image on a machine and starts.
func (c *Checker) On(machine, zone string, spot bool, id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Started++
	j := c.jobs[id]
	if j == nil {
		c.fail("invented", "%s/%d starts, and nobody submitted it", id, num)
		return
	}
	for _, need := range j.Needs {
		if n := c.jobs[need]; n == nil || len(n.done) < n.Tasks || n.Service {
			c.fail("too_early", "%s/%d starts on %s before %s is done", id, num, machine, need)
		}
	}
	other, twice := j.on[num]
	if twice {
		c.fail("ran_twice", "%s/%d starts on %s while it is on %s", id, num, machine, other)
	}
	if spot && !j.Spot || j.Zone != "" && j.Zone != zone {
		c.fail("wrong_place", "%s/%d starts on %s in %s, spot %v", id, num, machine, zone, spot)
	}
	if !twice {
		c.use[j.Team] += j.CPUs
	}
	if limit := c.limits[j.Team]; limit > 0 && c.use[j.Team] > limit+1e-6 {
		c.fail("quota", "%s uses %v of %v CPUs when %s/%d starts", j.Team, c.use[j.Team], limit, id, num)
	}
	if j.cancelled {
		c.report.LateStarts++
		if age := c.clock() - j.cancelledAt; age > c.cancelIn {
			c.fail("ran_cancelled", "%s/%d starts %.2f s after its user was told", id, num, age.Seconds())
		}
	}
	j.on[num] = machine
}

// Off is called when a task is no longer on a machine.
func (c *Checker) Off(machine, id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || j.on[num] != machine {
		return
	}
	delete(j.on, num)
	c.use[j.Team] -= j.CPUs
}

// Completed is called when a task has completed.
func (c *Checker) Completed(id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].done[num] = true
}

// IsDone reports whether a task has completed: its result is kept.
func (c *Checker) IsDone(id string, num int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	return j != nil && j.done[num]
}

// Tick looks for what time alone breaks.
func (c *Checker) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if len(j.on) == 0 || j.breached {
			continue
		}
		at, due := c.neededCancelled(j)
		if j.cancelled && (!due || j.cancelledAt < at) {
			at, due = j.cancelledAt, true
		}
		if due && c.clock() > at+c.cancelIn {
			j.breached = true
			c.fail("ran_cancelled", "%s has tasks on %v %.2f s after the user was told", id, slices.Sorted(maps.Values(j.on)), (c.clock() - at).Seconds())
		}
	}
}

// ticker calls Tick until the run is over.
func (c *Checker) ticker(stopped <-chan struct{}) func() {
	return func() {
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-tick.C:
				c.Tick()
			}
		}
	}
}

// Closing is called when all troubles are over and all has ended: no task may run on that
// belongs to a job that is over, which the service would no longer know.
func (c *Checker) Closing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.report.Started == 0 {
		c.fail("nothing_ran", "no task was started")
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.final != "" && len(j.on) > 0 {
			c.fail("orphaned", "%s is %s, and tasks of it go on on %v", id, j.final, slices.Sorted(maps.Values(j.on)))
		}
	}
}

// Accepted reports whether a user has been told that the job is accepted.
func (c *Checker) Accepted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	return j != nil && j.accepted
}

// Final is what users were told of the job's end; empty: it has not ended.
func (c *Checker) Final(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.final
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

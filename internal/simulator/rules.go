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
	now      units.Micros
	Broken   []string
	Started  int
	CancelIn units.Micros
	Calm     units.Micros       // when all troubles are over; 0: not known
	limits   map[string]float64 // CPUs a team may use; 0: no limit
	gpuLimit map[string]float64
	jobs     map[string]*checked
	where    map[string]cloud.Listed
	use      map[string]*teamUse     // what each team's tasks take
	begun    map[string]units.Micros // when each job's first task started
	asked    int
	served   int
}

// teamUse is what the tasks of a team that are on machines take.
type teamUse struct{ cpus, gpus float64 }

// checked is what the checker knows of a job.
type checked struct {
	on        map[int]string // its tasks that are on machines, and on which
	spec      *schema.Job
	accepted  bool
	at        units.Micros // when it was accepted
	aborted   bool         // its user has asked to cancel
	told      string
	cancelled units.Micros // when its user was told
	done      map[int]bool
	failing   units.Micros // since when every poll has failed; 0: not
	servedAt  int          // polls answered in all when the failing began
	askedAt   int
	failed    int          // polls in a row
	bad       string       // why it must not be accepted
	waits     units.Micros // since when a task of it has waited beside a machine with room; 0: none does
	doneAt    units.Micros // when its last task completed; 0: not yet
}

// NewChecker returns a checker that knows of no job.
func NewChecker() *Checker {
	return &Checker{limits: map[string]float64{}, gpuLimit: map[string]float64{}, jobs: map[string]*checked{},
		where: map[string]cloud.Listed{}, use: map[string]*teamUse{}, begun: map[string]units.Micros{}, CancelIn: 47 * units.Second}
}

func (c *Checker) fail(rule, format string, args ...any) {
	c.Broken = append(c.Broken, fmt.Sprintf("%.3f %s: %s", c.now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

// Submitted registers a job that a user has submitted.
func (c *Checker) Submitted(j *schema.Job) {
	if c.jobs[j.ID] == nil {
		c.jobs[j.ID] = &checked{spec: j, done: map[int]bool{}, on: map[int]string{}}
	}
}

// Bad registers that a job must not be accepted, and why.
func (c *Checker) Bad(job, why string) { c.jobs[job].bad = why }

// orderedWithin is how long after a confirmed cancellation a start may still be
// ordered: until its commander has heard of it, or has noticed that it hears nothing.
const orderedWithin = 6 * units.Second

// Ordered is called when a machine carries out the order to start a task: given is
// when it was sent. One that was under way at the cancellation may arrive late.
func (c *Checker) Ordered(job string, n int, machine string, given units.Micros) {
	if j := c.jobs[job]; j.cancelled > 0 && given > j.cancelled+orderedWithin {
		c.fail("ran_cancelled", "%s/%d is ordered to start on %s %.1f s after its user was told", job, n, machine, (given - j.cancelled).Seconds())
	}
}

// Waits is told whether a task of the job waits beside a machine that has room for
// it, while nothing forbids it to run there.
func (c *Checker) Waits(job, machine string, does bool) {
	j := c.jobs[job]
	switch {
	case !does || c.Calm == 0 || c.now < c.Calm:
		j.waits = 0
	case j.waits == 0:
		j.waits = c.now
	case c.now-j.waits > 90*units.Second:
		c.fail("left_waiting", "a task of %s has waited since %.1f, and %s has room for it", job, j.waits.Seconds(), machine)
		j.waits = c.now
	}
}

// AllDone reports whether all tasks of a job have completed.
func (c *Checker) AllDone(job string) bool { return len(c.jobs[job].done) == c.jobs[job].spec.Tasks }

// machinesOf lists the machines that a job's tasks are on.
func (c *Checker) machinesOf(job string) []string {
	var out []string
	for _, n := range slices.Sorted(maps.Keys(c.jobs[job].on)) {
		out = append(out, c.jobs[job].on[n])
	}
	return out
}

// IsDone reports whether a task has completed.
func (c *Checker) IsDone(job string, n int) bool {
	j := c.jobs[job]
	return j != nil && j.done[n]
}

// Completed notes that a task has completed.
func (c *Checker) Completed(job string, n int) {
	j := c.jobs[job]
	j.done[n] = true
	if len(j.done) == j.spec.Tasks && j.doneAt == 0 {
		j.doneAt = c.now
	}
}

// readyAt is when the last job that this one needs was done; -1: not all are.
func (c *Checker) readyAt(j *checked) units.Micros {
	at := j.at
	for _, id := range j.spec.Needs {
		need := c.jobs[id]
		if need == nil || need.doneAt == 0 {
			return -1
		}
		at = max(at, need.doneAt)
	}
	return at
}

// toldCancelled is when the user of a job that this one needs, directly or through others,
// was first told that it is cancelled; 0: never.
func (c *Checker) toldCancelled(j *checked) units.Micros {
	first := units.Micros(0)
	for _, id := range j.spec.Needs {
		need := c.jobs[id]
		if need == nil {
			continue
		}
		for _, at := range []units.Micros{need.cancelled, c.toldCancelled(need)} {
			if at > 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	return first
}

// mayBeCancelled reports whether a user asked to cancel the job, or one that it needs and
// that was not over then.
func (c *Checker) mayBeCancelled(j *checked) bool {
	if j.aborted {
		return true
	}
	for _, id := range j.spec.Needs {
		if need := c.jobs[id]; need != nil && need.told != "done" && c.mayBeCancelled(need) {
			return true
		}
	}
	return false
}

// On is called when a task holds its image on a machine and starts.
func (c *Checker) On(machine string, l cloud.Listed, job string, n int) {
	id := fmt.Sprintf("%s/%d", job, n)
	j := c.jobs[job]
	c.Started++
	if _, ok := c.begun[job]; !ok {
		c.begun[job] = c.now
	}
	if c.readyAt(j) < 0 {
		c.fail("too_early", "%s starts on %s before all that its job needs is done", id, machine)
	}
	other, twice := j.on[n]
	if twice {
		c.fail("ran_twice", "%s starts on %s while it is on %s", id, machine, other)
	}
	s := j.spec
	if !api.TypeAllowed(s, l.Type) || l.Spot && !s.Spot || s.Zone != "" && s.Zone != l.Zone {
		c.fail("wrong_place", "%s on %s (%s, %s, spot %v)", id, machine, l.Type, l.Zone, l.Spot)
	}
	same := 1
	for _, o := range slices.Sorted(maps.Keys(j.on)) {
		if z := c.where[j.on[o]].Zone; z == l.Zone {
			same++
		} else if s.OneZone {
			c.fail("wrong_place", "%s in %s while %s/%d is in %s", id, l.Zone, job, o, z)
		}
	}
	u := c.use[s.Team]
	if u == nil {
		u = &teamUse{}
		c.use[s.Team] = u
	}
	cpus, gpus := u.cpus+s.CPUs, u.gpus+s.GPUs
	if s.Spread && same > (s.Tasks+1)/2 {
		c.fail("wrong_place", "%s is number %d of %d in %s", id, same, s.Tasks, l.Zone)
	}
	if lim := c.limits[s.Team]; lim > 0 && cpus > lim+1e-6 {
		c.fail("quota", "%s takes %v of %v CPUs when %s starts on %s beside %s", s.Team, cpus, lim, id, machine, c.ofTeam(s.Team))
	}
	if lim := c.gpuLimit[s.Team]; lim > 0 && gpus > lim+1e-6 {
		c.fail("quota", "%s takes %v of %v GPUs", s.Team, gpus, lim)
	}
	if j.cancelled > 0 && c.now > j.cancelled+c.CancelIn {
		c.fail("ran_cancelled", "%s starts %.1f s after its user was told", id, (c.now - j.cancelled).Seconds())
	}
	c.where[machine] = l
	if !twice {
		u.cpus, u.gpus = cpus, gpus
	}
	j.on[n] = machine
}

// ofTeam lists where a team's tasks are.
func (c *Checker) ofTeam(team string) string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		for _, n := range slices.Sorted(maps.Keys(j.on)) {
			if j.spec.Team == team {
				fmt.Fprintf(&b, "%s/%d@%s ", id, n, j.on[n])
			}
		}
	}
	return b.String()
}

// Off is called when a task is no longer on a machine.
func (c *Checker) Off(machine, job string, n int) {
	j := c.jobs[job]
	if j.on[n] != machine {
		return
	}
	delete(j.on, n)
	c.use[j.spec.Team].cpus -= j.spec.CPUs
	c.use[j.spec.Team].gpus -= j.spec.GPUs
}

// OnMachine reports whether a task is on a machine.
func (c *Checker) OnMachine(job string, n int) bool {
	_, ok := c.jobs[job].on[n]
	return ok
}

// Tick looks for what time alone breaks.
func (c *Checker) Tick() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.cancelled == 0 || c.now <= j.cancelled+c.CancelIn {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(j.on)) {
			c.fail("ran_cancelled", "%s/%d is on %s %.1f s after its user was told", id, n, j.on[n], (c.now - j.cancelled).Seconds())
			j.cancelled = c.now // once is enough
		}
	}
}

// Answer is called for each answer to a user about a job: stage is empty
// unless the status is 200 or 201.
// was is what the user had been told when the question was sent: an answer may
// be overtaken by another on its way.
func (c *Checker) Answer(kind, job string, status int, stage, was string) {
	j := c.jobs[job]
	if kind == "poll" {
		c.asked++
		if status == 200 || status == 404 {
			c.served++
		}
	}
	if j == nil {
		if status == 200 || status == 201 {
			c.fail("invented", "%s was never submitted and is called %q", job, stage)
		}
		return
	}
	switch {
	case status == 200 || status == 201:
		c.told(j, stage, was)
	case status == 404 && kind != "submit" && was != "": // accepted when the question was sent: an answer may be overtaken
		c.fail("forgotten", "%s is accepted and gets 404", job)
	case (status == 400 || status == 422) && kind == "submit" && j.accepted:
		c.fail("forgotten", "%s is accepted and its repeat gets %d", job, status)
	}
	if kind != "poll" {
		return
	}
	if status == 200 || status == 404 {
		j.failing, j.failed = 0, 0
		return
	}
	j.failed++
	if j.failing == 0 {
		j.failing, j.servedAt, j.askedAt = c.now, c.served, c.asked
	}
	// Some of a user's questions are lost by the network alone.
	if c.Calm > 0 && c.now-max(j.failing, c.Calm) > 75*units.Second && j.failed >= 8 && j.accepted {
		c.fail("forgotten", "no question about %s has been answered since %.1f, though all troubles are over", j.spec.ID, j.failing.Seconds())
		j.failing = c.now
	}
	if c.now-j.failing > 90*units.Second && j.failed >= 10 && (c.served-j.servedAt)*2 > c.asked-j.askedAt && j.accepted {
		c.fail("forgotten", "every poll for %s has failed since %.1f", job, j.failing.Seconds())
		j.failing = 0
	}
}

// Told is what the user of a job has last been told.
func (c *Checker) Told(job string) string {
	if j := c.jobs[job]; j != nil {
		return j.told
	}
	return ""
}

func (c *Checker) told(j *checked, stage, was string) {
	if j.bad != "" {
		c.fail("accepted_bad", "%s is accepted, and it %s", j.spec.ID, j.bad)
	}
	if !j.accepted {
		j.accepted, j.at = true, c.now
	}
	over := j.told == "done" || j.told == "cancelled"
	if (was == "done" || was == "cancelled" || over && stage != "pending" && stage != "running") && stage != j.told {
		c.fail("went_back", "%s was called %s and now %s", j.spec.ID, j.told, stage)
	}
	if at := c.toldCancelled(j); at > 0 && c.now > max(at, j.at)+c.CancelIn && (stage == "pending" || stage == "running") {
		c.fail("orphaned", "%s is called %s %.1f s after the user of a job that it needs was told that that is cancelled", j.spec.ID, stage, (c.now - at).Seconds())
	}
	switch stage {
	case "done":
		if len(j.done) < j.spec.Tasks {
			c.fail("not_done", "%s is called done with %d of %d tasks", j.spec.ID, len(j.done), j.spec.Tasks)
		}
	case "cancelled":
		if !c.mayBeCancelled(j) {
			c.fail("went_back", "%s is called cancelled, its user did not cancel it", j.spec.ID)
		}
		if j.cancelled == 0 {
			j.cancelled = c.now
		}
	}
	if !over {
		j.told = stage
	}
}

// Aborting is called when a user first asks to cancel.
func (c *Checker) Aborting(job string) { c.jobs[job].aborted = true }

// End closes a day.
func (c *Checker) End() {
	if c.Started == 0 {
		c.fail("nothing_ran", "no task was started")
	}
	groups := map[string][]*checked{}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		// Those that came late, or that their users gave up, are nobody's fault.
		if j := c.jobs[id]; j.accepted && !c.mayBeCancelled(j) && c.readyAt(j) >= 0 && c.now-c.readyAt(j) > beginWithin {
			groups["class "+j.spec.Class] = append(groups["class "+j.spec.Class], j)
			groups["team "+j.spec.Team] = append(groups["team "+j.spec.Team], j)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		c.atLeastHalf(name, groups[name])
		if strings.HasPrefix(name, "class") {
			c.largest(name, groups[name])
		}
	}
}

// beginWithin is when the largest jobs must have begun.
const beginWithin = 240 * units.Second

// atLeastHalf fails a day on which less than half of some jobs have begun.
func (c *Checker) atLeastHalf(name string, jobs []*checked) {
	n := 0
	for _, j := range jobs {
		if _, ok := c.begun[j.spec.ID]; ok {
			n++
		}
	}
	if n*2 < len(jobs) {
		c.fail("unserved", "%s: %d of %d jobs have begun", name, n, len(jobs))
	}
}

// largest fails a day on which less than half of a class's largest jobs begin in
// time: of the tenth with the most tasks.
func (c *Checker) largest(name string, jobs []*checked) {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b *checked) int { return b.spec.Tasks - a.spec.Tasks })
	jobs = jobs[:(len(jobs)+9)/10]
	n := 0
	for _, j := range jobs {
		if at, ok := c.begun[j.spec.ID]; ok && at-c.readyAt(j) <= beginWithin {
			n++
		}
	}
	if n*2 < len(jobs) {
		c.fail("unserved", "%s: %d of its %d largest jobs began in time", name, n, len(jobs))
	}
}

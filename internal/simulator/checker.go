package simulator

import (
	"fmt"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Rule names a rule of the protocol.
type Rule string

// The rules that the checker watches.
const (
	RuleRanTwice     Rule = "ran_twice"     // a task is on one machine at a time
	RuleTooEarly     Rule = "too_early"     // a task starts once all jobs that its job needs are done
	RuleWrongPlace   Rule = "wrong_place"   // a task is where its job may be
	RuleQuota        Rule = "quota"         // a team's tasks stay within its quota
	RuleRanCancelled Rule = "ran_cancelled" // a cancelled job's tasks end, and none starts
	RuleLeftWaiting  Rule = "left_waiting"  // no task waits beside free capacity for it
	RuleUnserved     Rule = "unserved"      // of all kinds of jobs enough start, and in time
	RuleNothingRan   Rule = "nothing_ran"   // some task starts at all

	RuleAcceptedBad Rule = "accepted_bad" // a job that can't run is refused
	RuleForgotten   Rule = "forgotten"    // an accepted job stays known, and its user is answered
	RuleInvented    Rule = "invented"     // nobody hears of a job that was never submitted
	RuleNotDone     Rule = "not_done"     // a job is called done once all its tasks have completed
	RuleWentBack    Rule = "went_back"    // a job that is over stays what it was called
	RuleOrphaned    Rule = "orphaned"     // a job ends when one that it needs is cancelled

	RuleInvariant Rule = "invariant" // a controller finds no fault in itself
)

// The stages of jobs, as users are told them. The checker has its own copy of the protocol's words.
const (
	stagePending   = "pending"
	stageRunning   = "running"
	stageDone      = "done"
	stageCancelled = "cancelled"
)

// quotaTolerance is of rounding errors when resources are added up.
const quotaTolerance = 1e-6

// defaultCancelDeadline is for how long a cancelled job's tasks may run on, if the settings don't say
// otherwise.
const defaultCancelDeadline = 47 * units.Second

// Violation is a rule that was broken.
type Violation struct {
	At     units.Micros
	Rule   Rule
	Detail string
}

// String tells when which rule was broken, and how.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Checker watches every rule of the protocol. It is told what agents do and what users are told, and
// keeps what was broken. It never changes anything in the region.
type Checker struct {
	now        units.Micros
	Violations []Violation

	cancelDeadline units.Micros
	faultsEndAt    units.Micros // when all faults are over; 0: not known

	jobs     map[string]*jobHistory
	machines map[string]cloud.ListedMachine // on which a task has started
	quota    map[string]resources           // by team; 0: none
	usage    map[string]resources           // by team: what its tasks on machines take

	starts        int // of tasks
	polls         int
	answeredPolls int
}

// jobHistory is what the checker knows of a job.
type jobHistory struct {
	spec         *schema.Job
	rejectReason rejectReason

	accepted        bool
	acceptedAt      units.Micros
	cancelRequested bool         // its user has asked to cancel it
	cancelledAt     units.Micros // when its user was told; 0: not yet
	lastStage       string       // that its user was told

	placements   map[int]string // its tasks that are on machines, and on which
	startedAt    units.Micros   // when its first task started; 0: none has
	completed    map[int]bool   // its tasks that have completed
	completedAt  units.Micros   // when the last of them did; 0: not yet
	waitingSince units.Micros   // since when one of its tasks has waited beside free capacity; 0: none does

	failedPolls pollFailures
}

// NewChecker returns a checker that knows of no job.
func NewChecker() *Checker {
	return &Checker{
		cancelDeadline: defaultCancelDeadline,
		jobs:           map[string]*jobHistory{},
		machines:       map[string]cloud.ListedMachine{},
		quota:          map[string]resources{},
		usage:          map[string]resources{},
	}
}

func (c *Checker) violate(rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{At: c.now, Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// advanceTo tells the time, before anything that happens then.
func (c *Checker) advanceTo(now units.Micros) { c.now = now }

// setQuota sets what a team may use; what is 0 is not limited.
func (c *Checker) setQuota(team string, quota resources) { c.quota[team] = quota }

// expectFaultsUntil notes that a fault lasts until then.
func (c *Checker) expectFaultsUntil(at units.Micros) { c.faultsEndAt = max(c.faultsEndAt, at) }

// faultsOver reports whether all faults are known to be over.
func (c *Checker) faultsOver() bool { return c.faultsEndAt > 0 && c.now >= c.faultsEndAt }

// submitted registers a job that a user submits.
func (c *Checker) submitted(job *schema.Job) {
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &jobHistory{spec: job, completed: map[int]bool{}, placements: map[int]string{}}
	}
}

// mustReject registers that a job must not be accepted, and why.
func (c *Checker) mustReject(jobID string, reason rejectReason) { c.jobs[jobID].rejectReason = reason }

// cancelRequested is called when a user first asks to cancel.
func (c *Checker) cancelRequested(jobID string) { c.jobs[jobID].cancelRequested = true }

// readyAt is when the last job that this one needs was done.
func (c *Checker) readyAt(job *jobHistory) (at units.Micros, ready bool) {
	at = job.acceptedAt
	for _, id := range job.spec.Needs {
		dependency := c.jobs[id]
		if dependency == nil || dependency.completedAt == 0 {
			return 0, false
		}
		at = max(at, dependency.completedAt)
	}
	return at, true
}

// dependencyCancelledAt is when the user of a job that this one needs, directly or through others, was
// first told that it is cancelled; 0: never.
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

// mayBeCancelled reports whether a user asked to cancel the job, or one that it needs and that was not
// done then.
func (c *Checker) mayBeCancelled(job *jobHistory) bool {
	if job.cancelRequested {
		return true
	}
	for _, id := range job.spec.Needs {
		dependency := c.jobs[id]
		if dependency != nil && dependency.lastStage != stageDone && c.mayBeCancelled(dependency) {
			return true
		}
	}
	return false
}

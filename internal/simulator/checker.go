package simulator

import (
	"fmt"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Rule is the name of a protocol rule.
type Rule string

// The rules that the checker enforces. Each comment states what the rule requires.
const (
	RuleRanTwice     Rule = "ran_twice"     // a task runs on one machine at a time
	RuleTooEarly     Rule = "too_early"     // a task starts only once all dependencies of its job are done
	RuleWrongPlace   Rule = "wrong_place"   // a task runs only on machines and in zones that its job allows
	RuleQuota        Rule = "quota"         // a team's tasks stay within its quota
	RuleRanCancelled Rule = "ran_cancelled" // tasks of a cancelled job end by the deadline, and none is started later
	RuleLeftWaiting  Rule = "left_waiting"  // no task waits long while a machine has free capacity for it
	RuleUnserved     Rule = "unserved"      // half of the jobs of each class and team start, and half of a class's largest in time
	RuleNothingRan   Rule = "nothing_ran"   // at least one task starts during the run

	RuleAcceptedBad Rule = "accepted_bad" // a job that can't run is rejected
	RuleForgotten   Rule = "forgotten"    // an accepted job stays known, and its user's polls are answered
	RuleInvented    Rule = "invented"     // no user is told of a job that was never submitted
	RuleNotDone     Rule = "not_done"     // a job is reported done only once all its tasks have completed
	RuleWentBack    Rule = "went_back"    // a job that was reported done or cancelled keeps that stage
	RuleOrphaned    Rule = "orphaned"     // a job ends when one of its dependencies is cancelled

	RuleInvariant Rule = "invariant" // no controller logs a violated invariant
	RuleReadable  Rule = "readable"  // a stored document can be read, and one that cannot is not overwritten
)

// The stages of jobs, as reported to users. The checker keeps its own copy of these protocol values.
const (
	stagePending   = "pending"
	stageRunning   = "running"
	stageDone      = "done"
	stageCancelled = "cancelled"
)

// quotaTolerance allows for rounding errors in sums of resources.
const quotaTolerance = 1e-6

// defaultCancelDeadline is how long tasks of a cancelled job may keep running unless the settings
// give another deadline.
const defaultCancelDeadline = 47 * units.Second

// Violation records that a rule was broken, and when.
type Violation struct {
	At     units.Micros
	Rule   Rule
	Detail string
}

// String returns the time in seconds, the rule and the detail.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Checker checks a run against every rule of the protocol. It is notified of what agents do and of
// what users are told, and collects violations. It never changes anything in the region.
type Checker struct {
	now        units.Micros
	Violations []Violation

	cancelDeadline units.Micros
	faultsEndAt    units.Micros // when the last fault ends; 0: not known

	jobs     map[string]*jobHistory
	machines map[string]cloud.ListedMachine // machines on which a task has started, by name
	quota    map[string]resources           // by team; 0: no limit
	usage    map[string]resources           // by team: resources of its tasks on machines

	starts         int // task starts
	repeatedStarts int // those of tasks whose completion was stored
	polls          int
	answeredPolls  int
}

// jobHistory is what the checker has observed of a job.
type jobHistory struct {
	spec         *schema.Job
	rejectReason rejectReason

	accepted        bool
	acceptedAt      units.Micros
	cancelRequested bool         // its user has asked to cancel it
	cancelledAt     units.Micros // when its user was first told that it is cancelled; 0: not yet
	lastStage       string       // last stage that its user was told; done and cancelled are kept

	placements   map[int]string // machine of each task that is on one, by task number
	startedAt    units.Micros   // when its first task started; 0: none has started
	completed    map[int]bool   // numbers of the tasks that have completed
	completedAt  units.Micros   // when its last task completed; 0: not yet
	waitingSince units.Micros   // since when a task has waited although a machine has free capacity for it; 0: none does

	failedPolls pollFailures
}

// NewChecker returns a checker without jobs.
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

// advanceTo sets the current time. It is called before any event at that time.
func (c *Checker) advanceTo(now units.Micros) { c.now = now }

// setQuota sets a team's quota; a resource with quota 0 is not limited.
func (c *Checker) setQuota(team string, quota resources) { c.quota[team] = quota }

// expectFaultsUntil records that a fault lasts until the given time.
func (c *Checker) expectFaultsUntil(at units.Micros) { c.faultsEndAt = max(c.faultsEndAt, at) }

// faultsOver reports whether the end of the last fault is known and has passed.
func (c *Checker) faultsOver() bool { return c.faultsEndAt > 0 && c.now >= c.faultsEndAt }

// submitted records that a user submits a job. Repeated submissions are ignored.
func (c *Checker) submitted(job *schema.Job) {
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &jobHistory{spec: job, completed: map[int]bool{}, placements: map[int]string{}}
	}
}

// mustReject records that a job must not be accepted, and why.
func (c *Checker) mustReject(jobID string, reason rejectReason) { c.jobs[jobID].rejectReason = reason }

// cancelRequested is called when a user first asks to cancel a job.
func (c *Checker) cancelRequested(jobID string) { c.jobs[jobID].cancelRequested = true }

// readyAt returns when the job was accepted and its last dependency completed, whichever is later;
// ready is false while a dependency has not completed.
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

// dependencyCancelledAt returns when a user was first told that a direct or transitive dependency of
// the job is cancelled; 0: never.
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

// mayBeCancelled reports whether a user asked to cancel the job, or a direct or transitive dependency
// that has not been reported done.
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

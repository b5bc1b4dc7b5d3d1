package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Checker judges a history by the protocol's rules. It is told what agents, users and the
// cloud saw, and knows nothing of how the service works. Times are since its making, on the
// monotonic clock.
type Checker struct {
	mu             sync.Mutex
	clock          func() time.Duration // replaced in tests
	onViolation    func(Violation)      // called with the lock held
	cancelDeadline time.Duration
	quotas         map[string]float64 // CPUs that a team may use; 0: any
	usage          map[string]float64
	jobs           map[string]*jobHistory
	observations   Observations
}

// Rule names a rule of the protocol.
type Rule string

// The rules.
const (
	RuleInvented     Rule = "invented"      // a job exists that nobody submitted
	RuleForgotten    Rule = "forgotten"     // an accepted job is not known any more
	RuleAcceptedBad  Rule = "accepted_bad"  // a job is accepted that must not be
	RuleWentBack     Rule = "went_back"     // a job's outcome changes, or is cancelled though nobody asked
	RuleNotDone      Rule = "not_done"      // a job is called done before all its tasks completed
	RuleOrphaned     Rule = "orphaned"      // a job outlives the one that it needs, or its tasks outlive it
	RuleMalformed    Rule = "malformed"     // an answer has no known stage
	RuleTooEarly     Rule = "too_early"     // a task starts before the jobs that it needs are done
	RuleRanTwice     Rule = "ran_twice"     // a task is on two machines at a time
	RuleWrongPlace   Rule = "wrong_place"   // a task is in a zone or on a spot machine that it does not allow
	RuleQuota        Rule = "quota"         // a team uses more than its quota
	RuleRanCancelled Rule = "ran_cancelled" // a task is on a machine after the time for its cancellation
	RuleNothingRan   Rule = "nothing_ran"   // no task was started in the whole run
)

// Violation is a rule that was broken at a moment.
type Violation struct {
	At     time.Duration
	Rule   Rule
	Detail string
}

// String is the violation as a line.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Observations are what a checker has seen.
type Observations struct {
	Violations   []Violation
	Jobs         int
	Answers      int // to users
	TasksStarted int
	LateStarts   int // of these, of jobs whose cancellation had been told
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
	RejectReason RejectReason // empty: it may be accepted
}

// RejectReason is why a job must not be accepted, as an end of "it ...".
type RejectReason string

// jobHistory is what has been seen of a job.
type jobHistory struct {
	JobFacts
	accepted         bool
	acceptedAt       time.Duration
	cancelRequested  bool  // a user has asked to cancel it
	outcome          Stage // empty: it is not over
	cancelledAt      time.Duration
	cancelled        bool
	machines         map[int]string // tasks that are on machines
	completed        map[int]bool
	deadlineReported bool // that its tasks are on machines too long is reported
}

// NewChecker returns a checker that has seen nothing.
func NewChecker(cancelDeadline time.Duration, quotas map[string]float64) *Checker {
	startedAt := time.Now()
	return &Checker{
		clock: func() time.Duration { return time.Since(startedAt) }, onViolation: func(Violation) {},
		cancelDeadline: cancelDeadline, quotas: quotas, usage: map[string]float64{}, jobs: map[string]*jobHistory{},
	}
}

func (c *Checker) violate(rule Rule, format string, args ...any) {
	violation := Violation{At: c.clock(), Rule: rule, Detail: fmt.Sprintf(format, args...)}
	c.observations.Violations = append(c.observations.Violations, violation)
	c.onViolation(violation)
}

// Observations is what has been seen so far.
func (c *Checker) Observations() Observations {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.observations
	seen.Violations = slices.Clone(seen.Violations)
	return seen
}

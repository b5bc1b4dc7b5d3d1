package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Checker checks a history against the protocol's rules. It receives what agents, users and the
// cloud observe, and knows nothing about how the service works. Its times count from NewChecker on
// the monotonic clock.
type Checker struct {
	mu             sync.Mutex
	clock          func() time.Duration // replaced in tests
	onViolation    func(Violation)      // called with the lock held
	cancelDeadline time.Duration
	quotas         map[string]float64 // CPUs that each team may use; 0: unlimited
	usage          map[string]float64
	jobs           map[string]*jobHistory
	observations   Observations
}

// Rule names a rule of the protocol.
type Rule string

// The rules.
const (
	RuleInvented     Rule = "invented"      // a job exists that nobody submitted
	RuleForgotten    Rule = "forgotten"     // the service no longer knows an accepted job
	RuleAcceptedBad  Rule = "accepted_bad"  // a job that must be rejected is accepted
	RuleWentBack     Rule = "went_back"     // a job's outcome changes, or a job is cancelled although no user cancelled it or a dependency
	RuleNotDone      Rule = "not_done"      // a job is reported as done before all its tasks completed
	RuleOrphaned     Rule = "orphaned"      // a job outlives one that it depends on, or its tasks outlive the job
	RuleMalformed    Rule = "malformed"     // a response has an unknown stage
	RuleTooEarly     Rule = "too_early"     // a task starts before its job's dependencies are done
	RuleRanTwice     Rule = "ran_twice"     // a task is on two machines at the same time
	RuleWrongPlace   Rule = "wrong_place"   // a task is in a zone or on a spot machine that its job does not allow
	RuleQuota        Rule = "quota"         // a team uses more than its quota
	RuleRanCancelled Rule = "ran_cancelled" // a task is on a machine after the deadline of its cancellation
	RuleNothingRan   Rule = "nothing_ran"   // no task was started in the whole run
)

// Violation records when and how a rule was broken.
type Violation struct {
	At     time.Duration
	Rule   Rule
	Detail string
}

// String formats the violation as one line, with its time in seconds.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Observations are what a checker has recorded.
type Observations struct {
	Violations   []Violation
	Jobs         int
	Responses    int // to users
	TasksStarted int
	LateStarts   int // of TasksStarted, those after a user was told that the job is cancelled
}

// JobFacts is what the checker needs to know about a job.
type JobFacts struct {
	ID           string
	Team         string
	Tasks        int
	CPUs         float64
	Zone         string // the only zone allowed; empty: any
	Spot         bool   // spot machines are allowed
	Needs        []string
	Service      bool
	RejectReason RejectReason // empty: the job may be accepted
}

// RejectReason is why a job must not be accepted, worded to follow "it" in a sentence.
type RejectReason string

// jobHistory is what the checker has recorded about a job.
type jobHistory struct {
	JobFacts
	accepted         bool
	acceptedAt       time.Duration
	cancelRequested  bool  // a user has asked to cancel the job
	outcome          Stage // empty: no user was told that the job is over
	cancelledAt      time.Duration
	cancelled        bool
	machines         map[int]string // machine that each task is on, by task index
	completed        map[int]bool
	deadlineReported bool // a violation of the cancellation deadline is already recorded
}

// NewChecker returns a checker with an empty history. A cancellation must take effect within
// cancelDeadline; quotas are the CPUs that each team may use, 0 if unlimited.
func NewChecker(cancelDeadline time.Duration, quotas map[string]float64) *Checker {
	startedAt := time.Now()
	return &Checker{
		clock: func() time.Duration { return time.Since(startedAt) }, onViolation: func(Violation) {},
		cancelDeadline: cancelDeadline, quotas: quotas, usage: map[string]float64{}, jobs: map[string]*jobHistory{},
	}
}

func (c *Checker) reportViolation(rule Rule, format string, args ...any) {
	violation := Violation{At: c.clock(), Rule: rule, Detail: fmt.Sprintf(format, args...)}
	c.observations.Violations = append(c.observations.Violations, violation)
	c.onViolation(violation)
}

// Observations returns what has been recorded so far.
func (c *Checker) Observations() Observations {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.observations
	seen.Violations = slices.Clone(seen.Violations)
	return seen
}

package simulator

import (
	"net/http"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// violationCase is a sequence of events that breaks exactly one rule.
type violationCase struct {
	rule    Rule
	provoke func(c *Checker)
}

// TestCheckerCatches breaks one rule in each case and checks that exactly this violation is reported.
func TestCheckerCatches(t *testing.T) {
	for _, tc := range slices.Concat(placementViolations(), answerViolations(), serviceViolations()) {
		c := NewChecker()
		c.now = units.Second
		c.setQuota("red", resources{cpus: 4})
		c.submitted(&schema.Job{ID: "j-1", Team: "red", Tasks: 3, CPUs: 2})
		c.submitted(&schema.Job{ID: "j-2", Team: "blue", Tasks: 2, CPUs: 1, Spread: true})
		c.submitted(&schema.Job{ID: "j-3", Team: "blue", Tasks: 2, CPUs: 1, OneZone: true})
		tc.provoke(c)
		if len(c.Violations) != 1 || c.Violations[0].Rule != tc.rule {
			t.Errorf("%s: reported violations %v, want exactly one, of this rule", tc.rule, c.Violations)
		}
	}
}

// submission, poll and cancellationConfirmed pass the checker an answer that no other answer overtook on
// its way to the user.
func submission(c *Checker, id string, status int, stage string) {
	c.submissionAnswered(id, userAnswer{status: status, stage: stage, knownStage: c.lastStage(id)})
}

func poll(c *Checker, id string, status int, stage string) {
	c.pollAnswered(id, userAnswer{status: status, stage: stage, knownStage: c.lastStage(id)})
}

func cancellationConfirmed(c *Checker, id, stage string) {
	c.cancellationAnswered(id, userAnswer{status: http.StatusOK, stage: stage, knownStage: c.lastStage(id)})
}

// placementViolations breaks the rules on where and when tasks run.
func placementViolations() []violationCase {
	spot := cloud.ListedMachine{Type: "big", Zone: "a", Spot: true}
	a, b := cloud.ListedMachine{Type: "big", Zone: "a"}, cloud.ListedMachine{Type: "big", Zone: "b"}
	return []violationCase{
		{"ran_twice", func(c *Checker) { c.taskStarted("m1", a, "j-1", 0); c.taskStarted("m2", a, "j-1", 0) }},
		{"quota", func(c *Checker) {
			c.taskStarted("m1", a, "j-1", 0)
			c.taskStarted("m1", a, "j-1", 1)
			c.taskStarted("m1", a, "j-1", 2)
		}},
		{"wrong_place", func(c *Checker) { c.taskStarted("m1", spot, "j-1", 0) }},
		{"wrong_place", func(c *Checker) { c.taskStarted("m1", a, "j-2", 0); c.taskStarted("m2", a, "j-2", 1) }},
		{"wrong_place", func(c *Checker) { c.taskStarted("m1", a, "j-3", 0); c.taskStarted("m2", b, "j-3", 1) }},
		{"ran_cancelled", func(c *Checker) {
			c.taskStarted("m1", a, "j-1", 0)
			c.cancelRequested("j-1")
			cancellationConfirmed(c, "j-1", "cancelled")
			c.now += c.cancelDeadline + 1
			c.checkDeadlines()
		}},
		{"ran_cancelled", func(c *Checker) {
			c.cancelRequested("j-1")
			cancellationConfirmed(c, "j-1", "cancelled")
			c.now += c.cancelDeadline + 1
			c.taskStarted("m1", a, "j-1", 0)
		}},
		{"ran_cancelled", func(c *Checker) { // a start command is sent too late after the confirmation
			c.cancelRequested("j-1")
			cancellationConfirmed(c, "j-1", "cancelled")
			c.now += startDeadlineAfterCancel + 1
			c.startCommanded("j-1", 0, "m1", c.now)
		}},
		{"ran_cancelled", func(c *Checker) { // the task keeps running past the deadline, as after its machine hung
			c.taskStarted("m1", a, "j-1", 0)
			c.cancelRequested("j-1")
			cancellationConfirmed(c, "j-1", "cancelled")
			for range 20 {
				c.now += c.cancelDeadline / 10
				c.checkDeadlines()
			}
		}},
		{"too_early", func(c *Checker) { // one of the two tasks of the dependency is not done
			c.submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-2"}})
			c.taskCompleted("j-2", 0)
			c.taskStarted("m1", a, "j-4", 0)
		}},
		{"left_waiting", func(c *Checker) {
			submission(c, "j-1", http.StatusCreated, "pending")
			c.faultsEndAt = units.Second
			for range 20 {
				c.now += 5 * units.Second
				c.waiting("j-1", "m1", true)
			}
		}},
	}
}

// serviceViolations breaks the rules on which jobs start, and how soon.
func serviceViolations() []violationCase {
	a := cloud.ListedMachine{Type: "big", Zone: "a"}
	return []violationCase{
		{"unserved", func(c *Checker) {
			submission(c, "j-1", http.StatusCreated, "pending")
			c.checkHalfStarted("team red", []*jobHistory{c.jobs["j-1"]})
		}},
		{"unserved", func(c *Checker) { // the job started, but too late
			submission(c, "j-1", http.StatusCreated, "pending")
			c.now += startDeadline + 1
			c.taskStarted("m1", a, "j-1", 0)
			c.Finish()
		}},
		{"nothing_ran", func(c *Checker) { c.Finish() }},
	}
}

// answerViolations breaks the rules on what users are told.
func answerViolations() []violationCase {
	return []violationCase{
		{"accepted_bad", func(c *Checker) {
			c.mustReject("j-1", "lacks a field")
			submission(c, "j-1", http.StatusCreated, "pending")
		}},
		{"forgotten", func(c *Checker) {
			submission(c, "j-1", http.StatusCreated, "pending")
			poll(c, "j-1", http.StatusNotFound, "")
		}},
		{"forgotten", func(c *Checker) {
			submission(c, "j-1", http.StatusCreated, "pending")
			submission(c, "j-1", http.StatusUnprocessableEntity, "")
		}},
		{"forgotten", func(c *Checker) {
			submission(c, "j-1", http.StatusCreated, "pending")
			for range 100 {
				c.now += units.Second
				poll(c, "j-1", http.StatusServiceUnavailable, "")
				poll(c, "j-2", http.StatusNotFound, "")
				poll(c, "j-3", http.StatusNotFound, "")
			}
		}},
		{"forgotten", func(c *Checker) { // after all faults, even if the polls of other jobs fail too
			submission(c, "j-1", http.StatusCreated, "pending")
			c.faultsEndAt = 10 * units.Second
			for range 30 {
				c.now += 3 * units.Second
				poll(c, "j-1", http.StatusServiceUnavailable, "")
				poll(c, "j-2", http.StatusServiceUnavailable, "")
			}
		}},
		{"orphaned", func(c *Checker) { // by a transitive dependency
			c.submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-1"}})
			c.submitted(&schema.Job{ID: "j-5", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-4"}})
			submission(c, "j-5", http.StatusCreated, "pending")
			c.cancelRequested("j-1")
			cancellationConfirmed(c, "j-1", "cancelled")
			c.now += c.cancelDeadline + 1
			poll(c, "j-5", http.StatusOK, "pending")
		}},
		{"went_back", func(c *Checker) { // cancelled with a dependency that was done before
			c.submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-2"}})
			c.taskCompleted("j-2", 0)
			c.taskCompleted("j-2", 1)
			c.cancelRequested("j-2")
			cancellationConfirmed(c, "j-2", "done")
			poll(c, "j-4", http.StatusOK, "cancelled")
		}},
		{"invented", func(c *Checker) { poll(c, "j-77", http.StatusOK, "pending") }},
		{"not_done", func(c *Checker) { c.taskCompleted("j-1", 0); poll(c, "j-1", http.StatusOK, "done") }},
		{"went_back", func(c *Checker) {
			for n := range 3 {
				c.taskCompleted("j-1", n)
			}
			poll(c, "j-1", http.StatusOK, "done")
			poll(c, "j-1", http.StatusOK, "running")
		}},
		{"went_back", func(c *Checker) { poll(c, "j-1", http.StatusOK, "cancelled") }},
	}
}

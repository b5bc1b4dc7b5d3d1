package simulator

import (
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// violation breaks one rule.
type violation struct {
	rule string
	play func(c *Checker)
}

// TestCheckerCatches breaks each rule once and sees that it is noticed.
func TestCheckerCatches(t *testing.T) {
	for _, tc := range append(placementViolations(), answerViolations()...) {
		c := NewChecker()
		c.now = units.Second
		c.cpuLimit["red"] = 4
		c.Submitted(&schema.Job{ID: "j-1", Team: "red", Tasks: 3, CPUs: 2})
		c.Submitted(&schema.Job{ID: "j-2", Team: "blue", Tasks: 2, CPUs: 1, Spread: true})
		c.Submitted(&schema.Job{ID: "j-3", Team: "blue", Tasks: 2, CPUs: 1, OneZone: true})
		tc.play(c)
		if len(c.Violations) != 1 || !strings.Contains(c.Violations[0], tc.rule) {
			t.Errorf("%s: noticed %q", tc.rule, c.Violations)
		}
	}
}

// placementViolations are those of tasks: where and when they run.
func placementViolations() []violation {
	spot := cloud.ListedMachine{Type: "big", Zone: "a", Spot: true}
	a, b := cloud.ListedMachine{Type: "big", Zone: "a"}, cloud.ListedMachine{Type: "big", Zone: "b"}
	return []violation{
		{"ran_twice", func(c *Checker) { c.TaskStarted("m1", a, "j-1", 0); c.TaskStarted("m2", a, "j-1", 0) }},
		{"quota", func(c *Checker) {
			c.TaskStarted("m1", a, "j-1", 0)
			c.TaskStarted("m1", a, "j-1", 1)
			c.TaskStarted("m1", a, "j-1", 2)
		}},
		{"wrong_place", func(c *Checker) { c.TaskStarted("m1", spot, "j-1", 0) }},
		{"wrong_place", func(c *Checker) { c.TaskStarted("m1", a, "j-2", 0); c.TaskStarted("m2", a, "j-2", 1) }},
		{"wrong_place", func(c *Checker) { c.TaskStarted("m1", a, "j-3", 0); c.TaskStarted("m2", b, "j-3", 1) }},
		{"ran_cancelled", func(c *Checker) {
			c.TaskStarted("m1", a, "j-1", 0)
			c.CancelRequested("j-1")
			c.Answered("abort", "j-1", 200, "cancelled", c.LastStage("j-1"))
			c.now += c.CancelDeadline + 1
			c.CheckDeadlines()
		}},
		{"ran_cancelled", func(c *Checker) {
			c.CancelRequested("j-1")
			c.Answered("abort", "j-1", 200, "cancelled", c.LastStage("j-1"))
			c.now += c.CancelDeadline + 1
			c.TaskStarted("m1", a, "j-1", 0)
		}},
		{"ran_cancelled", func(c *Checker) { // a start is ordered long after the confirmation
			c.CancelRequested("j-1")
			c.Answered("abort", "j-1", 200, "cancelled", c.LastStage("j-1"))
			c.now += launchDeadline + 1
			c.LaunchCommanded("j-1", 0, "m1", c.now)
		}},
		{"ran_cancelled", func(c *Checker) { // it goes on after its machine hung
			c.TaskStarted("m1", a, "j-1", 0)
			c.CancelRequested("j-1")
			c.Answered("abort", "j-1", 200, "cancelled", c.LastStage("j-1"))
			for range 20 {
				c.now += c.CancelDeadline / 10
				c.CheckDeadlines()
			}
		}},
		{"too_early", func(c *Checker) { // one of two needed tasks is not done
			c.Submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-2"}})
			c.Completed("j-2", 0)
			c.TaskStarted("m1", a, "j-4", 0)
		}},
		{"left_waiting", func(c *Checker) {
			c.Answered("submit", "j-1", 201, "pending", c.LastStage("j-1"))
			c.FaultsEndAt = units.Second
			for range 20 {
				c.now += 5 * units.Second
				c.Waiting("j-1", "m1", true)
			}
		}},
	}
}

// answerViolations are those of what users are told, and of who is served.
func answerViolations() []violation {
	a := cloud.ListedMachine{Type: "big", Zone: "a"}
	return []violation{
		{"accepted_bad", func(c *Checker) {
			c.MustReject("j-1", "lacks a field")
			c.Answered("submit", "j-1", 201, "pending", c.LastStage("j-1"))
		}},
		{"forgotten", func(c *Checker) {
			c.Answered("submit", "j-1", 201, "pending", c.LastStage("j-1"))
			c.Answered("poll", "j-1", 404, "", c.LastStage("j-1"))
		}},
		{"forgotten", func(c *Checker) {
			c.Answered("submit", "j-1", 201, "pending", c.LastStage("j-1"))
			c.Answered("submit", "j-1", 422, "", c.LastStage("j-1"))
		}},
		{"forgotten", func(c *Checker) {
			c.Answered("submit", "j-1", 201, "pending", c.LastStage("j-1"))
			for range 100 {
				c.now += units.Second
				c.Answered("poll", "j-1", 503, "", c.LastStage("j-1"))
				c.Answered("poll", "j-2", 404, "", c.LastStage("j-2"))
				c.Answered("poll", "j-3", 404, "", c.LastStage("j-3"))
			}
		}},
		{"forgotten", func(c *Checker) { // however others fare
			c.Answered("submit", "j-1", 201, "pending", c.LastStage("j-1"))
			c.FaultsEndAt = 10 * units.Second
			for range 30 {
				c.now += 3 * units.Second
				c.Answered("poll", "j-1", 503, "", c.LastStage("j-1"))
				c.Answered("poll", "j-2", 503, "", c.LastStage("j-2"))
			}
		}},
		{"unserved", func(c *Checker) {
			c.Answered("submit", "j-1", 201, "pending", c.LastStage("j-1"))
			c.checkHalfStarted("team red", []*jobHistory{c.jobs["j-1"]})
		}},
		{"unserved", func(c *Checker) { // it began, but late
			c.Answered("submit", "j-1", 201, "pending", c.LastStage("j-1"))
			c.now += startDeadline + 1
			c.TaskStarted("m1", a, "j-1", 0)
			c.Finish()
		}},
		{"orphaned", func(c *Checker) { // through another job
			c.Submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-1"}})
			c.Submitted(&schema.Job{ID: "j-5", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-4"}})
			c.Answered("submit", "j-5", 201, "pending", c.LastStage("j-5"))
			c.CancelRequested("j-1")
			c.Answered("abort", "j-1", 200, "cancelled", c.LastStage("j-1"))
			c.now += c.CancelDeadline + 1
			c.Answered("poll", "j-5", 200, "pending", c.LastStage("j-5"))
		}},
		{"went_back", func(c *Checker) { // cancelled with a job that is done
			c.Submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.JobIDs{"j-2"}})
			c.Completed("j-2", 0)
			c.Completed("j-2", 1)
			c.CancelRequested("j-2")
			c.Answered("abort", "j-2", 200, "done", c.LastStage("j-2"))
			c.Answered("poll", "j-4", 200, "cancelled", c.LastStage("j-4"))
		}},
		{"invented", func(c *Checker) { c.Answered("poll", "j-77", 200, "pending", c.LastStage("j-77")) }},
		{"not_done", func(c *Checker) { c.Completed("j-1", 0); c.Answered("poll", "j-1", 200, "done", c.LastStage("j-1")) }},
		{"went_back", func(c *Checker) {
			for n := range 3 {
				c.Completed("j-1", n)
			}
			c.Answered("poll", "j-1", 200, "done", c.LastStage("j-1"))
			c.Answered("poll", "j-1", 200, "running", c.LastStage("j-1"))
		}},
		{"went_back", func(c *Checker) { c.Answered("poll", "j-1", 200, "cancelled", c.LastStage("j-1")) }},
		{"nothing_ran", func(c *Checker) { c.Finish() }},
	}
}

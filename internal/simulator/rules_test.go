package simulator

import (
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// breach breaks one rule.
type breach struct {
	rule string
	do   func(c *Checker)
}

// TestCheckerCatches breaks each rule once and sees that it is noticed.
func TestCheckerCatches(t *testing.T) {
	for _, tc := range append(breachesOnMachines(), breachesInAnswers()...) {
		c := NewChecker()
		c.now = units.Second
		c.limits["red"] = 4
		c.Submitted(&schema.Job{ID: "j-1", Team: "red", Tasks: 3, CPUs: 2})
		c.Submitted(&schema.Job{ID: "j-2", Team: "blue", Tasks: 2, CPUs: 1, Spread: true})
		c.Submitted(&schema.Job{ID: "j-3", Team: "blue", Tasks: 2, CPUs: 1, OneZone: true})
		tc.do(c)
		if len(c.Broken) != 1 || !strings.Contains(c.Broken[0], tc.rule) {
			t.Errorf("%s: noticed %q", tc.rule, c.Broken)
		}
	}
}

// breachesOnMachines are those of tasks: where and when they run.
func breachesOnMachines() []breach {
	spot := cloud.Listed{Type: "big", Zone: "a", Spot: true}
	a, b := cloud.Listed{Type: "big", Zone: "a"}, cloud.Listed{Type: "big", Zone: "b"}
	return []breach{
		{"ran_twice", func(c *Checker) { c.On("m1", a, "j-1", 0); c.On("m2", a, "j-1", 0) }},
		{"quota", func(c *Checker) { c.On("m1", a, "j-1", 0); c.On("m1", a, "j-1", 1); c.On("m1", a, "j-1", 2) }},
		{"wrong_place", func(c *Checker) { c.On("m1", spot, "j-1", 0) }},
		{"wrong_place", func(c *Checker) { c.On("m1", a, "j-2", 0); c.On("m2", a, "j-2", 1) }},
		{"wrong_place", func(c *Checker) { c.On("m1", a, "j-3", 0); c.On("m2", b, "j-3", 1) }},
		{"ran_cancelled", func(c *Checker) {
			c.On("m1", a, "j-1", 0)
			c.Aborting("j-1")
			c.Answer("abort", "j-1", 200, "cancelled", c.Told("j-1"))
			c.now += c.CancelIn + 1
			c.Tick()
		}},
		{"ran_cancelled", func(c *Checker) {
			c.Aborting("j-1")
			c.Answer("abort", "j-1", 200, "cancelled", c.Told("j-1"))
			c.now += c.CancelIn + 1
			c.On("m1", a, "j-1", 0)
		}},
		{"ran_cancelled", func(c *Checker) { // a start is ordered long after the confirmation
			c.Aborting("j-1")
			c.Answer("abort", "j-1", 200, "cancelled", c.Told("j-1"))
			c.now += orderedWithin + 1
			c.Ordered("j-1", 0, "m1", c.now)
		}},
		{"ran_cancelled", func(c *Checker) { // it goes on after its machine hung
			c.On("m1", a, "j-1", 0)
			c.Aborting("j-1")
			c.Answer("abort", "j-1", 200, "cancelled", c.Told("j-1"))
			for range 20 {
				c.now += c.CancelIn / 10
				c.Tick()
			}
		}},
		{"too_early", func(c *Checker) { // one of two needed tasks is not done
			c.Submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.IDs{"j-2"}})
			c.Completed("j-2", 0)
			c.On("m1", a, "j-4", 0)
		}},
		{"left_waiting", func(c *Checker) {
			c.Answer("submit", "j-1", 201, "pending", c.Told("j-1"))
			c.Calm = units.Second
			for range 20 {
				c.now += 5 * units.Second
				c.Waits("j-1", "m1", true)
			}
		}},
	}
}

// breachesInAnswers are those of what users are told, and of who is served.
func breachesInAnswers() []breach {
	a := cloud.Listed{Type: "big", Zone: "a"}
	return []breach{
		{"accepted_bad", func(c *Checker) {
			c.Bad("j-1", "lacks a field")
			c.Answer("submit", "j-1", 201, "pending", c.Told("j-1"))
		}},
		{"forgotten", func(c *Checker) {
			c.Answer("submit", "j-1", 201, "pending", c.Told("j-1"))
			c.Answer("poll", "j-1", 404, "", c.Told("j-1"))
		}},
		{"forgotten", func(c *Checker) {
			c.Answer("submit", "j-1", 201, "pending", c.Told("j-1"))
			c.Answer("submit", "j-1", 422, "", c.Told("j-1"))
		}},
		{"forgotten", func(c *Checker) {
			c.Answer("submit", "j-1", 201, "pending", c.Told("j-1"))
			for range 100 {
				c.now += units.Second
				c.Answer("poll", "j-1", 503, "", c.Told("j-1"))
				c.Answer("poll", "j-2", 404, "", c.Told("j-2"))
				c.Answer("poll", "j-3", 404, "", c.Told("j-3"))
			}
		}},
		{"forgotten", func(c *Checker) { // however others fare
			c.Answer("submit", "j-1", 201, "pending", c.Told("j-1"))
			c.Calm = 10 * units.Second
			for range 30 {
				c.now += 3 * units.Second
				c.Answer("poll", "j-1", 503, "", c.Told("j-1"))
				c.Answer("poll", "j-2", 503, "", c.Told("j-2"))
			}
		}},
		{"unserved", func(c *Checker) {
			c.Answer("submit", "j-1", 201, "pending", c.Told("j-1"))
			c.atLeastHalf("team red", []*checked{c.jobs["j-1"]})
		}},
		{"unserved", func(c *Checker) { // it began, but late
			c.Answer("submit", "j-1", 201, "pending", c.Told("j-1"))
			c.now += beginWithin + 1
			c.On("m1", a, "j-1", 0)
			c.End()
		}},
		{"orphaned", func(c *Checker) { // through another job
			c.Submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.IDs{"j-1"}})
			c.Submitted(&schema.Job{ID: "j-5", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.IDs{"j-4"}})
			c.Answer("submit", "j-5", 201, "pending", c.Told("j-5"))
			c.Aborting("j-1")
			c.Answer("abort", "j-1", 200, "cancelled", c.Told("j-1"))
			c.now += c.CancelIn + 1
			c.Answer("poll", "j-5", 200, "pending", c.Told("j-5"))
		}},
		{"went_back", func(c *Checker) { // cancelled with a job that is done
			c.Submitted(&schema.Job{ID: "j-4", Team: "blue", Tasks: 1, CPUs: 1, Needs: schema.IDs{"j-2"}})
			c.Completed("j-2", 0)
			c.Completed("j-2", 1)
			c.Aborting("j-2")
			c.Answer("abort", "j-2", 200, "done", c.Told("j-2"))
			c.Answer("poll", "j-4", 200, "cancelled", c.Told("j-4"))
		}},
		{"invented", func(c *Checker) { c.Answer("poll", "j-77", 200, "pending", c.Told("j-77")) }},
		{"not_done", func(c *Checker) { c.Completed("j-1", 0); c.Answer("poll", "j-1", 200, "done", c.Told("j-1")) }},
		{"went_back", func(c *Checker) {
			for n := range 3 {
				c.Completed("j-1", n)
			}
			c.Answer("poll", "j-1", 200, "done", c.Told("j-1"))
			c.Answer("poll", "j-1", 200, "running", c.Told("j-1"))
		}},
		{"went_back", func(c *Checker) { c.Answer("poll", "j-1", 200, "cancelled", c.Told("j-1")) }},
		{"nothing_ran", func(c *Checker) { c.End() }},
	}
}

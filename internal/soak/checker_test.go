package soak

import (
	"strings"
	"testing"
	"time"
)

// history tells a checker what happened, at moments that it sets.
type history struct {
	checker *Checker
	at      time.Duration
}

func (h *history) wait(d time.Duration) *history { h.at += d; return h }

func (h *history) job(facts JobFacts) *history {
	if facts.Tasks == 0 {
		facts.Tasks = 1
	}
	facts.Team, facts.CPUs = "red", 2
	h.checker.Submitted(facts)
	return h
}

func (h *history) answer(kind, id string, status int, stage string) *history {
	h.checker.Answered(kind, id, status, stage, h.checker.BeforeRequest(id))
	return h
}

func (h *history) accept(id string) *history { return h.answer("submit", id, 201, "pending") }

func (h *history) cancel(id string) *history {
	h.checker.CancelRequested(id)
	return h.answer("abort", id, 200, "cancelled")
}

func (h *history) started(id string, num int, machine string) *history {
	h.checker.TaskStarted(machine, "north", false, id, num)
	return h
}

func (h *history) stopped(id string, num int, machine string) *history {
	h.checker.TaskStopped(machine, id, num)
	return h
}

func (h *history) complete(id string, num int, machine string) *history {
	h.stopped(id, num, machine)
	h.checker.Completed(id, num)
	return h
}

// TestChecker has each check catch a made-up history that breaks it, and pass one that just
// does not.
func TestChecker(t *testing.T) {
	const limit = 10 * time.Second
	late, early := limit+time.Millisecond, limit
	for _, tc := range []struct {
		name, rule string // rule is empty where none is broken
		play       func(h *history)
	}{
		{"twice", "ran_twice", func(h *history) { h.job(JobFacts{ID: "a"}).started("a", 0, "m").started("a", 0, "n") }},
		{"one after the other", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).started("a", 0, "m").stopped("a", 0, "m").started("a", 0, "n")
		}},
		{"over the limit", "quota", func(h *history) {
			h.job(JobFacts{ID: "a", Tasks: 3}).started("a", 0, "m").started("a", 1, "m").started("a", 2, "m")
		}},
		{"at the limit", "", func(h *history) {
			h.job(JobFacts{ID: "a", Tasks: 3}).started("a", 0, "m").started("a", 1, "m").stopped("a", 0, "m").started("a", 2, "m")
		}},
		{"wrong zone", "wrong_place", func(h *history) { h.job(JobFacts{ID: "a", Zone: "south"}).started("a", 0, "m") }},
		{"right zone", "", func(h *history) { h.job(JobFacts{ID: "a", Zone: "north"}).started("a", 0, "m") }},
		{"spot", "wrong_place", func(h *history) { h.job(JobFacts{ID: "a"}); h.checker.TaskStarted("m", "north", true, "a", 0) }},
		{"spot allowed", "", func(h *history) {
			h.job(JobFacts{ID: "a", Spot: true})
			h.checker.TaskStarted("m", "north", true, "a", 0)
		}},
		{"goes on after cancellation", "ran_cancelled", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").cancel("a").wait(late).checker.CheckDeadlines()
		}},
		{"gone in time", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").cancel("a").wait(early).checker.CheckDeadlines()
			h.stopped("a", 0, "m").wait(limit).checker.CheckDeadlines()
		}},
		{"starts after cancellation", "ran_cancelled", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").cancel("a").wait(late).started("a", 0, "m")
		}},
		{"starts in time", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").cancel("a").wait(early).started("a", 0, "m")
		}},
		{"goes on after what it needs was cancelled", "ran_cancelled", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b")
			h.started("a", 0, "m").complete("a", 0, "m").started("b", 0, "m").cancel("a").wait(late).checker.CheckDeadlines()
		}},
		{"starts before what it needs", "too_early", func(h *history) {
			h.job(JobFacts{ID: "a", Tasks: 2}).job(JobFacts{ID: "b", Needs: []string{"a"}}).started("a", 0, "m").complete("a", 0, "m").started("b", 0, "m")
		}},
		{"starts after what it needs", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).job(JobFacts{ID: "b", Needs: []string{"a"}}).started("a", 0, "m").complete("a", 0, "m").started("b", 0, "m")
		}},
		{"called pending after what it needs was cancelled", "orphaned", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b")
			h.cancel("a").wait(late).answer("poll", "b", 200, "pending")
		}},
		{"called pending through another", "orphaned", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b").job(JobFacts{ID: "c", Needs: []string{"b"}}).accept("c")
			h.cancel("a").wait(late).answer("poll", "c", 200, "running")
		}},
		{"called pending in time", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b")
			h.cancel("a").wait(early).answer("poll", "b", 200, "pending").answer("poll", "b", 200, "cancelled")
		}},
		{"runs on though nobody knows it", "orphaned", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").cancel("a").checker.Finish()
		}},
		{"nothing runs on", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").stopped("a", 0, "m").cancel("a").checker.Finish()
		}},
		{"nothing ran", "nothing_ran", func(h *history) { h.checker.Finish() }},
		{"accepted and 404", "forgotten", func(h *history) { h.job(JobFacts{ID: "a"}).accept("a").answer("poll", "a", 404, "") }},
		{"404 before it is accepted", "", func(h *history) { h.job(JobFacts{ID: "a"}).answer("poll", "a", 404, "").accept("a") }},
		{"repeat refused", "forgotten", func(h *history) { h.job(JobFacts{ID: "a"}).accept("a").answer("submit", "a", 422, "") }},
		{"refused at first", "", func(h *history) { h.job(JobFacts{ID: "a"}).answer("submit", "a", 422, "") }},
		{"of nobody", "invented", func(h *history) { h.answer("poll", "x", 200, "pending") }},
		{"of nobody, 404", "", func(h *history) { h.answer("poll", "x", 404, "") }},
		{"done too soon", "not_done", func(h *history) { h.job(JobFacts{ID: "a"}).accept("a").answer("poll", "a", 200, "done") }},
		{"done", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").complete("a", 0, "m").answer("poll", "a", 200, "done")
		}},
		{"done and pending", "went_back", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").complete("a", 0, "m").answer("poll", "a", 200, "done").answer("poll", "a", 200, "pending")
		}},
		{"cancelled by nobody", "went_back", func(h *history) { h.job(JobFacts{ID: "a"}).accept("a").answer("poll", "a", 200, "cancelled") }},
		{"cancelled with what it needs", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b").cancel("a").answer("poll", "b", 200, "cancelled")
		}},
		{"overtaken answer", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a")
			asked := h.checker.BeforeRequest("a")
			h.cancel("a").checker.Answered("poll", "a", 200, "pending", asked)
		}},
		{"accepted though it can't run", "accepted_bad", func(h *history) { h.job(JobFacts{ID: "a", RejectReason: "fits no machine"}).accept("a") }},
		{"refused since it can't run", "", func(h *history) {
			h.job(JobFacts{ID: "a", RejectReason: "fits no machine"}).answer("submit", "a", 422, "")
		}},
		{"no stage", "malformed", func(h *history) { h.job(JobFacts{ID: "a"}).answer("submit", "a", 201, "") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := &history{checker: NewChecker(limit, map[string]float64{"red": 4})}
			h.checker.clock = func() time.Duration { return h.at }
			tc.play(h)
			broken := strings.Join(h.checker.Report().Broken, "\n")
			if tc.rule == "" && broken != "" || tc.rule != "" && !strings.Contains(broken, " "+tc.rule+": ") {
				t.Errorf("want %q, got %q", tc.rule, broken)
			}
		})
	}
}

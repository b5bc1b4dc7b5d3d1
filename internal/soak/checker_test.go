package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// history reports events to a checker, whose clock is h.at.
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

func (h *history) respond(kind RequestKind, id string, status int, stage Stage) *history {
	h.checker.ResponseReceived(kind, id, status, stage, h.checker.BeforeRequest(id))
	return h
}

func (h *history) accept(id string) *history {
	return h.respond(SubmitRequest, id, http.StatusCreated, StagePending)
}

func (h *history) cancel(id string) *history {
	h.checker.CancelRequested(id)
	return h.respond(CancelRequest, id, http.StatusOK, StageCancelled)
}

func (h *history) started(id string, index int, machine string) *history {
	h.checker.TaskStarted(machine, "north", false, id, index)
	return h
}

func (h *history) stopped(id string, index int, machine string) *history {
	h.checker.TaskStopped(machine, id, index)
	return h
}

func (h *history) complete(id string, index int, machine string) *history {
	h.stopped(id, index, machine)
	h.checker.Completed(id, index)
	return h
}

// The cancellation deadline of all histories, and waiting times just after and just within it.
const (
	limit = 10 * time.Second
	late  = limit + time.Millisecond
	early = limit
)

// checkerCase is a synthetic history and the rule that it breaks.
type checkerCase struct {
	name string
	rule Rule // as it is printed; empty: none is broken
	run  func(h *history)
}

// testChecker runs each history against a checker of its own.
func testChecker(t *testing.T, cases []checkerCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := &history{checker: NewChecker(limit, map[string]float64{"red": 4})}
			h.checker.clock = func() time.Duration { return h.at }
			tc.run(h)
			violations := h.checker.Observations().Violations
			caught := slices.ContainsFunc(violations, func(violation Violation) bool { return violation.Rule == tc.rule })
			if tc.rule == "" && len(violations) > 0 || tc.rule != "" && !caught {
				t.Errorf("want violation of rule %q, got %q", tc.rule, violations)
			}
		})
	}
}

// TestCheckerPlacement tests that the rules on task placement catch a history that breaks them, and pass
// one that only just keeps them.
func TestCheckerPlacement(t *testing.T) {
	testChecker(t, []checkerCase{
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
		{"nothing ran", "nothing_ran", func(h *history) { h.checker.Finish() }},
	})
}

// TestCheckerCancellation tests that the rules on tasks after a cancellation catch a history that breaks
// them, and pass one that only just keeps them.
func TestCheckerCancellation(t *testing.T) {
	testChecker(t, []checkerCase{
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
		{"runs on though nobody knows it", "orphaned", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").cancel("a").checker.Finish()
		}},
		{"nothing runs on", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").stopped("a", 0, "m").cancel("a").checker.Finish()
		}},
	})
}

// TestCheckerDependencies tests that the rules on jobs with dependencies catch a history that breaks
// them, and pass one that only just keeps them.
func TestCheckerDependencies(t *testing.T) {
	testChecker(t, []checkerCase{
		{"starts before what it needs", "too_early", func(h *history) {
			h.job(JobFacts{ID: "a", Tasks: 2}).job(JobFacts{ID: "b", Needs: []string{"a"}}).started("a", 0, "m").complete("a", 0, "m").started("b", 0, "m")
		}},
		{"starts after what it needs", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).job(JobFacts{ID: "b", Needs: []string{"a"}}).started("a", 0, "m").complete("a", 0, "m").started("b", 0, "m")
		}},
		{"called pending after what it needs was cancelled", "orphaned", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b")
			h.cancel("a").wait(late).respond(PollRequest, "b", http.StatusOK, StagePending)
		}},
		{"called pending through another", "orphaned", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b")
			h.job(JobFacts{ID: "c", Needs: []string{"b"}}).accept("c")
			h.cancel("a").wait(late).respond(PollRequest, "c", http.StatusOK, StageRunning)
		}},
		{"called pending in time", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b")
			h.cancel("a").wait(early).respond(PollRequest, "b", http.StatusOK, StagePending).respond(PollRequest, "b", http.StatusOK, StageCancelled)
		}},
		{"cancelled with what it needs", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b")
			h.cancel("a").respond(PollRequest, "b", http.StatusOK, StageCancelled)
		}},
		{"starts before one of two that it needs", "too_early", func(h *history) {
			h.job(JobFacts{ID: "a"}).job(JobFacts{ID: "b", Tasks: 2}).job(JobFacts{ID: "c", Needs: []string{"a", "b"}})
			h.started("a", 0, "m").complete("a", 0, "m").started("b", 1, "n").complete("b", 1, "n").started("c", 0, "m")
		}},
		{"starts after both that it needs", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).job(JobFacts{ID: "b"}).job(JobFacts{ID: "c", Needs: []string{"a", "b"}})
			h.started("a", 0, "m").complete("a", 0, "m").started("b", 0, "n").complete("b", 0, "n").started("c", 0, "m")
		}},
		{"called pending after what needs it was cancelled", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").job(JobFacts{ID: "b", Needs: []string{"a"}}).accept("b")
			h.cancel("b").wait(late).respond(PollRequest, "a", http.StatusOK, StagePending)
		}},
	})
}

// TestCheckerAnswers tests that the rules on responses to users catch a history that breaks them, and
// pass one that only just keeps them.
func TestCheckerAnswers(t *testing.T) {
	testChecker(t, []checkerCase{
		{"accepted and 404", "forgotten", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").respond(PollRequest, "a", http.StatusNotFound, "")
		}},
		{"404 before it is accepted", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).respond(PollRequest, "a", http.StatusNotFound, "").accept("a")
		}},
		{"repeat refused", "forgotten", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").respond(SubmitRequest, "a", http.StatusUnprocessableEntity, "")
		}},
		{"refused at first", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).respond(SubmitRequest, "a", http.StatusUnprocessableEntity, "")
		}},
		{"of nobody", "invented", func(h *history) { h.respond(PollRequest, "x", http.StatusOK, StagePending) }},
		{"of nobody, 404", "", func(h *history) { h.respond(PollRequest, "x", http.StatusNotFound, "") }},
		{"done too soon", "not_done", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").respond(PollRequest, "a", http.StatusOK, StageDone)
		}},
		{"done", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").complete("a", 0, "m").respond(PollRequest, "a", http.StatusOK, StageDone)
		}},
		{"done and pending", "went_back", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").started("a", 0, "m").complete("a", 0, "m")
			h.respond(PollRequest, "a", http.StatusOK, StageDone).respond(PollRequest, "a", http.StatusOK, StagePending)
		}},
		{"cancelled by nobody", "went_back", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a").respond(PollRequest, "a", http.StatusOK, StageCancelled)
		}},
		{"overtaken answer", "", func(h *history) {
			h.job(JobFacts{ID: "a"}).accept("a")
			known := h.checker.BeforeRequest("a")
			h.cancel("a").checker.ResponseReceived(PollRequest, "a", http.StatusOK, StagePending, known)
		}},
		{"accepted though it can't run", "accepted_bad", func(h *history) { h.job(JobFacts{ID: "a", RejectReason: "fits no machine"}).accept("a") }},
		{"refused since it can't run", "", func(h *history) {
			h.job(JobFacts{ID: "a", RejectReason: "fits no machine"}).respond(SubmitRequest, "a", http.StatusUnprocessableEntity, "")
		}},
		{"no stage", "malformed", func(h *history) { h.job(JobFacts{ID: "a"}).respond(SubmitRequest, "a", http.StatusCreated, "") }},
	})
}

// TestViolationLine tests the format of a violation, which operators read.
func TestViolationLine(t *testing.T) {
	violation := Violation{At: 1500 * time.Millisecond, Rule: RuleQuota, Detail: "red uses 5 of 4 CPUs"}
	if want := "1.500 quota: red uses 5 of 4 CPUs"; violation.String() != want {
		t.Errorf("want %q, got %q", want, violation)
	}
}

package dag

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"frostdock.example/frostdock/internal/units"
)

// noOutcome is a lookup function that knows no outcome.
func noOutcome(string) (Outcome, bool) { return Outcome{}, false }

// build returns a graph of jobs, none of them cancelled.
func build(t *testing.T, jobs ...Job) *Graph {
	t.Helper()
	g := New()
	for _, j := range jobs {
		if cancelled := g.Add(j, noOutcome); len(cancelled) > 0 {
			t.Fatalf("%s cancels %v", j.ID, cancelled)
		}
	}
	return g
}

// TestReady checks that a job is ready only when all jobs that it needs are done, and that ReadyAt is the
// time of the last of their outcomes.
func TestReady(t *testing.T) {
	g := build(t, Job{ID: "a"}, Job{ID: "b"}, Job{ID: "c", Needs: []string{"a", "b", "a"}}, Job{ID: "d", Needs: []string{"c"}})
	if g.Node("c").Ready() || !g.Node("a").Ready() {
		t.Fatal("c is ready, or a is not")
	}
	g.RecordOutcome("a", Outcome{Done, 5})
	g.RecordOutcome("a", Outcome{Done, 99}) // an outcome never changes
	g.Remove("a")
	if n := g.Node("c"); n.Ready() || !slices.Equal(n.UnmetNeeds(), []string{"b"}) {
		t.Fatalf("c is ready, or waits for %v", n.UnmetNeeds())
	}
	if _, ready := g.RecordOutcome("b", Outcome{Done, 3}); !slices.Equal(ready, []string{"c"}) {
		t.Fatalf("ready: %v", ready)
	}
	if n := g.Node("c"); !n.Ready() || n.ReadyAt() != 5 {
		t.Fatalf("ready %v, at %v", n.Ready(), n.ReadyAt())
	}
	if g.Node("d").Ready() {
		t.Fatal("d does not wait for c")
	}
}

// TestOutcomeBeforeAdd adds jobs after outcomes of the jobs that they need, as happens while a
// replica is loaded.
func TestOutcomeBeforeAdd(t *testing.T) {
	g := New()
	g.Add(Job{ID: "c", Needs: []string{"a", "b"}}, func(id string) (Outcome, bool) { return Outcome{Done, 7}, id == "a" })
	g.Add(Job{ID: "d", Needs: []string{"c"}}, noOutcome)
	if got := g.Unresolved(9); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("unresolved: %v", got)
	}
	if g.Resolved("d") || g.Node("c").Ready() {
		t.Fatal("the state of d is known, or c is ready")
	}
	g.RecordOutcome("b", Outcome{Done, 2})
	if !g.Resolved("d") || !g.Node("c").Ready() || g.Node("c").ReadyAt() != 7 {
		t.Fatal("c is not ready at 7")
	}
	if len(g.Unresolved(9)) > 0 {
		t.Error("jobs are unresolved though all outcomes are known")
	}
	// A needed job that is accepted has no outcome to look up; one that was removed has, while it is needed.
	g.Add(Job{ID: "f", Needs: []string{"e"}}, noOutcome)
	g.Add(Job{ID: "e"}, noOutcome)
	if len(g.Unresolved(9)) > 0 {
		t.Error("e is accepted and must not be unresolved")
	}
	g.Remove("e")
	if !slices.Equal(g.Unresolved(9), []string{"e"}) {
		t.Error("e was removed while f needs it, but is not unresolved")
	}
}

// TestCancelled checks that a cancellation reaches all dependents of a job, also a dependent of several
// jobs with different outcomes and a job added afterwards.
func TestCancelled(t *testing.T) {
	g := build(t, Job{ID: "a"}, Job{ID: "b"}, Job{ID: "c", Needs: []string{"a", "b"}}, Job{ID: "d", Needs: []string{"c"}}, Job{ID: "e", Needs: []string{"b"}})
	g.RecordOutcome("b", Outcome{Done, 1})
	cancelled, ready := g.RecordOutcome("a", Outcome{State: Cancelled})
	if !slices.Equal(cancelled, []string{"c", "d"}) || len(ready) > 0 {
		t.Fatalf("cancelled %v, ready %v", cancelled, ready)
	}
	if !g.Node("d").Cancelled() || g.Node("d").CancelledBy() != "c" || g.Node("e").Cancelled() {
		t.Error("d is not cancelled because of c, or e is")
	}
	if got := g.Add(Job{ID: "f", Needs: []string{"d"}}, noOutcome); !slices.Equal(got, []string{"f"}) || g.Node("f").Ready() {
		t.Errorf("f: %v", got)
	}
	if c, r := g.RecordOutcome("c", Outcome{Done, 1}); len(c)+len(r) > 0 {
		t.Error("a cancelled job became done")
	}
}

// TestInherit checks that a job has the highest priority and the earliest deadline of itself and its
// dependents, without those that are cancelled or removed.
func TestInherit(t *testing.T) {
	g := build(t, Job{ID: "a", Priority: 0}, Job{ID: "b", Priority: 1, Needs: []string{"a"}}, Job{ID: "c", Priority: 2, DueAt: 50, Needs: []string{"b"}}, Job{ID: "d", Priority: 3, DueAt: 70, Needs: []string{"b"}})
	want := func(id string, priority int, due units.Micros) {
		t.Helper()
		if n := g.Node(id); n.Priority() != priority || n.DueAt() != due {
			t.Errorf("%s: priority %d, due %d; want %d, %d", id, n.Priority(), n.DueAt(), priority, due)
		}
	}
	want("a", 3, 50)
	g.RecordOutcome("d", Outcome{State: Cancelled})
	want("a", 2, 50)
	g.RecordOutcome("c", Outcome{State: Cancelled})
	g.Remove("c")
	want("b", 1, 0)
	want("a", 1, 0)
}

// TestCollected checks that the graph is empty after all jobs have ended.
func TestCollected(t *testing.T) {
	g := New()
	rng := rand.New(rand.NewPCG(1, 2))
	var ids []string
	for i := range 300 {
		j := Job{ID: strconv.Itoa(i)}
		for range rng.IntN(4) {
			if i > 0 {
				j.Needs = append(j.Needs, ids[rng.IntN(i)])
			}
		}
		ids = append(ids, j.ID)
		g.Add(j, noOutcome)
	}
	for _, id := range ids {
		g.RecordOutcome(id, Outcome{Done, 1})
		g.Remove(id)
	}
	if len(g.nodes)+len(g.unresolved) > 0 {
		t.Errorf("%d nodes and %d unresolved jobs are left", len(g.nodes), len(g.unresolved))
	}
}

// TestWork checks that the number of edges that a change concerns bounds the number of nodes that it
// visits, in long chains and wide fan-in and fan-out, beside many unrelated jobs.
func TestWork(t *testing.T) {
	const n = 3000
	g := New()
	for i := range n {
		g.Add(Job{ID: fmt.Sprintf("other-%d", i)}, noOutcome)
		g.Add(Job{ID: fmt.Sprintf("out-%d", i), Needs: []string{"hub"}}, noOutcome)
		g.Add(Job{ID: fmt.Sprintf("line-%d", i), Needs: []string{fmt.Sprintf("line-%d", i-1)}}, noOutcome)
	}
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("other-%d", i))
	}
	work := func(limit int, what string, do func()) {
		t.Helper()
		before := g.visited
		do()
		if got := g.visited - before; got > limit {
			t.Errorf("%s: %d nodes visited, more than the limit", what, got)
		}
	}
	work(2*n, "wide fan-in", func() { g.Add(Job{ID: "in", Needs: all}, noOutcome) })
	work(5, "one outcome of many", func() { g.RecordOutcome("other-7", Outcome{Done, 1}) })
	work(2*n, "wide fan-out", func() { g.RecordOutcome("hub", Outcome{State: Cancelled}) })
	work(4, "a new last link", func() { g.Add(Job{ID: "last", Needs: []string{fmt.Sprintf("line-%d", n-1)}}, noOutcome) })
	work(4*n, "a long chain", func() { g.RecordOutcome("line-0", Outcome{State: Cancelled}) })
	if !g.Node("last").Cancelled() || !g.Node("out-17").Cancelled() {
		t.Error("a cancellation did not reach all dependents")
	}
	work(4, "removing one of many", func() { g.Remove("out-17") })
}

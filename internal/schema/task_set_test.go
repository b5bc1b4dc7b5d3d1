package schema

import (
	"math/rand/v2"
	"testing"
)

// TestTaskSet compares a growing set with a map, and parses its text form back.
func TestTaskSet(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var s TaskSet
	want := map[int]bool{}
	for range 400 {
		n := rng.IntN(300)
		before := s.String()
		grown := s.Union(NewTaskSet([]int{n}))
		if s.String() != before {
			t.Fatal("Union changed its receiver")
		}
		s, want[n] = grown, true
	}
	back, err := ParseTaskSet(s.String())
	if err != nil || back.String() != s.String() || back.Len() != len(want) {
		t.Fatalf("%v: %q has %d, want %d", err, s, back.Len(), len(want))
	}
	for n := range 300 {
		if back.Contains(n) != want[n] {
			t.Fatalf("%d: %v", n, back.Contains(n))
		}
		missing := n
		for want[missing] {
			missing++
		}
		if back.NextMissing(n) != missing {
			t.Fatalf("next missing from %d on is %d, want %d", n, back.NextMissing(n), missing)
		}
	}
	for text, want := range map[string]int{"": 0, "1-3": 0, "0": 1, "0-7,9": 8} {
		if s, _ := ParseTaskSet(text); s.NextMissing(0) != want {
			t.Errorf("%q: first missing is %d", text, s.NextMissing(0))
		}
	}
	if _, err := ParseTaskSet("1-x"); err == nil {
		t.Fatal("a malformed range was parsed without an error")
	}
}

// TestUnion checks the union of task sets, which is needed while a job's progress moves between
// segments and is in two documents.
func TestUnion(t *testing.T) {
	for _, tc := range [][3]string{{"0-3,9", "2-5,7", "0-5,7,9"}, {"", "4", "4"}, {"0-3", "4-6", "0-6"}, {"1,3,5", "2,4", "1-5"}} {
		a, errA := ParseTaskSet(tc[0])
		b, errB := ParseTaskSet(tc[1])
		if got := a.Union(b).String(); got != tc[2] || b.Union(a).String() != tc[2] || errA != nil || errB != nil {
			t.Errorf("%s and %s: %s", tc[0], tc[1], got)
		}
		if a.String() != tc[0] {
			t.Error("Union changed its receiver")
		}
	}
}

// setLimit is one more than the largest number in a random set.
const setLimit = 60

// randomSet returns a set of numbers below setLimit, and the same as a map.
func randomSet(rng *rand.Rand) (TaskSet, map[int]bool) {
	var numbers []int
	in := map[int]bool{}
	for n := range setLimit {
		if rng.IntN(3) > 0 {
			numbers, in[n] = append(numbers, n), true
		}
	}
	return NewTaskSet(numbers), in
}

// checkMembers checks that a set has the numbers below setLimit for which want holds.
func checkMembers(t *testing.T, what string, set TaskSet, want func(n int) bool) {
	t.Helper()
	for n := range setLimit {
		if set.Contains(n) != want(n) {
			t.Fatalf("%s: %q, at %d", what, set, n)
		}
	}
}

// TestSetOperations compares operations on random sets with the same on maps. An operation must not change the sets that it
// is given, whose memory others may share.
func TestSetOperations(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		a, inA := randomSet(rng)
		b, inB := randomSet(rng)
		textA, textB := a.String(), b.String()
		cut := rng.IntN(setLimit)
		below, from := a.SplitAt(cut)
		lower, upper := a.Halves()
		checkMembers(t, "union", a.Union(b), func(n int) bool { return inA[n] || inB[n] })
		checkMembers(t, "difference", a.Without(b), func(n int) bool { return inA[n] && !inB[n] })
		checkMembers(t, "below the cut", below, func(n int) bool { return inA[n] && n < cut })
		checkMembers(t, "from the cut on", from, func(n int) bool { return inA[n] && n >= cut })
		checkMembers(t, "lower half", lower, func(n int) bool { return inA[n] && n < upper.First() })
		if lower.Union(upper).String() != textA || lower.Empty() || upper.Empty() {
			t.Fatalf("%s in halves: %s and %s", textA, lower, upper)
		}
		if a.String() != textA || b.String() != textB {
			t.Fatal("an operation changed a set that it was given")
		}
	}
}

// TestSmallSets checks operations on sets of one number and of none.
func TestSmallSets(t *testing.T) {
	one := NewTaskSet([]int{7})
	if lower, upper := one.Halves(); !lower.Empty() || upper.String() != "7" {
		t.Errorf("halves of a single number: %q and %q", lower, upper)
	}
	if empty := (TaskSet{}); !empty.Empty() || empty.First() != 0 || empty.NextMissing(3) != 3 || one.Empty() {
		t.Error("the empty set is not empty")
	}
}

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
		grown := s.With(n)
		if s.String() != before {
			t.Fatal("With changed its receiver")
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
	}
	for text, want := range map[string]int{"": 0, "1-3": 0, "0": 1, "0-7,9": 8} {
		if s, _ := ParseTaskSet(text); s.FirstMissing() != want {
			t.Errorf("%q: first missing is %d", text, s.FirstMissing())
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

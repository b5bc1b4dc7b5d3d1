package schema

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
)

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
		t.Fatal("nonsense was read")
	}
}

func TestTasksText(t *testing.T) {
	in := Tasks{
		{Job: "j-000412", Index: 3, Attempt: 1<<28 | 7}, {Job: "j-000412", Index: 4, Attempt: 1<<28 | 7},
		{Job: "j-000412", Index: 9, Attempt: 1<<28 | 7, StopMode: StopGracefully}, {Job: "j-000412", Index: 10, Attempt: 1<<28 | 7, DoneTenths: 124},
		{Job: "j-7", Index: 0, Attempt: 1<<40 | 9, StopMode: StopImmediately, DoneTenths: 1}, {Job: "j-7", Index: 1, Attempt: 1 << 40},
	}
	text := in.encode()
	got, err := ParseTasks(text)
	if err != nil || !slices.Equal(got, in) {
		t.Fatalf("%q: %v, %v", text, got, err)
	}
	if parts := strings.Count(text, "~"); parts != 5 {
		t.Errorf("%q has %d ranges, want 5", text, parts)
	}
	for _, bad := range []string{"x", "1:2", "1:2~", "1:a~1", "1:2-b~1", "1:2~1!x"} {
		if _, err := ParseTasks(bad); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

// TestShardCount shows that documents of machines hold what a thousand machines run.
func TestShardCount(t *testing.T) {
	for _, tc := range []struct {
		kb, cpus float64
		want     int
	}{
		{1, 0, 256}, {4, 0, 96}, {16, 0, 24}, {1000, 0, 8},
		{8, 4800, 12}, {8, 5200, 12}, {8, 7200, 24}, {8, 1e6, 48}, // a fleet that the teams' limits bound
		{16, 1376, 12}, {16, 75000, 24}, {1000, 100, 8},
	} {
		if got := MachineShardCount(tc.kb, tc.cpus); got != tc.want {
			t.Errorf("%v KB, %v CPUs: %d documents, want %d", tc.kb, tc.cpus, got, tc.want)
		}
	}
	in := map[int]int{}
	for n := range 1000 {
		in[MachineShardIndex(fmt.Sprintf("n-%06d", n), 96)]++
	}
	for g, n := range in {
		if n > 11 {
			t.Errorf("group %d has %d machines", g, n)
		}
	}
}

// TestCompression shows that documents come back whole from either form, and that a
// commit's mark is found in both.
func TestCompression(t *testing.T) {
	for _, jobs := range []int{0, 1, 40} {
		in := JobShard{WriteTag: "inc-7"}
		for n := range jobs {
			in.Jobs = append(in.Jobs, Job{ID: fmt.Sprintf("j-%06d", n*7919%100000), Class: "c", Team: "red", Tasks: n, CPUs: 2, MemGB: 7.4, Image: "img-01"})
		}
		raw, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		plain, err := json.Marshal(plainJobShard(in))
		if err != nil || len(raw) > len(plain) || jobs == 40 && len(raw)*3 > len(plain) {
			t.Errorf("%d jobs: %d bytes, plain %d: %v", jobs, len(raw), len(plain), err)
		}
		for _, form := range [][]byte{raw, plain} {
			var out JobShard
			if err := json.Unmarshal(form, &out); err != nil || !reflect.DeepEqual(in, out) {
				t.Errorf("%d jobs: %v, %+v", jobs, err, out)
			}
			if !strings.Contains(string(PlainJSON(form)), `"inc-7"`) {
				t.Errorf("%d jobs: no mark in %q", jobs, form)
			}
		}
	}
	for _, bad := range []string{`"x`, `"!!!!"`, `"AAAA"`} {
		if err := json.Unmarshal([]byte(bad), &JobShard{}); err == nil {
			t.Errorf("%s was read", bad)
		}
	}
}

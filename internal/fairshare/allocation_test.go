package fairshare

import (
	"math"
	"testing"

	"frostdock.example/frostdock/internal/units"
)

const second = units.Second

// Results in these tests are calculated by hand from the paper's equations 1, 3, 4 and 5.

func TestRemainingTime(t *testing.T) {
	for _, tc := range []struct {
		unfinished, parallel int
		avg, want            units.Micros
	}{
		{10, 4, 20 * second, 60 * second}, // three waves
		{8, 4, 20 * second, 40 * second},
		{1, 4, 20 * second, 20 * second},
		{0, 4, 20 * second, 0},
		{3, 0, 20 * second, 60 * second}, // no capacity at all: one at a time
	} {
		if got := remainingTime(tc.unfinished, tc.parallel, tc.avg); got != tc.want {
			t.Errorf("remainingTime(%d, %d, %v) = %v, want %v", tc.unfinished, tc.parallel, tc.avg, got, tc.want)
		}
	}
}

func TestStarvationRatio(t *testing.T) {
	// Alone: ceil(12/6) x 10 s = 20 s. The job has waited 30 s, and has a share for
	// two tasks and eight tasks to do: ceil(8/2) x 10 s = 40 s. (30 + 40) / 20 = 3.5.
	job := &Job{TotalTasks: 12, UnfinishedTasks: 8, MaxParallel: 6, AverageTaskTime: 10 * second, Age: 30 * second, TaskSize: 2, Share: 4}
	if got := starvationRatio(job); math.Abs(got-3.5) > 1e-9 {
		t.Errorf("got %v, want 3.5", got)
	}
	// A new job that has the whole capacity does not starve.
	job = &Job{TotalTasks: 12, UnfinishedTasks: 12, MaxParallel: 6, AverageTaskTime: 10 * second, TaskSize: 2}
	if got := starvationRatio(job); got != 1 {
		t.Errorf("got %v, want 1", got)
	}
}

// TestAllocate checks that capacity is divided by the inverse of remaining time, that no usable capacity
// is left over, and that starving jobs get a larger share.
func TestAllocate(t *testing.T) {
	job := func(id string, unfinished int) Job {
		return Job{ID: id, TotalTasks: unfinished, UnfinishedTasks: unfinished, MaxParallel: 10, AverageTaskTime: 10 * second, TaskSize: 1}
	}
	// Remaining times 10 s and 30 s: three to one of the capacity of 8.
	got := Allocate([]Job{job("long", 30), job("short", 10)}, 8)
	if got[0].ID != "short" || got[0].Share != 6 || got[1].Share != 2 {
		t.Errorf("inverse shares: %+v", got)
	}
	// The short job can use 10 of its 15: the other has the rest.
	got = Allocate([]Job{job("long", 30), job("short", 10)}, 20)
	if got[0].Share != 10 || got[1].Share != 10 {
		t.Errorf("unusable capacity: %+v", got)
	}
	// The long job has waited three times its own length: its ratio of 4
	// outweighs three times the remaining time.
	starved := job("long", 30)
	starved.Age = 90 * second
	got = Allocate([]Job{starved, job("short", 10)}, 7)
	if got[0].ID != "short" || math.Abs(got[1].Share-4) > 1e-9 {
		t.Errorf("starvation: %+v", got)
	}
}

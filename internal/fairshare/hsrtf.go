// Package placement is hSRTF-Pr: the order and the shares of the jobs that
// compete for a partition's room. It is pure: all it knows is handed to it.
package fairshare

import (
	"math"
	"sort"

	"frostdock.example/frostdock/internal/units"
)

// Job is what the shares depend on.
type Job struct {
	ID         string
	Total      int          // tasks in all
	Unfinished int          // tasks not done
	Capacity   int          // its tasks that the slice holds at once if alone
	Average    units.Micros // average task time
	Age        units.Micros // time since launch
	PerTask    float64      // room one task takes
	Share      float64      // room it was given at the last refresh; 0 for a new job
	Weight     float64      // operator's weight; 0 counts as 1
}

// Remaining is equation 1 with one term: ceil(unfinished / capacity) x average.
func Remaining(unfinished, capacity int, avg units.Micros) units.Micros {
	if capacity < 1 {
		capacity = 1
	}
	return units.Micros((unfinished+capacity-1)/capacity) * avg
}

// Starvation is equation 5: how many times longer the job takes on its share
// than alone.
func Starvation(j *Job) float64 {
	alone := Remaining(j.Total, j.Capacity, j.Average)
	if alone <= 0 {
		return 1
	}
	onShare := j.Capacity
	if j.Share > 0 && j.PerTask > 0 {
		onShare = int(j.Share / j.PerTask)
	}
	return float64(j.Age+Remaining(j.Unfinished, onShare, j.Average)) / float64(alone)
}

// Result is a job's place in the order and its share of the room.
type Result struct {
	ID        string
	Remaining units.Micros
	Share     float64
}

// Shares orders jobs by remaining time and divides the room among them: shares
// inverse to the remaining time (equations 3 and 4), times the starvation
// ratio, rescaled to the room. What a job cannot use goes to the others.
func Shares(jobs []Job, room float64) []Result {
	out := make([]Result, len(jobs))
	weight := make([]float64, len(jobs))
	most := make([]float64, len(jobs))
	for i := range jobs {
		j := &jobs[i]
		rt := Remaining(j.Unfinished, j.Capacity, j.Average)
		out[i] = Result{ID: j.ID, Remaining: rt}
		w := j.Weight
		if w <= 0 {
			w = 1
		}
		weight[i] = w * Starvation(j) / math.Max(float64(rt), 1)
		most[i] = float64(j.Unfinished) * j.PerTask
	}
	// Water filling: whoever needs less than its share is given its need, and
	// the rest is divided anew.
	open := make([]int, len(jobs))
	for i := range open {
		open[i] = i
	}
	for len(open) > 0 && room > 1e-9 {
		sum := 0.0
		for _, i := range open {
			sum += weight[i]
		}
		var rest []int
		used := 0.0
		for _, i := range open {
			if s := room * weight[i] / sum; s >= most[i] {
				out[i].Share = most[i]
				used += most[i]
			} else {
				rest = append(rest, i)
			}
		}
		if len(rest) == len(open) {
			for _, i := range open {
				out[i].Share = room * weight[i] / sum
			}
			break
		}
		room -= used
		open = rest
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].Remaining != out[b].Remaining {
			return out[a].Remaining < out[b].Remaining
		}
		return out[a].ID < out[b].ID
	})
	return out
}

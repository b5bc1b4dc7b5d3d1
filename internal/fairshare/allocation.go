// Package fairshare is hSRTF-Pr: the order and the shares of the jobs that
// compete for a partition's room. It is pure: all it knows is handed to it.
package fairshare

import (
	"math"
	"sort"

	"frostdock.example/frostdock/internal/units"
)

// Job is what the shares depend on.
type Job struct {
	ID              string
	TotalTasks      int          // tasks in all
	UnfinishedTasks int          // tasks not done
	MaxParallel     int          // its tasks that the slice holds at once if alone
	AverageTaskTime units.Micros // average task time
	Age             units.Micros // time since launch
	TaskSize        float64      // room one task takes
	Share           float64      // room it was given at the last refresh; 0 for a new job
	Weight          float64      // operator's weight; 0 counts as 1
}

// RemainingTime is equation 1 with one term: ceil(unfinished / capacity) x average.
func RemainingTime(unfinished, parallel int, average units.Micros) units.Micros {
	if parallel < 1 {
		parallel = 1
	}
	return units.Micros((unfinished+parallel-1)/parallel) * average
}

// StarvationRatio is equation 5: how many times longer the job takes on its share
// than alone.
func StarvationRatio(job *Job) float64 {
	isolatedTime := RemainingTime(job.TotalTasks, job.MaxParallel, job.AverageTaskTime)
	if isolatedTime <= 0 {
		return 1
	}
	parallel := job.MaxParallel
	if job.Share > 0 && job.TaskSize > 0 {
		parallel = int(job.Share / job.TaskSize)
	}
	return float64(job.Age+RemainingTime(job.UnfinishedTasks, parallel, job.AverageTaskTime)) / float64(isolatedTime)
}

// Allocation is a job's place in the order and its share of the room.
type Allocation struct {
	ID            string
	RemainingTime units.Micros
	Share         float64
}

// Allocate orders jobs by remaining time and divides the room among them: shares
// inverse to the remaining time (equations 3 and 4), times the starvation
// ratio, rescaled to the room. What a job cannot use goes to the others.
func Allocate(jobs []Job, capacity float64) []Allocation {
	allocations := make([]Allocation, len(jobs))
	weights := make([]float64, len(jobs))
	demands := make([]float64, len(jobs))
	for i := range jobs {
		job := &jobs[i]
		remaining := RemainingTime(job.UnfinishedTasks, job.MaxParallel, job.AverageTaskTime)
		allocations[i] = Allocation{ID: job.ID, RemainingTime: remaining}
		weight := job.Weight
		if weight <= 0 {
			weight = 1
		}
		weights[i] = weight * StarvationRatio(job) / math.Max(float64(remaining), 1)
		demands[i] = float64(job.UnfinishedTasks) * job.TaskSize
	}
	// Water filling: whoever needs less than its share is given its need, and
	// the rest is divided anew.
	unsatisfied := make([]int, len(jobs))
	for i := range unsatisfied {
		unsatisfied[i] = i
	}
	for len(unsatisfied) > 0 && capacity > 1e-9 {
		totalWeight := 0.0
		for _, i := range unsatisfied {
			totalWeight += weights[i]
		}
		var stillUnsatisfied []int
		allocated := 0.0
		for _, i := range unsatisfied {
			if share := capacity * weights[i] / totalWeight; share >= demands[i] {
				allocations[i].Share = demands[i]
				allocated += demands[i]
			} else {
				stillUnsatisfied = append(stillUnsatisfied, i)
			}
		}
		if len(stillUnsatisfied) == len(unsatisfied) {
			for _, i := range unsatisfied {
				allocations[i].Share = capacity * weights[i] / totalWeight
			}
			break
		}
		capacity -= allocated
		unsatisfied = stillUnsatisfied
	}
	sort.SliceStable(allocations, func(a, b int) bool {
		if allocations[a].RemainingTime != allocations[b].RemainingTime {
			return allocations[a].RemainingTime < allocations[b].RemainingTime
		}
		return allocations[a].ID < allocations[b].ID
	})
	return allocations
}

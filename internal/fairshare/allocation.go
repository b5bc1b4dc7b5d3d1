// Package fairshare implements hSRTF-Pr, a fair form of shortest remaining time first: it orders the jobs
// that compete for the capacity of a partition, and divides the capacity among them.
//
// Jobs with less time remaining come first and have larger shares (equations 1, 3 and 4 of the
// paper). A job's share is raised by its starvation ratio (equation 5), so that no flood of short
// jobs keeps a long one waiting forever.
//
// The package keeps no state: results depend on the arguments only, and the same jobs in the same order
// get the same shares, bit for bit. It places no tasks and enforces no shares; package controller does.
package fairshare

import (
	"cmp"
	"math"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// Job holds the properties that the order and the share of a job depend on.
type Job struct {
	ID              string
	TotalTasks      int
	UnfinishedTasks int
	MaxParallel     int          // tasks that run at the same time when the job is alone; below 1 counts as 1
	AverageTaskTime units.Micros // how long one task runs
	Age             units.Micros // how long the job has waited or run
	TaskSize        float64      // capacity that one task takes
	Share           float64      // capacity that the last allocation gave the job; 0 for a new job
	Weight          float64      // the operator's weight; 0 counts as 1
}

// Allocation is the result for one job.
type Allocation struct {
	ID            string
	RemainingTime units.Micros
	Share         float64 // of the capacity
}

// Allocate divides the capacity among the jobs. It returns them in the order in which they are
// served: by remaining time, and by id where that is equal.
func Allocate(jobs []Job, capacity float64) []Allocation {
	allocations := make([]Allocation, len(jobs))
	weights := make([]float64, len(jobs))
	demands := make([]float64, len(jobs))
	for i := range jobs {
		job := &jobs[i]
		remaining := remainingTime(job.UnfinishedTasks, job.MaxParallel, job.AverageTaskTime)
		allocations[i] = Allocation{ID: job.ID, RemainingTime: remaining}
		weights[i] = shareWeight(job, remaining)
		demands[i] = float64(job.UnfinishedTasks) * job.TaskSize
	}
	for i, share := range divide(capacity, weights, demands) {
		allocations[i].Share = share
	}
	slices.SortStableFunc(allocations, func(a, b Allocation) int {
		return cmp.Or(cmp.Compare(a.RemainingTime, b.RemainingTime), cmp.Compare(a.ID, b.ID))
	})
	return allocations
}

// remainingTime computes equation 1 with one term: ceil(unfinished / parallel) x average.
func remainingTime(unfinished, parallel int, average units.Micros) units.Micros {
	if parallel < 1 {
		parallel = 1
	}
	waves := (unfinished + parallel - 1) / parallel
	return units.Micros(waves) * average
}

// starvationRatio computes equation 5: how many times longer the job takes on its share than alone.
func starvationRatio(job *Job) float64 {
	isolatedTime := remainingTime(job.TotalTasks, job.MaxParallel, job.AverageTaskTime)
	if isolatedTime <= 0 {
		return 1
	}
	parallel := job.MaxParallel
	if job.Share > 0 && job.TaskSize > 0 {
		parallel = int(math.Min(job.Share/job.TaskSize, float64(job.UnfinishedTasks)))
	}
	sharedTime := job.Age + remainingTime(job.UnfinishedTasks, parallel, job.AverageTaskTime)
	return float64(sharedTime) / float64(isolatedTime)
}

// shareWeight returns a job's weight in the division: the inverse of its remaining time
// (equations 3 and 4), times its starvation ratio and the operator's weight.
func shareWeight(job *Job, remaining units.Micros) float64 {
	weight := job.Weight
	if weight <= 0 {
		weight = 1
	}
	return weight * starvationRatio(job) / math.Max(float64(remaining), 1)
}

// negligibleCapacity is the capacity that rounding may leave over; it is not divided any further.
const negligibleCapacity = 1e-9

// divide gives each job its proportion of the capacity by weight, but no more than its demand:
// what a job cannot use is divided again among the others (water filling).
func divide(capacity float64, weights, demands []float64) []float64 {
	shares := make([]float64, len(weights))
	unsatisfied := make([]int, len(weights)) // indexes of the jobs that have no share yet
	for i := range unsatisfied {
		unsatisfied[i] = i
	}
	for len(unsatisfied) > 0 && capacity > negligibleCapacity {
		proportions := proportionsOf(unsatisfied, capacity, weights)
		var remaining []int
		allocated := 0.0
		for k, i := range unsatisfied {
			if proportions[k] >= demands[i] {
				shares[i] = demands[i]
				allocated += demands[i]
			} else {
				remaining = append(remaining, i)
			}
		}
		if len(remaining) == len(unsatisfied) { // all can use their proportions in full
			for k, i := range unsatisfied {
				shares[i] = proportions[k]
			}
			break
		}
		capacity -= allocated
		unsatisfied = remaining
	}
	return shares
}

// proportionsOf divides the capacity among some jobs by their weights.
func proportionsOf(jobs []int, capacity float64, weights []float64) []float64 {
	totalWeight := 0.0
	for _, i := range jobs {
		totalWeight += weights[i]
	}
	proportions := make([]float64, len(jobs))
	for k, i := range jobs {
		proportions[k] = capacity * weights[i] / totalWeight
	}
	return proportions
}

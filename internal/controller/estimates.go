package controller

import "frostdock.example/frostdock/internal/units"

// classAveragePeriod is how often the averages of the classes are worked out anew.
const classAveragePeriod = units.Second

// updateClassAverages works out the average task time of each class of jobs, as the
// mean over its jobs whose own average is known. A class keeps its last average while
// none of its jobs is known.
func (c *Controller) updateClassAverages() {
	if !c.estimates.period.due(c.now, classAveragePeriod) {
		return
	}
	sum, known := map[string]units.Micros{}, map[string]units.Micros{}
	for _, j := range c.replica.sortedJobs() {
		if average, _ := j.average(); average > 0 && !j.cancelled() {
			sum[j.spec.Class] += average
			known[j.spec.Class]++
		}
	}
	for class, n := range known {
		c.estimates.classAverages[class] = sum[class] / n
	}
}

// borrowedAverage is the task time that a job is taken to have while none of its tasks
// has completed: that of its class, or else its owner's estimate. The average over all
// jobs would put a new job of short tasks behind those of long ones.
func (c *Controller) borrowedAverage(j *job) units.Micros {
	if average := c.estimates.classAverages[j.spec.Class]; average > 0 {
		return average
	}
	if j.spec.EstimatedSeconds > 0 {
		return max(minTaskTime, units.FromSeconds(j.spec.EstimatedSeconds))
	}
	return defaultTaskTime
}

// estimates are what is known of task times beyond a single job.
type estimates struct {
	classAverages map[string]units.Micros // average task time by class of jobs, as last known
	period        period
}

func newEstimates() estimates { return estimates{classAverages: map[string]units.Micros{}} }

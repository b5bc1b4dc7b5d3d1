package controller

import "frostdock.example/frostdock/internal/units"

// classAveragePeriod is how often the averages of the classes are worked out anew.
const classAveragePeriod = units.Second

// updateClassAverages works out the average task time of each class of jobs, as the
// mean over its jobs whose own average is known. A class keeps its last average while
// none of its jobs is known.
func (c *Controller) updateClassAverages() {
	if !c.isDue("class averages", classAveragePeriod) {
		return
	}
	sum, known := map[string]units.Micros{}, map[string]units.Micros{}
	for _, j := range c.sortedJobs() {
		if average, _ := j.average(); average > 0 && !j.cancelled() {
			sum[j.spec.Class] += average
			known[j.spec.Class]++
		}
	}
	for class, n := range known {
		c.classAverages[class] = sum[class] / n
	}
}

// borrowedAverage is the task time that a job is taken to have while none of its tasks
// has completed: that of its class, or else its owner's estimate. The average over all
// jobs would put a new job of short tasks behind those of long ones.
func (c *Controller) borrowedAverage(j *job) units.Micros {
	if average := c.classAverages[j.spec.Class]; average > 0 {
		return average
	}
	if j.spec.EstimatedSeconds > 0 {
		return max(minTaskTime, units.FromSeconds(j.spec.EstimatedSeconds))
	}
	return defaultTaskTime
}

package controller

import "frostdock.example/frostdock/internal/units"

const (
	minTaskTime     = units.Second
	defaultTaskTime = 30 * units.Second // assumed task time while none is known

	// classAveragePeriod is how often the averages of the classes are recomputed.
	classAveragePeriod = units.Second

	// observePeriod is how often all running tasks of a job are examined.
	observePeriod = 2 * units.Second
)

// estimates are average task times over several jobs. They only affect the order of jobs and never decide
// what may run.
type estimates struct {
	classAverages map[string]units.Micros // last known average task time, by job class
	period        period
}

func newEstimates() estimates { return estimates{classAverages: map[string]units.Micros{}} }

// update computes the average task time of each class of jobs, as the mean over its jobs whose own
// average is known. A class keeps its last average while none of its jobs has a known average.
func (e *estimates) update(now units.Micros, jobs []*job) {
	if !e.period.due(now, classAveragePeriod) {
		return
	}
	sum, known := map[string]units.Micros{}, map[string]units.Micros{}
	for _, j := range jobs {
		if average, _ := j.average(); average > 0 && !j.cancelled() {
			sum[j.spec.Class] += average
			known[j.spec.Class]++
		}
	}
	for class, count := range known {
		e.classAverages[class] = sum[class] / count
	}
}

// assumedTaskTime returns the task time that is assumed for a job while none of its tasks has completed:
// the average of its class, or else its user's estimate, or else defaultTaskTime. The average over all
// jobs is not used: it would put a new job of short tasks behind jobs of long ones.
func (e *estimates) assumedTaskTime(j *job) units.Micros {
	if average := e.classAverages[j.spec.Class]; average > 0 {
		return average
	}
	if j.spec.EstimatedSeconds > 0 {
		return max(minTaskTime, units.FromSeconds(j.spec.EstimatedSeconds))
	}
	return defaultTaskTime
}

// subtractRuns deducts from the job's unstored run times those that have been stored.
func (j *job) subtractRuns(sum units.Micros, count int) {
	j.runSum -= sum
	j.runCount -= count
}

// average returns the mean run time of the job's done tasks, and their number; zero if none is known.
func (j *job) average() (average units.Micros, samples int) {
	samples = j.storedAverageCount + j.runCount
	if samples == 0 {
		return 0, 0
	}
	return max(minTaskTime, (j.storedAverage*units.Micros(j.storedAverageCount)+j.runSum)/units.Micros(samples)), samples
}

// observedAverage returns the mean run time of a job's tasks: of the done ones, with the elapsed time of
// running ones as a lower bound. It is zero if none is done.
func (j *job) observedAverage(now units.Micros) units.Micros {
	average, _ := j.average()
	if average == 0 {
		return 0
	}
	if j.observedAverageAt > 0 && now-j.observedAverageAt < observePeriod {
		return max(average, j.cachedObservedAverage)
	}
	var excess, overdue units.Micros // total excess, and number, of running tasks that have taken longer than the average
	for index, bound := range j.bindings {
		if bound.machine.agent == nil {
			continue
		}
		run, runs := bound.machine.agent.runningSince[taskKey{j.id, index, bound.attempt}]
		if elapsed := now - run.at; runs && elapsed > average {
			excess += elapsed - average
			overdue++
		}
	}
	// Overdue tasks count with their elapsed time, as if they ended now.
	j.cachedObservedAverage, j.observedAverageAt = average+excess/(units.Micros(j.doneCount())+overdue+1), now
	return j.cachedObservedAverage
}

package soak

// cpuTolerance is the rounding error allowed in sums of CPUs.
const cpuTolerance = 1e-6

// TaskStarted is called when a task starts on a machine, after its image is pulled.
func (c *Checker) TaskStarted(machine, zone string, spot bool, id string, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations.TasksStarted++
	job := c.jobs[id]
	if job == nil {
		c.reportViolation(RuleInvented, "%s/%d starts, but its job was never submitted", id, index)
		return
	}
	c.checkDependenciesDone(job, index, machine)
	other, twice := job.machines[index]
	if twice {
		c.reportViolation(RuleRanTwice, "%s/%d starts on %s while it is on %s", id, index, machine, other)
	}
	if spot && !job.Spot || job.Zone != "" && job.Zone != zone {
		c.reportViolation(RuleWrongPlace, "%s/%d starts on %s in zone %s, spot %v, which its job does not allow", id, index, machine, zone, spot)
	}
	if !twice {
		c.usage[job.Team] += job.CPUs
	}
	c.checkQuota(job, index)
	c.checkLateStart(job, index)
	job.machines[index] = machine
}

func (c *Checker) checkDependenciesDone(job *jobHistory, index int, machine string) {
	for _, id := range job.Needs {
		if dependency := c.jobs[id]; dependency == nil || len(dependency.completed) < dependency.Tasks || dependency.Service {
			c.reportViolation(RuleTooEarly, "%s/%d starts on %s before %s is done", job.ID, index, machine, id)
		}
	}
}

func (c *Checker) checkQuota(job *jobHistory, index int) {
	if quota := c.quotas[job.Team]; quota > 0 && c.usage[job.Team] > quota+cpuTolerance {
		c.reportViolation(RuleQuota, "%s uses %v of %v CPUs when %s/%d starts", job.Team, c.usage[job.Team], quota, job.ID, index)
	}
}

func (c *Checker) checkLateStart(job *jobHistory, index int) {
	if !job.cancelled {
		return
	}
	c.observations.LateStarts++
	if age := c.clock() - job.cancelledAt; age > c.cancelDeadline {
		c.reportViolation(RuleRanCancelled, "%s/%d starts %.2f s after a user was told that its job is cancelled", job.ID, index, age.Seconds())
	}
}

// TaskStopped is called when a task is no longer on a machine.
func (c *Checker) TaskStopped(machine, id string, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil || job.machines[index] != machine {
		return
	}
	delete(job.machines, index)
	c.usage[job.Team] -= job.CPUs
}

// Completed is called when a task has completed.
func (c *Checker) Completed(id string, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].completed[index] = true
}

// IsCompleted reports whether an attempt of a task has completed, so that its result is stored.
func (c *Checker) IsCompleted(id string, index int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	return job != nil && job.completed[index]
}

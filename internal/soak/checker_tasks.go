package soak

// cpuTolerance is the rounding error allowed in sums of CPUs.
const cpuTolerance = 1e-6

// TaskStarted is called when a task starts on a machine, after its image is pulled.
func (c *Checker) TaskStarted(machine, zone string, spot bool, id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations.TasksStarted++
	job := c.jobs[id]
	if job == nil {
		c.violate(RuleInvented, "%s/%d starts, but its job was never submitted", id, num)
		return
	}
	c.checkDependenciesDone(job, num, machine)
	other, twice := job.machines[num]
	if twice {
		c.violate(RuleRanTwice, "%s/%d starts on %s while it is on %s", id, num, machine, other)
	}
	if spot && !job.Spot || job.Zone != "" && job.Zone != zone {
		c.violate(RuleWrongPlace, "%s/%d starts on %s in zone %s, spot %v, which its job does not allow", id, num, machine, zone, spot)
	}
	if !twice {
		c.usage[job.Team] += job.CPUs
	}
	c.checkQuota(job, num)
	c.checkLateStart(job, num)
	job.machines[num] = machine
}

func (c *Checker) checkDependenciesDone(job *jobHistory, num int, machine string) {
	for _, id := range job.Needs {
		if dependency := c.jobs[id]; dependency == nil || len(dependency.completed) < dependency.Tasks || dependency.Service {
			c.violate(RuleTooEarly, "%s/%d starts on %s before %s is done", job.ID, num, machine, id)
		}
	}
}

func (c *Checker) checkQuota(job *jobHistory, num int) {
	if quota := c.quotas[job.Team]; quota > 0 && c.usage[job.Team] > quota+cpuTolerance {
		c.violate(RuleQuota, "%s uses %v of %v CPUs when %s/%d starts", job.Team, c.usage[job.Team], quota, job.ID, num)
	}
}

func (c *Checker) checkLateStart(job *jobHistory, num int) {
	if !job.cancelled {
		return
	}
	c.observations.LateStarts++
	if age := c.clock() - job.cancelledAt; age > c.cancelDeadline {
		c.violate(RuleRanCancelled, "%s/%d starts %.2f s after a user was told that its job is cancelled", job.ID, num, age.Seconds())
	}
}

// TaskStopped is called when a task is no longer on a machine.
func (c *Checker) TaskStopped(machine, id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil || job.machines[num] != machine {
		return
	}
	delete(job.machines, num)
	c.usage[job.Team] -= job.CPUs
}

// Completed is called when a task has completed.
func (c *Checker) Completed(id string, num int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].completed[num] = true
}

// IsCompleted reports whether an attempt of a task has completed, so that its result is stored.
func (c *Checker) IsCompleted(id string, num int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	return job != nil && job.completed[num]
}

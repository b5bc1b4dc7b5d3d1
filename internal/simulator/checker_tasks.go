package simulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// startDeadlineAfterCancel is how long after a confirmed cancellation a start command may still be sent:
// until the leader that sends it has learned of the cancellation or has noticed that it gets no updates.
const startDeadlineAfterCancel = 6 * units.Second

// startCommanded is called when a machine executes a command to start a task. sentAt is when the
// command was sent: one that was sent before the cancellation may arrive late.
func (c *Checker) startCommanded(jobID string, number int, machine string, sentAt units.Micros) {
	job := c.jobs[jobID]
	if job.cancelledAt > 0 && sentAt > job.cancelledAt+startDeadlineAfterCancel {
		c.violate(RuleRanCancelled, "%s is commanded to start on %s %.1f s after its cancellation was confirmed", taskID(jobID, number), machine, (sentAt - job.cancelledAt).Seconds())
	}
}

// taskStarted is called when a machine starts a task, after it has fetched the image.
func (c *Checker) taskStarted(machine string, listed cloud.ListedMachine, jobID string, number int) {
	job := c.jobs[jobID]
	id := taskID(jobID, number)
	c.starts++
	if job.startedAt == 0 {
		job.startedAt = c.now
	}
	if _, ready := c.readyAt(job); !ready {
		c.violate(RuleTooEarly, "%s starts on %s before all dependencies of its job are done", id, machine)
	}
	other, alreadyRunning := job.placements[number]
	if alreadyRunning {
		c.violate(RuleRanTwice, "%s starts on %s while it also runs on %s", id, machine, other)
	}
	c.checkPlacement(job, id, machine, listed)
	c.checkQuota(job.spec, id, machine)
	if c.pastCancelDeadline(job) {
		c.violate(RuleRanCancelled, "%s starts %.1f s after its cancellation was confirmed", id, (c.now - job.cancelledAt).Seconds())
	}
	c.machines[machine] = listed
	if !alreadyRunning {
		c.usage[job.spec.Team] = c.usageWith(job.spec)
	}
	job.placements[number] = machine
}

// checkPlacement checks that a job allows one of its tasks on a machine, given where the job's other
// tasks run.
func (c *Checker) checkPlacement(job *jobHistory, id, machine string, listed cloud.ListedMachine) {
	spec := job.spec
	if !jobAllowsMachine(spec, listed) {
		c.violate(RuleWrongPlace, "%s runs on %s (%s, %s, spot %v), which its job does not allow", id, machine, listed.Type, listed.Zone, listed.Spot)
	}
	inZone := 1
	for _, number := range sortedKeys(job.placements) {
		if zone := c.machines[job.placements[number]].Zone; zone == listed.Zone {
			inZone++
		} else if spec.OneZone {
			c.violate(RuleWrongPlace, "%s runs in zone %s while %s runs in zone %s", id, listed.Zone, taskID(spec.ID, number), zone)
		}
	}
	if spec.Spread && inZone > maxTasksPerZone(spec) {
		c.violate(RuleWrongPlace, "%s is task %d of %d in zone %s", id, inZone, spec.Tasks, listed.Zone)
	}
}

// jobAllowsMachine reports whether a job allows a machine's type, zone and price (spot or on demand).
func jobAllowsMachine(spec *schema.Job, listed cloud.ListedMachine) bool {
	typeAllowed := len(spec.Types) == 0 || slices.Contains(spec.Types, listed.Type)
	zoneAllowed := spec.Zone == "" || spec.Zone == listed.Zone
	return typeAllowed && zoneAllowed && (spec.Spot || !listed.Spot)
}

// maxTasksPerZone returns how many tasks of a spread job may be in one zone: half of them, rounded up.
func maxTasksPerZone(spec *schema.Job) int { return (spec.Tasks + 1) / 2 }

// zoneAllowsAnother reports whether the job's one-zone and spread restrictions allow one more of its
// tasks in a zone.
func (c *Checker) zoneAllowsAnother(job *jobHistory, zone string) bool {
	inZone := 0
	for _, machine := range job.placements {
		if c.machines[machine].Zone == zone {
			inZone++
		} else if job.spec.OneZone {
			return false
		}
	}
	return !job.spec.Spread || inZone+1 <= maxTasksPerZone(job.spec)
}

// usageWith returns the resources that a job's team would use with one more task of the job.
func (c *Checker) usageWith(spec *schema.Job) resources {
	return c.usage[spec.Team].plus(requestOf(spec))
}

// exceeds reports whether usage is above a quota; a quota of 0 is no limit.
func exceeds(usage, quota float64) bool { return quota > 0 && usage > quota+quotaTolerance }

// quotaAllows reports whether one more task of a job stays within its team's quota. It is true for a
// team that has never run a task, since a job that alone exceeds the quota must not be accepted.
func (c *Checker) quotaAllows(spec *schema.Job) bool {
	if _, used := c.usage[spec.Team]; !used {
		return true
	}
	usage, quota := c.usageWith(spec), c.quota[spec.Team]
	return !exceeds(usage.cpus, quota.cpus) && !exceeds(usage.gpus, quota.gpus)
}

// checkQuota checks that a starting task leaves its team within its quota.
func (c *Checker) checkQuota(spec *schema.Job, id, machine string) {
	usage, quota := c.usageWith(spec), c.quota[spec.Team]
	if exceeds(usage.cpus, quota.cpus) {
		c.violate(RuleQuota, "team %s uses %v CPUs of its quota of %v when %s starts on %s; its other tasks: %s", spec.Team, usage.cpus, quota.cpus, id, machine, c.describePlacements(spec.Team))
	}
	if exceeds(usage.gpus, quota.gpus) {
		c.violate(RuleQuota, "team %s uses %v GPUs of its quota of %v", spec.Team, usage.gpus, quota.gpus)
	}
}

// describePlacements lists a team's tasks and their machines, as TASK@MACHINE.
func (c *Checker) describePlacements(team string) string {
	var b strings.Builder
	for _, id := range sortedKeys(c.jobs) {
		job := c.jobs[id]
		if job.spec.Team != team {
			continue
		}
		for _, number := range sortedKeys(job.placements) {
			fmt.Fprintf(&b, "%s@%s ", taskID(id, number), job.placements[number])
		}
	}
	return b.String()
}

// taskStopped is called when a task has left a machine.
func (c *Checker) taskStopped(machine, jobID string, number int) {
	job := c.jobs[jobID]
	if job.placements[number] != machine {
		return
	}
	delete(job.placements, number)
	c.usage[job.spec.Team] = c.usage[job.spec.Team].minus(requestOf(job.spec))
}

// taskCompleted records that a task has completed.
func (c *Checker) taskCompleted(jobID string, number int) {
	job := c.jobs[jobID]
	job.completed[number] = true
	if len(job.completed) == job.spec.Tasks && job.completedAt == 0 {
		job.completedAt = c.now
	}
}

// pastCancelDeadline reports whether more than cancelDeadline has passed since a job's user was first
// told that it is cancelled.
func (c *Checker) pastCancelDeadline(job *jobHistory) bool {
	return job.cancelledAt > 0 && c.now > job.cancelledAt+c.cancelDeadline
}

// checkDeadlines checks the rule that can be broken without any event: the tasks of a cancelled job must
// have ended by the deadline.
func (c *Checker) checkDeadlines() {
	for _, id := range sortedKeys(c.jobs) {
		job := c.jobs[id]
		if !c.pastCancelDeadline(job) {
			continue
		}
		for _, number := range sortedKeys(job.placements) {
			c.violate(RuleRanCancelled, "%s is still on %s %.1f s after its cancellation was confirmed", taskID(id, number), job.placements[number], (c.now - job.cancelledAt).Seconds())
			job.cancelledAt = c.now // restarts the deadline, so that the violation is reported once per deadline
		}
	}
}

// isRunning reports whether a task is on a machine.
func (c *Checker) isRunning(jobID string, number int) bool {
	_, ok := c.jobs[jobID].placements[number]
	return ok
}

// isCompleted reports whether a task has completed.
func (c *Checker) isCompleted(jobID string, number int) bool {
	job := c.jobs[jobID]
	return job != nil && job.completed[number]
}

// allCompleted reports whether all tasks of a job have completed.
func (c *Checker) allCompleted(jobID string) bool {
	return len(c.jobs[jobID].completed) == c.jobs[jobID].spec.Tasks
}

// firstStart returns when a job's first task started, if any has.
func (c *Checker) firstStart(jobID string) (at units.Micros, started bool) {
	job := c.jobs[jobID]
	return job.startedAt, job.startedAt > 0
}

// machinesOf lists the machines of a job's tasks, in the order of the tasks' numbers.
func (c *Checker) machinesOf(jobID string) []string {
	job := c.jobs[jobID]
	var machines []string
	for _, number := range sortedKeys(job.placements) {
		machines = append(machines, job.placements[number])
	}
	return machines
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K interface{ ~int | ~string }, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

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

// startDeadlineAfterCancel is how long after a confirmed cancellation a start may still be commanded:
// until the leader that commands it has heard of it, or has noticed that it hears nothing.
const startDeadlineAfterCancel = 6 * units.Second

// startCommanded is called when a machine carries out the command to start a task: sentAt is when that
// was sent. One that was on its way at the cancellation may arrive late.
func (c *Checker) startCommanded(jobID string, number int, machine string, sentAt units.Micros) {
	job := c.jobs[jobID]
	if job.cancelledAt > 0 && sentAt > job.cancelledAt+startDeadlineAfterCancel {
		c.violate(RuleRanCancelled, "%s is commanded to start on %s %.1f s after its user was told", taskID(jobID, number), machine, (sentAt - job.cancelledAt).Seconds())
	}
}

// taskStarted is called when a machine has a task's image and starts it.
func (c *Checker) taskStarted(machine string, listed cloud.ListedMachine, jobID string, number int) {
	job := c.jobs[jobID]
	id := taskID(jobID, number)
	c.starts++
	if job.startedAt == 0 {
		job.startedAt = c.now
	}
	if _, ready := c.readyAt(job); !ready {
		c.violate(RuleTooEarly, "%s starts on %s before all that its job needs is done", id, machine)
	}
	other, alreadyRunning := job.placements[number]
	if alreadyRunning {
		c.violate(RuleRanTwice, "%s starts on %s while it is on %s", id, machine, other)
	}
	c.checkPlacement(job, id, machine, listed)
	c.checkQuota(job.spec, id, machine)
	if c.pastCancelDeadline(job) {
		c.violate(RuleRanCancelled, "%s starts %.1f s after its user was told", id, (c.now - job.cancelledAt).Seconds())
	}
	c.machines[machine] = listed
	if !alreadyRunning {
		c.usage[job.spec.Team] = c.usageWith(job.spec)
	}
	job.placements[number] = machine
}

// checkPlacement checks that a task may be on a machine, with its job's other tasks where they are.
func (c *Checker) checkPlacement(job *jobHistory, id, machine string, listed cloud.ListedMachine) {
	spec := job.spec
	if !jobAllowsMachine(spec, listed) {
		c.violate(RuleWrongPlace, "%s on %s (%s, %s, spot %v)", id, machine, listed.Type, listed.Zone, listed.Spot)
	}
	inZone := 1
	for _, number := range sortedKeys(job.placements) {
		if zone := c.machines[job.placements[number]].Zone; zone == listed.Zone {
			inZone++
		} else if spec.OneZone {
			c.violate(RuleWrongPlace, "%s in %s while %s is in %s", id, listed.Zone, taskID(spec.ID, number), zone)
		}
	}
	if spec.Spread && inZone > maxTasksPerZone(spec) {
		c.violate(RuleWrongPlace, "%s is number %d of %d in %s", id, inZone, spec.Tasks, listed.Zone)
	}
}

// jobAllowsMachine reports whether a job allows a machine's type, zone and price.
func jobAllowsMachine(spec *schema.Job, listed cloud.ListedMachine) bool {
	typeAllowed := len(spec.Types) == 0 || slices.Contains(spec.Types, listed.Type)
	zoneAllowed := spec.Zone == "" || spec.Zone == listed.Zone
	return typeAllowed && zoneAllowed && (spec.Spot || !listed.Spot)
}

// maxTasksPerZone is how many tasks of a spread job may be in one zone.
func maxTasksPerZone(spec *schema.Job) int { return (spec.Tasks + 1) / 2 }

// zoneAllowsAnother reports whether one more task of the job may be in the zone.
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

// usageWith is what a job's team uses with one more of its tasks.
func (c *Checker) usageWith(spec *schema.Job) resources {
	return c.usage[spec.Team].plus(requestOf(spec))
}

// exceeds reports whether usage is above a quota; 0 is none.
func exceeds(usage, quota float64) bool { return quota > 0 && usage > quota+quotaTolerance }

// quotaAllows reports whether one more task of a job stays within its team's quota. Of a team that has
// never run a task it is always assumed: a job that exceeds a quota alone must not be accepted.
func (c *Checker) quotaAllows(spec *schema.Job) bool {
	if _, used := c.usage[spec.Team]; !used {
		return true
	}
	usage, quota := c.usageWith(spec), c.quota[spec.Team]
	return !exceeds(usage.cpus, quota.cpus) && !exceeds(usage.gpus, quota.gpus)
}

// checkQuota checks that a task that starts stays within its team's quota.
func (c *Checker) checkQuota(spec *schema.Job, id, machine string) {
	usage, quota := c.usageWith(spec), c.quota[spec.Team]
	if exceeds(usage.cpus, quota.cpus) {
		c.violate(RuleQuota, "%s takes %v of %v CPUs when %s starts on %s beside %s", spec.Team, usage.cpus, quota.cpus, id, machine, c.describePlacements(spec.Team))
	}
	if exceeds(usage.gpus, quota.gpus) {
		c.violate(RuleQuota, "%s takes %v of %v GPUs", spec.Team, usage.gpus, quota.gpus)
	}
}

// describePlacements lists where a team's tasks are.
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

// taskStopped is called when a task is no longer on a machine.
func (c *Checker) taskStopped(machine, jobID string, number int) {
	job := c.jobs[jobID]
	if job.placements[number] != machine {
		return
	}
	delete(job.placements, number)
	c.usage[job.spec.Team] = c.usage[job.spec.Team].minus(requestOf(job.spec))
}

// taskCompleted notes that a task has completed.
func (c *Checker) taskCompleted(jobID string, number int) {
	job := c.jobs[jobID]
	job.completed[number] = true
	if len(job.completed) == job.spec.Tasks && job.completedAt == 0 {
		job.completedAt = c.now
	}
}

// pastCancelDeadline reports whether a job's user was told long ago that it is cancelled.
func (c *Checker) pastCancelDeadline(job *jobHistory) bool {
	return job.cancelledAt > 0 && c.now > job.cancelledAt+c.cancelDeadline
}

// checkDeadlines checks what time alone breaks: that tasks of cancelled jobs have ended.
func (c *Checker) checkDeadlines() {
	for _, id := range sortedKeys(c.jobs) {
		job := c.jobs[id]
		if !c.pastCancelDeadline(job) {
			continue
		}
		for _, number := range sortedKeys(job.placements) {
			c.violate(RuleRanCancelled, "%s is on %s %.1f s after its user was told", taskID(id, number), job.placements[number], (c.now - job.cancelledAt).Seconds())
			job.cancelledAt = c.now // once is enough
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

// firstStart is when a job's first task started, if any has.
func (c *Checker) firstStart(jobID string) (at units.Micros, started bool) {
	job := c.jobs[jobID]
	return job.startedAt, job.startedAt > 0
}

// machinesOf lists the machines that a job's tasks are on.
func (c *Checker) machinesOf(jobID string) []string {
	job := c.jobs[jobID]
	var machines []string
	for _, number := range sortedKeys(job.placements) {
		machines = append(machines, job.placements[number])
	}
	return machines
}

// sortedKeys lists the keys of a map in a fixed order.
func sortedKeys[K interface{ ~int | ~string }, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

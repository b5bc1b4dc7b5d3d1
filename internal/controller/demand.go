package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// unmetDemand is a job with the tasks that no machine of its partition has capacity for.
type unmetDemand struct {
	job   *job
	tasks int
}

// freeMachine is a machine with what waiting tasks may still have of it.
type freeMachine struct {
	machine *machine
	resources
}

// demandFinder finds what the machines that are there do not give: tasks that no machine has capacity
// for, and jobs that starve. It keeps nothing but each job's waiting time, and places nothing.
type demandFinder struct {
	*environment
	replica *replica
	catalog *catalog
	writes  *writeBudget
}

// demandFitter fits waiting tasks into the free capacity of machines, as far as can be told from what
// is stored. It changes nothing but its own account of that capacity.
type demandFitter struct {
	*demandFinder
	anywhere bool                   // the machines of all partitions count for every job
	free     map[int][]*freeMachine // with something free, by partition
	usage    usageByTeam
}

// unmetDemands fits the waiting tasks of every partition into the free capacity of its machines and returns
// what is left over. Jobs of higher priority go first. With anywhere, the machines of all partitions
// count for every job, as they do for what must be rented.
func (d *demandFinder) unmetDemands(anywhere bool) []unmetDemand {
	fitter := &demandFitter{demandFinder: d, anywhere: anywhere, free: map[int][]*freeMachine{}}
	for _, m := range d.replica.sortedMachines() {
		fitter.addMachine(m)
	}
	fitter.usage = d.replica.teamUsage()
	var unmet []unmetDemand
	jobs := d.replica.sortedJobs()
	for priority := len(priorityNames) - 1; priority >= 0; priority-- {
		for _, j := range jobs {
			if j.cancelled() || j.spec.Priority != priority || d.now < j.retryAt {
				continue
			}
			if left := fitter.fit(j); left > 0 {
				unmet = append(unmet, unmetDemand{j, left})
			}
		}
	}
	return unmet
}

// poolOf is the partition under which the free machines for a partition's jobs are listed.
func (f *demandFitter) poolOf(partition int) int {
	if f.anywhere {
		return 0
	}
	return partition
}

// addMachine lists a machine that takes tasks, with what is free of it.
func (f *demandFitter) addMachine(m *machine) {
	machineType := f.catalog.machineType(m.doc.Type)
	if machineType == nil || m.part() < 0 || m.agent != nil && !m.agent.takesNewTasks() {
		return
	}
	free := &freeMachine{m, resources{machineType.CPUs, machineType.GPUs, machineType.MemGB}}
	for _, task := range m.doc.Tasks {
		if j := f.replica.unstoredJobOf(task); j != nil {
			free.reserve(&j.spec, 1)
		}
	}
	if free.cpus > 0 {
		pool := f.poolOf(m.part())
		f.free[pool] = append(f.free[pool], free)
	}
}

// fit reserves capacity for the waiting tasks of a job that its quota allows, and returns how many are
// left over.
func (f *demandFitter) fit(j *job) int {
	left := j.waiting()
	if left == 0 {
		return 0
	}
	left = min(left, f.tasksWithinQuota(j, f.usage))
	for _, m := range f.free[f.poolOf(j.partition)] {
		if left == 0 {
			break
		}
		if !placementAllowed(j, m.machine) {
			continue
		}
		if tasks := m.tasksThatFit(j, left); tasks > 0 {
			m.reserve(&j.spec, float64(tasks))
			left -= tasks
		}
	}
	return left
}

// tasksThatFit is how many tasks of a job fit, up to so many; it may be negative.
func (m *freeMachine) tasksThatFit(j *job, most int) int {
	tasks := int(min(m.cpus/j.spec.CPUs, float64(most)) + roundingTolerance)
	if j.spec.GPUs > 0 {
		tasks = min(tasks, int(m.gpus/j.spec.GPUs+roundingTolerance))
	}
	if j.spec.MemGB > 0 {
		tasks = min(tasks, int(m.memoryGB/j.spec.MemGB+roundingTolerance))
	}
	return tasks
}

const (
	// starvingAfter is how long a job may have tasks waiting, and none placed, before it may use any
	// capacity that it fits into, whatever that is kept for: no job may wait for 90 s beside a machine
	// that could take it, kept free for others, left to another partition or about to be emptied.
	starvingAfter = 30 * units.Second

	// overlookedAfter is how long until a job may use the machine shards that a plan has not picked.
	overlookedAfter = 5 * units.Second

	// failureForgetPeriod is how long after its last failure a job whose tasks are active counts as well.
	failureForgetPeriod = 30 * units.Second
)

// starvingJobs notes which jobs wait and lists those that starve. It is to be called every second:
// nothing else starts the clock of waitingTime.
func (d *demandFinder) starvingJobs() []*job {
	var starving []*job
	usage := d.replica.teamUsage()
	for _, j := range d.replica.sortedJobs() {
		j.forgetOldFailures(d.now)
		switch {
		case j.cancelled() || d.now < j.retryAt || j.waiting() == 0 || d.tasksWithinQuota(j, usage) == 0:
			j.waitingSince = 0
		case j.waitingSince == 0:
			j.waitingSince = d.now
		case j.starving(d.now):
			starving = append(starving, j)
		}
	}
	return starving
}

// forgetOldFailures takes a job whose tasks have run on for a while for a healthy one: those that wait
// need not wait for the completion of the others.
func (j *job) forgetOldFailures(now units.Micros) {
	if j.failures > 0 && j.active() > 0 && now-j.failedAt > failureForgetPeriod {
		j.failures = 0
	}
}

// notePlaced notes that a plan has placed a task of the job. An entry that is read once more, because
// something else on its machine has changed, is no new place.
func (j *job) notePlaced() { j.waitingSince = 0 }

// waitingTime is how long tasks of the job have waited and none was placed.
func (j *job) waitingTime(now units.Micros) units.Micros {
	if j.waitingSince == 0 {
		return 0
	}
	return now - j.waitingSince
}

// starving reports whether the job has waited for too long.
func (j *job) starving(now units.Micros) bool { return j.waitingTime(now) > starvingAfter }

// overlooked reports whether none of the job's tasks was placed for some seconds: the machine shards
// that a plan picks for arrays are those with the most capacity, which may be of no use to a job that
// is bound to a zone.
func (j *job) overlooked(now units.Micros) bool { return j.waitingTime(now) > overlookedAfter }

// usedCPUs is what the tasks of all teams use.
func (d *demandFinder) usedCPUs() float64 {
	usage := d.replica.teamUsage()
	sum := 0.0
	for _, team := range slices.Sorted(maps.Keys(usage)) {
		sum += usage[team].cpus
	}
	return sum
}

// unplacedCPUs is what the tasks take that wait to be placed, whether there is capacity or not.
func (d *demandFinder) unplacedCPUs() float64 {
	sum := 0.0
	usage := d.replica.teamUsage()
	for _, j := range d.replica.sortedJobs() {
		if !j.cancelled() && d.now >= j.retryAt {
			sum += float64(min(j.waiting(), d.tasksWithinQuota(j, usage))) * j.spec.CPUs
		}
	}
	return sum
}

// changesPlentiful reports whether writes to the store are not scarce.
func (d *demandFinder) changesPlentiful() bool { return d.writes.plentiful() }

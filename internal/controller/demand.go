package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/units"
)

// unmetDemand is a job and the number of its waiting tasks that no machine has capacity for.
type unmetDemand struct {
	job   *job
	tasks int
}

// freeMachine is a machine with its remaining free capacity.
type freeMachine struct {
	machine *machine
	resources
}

// demandFinder finds demand that the existing machines cannot serve: tasks that no machine has capacity
// for, and starving jobs. It updates only each job's waiting time and failure count, and places nothing.
type demandFinder struct {
	*environment
	store   *storeClient
	replica *replica
	catalog *catalog
	writes  *writeBudget
}

// demandFitter fits waiting tasks into the free capacity of machines according to stored documents.
// It changes nothing but its own copy of that capacity.
type demandFitter struct {
	*demandFinder
	allPartitions bool                   // every job may use the machines of all partitions
	free          map[int][]*freeMachine // machines with free CPUs, by pool (see poolOf)
	usage         usageByTeam
}

// unmetDemands fits the waiting tasks of every partition into the free capacity of its machines and
// returns the tasks that do not fit. Jobs of higher priority go first. With allPartitions, every job may
// use the machines of all partitions; renting is decided on that basis.
func (d *demandFinder) unmetDemands(allPartitions bool) []unmetDemand {
	fitter := &demandFitter{demandFinder: d, allPartitions: allPartitions, free: map[int][]*freeMachine{}}
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

// poolOf returns the pool of the machines that the jobs of a partition may use: their key in f.free.
func (f *demandFitter) poolOf(partition int) int {
	if f.allPartitions {
		return 0
	}
	return partition
}

// entryFull reports whether a machine's document has no space for another entry, and contains no other machine
// from which a split could separate it. Tasks that fit its CPUs need another machine then.
func (f *demandFitter) entryFull(m *machine) bool {
	return len(m.shard.machines) == 1 && f.store.limits.maxValueBytes()-m.shard.size-documentOverheadBytes < taskEntryBytes
}

// addMachine adds a machine that takes tasks, with its free capacity.
func (f *demandFitter) addMachine(m *machine) {
	machineType := f.catalog.machineType(m.doc.Type)
	if machineType == nil || m.commandingPartition() < 0 || m.agent != nil && !m.agent.takesNewTasks() || f.entryFull(m) {
		return
	}
	free := &freeMachine{m, resources{machineType.CPUs, machineType.GPUs, machineType.MemGB}}
	for _, task := range m.doc.Tasks {
		if j := f.replica.jobOfUnstoredTask(task); j != nil {
			free.reserve(&j.spec, 1)
		}
	}
	if free.cpus > 0 {
		pool := f.poolOf(m.commandingPartition())
		f.free[pool] = append(f.free[pool], free)
	}
}

// fit reserves capacity for the waiting tasks of a job that its team's quota allows, and returns how many
// of them do not fit.
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

// wholeTasks converts a number of tasks to an integer of at most api.MaxTasks in either direction: a ratio of amounts
// may be beyond the range of an integer, and the language leaves such conversions to the architecture.
func wholeTasks(tasks float64) int {
	return int(max(-api.MaxTasks, min(tasks, api.MaxTasks)))
}

// tasksThatFit returns how many tasks of a job fit, at most limit; the result may be negative.
func (m *freeMachine) tasksThatFit(j *job, limit int) int {
	tasks := min(wholeTasks(m.cpus/j.spec.CPUs+roundingTolerance), limit)
	if j.spec.GPUs > 0 {
		tasks = min(tasks, wholeTasks(m.gpus/j.spec.GPUs+roundingTolerance))
	}
	if j.spec.MemGB > 0 {
		tasks = min(tasks, wholeTasks(m.memoryGB/j.spec.MemGB+roundingTolerance))
	}
	return tasks
}

const (
	// starvingAfter is how long a job may have waiting tasks, with none placed, before it may use any
	// capacity that it fits into, even if that is reserved for others: no job may wait for 90 s while a
	// machine that could run it is kept free for others, left to another partition or about to be
	// drained.
	starvingAfter = 30 * units.Second

	// unpickedShardsDelay is how long a job waits before it may use the machine shards that a plan has
	// not picked.
	unpickedShardsDelay = 5 * units.Second

	// failureResetPeriod is how long after its last failure a job with active tasks counts as healthy
	// again.
	failureResetPeriod = 30 * units.Second
)

// starvingJobs updates since when each job has waited and lists the starving jobs. It must be called every
// second: nothing else records when a job's waiting time begins.
func (d *demandFinder) starvingJobs() []*job {
	var starving []*job
	usage := d.replica.teamUsage()
	for _, j := range d.replica.sortedJobs() {
		j.resetOldFailures(d.now)
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

// resetOldFailures treats a job as healthy again once its tasks have run for a while since its last
// failure: its waiting tasks then need not wait for the completion of the active ones.
func (j *job) resetOldFailures(now units.Micros) {
	if j.failures > 0 && j.active() > 0 && now-j.failedAt > failureResetPeriod {
		j.failures = 0
	}
}

// notePlaced records that a plan has placed a task of the job. Reading an entry again, because something
// else on its machine has changed, does not count as a placement.
func (j *job) notePlaced() { j.waitingSince = 0 }

// waitingTime returns how long the job has had waiting tasks with none placed.
func (j *job) waitingTime(now units.Micros) units.Micros {
	if j.waitingSince == 0 {
		return 0
	}
	return now - j.waitingSince
}

// starving reports whether the job has waited for longer than starvingAfter.
func (j *job) starving(now units.Micros) bool { return j.waitingTime(now) > starvingAfter }

// mayUseUnpickedShards reports whether the job has waited for longer than unpickedShardsDelay: the
// machine shards that a plan picks for arrays are those with the most capacity, which may be of no use to
// a job that is bound to a zone.
func (j *job) mayUseUnpickedShards(now units.Micros) bool {
	return j.waitingTime(now) > unpickedShardsDelay
}

// usedCPUs returns the CPUs that the tasks of all teams use.
func (d *demandFinder) usedCPUs() float64 {
	usage := d.replica.teamUsage()
	sum := 0.0
	for _, team := range slices.Sorted(maps.Keys(usage)) {
		sum += usage[team].cpus
	}
	return sum
}

// unplacedCPUs returns the CPUs that tasks waiting for placement need within their teams' quotas, whether
// or not there is capacity for them.
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

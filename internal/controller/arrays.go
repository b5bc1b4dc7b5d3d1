package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/fairshare"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// placeArrays applies hSRTF-Pr (see package fairshare): it places jobs in order of remaining time, each up
// to its fair share, and gives the capacity left over, in the same order, to jobs that can use it.
func (p *plan) placeArrays(jobs []*job) {
	active := activeArrays(jobs)
	if len(active) == 0 {
		return
	}
	order := p.rankArrays(active)
	queueOnBusyMachines := p.pickShards()
	p.expireReservations(active)
	p.placeFirstTasks(order)
	// Next are jobs within their team's guarantee: they need not wait for other teams, and use free
	// capacity before tasks are preempted for them. Both among these jobs and among all others, those
	// that are urgent themselves or have an urgent dependent are placed first: the user cares about the
	// completion of the DAG, and a dependency that waits for its share delays all of its dependents.
	p.guaranteed = p.guaranteedJobs()
	p.placeAll(order, func(j *job) bool { return p.guaranteed[j] && j.urgent() })
	p.placeAll(order, func(j *job) bool { return p.guaranteed[j] })
	p.placeAll(order, (*job).urgent)
	p.placeShares(order)
	anyJob := func(*job) bool { return true }
	p.placeAll(order, anyJob)
	if queueOnBusyMachines {
		p.stageCapacityEndingSoon()
		p.placeAll(order, anyJob)
	}
}

// activeArrays returns the arrays that are neither cancelled nor blocked by dependencies.
func activeArrays(jobs []*job) []*job {
	var active []*job
	for _, j := range jobs {
		if !j.spec.Service && !j.cancelled() && !j.blocked() {
			active = append(active, j)
		}
	}
	return active
}

// urgent reports whether an array is placed before fair shares are considered.
func (j *job) urgent() bool { return j.priority() >= priorityUrgent }

// begun reports whether tasks of the job run or are done.
func (j *job) begun() bool { return j.active() > 0 || j.doneCount() > 0 }

// rankArrays assigns each array its fair share and returns those that may be placed now, in order of
// remaining time.
func (p *plan) rankArrays(active []*job) []*job {
	capacity, machinesByType := p.arrayCapacity(active)
	p.resetSharesWhenDue(active)
	p.estimates.update(p.now, p.replica.sortedJobs())
	list := make([]fairshare.Job, 0, len(active))
	byID := map[string]*job{}
	for _, j := range active {
		maxParallel := max(p.capacityFor(j, machinesByType)/len(active), 1)
		list = append(list, p.fairshareJob(j, maxParallel))
		byID[j.id] = j
	}
	var order []*job
	for _, ranked := range fairshare.Allocate(list, capacity) {
		j := byID[ranked.ID]
		j.fairShareCPUs = ranked.Share
		if p.now >= j.retryAt {
			order = append(order, j)
		}
	}
	return order
}

// arrayCapacity returns the CPUs to be shared among the partition's arrays: those that are free on its
// own machines, and those that the arrays use. It also counts these machines, by type.
func (p *plan) arrayCapacity(active []*job) (cpus float64, machinesByType map[string]int) {
	machinesByType = map[string]int{}
	for _, m := range p.machines {
		if m.shard.ownShard && m.usable {
			cpus += m.cpus
			machinesByType[m.machine.doc.Type]++
		}
	}
	for _, j := range active {
		cpus += float64(j.active()) * j.spec.CPUs
	}
	return cpus, machinesByType
}

// resetSharesWhenDue clears the shares once in each of the policy's refresh intervals, so that they are
// computed from scratch; otherwise each plan starts from the shares of the last plan.
func (p *plan) resetSharesWhenDue(active []*job) {
	state := &p.leadership.planning
	if p.now-state.sharesResetAt < p.policy.RefreshInterval {
		return
	}
	state.sharesResetAt = p.now
	for _, j := range active {
		j.fairShareCPUs = 0
	}
}

// fairshareJob returns the properties of a job that package fairshare ranks it by.
func (p *plan) fairshareJob(j *job, maxParallel int) fairshare.Job {
	average := j.observedAverage(p.now)
	if average == 0 {
		average = p.estimates.assumedTaskTime(j)
	}
	return fairshare.Job{
		ID: j.id, TotalTasks: j.spec.Tasks, UnfinishedTasks: j.spec.Tasks - j.doneCount(), AverageTaskTime: average,
		MaxParallel: maxParallel,
		Age:         max(0, p.unixTime-j.eligibleSince()), TaskSize: j.spec.CPUs, Share: j.fairShareCPUs, Weight: p.weight(j),
	}
}

// capacityFor returns how many tasks of a job the CPUs of the given machines can run at the same time. The
// machines are given as a count by type.
func (p *plan) capacityFor(j *job, machinesByType map[string]int) int {
	capacity := 0
	types := p.catalog.types
	for i := range types {
		if machineType := &types[i]; machinesByType[machineType.Name] > 0 && api.TaskFits(&j.spec, machineType) {
			capacity += machinesByType[machineType.Name] * wholeTasks(machineType.CPUs/j.spec.CPUs)
		}
	}
	return capacity
}

// placeFirstTasks places one task of each job that has waited long for its first, whatever the job's size:
// that task shows how long the job's tasks take, and a flood of smaller jobs cannot keep the job waiting.
// If the task cannot be placed, a machine is reserved for the job once mayReserve permits it.
func (p *plan) placeFirstTasks(order []*job) {
	for _, j := range order {
		if j.begun() || p.unixTime-j.eligibleSince() <= maxFirstTaskWait/2 {
			continue
		}
		p.placeUpTo(j, 1)
		if !j.begun() {
			p.reserveMachine(j)
		}
	}
}

// placeShares places tasks of each job up to its share, and at least one.
func (p *plan) placeShares(order []*job) {
	for _, j := range order {
		share := max(1, wholeTasks(j.fairShareCPUs/j.spec.CPUs+roundingTolerance))
		p.placeUpTo(j, share-j.active())
	}
}

// placeAll places as many tasks as possible of the eligible jobs, in order.
func (p *plan) placeAll(order []*job, eligible func(*job) bool) {
	for _, j := range order {
		if eligible(j) {
			p.placeUpTo(j, j.spec.Tasks)
		}
	}
}

// failuresBeforeProbe is the number of failures in a row, on any machines, after which a job's tasks are
// tried one at a time.
const failuresBeforeProbe = 3

// placeUpTo places up to limit tasks of an array.
func (p *plan) placeUpTo(j *job, limit int) {
	if j.failures >= failuresBeforeProbe {
		limit = min(limit, 1-j.active())
	}
	limit = min(limit, j.waiting())
	if limit <= 0 {
		return
	}
	placed := 0
	var m *stagedMachine
	for index := j.nextUnbound(0); index >= 0 && placed < limit && p.budget.changes >= 0 && p.underQuota(j); index = j.nextUnbound(index + 1) {
		// Consecutive tasks go to the same machine, the best one for the first of them, while they fit.
		if m == nil || !m.fits(j) || !placementAllowed(j, m.machine) {
			m = p.chooseMachine(j)
		}
		if m != nil {
			p.place(m, j, index)
		} else if !p.preemptForGuarantee(j, index) {
			break
		}
		placed++
	}
}

// stageCapacityEndingSoon counts the capacity of tasks that are about to end as free. A task placed on it
// is started as soon as the capacity is free, without waiting for the next write of the machine shard.
// This takes no capacity from other jobs, since jobs that rank higher are placed first.
func (p *plan) stageCapacityEndingSoon() {
	for _, m := range p.machines {
		if m.shard.ownShard && (m.shard.picked || m.shard.changed) && m.active > 0 {
			m.countEndingSoon()
		}
	}
}

// shardCapacity is the capacity for arrays on a machine shard, in CPUs: what is free now, and what tasks
// that end soon will add to it.
type shardCapacity struct {
	shard      *stagedShard
	free, soon float64
}

// arrayCapacityOf returns the capacity for arrays on a machine shard.
func arrayCapacityOf(shard *stagedShard) shardCapacity {
	capacity := shardCapacity{shard: shard}
	for _, m := range shard.machines {
		if m.usable {
			capacity.free += max(0, m.cpus)
			capacity.soon += max(0, m.cpus+m.endingSoon.cpus) - max(0, m.cpus)
		}
	}
	return capacity
}

// pickShards chooses the machine shards that arrays may use in this plan. While changes are scarce, each
// change must start as many tasks as possible: the machine shards with the most capacity, now or soon,
// are picked first. It reports whether tasks should also queue behind tasks that end soon, since little
// other capacity is free.
func (p *plan) pickShards() (queueOnBusyMachines bool) {
	var candidates []shardCapacity
	for _, shard := range p.shards {
		if shard.changed || p.reservedForLeader(shard) {
			continue
		}
		if capacity := arrayCapacityOf(shard); capacity.free+capacity.soon > 0 {
			candidates = append(candidates, capacity)
		}
	}
	if len(candidates) <= p.budget.changes {
		return false
	}
	slices.SortStableFunc(candidates, func(a, b shardCapacity) int { return cmp.Compare(b.free+b.soon, a.free+a.soon) })
	p.shardsPicked = true
	pickedSoon, unpickedFree := 0.0, 0.0
	for i, candidate := range candidates {
		if i < p.budget.changes {
			candidate.shard.pick()
			pickedSoon += candidate.soon
		} else {
			unpickedFree += candidate.free
		}
	}
	return unpickedFree < pickedSoon && p.revisitPeriod() > minRevisitToQueue
}

// revisitPeriod returns how long it takes on average, at this controller's write rate, to write each of
// the partition's machine shards once more.
func (p *plan) revisitPeriod() units.Micros {
	own := 0
	for _, shard := range p.shards {
		if shard.ownShard && len(shard.machines) > 0 {
			own++
		}
	}
	return units.FromSeconds(float64(own) / p.writes.rate())
}

// minRevisitToQueue is the revisit period above which tasks queue behind others that are expected to end
// soon. Without queued tasks, freed capacity waits on average half of the revisit period for the next write
// of its machine shard. A queued task may wait longer than that if the expected end is wrong, as for a job
// whose tasks differ in length, and while it waits it cannot be placed elsewhere.
const minRevisitToQueue = 2 * units.Second

// reservedForLeader reports whether the capacity of another partition's machine shard is left to that
// partition's own waiting jobs. If they have not used it for leaderPriorityPeriod, they cannot: their
// team is at its quota, their tasks fail, or they fit on no machine there. Such jobs must not keep all
// others off a partition's free machines.
func (p *plan) reservedForLeader(shard *stagedShard) bool {
	return !shard.ownShard && p.partitionsWaiting[shard.shard.partition] && p.now-shard.shard.changedAt < leaderPriorityPeriod
}

// leaderPriorityPeriod is how long after the last change of a machine shard its capacity is left to its own
// partition's jobs: several times as long as a leader takes to visit all of its machine shards.
const leaderPriorityPeriod = 15 * units.Second

// priorityUrgent is the lowest priority at which an array is placed before fair shares are considered.
const priorityUrgent = 2

var priorityNames = [...]string{"best_effort", "standard", "urgent", "production"}

// weightLogPeriod is the minimum time between log messages about failures of the policy.
const weightLogPeriod = 60 * units.Second

// weight returns the weight that the operators' policy gives a job; 1 if the policy fails.
func (p *plan) weight(j *job) float64 {
	age := max(0, p.unixTime-j.eligibleSince())
	dueInSeconds := 0.0
	if dueAt := j.dependency.DueAt(); dueAt > 0 { // the earliest deadline of the job and its dependents
		dueInSeconds = (dueAt - p.unixTime).Seconds()
	}
	weight, err := p.policy.Weight(policy.Job{
		Class: j.spec.Class, Grade: priorityNames[j.priority()], Tasks: j.spec.Tasks, AgeS: age.Seconds(), DueInS: dueInSeconds,
	})
	if err != nil && p.weightLog.due(p.now, weightLogPeriod) {
		p.log.Warn("policy weight failed, using 1", "job", j.id, "err", err)
	}
	return weight
}

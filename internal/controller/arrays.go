package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/fairshare"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// placeArrays is hSRTF-Pr: jobs in order of remaining time, each up to its fair share, and what is left
// over to whoever can use it in the same order.
func (p *plan) placeArrays(jobs []*job) {
	active := activeArrays(jobs)
	if len(active) == 0 {
		return
	}
	order := p.rankArrays(active)
	queueBehind := p.pickShards()
	p.expireReservations(active)
	p.placeFirstTasks(order)
	// Then what lies within its team's guarantee: it need not wait for other teams, and takes the
	// capacity that falls free before any is taken back for it. Of either kind what is urgent goes
	// first, itself or for a dependent: its user cares about the completion of the DAG, and each
	// dependency that waits for its share delays all that follow.
	p.guaranteed = p.guaranteedJobs()
	p.placeAll(order, func(j *job) bool { return p.guaranteed[j] && j.urgent() })
	p.placeAll(order, func(j *job) bool { return p.guaranteed[j] })
	p.placeAll(order, (*job).urgent)
	p.placeShares(order)
	anyJob := func(*job) bool { return true }
	p.placeAll(order, anyJob)
	if queueBehind {
		p.stageCapacityEndingSoon()
		p.placeAll(order, anyJob)
	}
}

// activeArrays are the arrays that are neither cancelled nor wait for other jobs.
func activeArrays(jobs []*job) []*job {
	var active []*job
	for _, j := range jobs {
		if !j.spec.Service && !j.cancelled() && !j.blocked() {
			active = append(active, j)
		}
	}
	return active
}

// urgent reports whether an array is placed before shares are looked at.
func (j *job) urgent() bool { return j.priority() >= priorityUrgent }

// begun reports whether tasks of the job run or are done.
func (j *job) begun() bool { return j.active() > 0 || j.doneCount() > 0 }

// rankArrays gives each array its share and returns those that may be placed now, in order of
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
		j.share = ranked.Share
		if p.now >= j.retryAt {
			order = append(order, j)
		}
	}
	return order
}

// arrayCapacity is what the partition's arrays may have among them, in CPUs: what is free on its own
// machines, and what the arrays take. It also counts those machines, by type.
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

// resetSharesWhenDue has the shares worked out from nothing now and then, as the policy says; otherwise
// each plan starts from those of the last.
func (p *plan) resetSharesWhenDue(active []*job) {
	state := &p.leadership.planning
	if p.now-state.sharesResetAt < p.policy.RefreshInterval {
		return
	}
	state.sharesResetAt = p.now
	for _, j := range active {
		j.share = 0
	}
}

// fairshareJob is a job as fairshare ranks it.
func (p *plan) fairshareJob(j *job, maxParallel int) fairshare.Job {
	average := j.observedAverage(p.now)
	if average == 0 {
		average = p.estimates.borrowedAverage(j)
	}
	return fairshare.Job{
		ID: j.id, TotalTasks: j.spec.Tasks, UnfinishedTasks: j.spec.Tasks - j.doneCount(), AverageTaskTime: average,
		MaxParallel: maxParallel,
		Age:         max(0, p.timeOfDay-j.eligibleSince()), TaskSize: j.spec.CPUs, Share: j.share, Weight: p.weight(j),
	}
}

// capacityFor is how many tasks of a job so many machines of each type run at once.
func (p *plan) capacityFor(j *job, machinesByType map[string]int) int {
	capacity := 0
	types := p.catalog.types
	for i := range types {
		if machineType := &types[i]; machinesByType[machineType.Name] > 0 && api.TaskFits(&j.spec, machineType) {
			capacity += machinesByType[machineType.Name] * int(machineType.CPUs/j.spec.CPUs)
		}
	}
	return capacity
}

// placeFirstTasks places one task of each job that has waited for long, whatever its size: it shows
// how long its tasks take, and no flood of smaller ones keeps it waiting.
func (p *plan) placeFirstTasks(order []*job) {
	for _, j := range order {
		if j.begun() || p.timeOfDay-j.eligibleSince() <= firstTaskWithin/2 {
			continue
		}
		p.placeUpTo(j, 1)
		if !j.begun() {
			p.reserveMachine(j)
		}
	}
}

// placeShares places each job up to its share.
func (p *plan) placeShares(order []*job) {
	for _, j := range order {
		share := max(1, int(j.share/j.spec.CPUs+roundingTolerance))
		p.placeUpTo(j, share-j.active())
	}
}

// placeAll places all that it can of the jobs that are eligible, in order.
func (p *plan) placeAll(order []*job, eligible func(*job) bool) {
	for _, j := range order {
		if eligible(j) {
			p.placeUpTo(j, j.spec.Tasks)
		}
	}
}

// failuresBeforeProbe is how often a job must have failed, wherever it ran, until its tasks are tried
// one at a time.
const failuresBeforeProbe = 3

// placeUpTo places up to so many tasks of an array.
func (p *plan) placeUpTo(j *job, most int) {
	if j.failures >= failuresBeforeProbe {
		most = min(most, 1-j.active())
	}
	most = min(most, j.waiting())
	if most <= 0 {
		return
	}
	placed := 0
	var m *stagedMachine
	for index := j.nextUnbound(0); index >= 0 && placed < most && p.budget.changes >= 0 && p.underQuota(j); index = j.nextUnbound(index + 1) {
		// Neighbours go together: where one fitted best, so does the next.
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

// stageCapacityEndingSoon counts the capacity of tasks that are about to end as free. What is entered
// there is started the moment that capacity is free, without waiting for the next write of the machine
// shard; it is lost to nobody, since whatever ranks higher goes first.
func (p *plan) stageCapacityEndingSoon() {
	for _, m := range p.machines {
		if m.shard.ownShard && (m.shard.picked || m.shard.changed) && m.active > 0 {
			m.countEndingSoon()
		}
	}
}

// shardCapacity is what arrays may find on a machine shard, in CPUs.
type shardCapacity struct {
	shard      *stagedShard
	free, soon float64
}

// arrayCapacityOf is what arrays may find on a machine shard.
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

// pickShards chooses the machine shards that arrays may use in this plan. While changes are scarce,
// each must start as much as it can: the machine shards with the most capacity, now or soon, come
// first. It reports whether tasks should also queue behind those that end soon, since little else
// is free.
func (p *plan) pickShards() (queueBehind bool) {
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
	soon, left := 0.0, 0.0
	for i, candidate := range candidates {
		if i < p.budget.changes {
			candidate.shard.pick()
			soon += candidate.soon
		} else {
			left += candidate.free
		}
	}
	return left < soon && p.revisitPeriod() > minRevisitToQueue
}

// revisitPeriod is how long it takes, on average, until each of the partition's machine shards has been
// written once more.
func (p *plan) revisitPeriod() units.Micros {
	own := 0
	for _, shard := range p.shards {
		if shard.ownShard && len(shard.machines) > 0 {
			own++
		}
	}
	return units.FromSeconds(float64(own) / p.writes.rate())
}

// minRevisitToQueue is the revisit period above which tasks queue behind others that are expected to
// end soon. A freed place waits half of that period for the next write of its machine shard; a task
// that is queued waits for longer when the expectation is wrong, as it is for a job whose tasks differ,
// and it cannot go elsewhere meanwhile.
const minRevisitToQueue = 2 * units.Second

// reservedForLeader reports whether a machine shard's capacity is left to its own partition's jobs,
// which wait. If they have not taken it for a while they cannot: their team is at its quota, they
// fail, or fit nowhere there. Such jobs must not keep all others off a partition's free machines.
func (p *plan) reservedForLeader(shard *stagedShard) bool {
	return !shard.ownShard && p.partitionsWaiting[shard.shard.partition] && p.now-shard.shard.changedAt < leaderPriorityPeriod
}

// leaderPriorityPeriod is several times what a leader needs to visit all of its machine shards.
const leaderPriorityPeriod = 15 * units.Second

// priorityUrgent is the priority from which on an array is placed before shares are looked at.
const priorityUrgent = 2

var priorityNames = [...]string{"best_effort", "standard", "urgent", "production"}

// weightLogPeriod is how often failures of the policy are told in the log.
const weightLogPeriod = 60 * units.Second

// weight is what the operators' policy says of a job; 1 if it fails.
func (p *plan) weight(j *job) float64 {
	age := max(0, p.timeOfDay-j.eligibleSince())
	dueInSeconds := 0.0
	if dueAt := j.dependency.DueAt(); dueAt > 0 { // also of a dependent
		dueInSeconds = (dueAt - p.timeOfDay).Seconds()
	}
	weight, err := p.policy.Weight(policy.Job{
		Class: j.spec.Class, Grade: priorityNames[j.priority()], Tasks: j.spec.Tasks, AgeS: age.Seconds(), DueInS: dueInSeconds,
	})
	if err != nil && p.weightLog.due(p.now, weightLogPeriod) {
		p.log.Warn("policy weight failed, using 1", "job", j.id, "err", err)
	}
	return weight
}

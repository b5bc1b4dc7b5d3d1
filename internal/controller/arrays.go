package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/fairshare"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

// placeArrays is hSRTF-Pr: jobs in order of remaining time, each up to its
// share, and what is left over to whoever can use it in the same order.
func (c *Controller) placeArrays(b *plan, jobs []*job) {
	var active []*job
	for _, j := range jobs {
		if !j.spec.Service && !j.cancelled() && !j.blocked() {
			active = append(active, j)
		}
	}
	if len(active) == 0 {
		return
	}
	order := c.rankArrays(b, active)
	queue := b.pickShards()
	b.expireReservations(active)
	b.placeFirstTasks(order)
	// Then what lies within its team's guarantee: it need not wait for other teams, and
	// takes the room that falls free before any is taken back for it. Of either kind what is
	// urgent goes first, itself or for a job that needs it: its owner cares about the end of
	// the chain, and each link that waits for its share delays all that follow.
	b.guaranteed = c.guaranteedJobs()
	urgent := func(j *job) bool { return j.priority() >= priorityUrgent }
	b.placeAll(order, func(j *job) bool { return b.guaranteed[j] && urgent(j) })
	b.placeAll(order, func(j *job) bool { return b.guaranteed[j] })
	b.placeAll(order, urgent)
	// Then each up to its share, and what is left over to whoever can use it.
	for _, j := range order {
		share := max(1, int(j.share/j.spec.CPUs+1e-9))
		b.placeUpTo(j, share-j.active())
	}
	anyJob := func(*job) bool { return true }
	b.placeAll(order, anyJob)
	if queue {
		b.stageCapacityEndingSoon()
		b.placeAll(order, anyJob)
	}
}

// rankArrays gives each array its share and returns those that may be placed now, in order of
// remaining time.
func (c *Controller) rankArrays(b *plan, active []*job) []*job {
	room := 0.0
	slice := map[string]int{} // machines of each type in the slice
	for _, d := range b.machines {
		if d.shard.ownShard && d.usable {
			room += d.cpus
			slice[d.machine.doc.Type]++
		}
	}
	for _, j := range active {
		room += float64(j.active()) * j.spec.CPUs
	}
	if c.now-b.leadership.sharesResetAt >= c.policy.RefreshInterval {
		b.leadership.sharesResetAt = c.now
		for _, j := range active {
			j.share = 0
		}
	}
	c.updateClassAverages()
	list := make([]fairshare.Job, 0, len(active))
	byID := map[string]*job{}
	for _, j := range active {
		average := c.observedAverage(j)
		if average == 0 {
			average = c.borrowedAverage(j)
		}
		list = append(list, fairshare.Job{
			ID: j.id, TotalTasks: j.spec.Tasks, UnfinishedTasks: j.spec.Tasks - j.doneCount(), AverageTaskTime: average,
			MaxParallel: max(c.capacityFor(j, slice)/len(active), 1),
			Age:         max(0, c.timeOfDay-j.eligibleSince()), TaskSize: j.spec.CPUs, Share: j.share, Weight: c.weight(j),
		})
		byID[j.id] = j
	}
	var order []*job
	for _, r := range fairshare.Allocate(list, room) {
		j := byID[r.ID]
		j.share = r.Share
		if c.now >= j.retryAt {
			order = append(order, j)
		}
	}
	return order
}

// capacityFor is how many tasks of a job so many machines of each type hold at once.
func (c *Controller) capacityFor(j *job, machines map[string]int) int {
	capacity := 0
	for i := range c.catalog.types {
		if t := &c.catalog.types[i]; machines[t.Name] > 0 && api.TaskFits(&j.spec, t) {
			capacity += machines[t.Name] * int(t.CPUs/j.spec.CPUs)
		}
	}
	return capacity
}

// placeFirstTasks places one task of each job that has waited for long, whatever its size: it
// shows how long its tasks take, and no flood of smaller ones keeps it waiting.
func (b *plan) placeFirstTasks(order []*job) {
	begun := func(j *job) bool { return j.active() > 0 || j.doneCount() > 0 }
	for _, j := range order {
		if begun(j) || b.c.timeOfDay-j.eligibleSince() <= firstTaskWithin/2 {
			continue
		}
		b.placeUpTo(j, 1)
		if !begun(j) {
			b.reserveMachine(j)
		}
	}
}

// placeAll places all that it can of the jobs that are eligible, in order.
func (b *plan) placeAll(order []*job, eligible func(*job) bool) {
	for _, j := range order {
		if eligible(j) {
			b.placeUpTo(j, j.spec.Tasks)
		}
	}
}

// placeUpTo places up to so many tasks of an array.
func (b *plan) placeUpTo(j *job, most int) {
	c := b.c
	if j.failures >= 3 {
		most = min(most, 1-j.active()) // it fails wherever it runs: try one task at a time
	}
	most = min(most, j.waiting())
	if most <= 0 {
		return
	}
	placed := 0
	var d *stagedMachine
	for n := j.nextUnbound(0); n >= 0 && placed < most && b.changesLeft >= 0 && b.underQuota(j); n = j.nextUnbound(n + 1) {
		// Neighbours go together: where one fitted best, so does the next.
		if d == nil || !d.fits(j) || !c.placementAllowed(j, d.machine) {
			d = b.chooseMachine(j)
		}
		if d != nil {
			b.place(d, j, n)
		} else if !c.preemptForGuarantee(b, j, n) {
			break
		}
		placed++
	}
}

// firstTaskWithin is how long a job may wait for its first task before a machine is
// kept free for it. It leaves tasks of a minute time to end within the four
// minutes in which the largest jobs must begin.
const firstTaskWithin = 60 * units.Second

// reserveMachine keeps the machine with the most free room for a job that has not begun:
// without it, room for a large task never falls free in one piece while smaller
// ones wait, and the last in the order would wait for all others.
func (b *plan) reserveMachine(j *job) {
	c := b.c
	if j.failures > 0 || c.now < b.leadership.reserveNotBefore || c.timeOfDay-j.eligibleSince() < firstTaskWithin || len(b.leadership.reservations) > len(b.machines)/20 || !b.underQuota(j) {
		return
	}
	for _, k := range b.leadership.reservations {
		if k.job == j.id {
			return
		}
	}
	var best *stagedMachine
	for _, d := range b.machines {
		t := c.machineType(d.machine.doc.Type)
		if d.shard.ownShard && d.usable && b.leadership.reservations[d.machine.name].job == "" && t != nil && api.TaskFits(&j.spec, t) && c.placementAllowed(j, d.machine) && (best == nil || d.cpus > best.cpus) {
			best = d
		}
	}
	if best != nil {
		b.leadership.reservations[best.machine.name] = reservation{j.id, c.now}
		c.log.Info("reserving machine", "machine", best.machine.name, "for", j.id)
	}
}

// expireReservations drops the machines that need not be kept free any more.
func (b *plan) expireReservations(active []*job) {
	for name, k := range b.leadership.reservations {
		needed := slices.ContainsFunc(active, func(j *job) bool { return j.id == k.job && j.active() == 0 && j.doneCount() == 0 && j.failures == 0 })
		if !needed || b.c.now-k.since > reservationPeriod {
			delete(b.leadership.reservations, name)
		}
		if needed && b.c.now-k.since > reservationPeriod {
			b.leadership.reserveNotBefore = b.c.now + reservationPeriod/2
		}
	}
}

// reservationPeriod is how long a machine may be kept free in one go. Small jobs beside it must
// not wait for as long as the large one does.
const reservationPeriod = 60 * units.Second

// stageCapacityEndingSoon counts the room of tasks that are about to end as free. What is
// entered there is launched the moment that room is free, without waiting for
// the next write of the machine shard; it is lost to nobody, since whatever ranks higher
// goes first.
func (b *plan) stageCapacityEndingSoon() {
	for _, d := range b.machines {
		if d.shard.ownShard && (d.shard.picked || d.shard.changed) && d.active > 0 {
			d.resources.cpus += d.endingSoon.cpus
			d.resources.gpus += d.endingSoon.gpus
			d.resources.memoryGB += d.endingSoon.memoryGB
		}
	}
}

// pickShards chooses the machine shards that arrays may use in this batch. While changes
// are scarce, each must start as much as it can: the machine shards with the most room,
// now or soon, come first. It reports whether tasks should also queue behind
// those that end soon, since little else is free.
func (b *plan) pickShards() (queue bool) {
	type roomy struct {
		gd         *stagedShard
		free, soon float64
	}
	var all []roomy
	for _, gd := range b.shards {
		if gd.changed || b.reservedForLeader(gd) {
			continue
		}
		r := roomy{gd: gd}
		for _, d := range gd.machines {
			if d.usable {
				r.free += max(0, d.cpus)
				r.soon += max(0, d.cpus+d.endingSoon.cpus) - max(0, d.cpus)
			}
		}
		if r.free+r.soon > 0 {
			all = append(all, r)
		}
	}
	if len(all) <= b.changesLeft {
		return false
	}
	slices.SortStableFunc(all, func(x, y roomy) int { return cmp.Compare(y.free+y.soon, x.free+x.soon) })
	b.shardsPicked = true
	soon, left := 0.0, 0.0
	for i, r := range all {
		if i < b.changesLeft {
			r.gd.picked = true
			soon += r.soon
		} else {
			left += r.free
		}
	}
	return left < soon && b.revisitPeriod() > minRevisitToQueue
}

// revisitPeriod is how long it takes, on average, until each of the partition's machine shards
// has been written once more.
func (b *plan) revisitPeriod() units.Micros {
	own := 0
	for _, gd := range b.shards {
		if gd.ownShard && len(gd.machines) > 0 {
			own++
		}
	}
	return units.FromSeconds(float64(own) / b.c.budget.rate())
}

// minRevisitToQueue is the revisit period above which tasks queue behind others that are
// expected to end soon. A freed place waits half of that period for the next write of
// its machine shard; a task that is queued waits for longer when the expectation is wrong, as
// it is for a job whose tasks differ, and it cannot go elsewhere meanwhile.
const minRevisitToQueue = 2 * units.Second

// reservedForLeader reports whether a machine shard's room is left to its own partition's jobs, which
// wait. If they have not taken it for a while they cannot: their team is at its
// limit, they fail, or fit nowhere there. One such task once kept all others off a
// partition's free machines for good.
func (b *plan) reservedForLeader(gd *stagedShard) bool {
	return !gd.ownShard && b.partitionsWaiting[gd.shard.partition] && b.c.now-gd.shard.changedAt < leaderPriorityPeriod
}

// leaderPriorityPeriod is several times what an owner needs to visit all of its machine shards.
const leaderPriorityPeriod = 15 * units.Second

// priorityUrgent is the priority from which on an array is placed before shares are looked at.
const priorityUrgent = 2

var priorityNames = [...]string{"best_effort", "standard", "urgent", "production"}

// weight is what the operators' script says of a job.
func (c *Controller) weight(j *job) float64 {
	age := max(0, c.timeOfDay-j.eligibleSince())
	due := 0.0
	if at := j.dependency.DueAt(); at > 0 { // also of a job that needs this one
		due = (at - c.timeOfDay).Seconds()
	}
	w, err := c.policy.Weight(policy.Job{Class: j.spec.Class, Grade: priorityNames[j.priority()], Tasks: j.spec.Tasks, AgeS: age.Seconds(), DueInS: due})
	if err != nil && c.scheduling.weightLogPeriod.due(c.now, weightLogPeriod) {
		c.log.Warn("policy weight failed, using 1", "job", j.id, "err", err)
	}
	return w
}

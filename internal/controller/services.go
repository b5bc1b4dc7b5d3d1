package controller

import (
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	minServiceRun     = 35 * units.Second // a service that started stays at least so long
	stopLeadTime      = 3 * units.Second  // for a stop to be stored and carried out before a machine is taken
	maxServiceMoves   = 2                 // services that one plan moves
	objectiveKindWait = "wait"            // kind of the objectives that bound how long a start may take
)

// placeServices puts services first, whole as far as capacity goes, and frees capacity for them by
// stopping work of lower priority.
func (p *plan) placeServices(jobs []*job) {
	for _, j := range jobs {
		if j.spec.Service && !j.cancelled() && !j.blocked() && p.now >= j.retryAt {
			p.placeService(j)
		}
	}
}

// placeService places what is not bound of a service, until one of its tasks finds no place.
func (p *plan) placeService(j *job) {
	for index := 0; index < j.spec.Tasks; index++ {
		if _, bound := j.bindings[index]; bound {
			continue
		}
		if !p.underQuota(j) {
			return
		}
		shape := shapeOf(j)
		if p.unplaceable[shape] {
			return
		}
		if !p.placeServiceTask(j, index) {
			p.unplaceable[shape] = true
			return
		}
	}
}

// placeServiceTask places one task of a service, in the place of work of lower priority if need be,
// also where that spares it a fetch of its image that takes too long. It reports whether it did.
func (p *plan) placeServiceTask(j *job, index int) bool {
	m := p.chooseMachine(j)
	lower := preemptionRule{eligible: func(victim *job) bool { return victim.spec.Priority < j.spec.Priority }}
	if m == nil {
		return p.preempt(j, index, false, lower)
	}
	if !m.hasImage(j.spec.Image) && p.fetchTooSlow(j, m.machine) && p.preempt(j, index, true, lower) {
		return true
	}
	p.place(m, j, index)
	return true
}

// fetchTooSlow reports whether fetching the image on a machine would take longer than the class may
// wait for its start.
func (p *plan) fetchTooSlow(j *job, m *machine) bool {
	machineType := p.catalog.machineType(m.doc.Type)
	// The rate may be a third lower, and a third is left for what comes before and after the fetch.
	for _, objective := range p.cfg.Settings.Objectives {
		if objective.Kind == objectiveKindWait && objective.Class == j.spec.Class && machineType != nil && machineType.FetchGBPerSecond > 0 {
			return j.spec.ImageGB/machineType.FetchGBPerSecond > objective.WithinS/2
		}
	}
	return false
}

// drainReclaimed saves what can be saved on machines that the cloud is about to take back: services
// leave at once, tasks with checkpoints as late as they can. Others run on, since they may complete in
// time.
func (p *plan) drainReclaimed() {
	for _, m := range p.machinesToEmpty(func(m *machine) bool { return m.agent.notice.announced }) {
		left := m.machine.agent.notice.endsAt - p.now
		for _, task := range m.kept {
			j := p.replica.jobs[task.Job]
			if j != nil && p.facts.shouldRun(m.machine, task) && p.fitsShard(m.shard) && j.mustLeaveReclaimed(left) {
				p.writeShard(m.shard)
				m.requestStop(keyOf(task), schema.StopGracefully)
			}
		}
	}
}

// mustLeaveReclaimed reports whether a task of the job must be stopped now on a machine that is taken
// back when that time is over.
func (j *job) mustLeaveReclaimed(left units.Micros) bool {
	return j.spec.Service ||
		j.spec.CheckpointIntervalSeconds > 0 && left < units.FromSeconds(j.spec.CheckpointSeconds)+stopLeadTime
}

// machinesToEmpty lists this partition's machines that are to be emptied, for one reason or another.
// They take no more work, so they are not among those that tasks are placed on.
func (p *plan) machinesToEmpty(why func(*machine) bool) []*stagedMachine {
	var machines []*stagedMachine
	for _, shard := range p.shards {
		for _, m := range shard.machines {
			if shard.ownShard && m.machine.agent != nil && !m.machine.deleted && why(m.machine) {
				machines = append(machines, m)
			}
		}
	}
	return machines
}

// hasStoppingTask reports whether a task of the job is being stopped.
func (j *job) hasStoppingTask() bool {
	for index, bound := range j.bindings {
		for _, task := range bound.machine.doc.Tasks {
			if task.Job == j.id && task.Index == index && task.StopMode > 0 {
				return true
			}
		}
	}
	return false
}

// moveServices takes services off machines that are to be deleted, where another machine has their
// image and capacity, so that they are away for a moment only. Those that have just started stay for
// now. Of one service only one task moves at a time: two that move together may not fit one zone.
func (p *plan) moveServices() {
	if !periodOf(p.movePeriods, p.leadership.partition).due(p.now, rebalancePeriod) {
		return
	}
	moving := map[*job]bool{}
	for _, m := range p.machinesToEmpty(func(m *machine) bool { return m.agent.draining && p.facts.quiesced(m) }) {
		for _, task := range m.kept {
			j := p.replica.jobs[task.Job]
			if !p.movable(m, j, task) || moving[j] || !p.moveService(m, j, task) {
				continue
			}
			moving[j] = true
			if len(moving) >= maxServiceMoves {
				return
			}
		}
	}
}

// movable reports whether a task is of a service that runs steadily and may move now.
func (p *plan) movable(m *stagedMachine, j *job, task schema.Task) bool {
	if j == nil || !j.accepted || !j.spec.Service || j.waiting() > 0 || j.hasStoppingTask() {
		return false
	}
	run, runs := m.machine.agent.runningSince[keyOf(task)]
	return runs && p.now-run.at >= minServiceRun && p.facts.shouldRun(m.machine, task) && p.fitsShard(m.shard)
}

// moveService stops a service's task if there is a better machine for it, and keeps the capacity there.
// The next plan places it. It reports whether it did.
func (p *plan) moveService(from *stagedMachine, j *job, task schema.Task) bool {
	j.removeBinding(task.Index) // it does not stand in its own way
	to := p.chooseMachine(j)
	j.addBinding(task.Index, binding{from.machine, task.Attempt})
	if to == nil || !to.hasImage(j.spec.Image) || p.replica.rented(to.machine.name) && to.active == 0 {
		return false
	}
	p.writeShard(from.shard)
	from.requestStop(keyOf(task), schema.StopImmediately)
	to.setAsideForMove(&j.spec)
	p.log.Info("moving service", "task", keyOf(task).task(), "from", from.machine.name, "to", to.machine.name)
	return true
}

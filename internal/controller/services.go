package controller

import (
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

const (
	minServiceRun     = 35 * units.Second // a service's task runs at least this long before it is moved
	stopLeadTime      = 3 * units.Second  // time for a stop to be stored and carried out before a machine is reclaimed
	maxServiceMoves   = 2                 // most services that one plan may move
	objectiveKindWait = "wait"            // kind of the objectives that bound how long a start may take
)

// placeServices places as many tasks of services as capacity allows, before any array, and frees capacity
// for them by preempting tasks of lower priority.
func (p *plan) placeServices(jobs []*job) {
	for _, j := range jobs {
		if j.spec.Service && !j.cancelled() && !j.blocked() && p.now >= j.retryAt {
			p.placeService(j)
		}
	}
}

// placeService places the unbound tasks of a service, until one of them cannot be placed.
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

// placeServiceTask places one task of a service. It preempts tasks of lower priority if no machine has
// capacity, or if that avoids an image fetch that would take too long. It reports whether the task was
// placed.
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

// fetchTooSlow reports whether fetching the image on a machine would take too long for the objective that
// bounds how long a job of this class may wait for its start.
func (p *plan) fetchTooSlow(j *job, m *machine) bool {
	machineType := p.catalog.machineType(m.doc.Type)
	// A fetch at the nominal rate may take half of the objective, hence three quarters of it if the rate
	// is a third lower. The rest, a third of that longer fetch time, is for the steps before and after the
	// fetch.
	for _, objective := range p.cfg.Settings.Objectives {
		if objective.Kind == objectiveKindWait && objective.Class == j.spec.Class && machineType != nil && machineType.FetchGBPerSecond > 0 {
			return j.spec.ImageGB/machineType.FetchGBPerSecond > objective.WithinS/2
		}
	}
	return false
}

// drainReclaimed stops tasks on machines that the cloud is about to reclaim: services without delay, tasks
// with checkpoints as late as possible. Other tasks run on, since they may complete in time.
func (p *plan) drainReclaimed() {
	for _, m := range p.machinesToEmpty(func(m *machine) bool { return m.agent.notice.announced }) {
		remaining := m.machine.agent.notice.endsAt - p.now
		for _, task := range m.kept {
			j := p.replica.jobs[task.Job]
			if j != nil && p.facts.shouldRun(m.machine, task) && p.fitsShard(m.shard) && j.mustLeaveReclaimed(remaining) {
				p.writeShard(m.shard)
				m.requestStop(keyOf(task), schema.StopGracefully)
			}
		}
	}
}

// mustLeaveReclaimed reports whether a task of the job must be stopped now on a machine that will be
// reclaimed after the remaining time.
func (j *job) mustLeaveReclaimed(remaining units.Micros) bool {
	return j.spec.Service ||
		j.spec.CheckpointIntervalSeconds > 0 && remaining < units.FromSeconds(j.spec.CheckpointSeconds)+stopLeadTime
}

// machinesToEmpty lists this partition's machines that are to be emptied, as chosen by selected. They
// accept no more tasks, so plan.machines does not have them.
func (p *plan) machinesToEmpty(selected func(*machine) bool) []*stagedMachine {
	var machines []*stagedMachine
	for _, shard := range p.shards {
		for _, m := range shard.machines {
			if shard.ownShard && m.machine.agent != nil && !m.machine.deleted && selected(m.machine) {
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

// moveServices moves services off machines that are being drained, to machines that have their image and
// capacity, so that the interruption is short. Services that have just started are not moved yet. Only
// one task of a service moves at a time: two that move together may not fit into one zone.
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

// movable reports whether a task belongs to a service that runs steadily, and may be moved now.
func (p *plan) movable(m *stagedMachine, j *job, task schema.Task) bool {
	if j == nil || !j.accepted || !j.spec.Service || j.waiting() > 0 || j.hasStoppingTask() {
		return false
	}
	run, runs := m.machine.agent.runningSince[keyOf(task)]
	return runs && p.now-run.at >= minServiceRun && p.facts.shouldRun(m.machine, task) && p.fitsShard(m.shard)
}

// moveService stops a service's task if there is a better machine for it, and reserves capacity there in
// this plan. The next plan places the task. It reports whether the task was stopped.
func (p *plan) moveService(from *stagedMachine, j *job, task schema.Task) bool {
	j.removeBinding(task.Index) // its own binding must not count for its new placement
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

package controller

import "frostdock.example/frostdock/internal/schema"

// freedTask is a task whose machine the plan drops, and where it was bound.
type freedTask struct {
	job     *job
	index   int
	binding binding
}

// dropDeletedMachines drops machines whose deletion the cloud has confirmed, and frees the tasks of
// this partition's jobs that were there, so that the same change that drops them can start the tasks
// on other machines of the shard: the services of many lost machines are back after half as many
// changes as with one for each step.
func (p *plan) dropDeletedMachines() {
	for _, shard := range p.shards {
		if !shard.ownShard {
			continue
		}
		for _, m := range shard.machines {
			if m.machine.deleted && p.fitsShard(shard) {
				p.writeShard(shard)
				p.freeTasks(m.machine)
			}
		}
	}
}

// freeTasks takes the bindings of this partition's unfinished tasks off a machine.
func (p *plan) freeTasks(m *machine) {
	for _, task := range m.doc.Tasks {
		j := p.replica.unfinishedJobOf(task)
		if j == nil || j.partition != p.leadership.partition {
			continue
		}
		if bound, ok := j.bindings[task.Index]; ok && bound.machine == m && bound.attempt == task.Attempt {
			p.freedTasks = append(p.freedTasks, freedTask{j, task.Index, bound})
			j.removeBinding(task.Index)
		}
	}
}

// restoreBindings undoes freeTasks when the plan was not stored: until the entries are off the
// document, the partition's next leader would find them.
func (p *plan) restoreBindings() {
	for _, freed := range p.freedTasks {
		m := freed.binding.machine
		_, bound := freed.job.bindings[freed.index]
		if !bound && p.replica.machines[m.name] == m && m.lists(taskKey{freed.job.id, freed.index, freed.binding.attempt}) {
			freed.job.addBinding(freed.index, freed.binding)
		}
	}
}

// stageDecommissions writes down which machines are decommissioned.
func (p *plan) stageDecommissions() {
	for _, shard := range p.shards {
		for _, m := range shard.machines {
			if shard.ownShard && p.fitsShard(shard) && m.machine.awaitsDecommission() {
				p.writeShard(shard)
				m.markDecommissioned()
			}
		}
	}
}

// awaitsDecommission reports whether the machine is decommissioned and its entry must say so first.
func (m *machine) awaitsDecommission() bool {
	return !m.deleted && m.agent != nil && m.agent.decommission.decided() && !m.agent.decommission.atOnce && !m.doc.Decommissioned
}

// stageReleases writes shards whose entries stand in the way: of tasks that must run again, of
// completions that the leader of another partition's job must learn, and of unclear commands, which a
// higher fencing token makes void.
func (p *plan) stageReleases() {
	for _, shard := range p.shards {
		if !shard.ownShard {
			continue
		}
		for _, m := range shard.machines {
			if m.machine.agent == nil || !p.fitsShard(shard) {
				continue
			}
			if p.mustRefence(m.machine) {
				m.markRefenced()
				p.writeShard(shard)
			}
			if !shard.changed && (p.recordsCompletion(m) || p.mustReleaseEntries(m)) {
				p.writeShard(shard)
			}
		}
	}
}

// mustRefence reports whether a direct command to the machine is unclear under its present token,
// while the machine is heard.
func (p *plan) mustRefence(m *machine) bool {
	agent := m.agent
	return agent.command.unclear() && agent.heardAt > 0 && p.now-agent.heardAt < p.cfg.Settings.HeartbeatPeriod()*2 &&
		agent.command.token == p.replica.fencingToken(m)
}

// recordsCompletion reports whether a completion on the machine must be written down now.
func (p *plan) recordsCompletion(m *stagedMachine) bool {
	for i := range m.kept {
		if p.mustRecordCompletion(m.machine, &m.kept[i], p.usage) {
			return true
		}
	}
	return false
}

// mustReleaseEntries reports whether entries that may go must go now: a task must run again, or the
// document has no space left.
func (p *plan) mustReleaseEntries(m *stagedMachine) bool {
	return m.releasesEntries() && (m.releasesUnfinished() || m.shard.bytesLeft < 2*taskEntryBytes)
}

// recordedRunTenths is how the completion of a task that this controller has seen is written down
// beside it; zero if there is nothing to tell. It frees the task's part of its team's quota, and
// tells the job's leader if that is another controller.
func (p *planner) recordedRunTenths(m *machine, task *schema.Task) int {
	j := p.replica.acceptedJob(task.Job)
	if j == nil || m.agent == nil || !j.unstoredCompletions[task.Index] {
		return 0
	}
	if p.partitions.led[j.partition] != nil {
		return 1 // how long it ran goes with the progress; alike, neighbours stay one range
	}
	return max(1, m.agent.completions[keyOf(*task)].tenths)
}

// mustRecordCompletion reports whether the completion of a task must be written down for another
// controller, which leads its job, or because its team is at its quota.
func (p *planner) mustRecordCompletion(m *machine, task *schema.Task, usage usageByTeam) bool {
	if task.DoneTenths > 0 || p.recordedRunTenths(m, task) == 0 {
		return false
	}
	j := p.replica.jobs[task.Job]
	if j.waiting() > 0 && p.tasksWithinQuota(j, usage) == 0 {
		return true
	}
	return p.partitions.led[j.partition] == nil && !p.completions.leaderStores(j, m.agent.completions[keyOf(*task)].seenAt)
}

package controller

import "frostdock.example/frostdock/internal/schema"

// freedTask is a task that was bound to a machine that the plan drops, with that binding.
type freedTask struct {
	job     *job
	index   int
	binding binding
}

// dropDeletedMachines drops machines whose deletion the cloud has confirmed, and frees the tasks of
// this partition's jobs that were bound to them. The change that drops a machine can then also place its
// tasks on other machines of the shard: the services of many lost machines are restored with half as many
// changes as if dropping and placing took one change each.
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

// freeTasks removes the bindings of this partition's unfinished tasks to a machine.
func (p *plan) freeTasks(m *machine) {
	for _, task := range m.doc.Tasks {
		j := p.replica.jobOfUnfinishedTask(task)
		if j == nil || j.partition != p.leadership.partition {
			continue
		}
		if bound, ok := j.bindings[task.Index]; ok && bound.machine == m && bound.attempt == task.Attempt {
			p.freedTasks = append(p.freedTasks, freedTask{j, task.Index, bound})
			j.removeEntry(task.Index, bound)
		}
	}
}

// restoreBindings undoes freeTasks when the plan was not stored: the stored document still has the
// entries, from which the partition's next leader would derive the same bindings.
func (p *plan) restoreBindings() {
	for _, freed := range p.freedTasks {
		m := freed.binding.machine
		_, bound := freed.job.bindings[freed.index]
		if !bound && p.replica.machines[m.name] == m && m.hasEntry(taskKey{freed.job.id, freed.index, freed.binding.attempt}) {
			freed.job.addBinding(freed.index, freed.binding)
		}
	}
}

// stageDecommissions stages the entries of machines that are to be marked as decommissioned.
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

// awaitsDecommission reports whether the machine's decommissioning is decided and must be stored in its
// entry before the machine is deleted.
func (m *machine) awaitsDecommission() bool {
	return !m.deleted && m.agent != nil && m.agent.decommission.decided() && !m.agent.decommission.deleteBeforeStored && !m.doc.Decommissioned
}

// stageReleases stages shards that must be written to release entries (see mustReleaseEntries), to record
// completions (see mustRecordCompletion), or to reserve fencing tokens (see mustReserveTokens).
func (p *plan) stageReleases() {
	for _, shard := range p.shards {
		if !shard.ownShard {
			continue
		}
		for _, m := range shard.machines {
			if m.machine.agent == nil || !p.fitsShard(shard) {
				continue
			}
			if p.mustReserveTokens(m.machine) {
				m.markNeedsTokens()
				p.writeShard(shard)
			}
			if !shard.changed && (p.recordsCompletion(m) || p.mustReleaseEntries(m)) {
				p.writeShard(shard)
			}
		}
	}
}

// recordsCompletion reports whether a completion on the machine must be recorded in its entry now.
func (p *plan) recordsCompletion(m *stagedMachine) bool {
	for i := range m.kept {
		if p.mustRecordCompletion(m.machine, &m.kept[i], p.usage) {
			return true
		}
	}
	return false
}

// mustReleaseEntries reports whether releasable entries must be released now: a task must run again, or
// the document has no space for two more entries.
func (p *plan) mustReleaseEntries(m *stagedMachine) bool {
	return m.releasesEntries() && (m.releasesUnfinished() || m.shard.bytesLeft < 2*taskEntryBytes)
}

// recordedRunTenths returns the DoneTenths (1 plus the tenths of a second that the task ran) to store in a
// task's entry for a completion that this controller has seen; zero if there is none. Storing it frees the
// task's part of its team's quota, and informs the job's leader if that is another controller.
func (p *planner) recordedRunTenths(m *machine, task *schema.Task) int {
	j := p.replica.acceptedJob(task.Job)
	if j == nil || m.agent == nil || !j.unstoredCompletions[task.Index] {
		return 0
	}
	if p.partitions.led[j.partition] != nil {
		return 1 // the run time is stored with the progress; equal values keep neighbouring tasks in one range
	}
	return max(1, m.agent.completions[keyOf(*task)].tenths)
}

// mustRecordCompletion reports whether the completion of a task must be recorded in its entry, because
// tasks of its job wait while the team is at its quota, or because another controller leads the job and
// is not sure to store the completion.
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

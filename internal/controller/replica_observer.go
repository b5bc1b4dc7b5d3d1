package controller

import "frostdock.example/frostdock/internal/schema"

// changeDispatcher observes the replica: it tells this process's own duties of a change that concerns
// them. It keeps nothing itself.
type changeDispatcher struct {
	*environment
	store        *storeClient
	replica      *replica
	partitions   *partitionTable
	leaderships  *leadershipManager
	dependencies *dependencyGraph
	agents       *agentGateway
}

func (d *changeDispatcher) partitionChanged(partition int) { d.leaderships.follow(partition) }

func (d *changeDispatcher) formatRaised() int {
	d.store.limits.adoptTighter()
	return progressGapsFor(d.store.limits.maxValueBytes())
}

func (d *changeDispatcher) jobAccepted(j *job) { d.dependencies.add(j) }

func (d *changeDispatcher) jobRemoved(j *job) { d.dependencies.remove(j) }

func (d *changeDispatcher) jobCancelled(id string) { d.dependencies.noteCancellation(id) }

func (d *changeDispatcher) outcomeShown(id string, outcome schema.Outcome) {
	d.dependencies.learnOutcome(id, outcome)
}

// machineChanged begins or ends to command a machine, or tells its agent what its entry says now.
func (d *changeDispatcher) machineChanged(m *machine, change machineChange) {
	leadership := d.partitions.led[m.shard.partition]
	if change.entryChanged && !change.moved && leadership == nil {
		d.noteUnaskedReleases(change.previousTasks)
	}
	switch {
	case leadership == nil || m.doc.Decommissioned:
		m.agent = nil
	case m.agent == nil || change.moved || m.agent.leadership != leadership:
		d.agents.beginCommand(m, leadership)
	case change.entryChanged:
		m.forgetUnlistedCompletions()
		d.agents.noteChanged(m)
	}
}

// forgetUnlistedCompletions drops completions of tasks that the machine's entry lists no more.
func (m *machine) forgetUnlistedCompletions() {
	for key := range m.agent.completions {
		if !m.lists(key) {
			delete(m.agent.completions, key)
		}
	}
}

// noteUnaskedReleases notes tasks of this process's partitions that another leader took off its
// machine though nobody had asked for it: they failed there. It guards against a job that fails
// everywhere and is placed on others' machines without end.
func (d *changeDispatcher) noteUnaskedReleases(previous schema.Tasks) {
	for _, task := range previous {
		j := d.replica.acceptedJob(task.Job)
		if j == nil || j.cancelled() || task.StopMode > 0 || j.isDone(task.Index) || d.partitions.led[j.partition] == nil {
			continue
		}
		if _, ok := j.bindings[task.Index]; !ok {
			j.backOff(d.now)
		}
	}
}

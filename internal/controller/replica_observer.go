package controller

import "frostdock.example/frostdock/internal/schema"

// changeDispatcher is the replica's observer: it forwards changes to the components of this process that
// they affect. It keeps no state.
type changeDispatcher struct {
	*environment
	store        *storeClient
	replica      *replica
	partitions   *partitionTable
	leaderships  *leadershipManager
	dependencies *dependencyGraph
	agents       *agentGateway
}

func (d *changeDispatcher) partitionChanged(partition int) { d.leaderships.partitionChanged(partition) }

func (d *changeDispatcher) formatRaised() { d.store.limits.adoptTighter() }

func (d *changeDispatcher) jobAccepted(j *job) { d.dependencies.add(j) }

func (d *changeDispatcher) jobRemoved(j *job) { d.dependencies.remove(j) }

func (d *changeDispatcher) jobCancelled(id string) { d.dependencies.noteCancellation(id) }

func (d *changeDispatcher) outcomeShown(id string, outcome schema.Outcome) {
	d.dependencies.learnOutcome(id, outcome)
}

// machineChanged starts or stops commanding a machine, or has its agent notified of the changed entry.
func (d *changeDispatcher) machineChanged(m *machine, change machineChange) {
	leadership := d.partitions.led[m.shard.partition]
	if change.entryChanged && !change.moved && leadership == nil {
		d.noteUnrequestedReleases(change.previousTasks)
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

// forgetUnlistedCompletions drops completions of tasks that the machine's entry no longer lists.
func (m *machine) forgetUnlistedCompletions() {
	for key := range m.agent.completions {
		if !m.hasEntry(key) {
			delete(m.agent.completions, key)
		}
	}
}

// noteUnrequestedReleases backs off jobs of this process's partitions whose tasks failed on a machine that
// another leader commands: that leader released their entries, though no stop was requested. Without this,
// a job that fails everywhere would be placed on the machines of other partitions again and again.
func (d *changeDispatcher) noteUnrequestedReleases(previous schema.Tasks) {
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

package controller

import "frostdock.example/frostdock/internal/schema"

// The controller observes its replica: what follows from a change for this process's own duties.

func (c *Controller) partitionChanged(partition int) { c.leaderships.follow(partition) }

func (c *Controller) formatRaised() int {
	c.store.limits.adoptTighter()
	return progressGapsFor(c.store.limits.maxValueBytes())
}

func (c *Controller) jobAccepted(j *job) { c.dependencies.add(j) }

func (c *Controller) jobRemoved(j *job) { c.dependencies.remove(j) }

func (c *Controller) jobCancelled(id string) { c.dependencies.noteCancellation(id) }

func (c *Controller) outcomeShown(id string, outcome schema.Outcome) {
	c.dependencies.learnOutcome(id, outcome)
}

// machineChanged begins or ends to command a machine, or tells its agent what its entry says now.
func (c *Controller) machineChanged(m *machine, change machineChange) {
	leadership := c.partitions.led[m.shard.partition]
	if change.entryChanged && !change.moved && leadership == nil {
		c.noteUnaskedReleases(change.previousTasks)
	}
	switch {
	case leadership == nil || m.doc.Decommissioned:
		m.agent = nil
	case m.agent == nil || change.moved || m.agent.leadership != leadership:
		c.agents.beginCommand(m, leadership)
	case change.entryChanged:
		m.forgetUnlistedCompletions()
		c.agents.noteChanged(m)
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
func (c *Controller) noteUnaskedReleases(previous schema.Tasks) {
	for _, task := range previous {
		j := c.replica.jobs[task.Job]
		if j == nil || !j.accepted || j.cancelled() || task.StopMode > 0 || j.isDone(task.Index) || c.partitions.led[j.partition] == nil {
			continue
		}
		if _, ok := j.bindings[task.Index]; !ok {
			j.backOff(c.now)
		}
	}
}

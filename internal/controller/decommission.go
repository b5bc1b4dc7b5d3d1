package controller

// decommission marks machines to be given back to the cloud; the next write of their machine shard says
// so. Their tasks stay bound until the cloud has confirmed that they are gone.
func (c *Controller) decommission(reason string, machines ...*machine) {
	c.markForDecommission(reason, false, machines)
}

// giveUp gives machines back whose tasks wait to be placed anew. They are deleted without being marked
// first: nothing is placed on a machine that is not heard, and what a controller that is behind still
// enters there is dropped with it.
func (c *Controller) giveUp(reason string, machines ...*machine) {
	c.markForDecommission(reason, true, machines)
}

// markForDecommission decides once for each machine; a later decision changes nothing.
func (c *Controller) markForDecommission(reason string, atOnce bool, machines []*machine) {
	for _, m := range machines {
		if m.agent == nil || !m.agent.decideDecommission(reason, atOnce) {
			continue
		}
		c.planNeeded = true
		c.log.Info("decommissioning machine", "machine", m.name, "reason", reason, "tasks", c.unfinishedTasks(m), "partition", m.shard.partition)
	}
}

// unfinishedTasks counts the tasks entered on a machine that are not known to be done.
func (c *Controller) unfinishedTasks(m *machine) int {
	unfinished := 0
	for _, task := range m.doc.Tasks {
		if c.replica.unfinishedJobOf(task) != nil {
			unfinished++
		}
	}
	return unfinished
}

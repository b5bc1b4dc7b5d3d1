package controller

// decommission marks machines to be returned to the cloud; the next write of their
// machine shard says so. Their tasks stay bound until the cloud has confirmed that they
// are gone.
func (c *Controller) decommission(why string, ms ...*machine) { c.markForDecommission(why, false, ms) }

// giveUp returns machines whose tasks wait to be placed anew. They are deleted
// without being marked first: nothing is placed on a machine that is not heard,
// and what a controller that is behind still enters there is dropped with it.
func (c *Controller) giveUp(why string, ms ...*machine) { c.markForDecommission(why, true, ms) }

func (c *Controller) markForDecommission(why string, atOnce bool, ms []*machine) {
	for _, m := range ms {
		if m.agent != nil && m.agent.decommissionReason == "" {
			m.agent.decommissionReason, m.agent.deleteAtOnce = why, atOnce
			c.planNeeded = true
			c.log.Info("decommissioning machine", "machine", m.name, "reason", why, "tasks", c.unfinishedTasks(m), "partition", m.shard.partition)
		}
	}
}

// unfinishedTasks counts the tasks bound to a machine that are not known to be done.
func (c *Controller) unfinishedTasks(m *machine) int {
	n := 0
	for _, t := range m.doc.Tasks {
		if c.unfinishedJobOf(t) != nil {
			n++
		}
	}
	return n
}

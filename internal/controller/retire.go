package controller

// retire marks machines to be returned to the cloud; the next write of their
// machine shard says so. Their tasks stay bound until the cloud has confirmed that they
// are gone.
func (c *Core) retire(why string, ms ...*machine) { c.leave(why, false, ms) }

// giveUp returns machines whose tasks wait to be placed anew. They are deleted
// without being marked first: nothing is placed on a machine that is not heard,
// and what a controller that is behind still enters there is dropped with it.
func (c *Core) giveUp(why string, ms ...*machine) { c.leave(why, true, ms) }

func (c *Core) leave(why string, atOnce bool, ms []*machine) {
	for _, m := range ms {
		if m.rt != nil && m.rt.retire == "" {
			m.rt.retire, m.rt.urgent = why, atOnce
			c.dirty = true
			c.log.Info("retire a machine", "machine", m.name, "why", why, "tasks", c.unfinished(m), "partition", m.g.part)
		}
	}
}

// unfinished counts the tasks bound to a machine that are not known to be done.
func (c *Core) unfinished(m *machine) int {
	n := 0
	for _, t := range m.doc.Tasks {
		if c.live(t) != nil {
			n++
		}
	}
	return n
}

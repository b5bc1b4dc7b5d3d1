package controller

// Shorthands for what almost all duties ask of the components; they add nothing to them.

func (c *Controller) leads(partition int) bool { return c.authority.leads(partition) }
func (c *Controller) chainsEnabled() bool      { return c.replica.chainsEnabled() }
func (c *Controller) maxValueBytes() int       { return c.store.limits.maxValueBytes() }

package controller

// The controller answers for what the autoscaler asks of leadership and machines.

// wireCloud connects what deals with the cloud.
func (c *Controller) wireCloud() {
	c.cloud = newCloudClient(c.environment)
	c.catalog = newCatalog(c.environment, c.cloud)
	c.decommission = &decommissioner{environment: c.environment, replica: c.replica}
}

// wireDemand connects what finds unmet demand.
func (c *Controller) wireDemand() {
	c.demand = &demandFinder{environment: c.environment, replica: c.replica, catalog: c.catalog, writes: c.budget}
}

// wireAutoscaler connects what rents and returns machines.
func (c *Controller) wireAutoscaler() {
	c.autoscaler = newAutoscaler(c.environment, autoscalerDependencies{
		replica: c.replica, cloud: c.cloud, catalog: c.catalog, decommission: c.decommission,
		leadership: c, demand: c.demand, capacity: c, fleet: c.fleet, agents: c.agents, peers: c.peers, commits: c.commits,
	})
}

func (c *Controller) leadsAny() bool { return len(c.partitions.led) > 0 }

func (c *Controller) currentIncarnation() string { return c.membership.incarnation }

// rented reports whether the machine was rented by this service.
func (r *replica) rented(name string) bool {
	return r.firstRented != nil && name >= r.firstRented.Name
}

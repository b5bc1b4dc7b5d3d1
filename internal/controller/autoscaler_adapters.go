package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
)

// The controller answers for what the autoscaler asks of leadership and scheduling, and passes on what other
// duties ask of the catalog.

// wireCloud connects what deals with the cloud.
func (c *Controller) wireCloud() {
	c.cloud = newCloudClient(c.environment)
	c.catalog = newCatalog(c.environment, c.cloud)
	c.decommission = &decommissioner{environment: c.environment, replica: c.replica}
}

// wireAutoscaler connects what rents and returns machines.
func (c *Controller) wireAutoscaler() {
	c.autoscaler = newAutoscaler(c.environment, autoscalerDependencies{
		replica: c.replica, cloud: c.cloud, catalog: c.catalog, decommission: c.decommission,
		leadership: c, demand: c, capacity: c, fleet: c.fleet, agents: c.agents, peers: c.peers, commits: c.commits,
	})
}

func (c *Controller) leadsAny() bool { return len(c.partitions.led) > 0 }

func (c *Controller) currentIncarnation() string { return c.membership.incarnation }

func (c *Controller) usedCPUs() float64 {
	usage := c.teamUsage()
	sum := 0.0
	for _, team := range slices.Sorted(maps.Keys(usage)) {
		sum += usage[team].cpus
	}
	return sum
}

func (c *Controller) unplacedCPUs() float64 {
	sum := 0.0
	usage := c.teamUsage()
	for _, j := range c.replica.sortedJobs() {
		if !j.cancelled() && c.now >= j.retryAt {
			sum += float64(min(j.waiting(), c.quotaRoom(j, usage))) * j.spec.CPUs
		}
	}
	return sum
}

func (c *Controller) machineType(name string) *cloud.MachineType { return c.catalog.machineType(name) }

// rented reports whether the machine was rented by this service.
func (c *Controller) rented(name string) bool {
	return c.replica.firstRented != nil && name >= c.replica.firstRented.Name
}

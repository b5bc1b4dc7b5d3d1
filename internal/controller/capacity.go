package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
)

// resources are CPUs, GPUs and memory that are free, or taken.
type resources struct{ cpus, gpus, memoryGB float64 }

// canFit reports whether a task fits.
func (r *resources) canFit(spec *schema.Job) bool {
	return r.cpus >= spec.CPUs-roundingTolerance && r.gpus >= spec.GPUs-roundingTolerance && r.memoryGB >= spec.MemGB-roundingTolerance
}

// reserve takes what so many tasks need, or gives it back when their number is negative.
func (r *resources) reserve(spec *schema.Job, tasks float64) {
	r.cpus, r.gpus, r.memoryGB = r.cpus-tasks*spec.CPUs, r.gpus-tasks*spec.GPUs, r.memoryGB-tasks*spec.MemGB
}

// tryReserve takes what a task needs if it fits.
func (r *resources) tryReserve(spec *schema.Job) bool {
	if !r.canFit(spec) {
		return false
	}
	r.reserve(spec, 1)
	return true
}

// machineCapacity tells how much of a machine is free, by what its agent reports or by what is stored. It
// keeps nothing and reserves nothing: each caller works with its own copy.
type machineCapacity struct {
	replica *replica
	catalog *catalog
}

// reportedFreeCapacity is what no task takes that the machine's agent has reported.
func (c *machineCapacity) reportedFreeCapacity(m *machine) *resources {
	t := c.catalog.machineType(m.doc.Type)
	if t == nil {
		return &resources{}
	}
	free := &resources{t.CPUs, t.GPUs, t.MemGB}
	for key, status := range m.agent.tasks {
		if j := c.replica.acceptedJob(key.job); status.State != agent.Ended && j != nil {
			free.reserve(&j.spec, 1)
		}
	}
	return free
}

// freeCapacity is what the tasks bound to a machine leave of it.
func (c *machineCapacity) freeCapacity(m *machine, t *cloud.MachineType) *resources {
	free := &resources{t.CPUs, t.GPUs, t.MemGB}
	for _, task := range m.doc.Tasks {
		if j := c.replica.unfinishedJobOf(task); j != nil {
			free.reserve(&j.spec, 1)
		}
	}
	return free
}

// hasCapacityForAny reports whether one of the jobs could have a task on the machine now.
func (c *machineCapacity) hasCapacityForAny(m *machine, free *resources, jobs []*job) bool {
	return slices.ContainsFunc(jobs, func(j *job) bool { return free.canFit(&j.spec) && placementAllowed(j, m) })
}

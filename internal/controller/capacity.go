package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
)

// resources are amounts of CPUs, GPUs and memory, free or in use.
type resources struct{ cpus, gpus, memoryGB float64 }

// canFit reports whether a task of the job fits into r.
func (r *resources) canFit(spec *schema.Job) bool {
	return r.cpus >= spec.CPUs-roundingTolerance && r.gpus >= spec.GPUs-roundingTolerance && r.memoryGB >= spec.MemGB-roundingTolerance
}

// reserve subtracts what the given number of tasks need, or adds it if the number is negative.
func (r *resources) reserve(spec *schema.Job, tasks float64) {
	r.cpus, r.gpus, r.memoryGB = r.cpus-tasks*spec.CPUs, r.gpus-tasks*spec.GPUs, r.memoryGB-tasks*spec.MemGB
}

// tryReserve subtracts what a task needs if the task fits, and reports whether it does.
func (r *resources) tryReserve(spec *schema.Job) bool {
	if !r.canFit(spec) {
		return false
	}
	r.reserve(spec, 1)
	return true
}

// machineCapacity computes how much of a machine is free, from its agent's reports or from its stored
// entry. It keeps no state and reserves nothing: each caller works with its own copy of the result.
type machineCapacity struct {
	replica *replica
	catalog *catalog
}

// reportedFreeCapacity returns the machine's capacity less that of the tasks that its agent reports and that
// have not ended.
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

// freeCapacity returns the machine's capacity less that of the unfinished tasks in its entry.
func (c *machineCapacity) freeCapacity(m *machine, t *cloud.MachineType) *resources {
	free := &resources{t.CPUs, t.GPUs, t.MemGB}
	for _, task := range m.doc.Tasks {
		if j := c.replica.jobOfUnfinishedTask(task); j != nil {
			free.reserve(&j.spec, 1)
		}
	}
	return free
}

// hasCapacityForAny reports whether a task of one of the jobs could be placed on the machine now.
func (c *machineCapacity) hasCapacityForAny(m *machine, free *resources, jobs []*job) bool {
	return slices.ContainsFunc(jobs, func(j *job) bool { return free.canFit(&j.spec) && placementAllowed(j, m) })
}

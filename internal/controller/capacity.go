package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
)

// resources is free room.
type resources struct{ cpus, gpus, memoryGB float64 }

// hasRoomFor reports whether there is room for a task.
func (g *resources) hasRoomFor(s *schema.Job) bool {
	return g.cpus >= s.CPUs-1e-9 && g.gpus >= s.GPUs-1e-9 && g.memoryGB >= s.MemGB-1e-9
}

// reserve takes the room of so many tasks, or gives it back when n is negative.
func (g *resources) reserve(s *schema.Job, n float64) {
	g.cpus, g.gpus, g.memoryGB = g.cpus-n*s.CPUs, g.gpus-n*s.GPUs, g.memoryGB-n*s.MemGB
}

// tryReserve uses room for a task if there is enough.
func (g *resources) tryReserve(s *schema.Job) bool {
	if !g.hasRoomFor(s) {
		return false
	}
	g.reserve(s, 1)
	return true
}

// reportedFreeCapacity is the room that no reported task takes.
func (c *Controller) reportedFreeCapacity(m *machine) *resources {
	t := c.machineType(m.doc.Type)
	if t == nil {
		return &resources{}
	}
	g := &resources{t.CPUs, t.GPUs, t.MemGB}
	for k, p := range m.agent.tasks {
		if j := c.replica.jobs[k.job]; p.State != agent.Ended && j != nil && j.accepted {
			g.reserve(&j.spec, 1)
		}
	}
	return g
}

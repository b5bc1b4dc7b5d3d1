package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
)

// resources is free room.
type resources struct{ cpus, gpus, mem float64 }

// holds reports whether there is room for a task.
func (g *resources) holds(s *schema.Job) bool {
	return g.cpus >= s.CPUs-1e-9 && g.gpus >= s.GPUs-1e-9 && g.mem >= s.MemGB-1e-9
}

// fill takes the room of so many tasks, or gives it back when n is negative.
func (g *resources) fill(s *schema.Job, n float64) {
	g.cpus, g.gpus, g.mem = g.cpus-n*s.CPUs, g.gpus-n*s.GPUs, g.mem-n*s.MemGB
}

// take uses room for a task if there is enough.
func (g *resources) take(s *schema.Job) bool {
	if !g.holds(s) {
		return false
	}
	g.fill(s, 1)
	return true
}

// freeNow is the room that no reported task takes.
func (c *Core) freeNow(m *machine) *resources {
	t := c.machineType(m.doc.Type)
	if t == nil {
		return &resources{}
	}
	g := &resources{t.CPUs, t.GPUs, t.MemGB}
	for k, p := range m.rt.pieces {
		if j := c.replica.jobs[k.job]; p.State != agent.Ended && j != nil && j.known {
			g.fill(&j.spec, 1)
		}
	}
	return g
}

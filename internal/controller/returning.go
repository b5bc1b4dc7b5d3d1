package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// deleteRetired returns the machines marked for it; their entries go only when
// the cloud has confirmed it, which proves that nothing runs there any more.
func (c *Core) deleteRetired() {
	k := &c.cloud
	if k.deleting {
		return
	}
	var names []string
	for _, m := range c.sortedMachines() {
		if (m.doc.Retired || m.rt != nil && m.rt.urgent) && !m.gone && c.usable(m.g.part) && len(names) < mostDeletes {
			names = append(names, m.name)
		}
	}
	if len(names) == 0 {
		return
	}
	k.deleting = true
	c.callCloud(CloudCall{Op: CloudDelete, Names: cloud.Names{Machines: names}}, func(d CloudDone) {
		if d.Status != 200 {
			c.after(300*units.Millisecond, func() { k.deleting = false })
			return
		}
		k.deleting = false
		c.log.Info("machines gone", "machines", names)
		c.dirty = true
		for _, n := range names {
			if m := c.replica.machines[n]; m != nil {
				m.gone = true // the next write of its machine shard drops it
			}
		}
	})
}

// mostDeletes is how many machines one request may return.
const mostDeletes = 100

// returnAfter is how long a rented machine may have nothing to do before it is
// given back: about as long as it would take to get another.
func (c *Core) returnAfter(t *cloud.Type) units.Micros {
	return max(30*units.Second, units.FromSeconds(t.BootS*c.pol.ReturnIdle))
}

// slowestReturn is that of the type that takes longest to come up.
func (c *Core) slowestReturn() units.Micros {
	var most units.Micros
	for i := range c.cloud.types {
		most = max(most, c.returnAfter(&c.cloud.types[i]))
	}
	return most
}

// At most so many machines are emptied together, and returned for being idle in
// one second: a few of a small fleet, a small part of a large one.
func (c *Core) mostEmptied() int { return max(2, len(c.replica.machines)/20) }

func (c *Core) mostReturned() int { return max(1, len(c.replica.machines)/50) }

// consolidate chooses machines that are little used to be emptied, as far
// as the free room elsewhere takes what is on them and leaves some for newcomers.
func (c *Core) consolidate(waiting bool, starvingJobs []*job) {
	type candidate struct {
		m     *machine
		t     *cloud.Type
		used  float64
		waste float64
	}
	var all []candidate
	free, used := 0.0, 0.0
	draining := 0
	for _, m := range c.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.part() < 0 {
			continue
		}
		g := c.roomOn(m, t)
		u := t.CPUs - g.cpus
		used += u
		if m.rt == nil {
			if _, open := c.foreignOpen(m); open {
				free += t.CPUs - u
			}
			continue
		}
		wanted := c.hasRoomForAny(m, g, starvingJobs)
		if waiting || wanted {
			m.rt.draining = false
		}
		if m.rt.draining {
			draining++
			continue
		}
		if !c.acceptsTasks(m) {
			continue
		}
		free += t.CPUs - u
		// One that was out of reach until now is empty for that reason alone.
		if u/t.CPUs < 0.6 && !wanted && c.now-m.rt.since > 30*units.Second && c.steady(m, 30*units.Second) {
			all = append(all, candidate{m, t, u, t.Rate(m.doc.Spot) * (1 - u/t.CPUs)})
		}
	}
	if waiting {
		return
	}
	slices.SortStableFunc(all, func(x, y candidate) int { return cmp.Compare(y.waste, x.waste) })
	for _, k := range all {
		free -= k.t.CPUs // its own free room, and what its tasks take elsewhere
		if draining >= c.mostEmptied() || free < max(8, c.pol.SpareShare*used) {
			return
		}
		draining++
		k.m.rt.draining = true
		c.log.Info("empty a machine", "machine", k.m.name, "used_cpus", k.used, "free_elsewhere", free)
	}
}

// returnIdle gives back machines that have nothing to do, the dearest first.
func (c *Core) returnIdle(waiting bool, starvingJobs []*job) {
	var idle []*machine
	price := func(m *machine) float64 { return c.machineType(m.doc.Type).Rate(m.doc.Spot) }
	for _, m := range c.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.rt == nil {
			continue
		}
		used := slices.ContainsFunc(m.doc.Tasks, func(t schema.Task) bool { return c.unstored(t) != nil })
		// One that is not heard may be cut off, and is not idle for sure.
		if used || waiting || c.now-m.rt.heardAt > 2*c.cfg.Settings.Report() || len(starvingJobs) > 0 && c.hasRoomForAny(m, c.roomOn(m, t), starvingJobs) {
			m.rt.idleAt = c.now
			continue
		}
		if c.now-m.rt.idleAt >= c.returnAfter(t) || m.rt.draining {
			if m.rt.out == 0 && m.rt.retire == "" {
				idle = append(idle, m)
			}
		}
	}
	slices.SortStableFunc(idle, func(x, y *machine) int { return cmp.Compare(price(y), price(x)) })
	c.retire("idle", idle[:min(len(idle), c.mostReturned())]...)
}

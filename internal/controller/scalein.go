package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// deleteDecommissioned returns the machines marked for it; their entries go only when
// the cloud has confirmed it, which proves that nothing runs there any more.
func (c *Controller) deleteDecommissioned() {
	k := &c.cloud
	if k.deletionInFlight {
		return
	}
	var names []string
	for _, m := range c.replica.sortedMachines() {
		if (m.doc.Decommissioned || m.agent != nil && m.agent.decommission.atOnce) && !m.deleted && c.leads(m.shard.partition) && len(names) < maxDeletions {
			names = append(names, m.name)
		}
	}
	if len(names) == 0 {
		return
	}
	k.deletionInFlight = true
	c.callCloud(CloudCall{Op: CloudDelete, Machines: cloud.MachineNames{Names: names}}, func(d CloudResult) {
		if d.Status != cloud.StatusOK {
			c.after(300*units.Millisecond, func() { k.deletionInFlight = false })
			return
		}
		k.deletionInFlight = false
		c.log.Info("machines deleted", "machines", names)
		c.planNeeded = true
		for _, n := range names {
			if m := c.replica.machines[n]; m != nil {
				m.deleted = true // the next write of its machine shard drops it
			}
		}
	})
}

// maxDeletions is how many machines one request may return.
const maxDeletions = 100

// idlePeriod is how long a rented machine may have nothing to do before it is
// given back: about as long as it would take to get another.
func (c *Controller) idlePeriod(t *cloud.MachineType) units.Micros {
	return max(30*units.Second, units.FromSeconds(t.BootSeconds*c.policy.ScaleInIdleBoots))
}

// longestIdlePeriod is that of the type that takes longest to come up.
func (c *Controller) longestIdlePeriod() units.Micros {
	var most units.Micros
	for i := range c.cloud.types {
		most = max(most, c.idlePeriod(&c.cloud.types[i]))
	}
	return most
}

// At most so many machines are emptied together, and returned for being idle in
// one second: a few of a small fleet, a small part of a large one.
func (c *Controller) maxDraining() int { return max(2, len(c.replica.machines)/20) }

func (c *Controller) maxIdleReturned() int { return max(1, len(c.replica.machines)/50) }

// drainUnderused chooses machines that are little used to be emptied, as far
// as the free room elsewhere takes what is on them and leaves some for newcomers.
func (c *Controller) drainUnderused(waiting bool, starvingJobs []*job) {
	type candidate struct {
		m     *machine
		t     *cloud.MachineType
		used  float64
		waste float64
	}
	var all []candidate
	free, used := 0.0, 0.0
	draining := 0
	for _, m := range c.replica.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.part() < 0 {
			continue
		}
		g := c.freeCapacity(m, t)
		u := t.CPUs - g.cpus
		used += u
		if m.agent == nil {
			if _, open := c.foreignMachineOpen(m); open {
				free += t.CPUs - u
			}
			continue
		}
		wanted := c.hasRoomForAny(m, g, starvingJobs)
		if waiting || wanted {
			m.agent.stopDraining()
		}
		if m.agent.draining {
			draining++
			continue
		}
		if !c.acceptsTasks(m) {
			continue
		}
		free += t.CPUs - u
		// One that was out of reach until now is empty for that reason alone.
		if u/t.CPUs < 0.6 && !wanted && c.now-m.agent.since > 30*units.Second && m.agent.responses.steady(c.now, c.cfg.Settings.HeartbeatPeriod(), 30*units.Second) {
			all = append(all, candidate{m, t, u, t.HourlyRate(m.doc.Spot) * (1 - u/t.CPUs)})
		}
	}
	if waiting {
		return
	}
	slices.SortStableFunc(all, func(x, y candidate) int { return cmp.Compare(y.waste, x.waste) })
	for _, k := range all {
		free -= k.t.CPUs // its own free room, and what its tasks take elsewhere
		if draining >= c.maxDraining() || free < max(8, c.policy.SpareCapacityShare*used) {
			return
		}
		draining++
		k.m.agent.startDraining()
		c.log.Info("draining machine", "machine", k.m.name, "used_cpus", k.used, "free_elsewhere", free)
	}
}

// scaleInIdle gives back machines that have nothing to do, the dearest first.
func (c *Controller) scaleInIdle(waiting bool, starvingJobs []*job) {
	var idle []*machine
	price := func(m *machine) float64 { return c.machineType(m.doc.Type).HourlyRate(m.doc.Spot) }
	for _, m := range c.replica.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.agent == nil {
			continue
		}
		used := slices.ContainsFunc(m.doc.Tasks, func(t schema.Task) bool { return c.replica.unstoredJobOf(t) != nil })
		// One that is not heard may be cut off, and is not idle for sure.
		if used || waiting || c.now-m.agent.heardAt > 2*c.cfg.Settings.HeartbeatPeriod() || len(starvingJobs) > 0 && c.hasRoomForAny(m, c.freeCapacity(m, t), starvingJobs) {
			m.agent.noteUsed(c.now)
			continue
		}
		if c.now-m.agent.idleSince >= c.idlePeriod(t) || m.agent.draining {
			if !m.agent.command.inFlight() && !m.agent.decommission.decided() {
				idle = append(idle, m)
			}
		}
	}
	slices.SortStableFunc(idle, func(x, y *machine) int { return cmp.Compare(price(y), price(x)) })
	c.decommission("idle", idle[:min(len(idle), c.maxIdleReturned())]...)
}

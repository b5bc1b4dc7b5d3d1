package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/units"
)

// Ends of tasks on others' machines. The owner of a job stores its progress, and the commander
// of the machine sees its tasks complete. That is told in heartbeats, since writing it into the
// machine's machine shard, for the owner to read, took a third of all changes of a large fleet. A
// completed task stays completed, so a heartbeat that is lost, late or repeated does no harm;
// what the owner has not stored in time is written into the machine shard all the same.

// tenth is the unit in which a machine shard tells how long a task ran.
const tenth = 100 * units.Millisecond

// mostEndedTold bounds what one heartbeat tells.
const mostEndedTold = 2000

// endedForOthers lists completed tasks on this controller's machines that the owners of their
// jobs have not stored yet.
func (c *Core) endedForOthers() []peer.EndedTask {
	var out []peer.EndedTask
	for _, m := range c.sortedMachines() {
		if m.rt == nil {
			continue
		}
		for k, e := range m.rt.ended {
			if j := c.replica.jobs[k.job]; j != nil && j.known && c.owned[j.part] == nil && !j.done.Has(k.num) {
				out = append(out, peer.EndedTask{Job: k.job, Num: k.num, Ran: int64(e.tenths-1) * int64(tenth)})
			}
		}
	}
	slices.SortFunc(out, func(a, b peer.EndedTask) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Num, b.Num)) })
	return out[:min(len(out), mostEndedTold)]
}

// takeEnded notes what another controller has seen to complete.
func (c *Core) takeEnded(ended []peer.EndedTask) {
	for _, e := range ended {
		j := c.replica.jobs[e.Job]
		if j == nil || !j.known || c.owned[j.part] == nil || e.Num < 0 || e.Num >= j.spec.Tasks || j.isDone(e.Num) {
			continue
		}
		j.failures, j.succeeded = 0, true
		c.completed(j, e.Num, units.Micros(e.Ran))
		c.dirty = true
	}
}

// ownerStoresWithin is how long the owner of a job is given to store the end of a task that it
// has been told of.
const ownerStoresWithin = flushEvery + 10*units.Second

// ownerStores reports whether the end of a task that was seen at some moment can be left to the
// owner of its job, which is told of it.
func (c *Core) ownerStores(j *job, seen units.Micros) bool {
	if !c.chainsEnabled() || c.now-seen > ownerStoresWithin {
		return false
	}
	p := c.replica.parts[j.part]
	if p == nil {
		return false
	}
	_, ok := c.heartbeatOf(p.doc.Member, p.doc.Inc)
	return ok
}

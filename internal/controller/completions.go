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

// runTimeUnit is the unit in which a machine shard tells how long a task ran.
const runTimeUnit = 100 * units.Millisecond

// maxCompletionsSent bounds what one heartbeat tells.
const maxCompletionsSent = 2000

// completionsForPeers lists completed tasks on this controller's machines that the owners of their
// jobs have not stored yet.
func (c *Controller) completionsForPeers() []peer.EndedTask {
	var out []peer.EndedTask
	for _, m := range c.replica.sortedMachines() {
		if m.agent == nil {
			continue
		}
		for k, e := range m.agent.completions {
			if j := c.replica.jobs[k.job]; j != nil && j.accepted && c.partitions.led[j.partition] == nil && !j.done.Contains(k.num) {
				out = append(out, peer.EndedTask{Job: k.job, Num: k.num, Ran: int64(e.tenths-1) * int64(runTimeUnit)})
			}
		}
	}
	slices.SortFunc(out, func(a, b peer.EndedTask) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Num, b.Num)) })
	return out[:min(len(out), maxCompletionsSent)]
}

// applyPeerCompletions notes what another controller has seen to complete.
func (c *Controller) applyPeerCompletions(ended []peer.EndedTask) {
	for _, e := range ended {
		j := c.replica.jobs[e.Job]
		if j == nil || !j.accepted || c.partitions.led[j.partition] == nil || e.Num < 0 || e.Num >= j.spec.Tasks || j.isDone(e.Num) {
			continue
		}
		j.failures, j.succeeded = 0, true
		j.noteCompletion(e.Num, units.Micros(e.Ran))
		c.planNeeded = true
	}
}

// leaderStoresWithin is how long the owner of a job is given to store the end of a task that it
// has been told of.
const leaderStoresWithin = progressFlushPeriod + 10*units.Second

// leaderStoresCompletion reports whether the end of a task that was seen at some moment can be left to the
// owner of its job, which is told of it.
func (c *Controller) leaderStoresCompletion(j *job, seen units.Micros) bool {
	if !c.chainsEnabled() || c.now-seen > leaderStoresWithin {
		return false
	}
	p := c.replica.partitions[j.partition]
	if p == nil {
		return false
	}
	_, ok := c.heartbeatOf(p.doc.Member, p.doc.Incarnation)
	return ok
}

package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// unmetDemand is a job with the tasks that find no room in its partition.
type unmetDemand struct {
	job   *job
	tasks int
}

// unmetDemands fits the waiting tasks of every partition into the free room of
// its machines, as far as can be told from what is stored, and returns what is
// left over. Jobs of higher grade go first. With anywhere, the machines of all
// partitions count for every job, as they do for what must be rented.
func (c *Controller) unmetDemands(anywhere bool) []unmetDemand {
	type freeMachine struct {
		m *machine
		resources
	}
	gaps := map[int][]*freeMachine{} // with something free
	for _, m := range c.replica.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.part() < 0 || m.agent != nil && !m.agent.takesNewTasks() {
			continue
		}
		g := &freeMachine{m, resources{t.CPUs, t.GPUs, t.MemGB}}
		for _, task := range m.doc.Tasks {
			if j := c.replica.unstoredJobOf(task); j != nil {
				g.reserve(&j.spec, 1)
			}
		}
		if g.cpus <= 0 {
			continue
		}
		p := m.part()
		if anywhere {
			p = 0
		}
		gaps[p] = append(gaps[p], g)
	}
	var out []unmetDemand
	using := c.teamUsage()
	jobs := c.replica.sortedJobs()
	for grade := 3; grade >= 0; grade-- {
		for _, j := range jobs {
			if j.cancelled() || j.spec.Priority != grade || c.now < j.retryAt {
				continue
			}
			n := j.waiting()
			if n == 0 {
				continue
			}
			n = min(n, c.quotaRoom(j, using))
			p := j.partition
			if anywhere {
				p = 0
			}
			for _, g := range gaps[p] {
				if n == 0 {
					break
				}
				if !c.placementAllowed(j, g.m) {
					continue
				}
				k := int(min(g.cpus/j.spec.CPUs, float64(n)) + 1e-9)
				if j.spec.GPUs > 0 {
					k = min(k, int(g.gpus/j.spec.GPUs+1e-9))
				}
				if j.spec.MemGB > 0 {
					k = min(k, int(g.memoryGB/j.spec.MemGB+1e-9))
				}
				if k <= 0 {
					continue
				}
				g.reserve(&j.spec, float64(k))
				n -= k
			}
			if n > 0 {
				out = append(out, unmetDemand{j, n})
			}
		}
	}
	return out
}

// starvingAfter is how long a job may have tasks waiting, and none placed, before it
// may use any room that it fits into, whatever that room is kept for: no job may wait
// for 90 s beside a machine that could take it. What is kept free for others, left to
// another partition, or about to be emptied, once stayed so for minutes.
const starvingAfter = 30 * units.Second

// failureForgetPeriod is how long after its last failure a job whose tasks are active counts as well.
const failureForgetPeriod = 30 * units.Second

// starvingJobs lists the jobs that have waited for so long; it is to be called every second.
func (c *Controller) starvingJobs() []*job {
	var out []*job
	using := c.teamUsage()
	for _, j := range c.replica.sortedJobs() {
		if j.failures > 0 && j.active() > 0 && c.now-j.failedAt > failureForgetPeriod {
			j.failures = 0 // what has run on for so long is no failure: the others need not wait for its end
		}
		switch {
		case j.cancelled() || c.now < j.retryAt || j.waiting() == 0 || c.quotaRoom(j, using) == 0:
			j.waitingSince = 0
		case j.waitingSince == 0:
			j.waitingSince = c.now
		case c.starving(j):
			out = append(out, j)
		}
	}
	return out
}

// starving reports whether the job has waited for too long.
func (c *Controller) starving(j *job) bool { return c.waitingTime(j) > starvingAfter }

// overlooked reports whether none of the job's tasks was placed for some seconds: the
// machine shards that arrays are to use are those with the most room, which may be of no use
// to a job that is bound to a zone.
func (c *Controller) overlooked(j *job) bool { return c.waitingTime(j) > 5*units.Second }

// freeCapacity is what the tasks bound to a machine leave of it.
func (c *Controller) freeCapacity(m *machine, t *cloud.MachineType) *resources {
	g := &resources{t.CPUs, t.GPUs, t.MemGB}
	for _, task := range m.doc.Tasks {
		if j := c.replica.unfinishedJobOf(task); j != nil {
			g.reserve(&j.spec, 1)
		}
	}
	return g
}

// hasRoomForAny reports whether one of the jobs could have a task on the machine now.
func (c *Controller) hasRoomForAny(m *machine, g *resources, jobs []*job) bool {
	return slices.ContainsFunc(jobs, func(j *job) bool { return g.hasRoomFor(&j.spec) && c.placementAllowed(j, m) })
}

// quotaRoom is how many more tasks of j its team's limit allows at once.
func (c *Controller) quotaRoom(j *job, using map[string]*usage) int {
	t := c.team(j.spec.Team)
	if t == nil || t.QuotaCPUs <= 0 {
		return j.spec.Tasks
	}
	used := 0.0
	if u := using[j.spec.Team]; u != nil {
		used = u.cpus
	}
	return max(0, int((t.QuotaCPUs-used)/j.spec.CPUs+1e-9))
}

// transferUnusedShards hands machine shards that are of no use here to the partition that lacks room.
func (c *Controller) transferUnusedShards(b *plan) {
	if !periodOf(c.scheduling.transferPeriods, b.leadership.partition).due(c.now, rebalancePeriod) {
		return
	}
	short := c.unmetDemands(false)
	lack := map[int]float64{}
	for _, s := range short {
		lack[s.job.partition] += float64(s.tasks) * s.job.spec.CPUs
	}
	if lack[b.leadership.partition] > 0 {
		return
	}
	to := -1
	for _, n := range c.partitions.withTeams {
		if lack[n] > 0 && (to < 0 || lack[n] > lack[to]) {
			to = n
		}
	}
	if to < 0 {
		return
	}
	passed := 0
	for _, gd := range b.shards {
		if !gd.ownShard || gd.changed || c.now-gd.shard.movedAt < shardTransferPeriod || !b.fitsShard(gd) || lack[to] <= 0 || passed >= maxShardsTransferred || !c.shardUnused(gd) {
			continue
		}
		passed++
		gd.transferTo = to
		b.writeShard(gd)
		for _, d := range gd.machines {
			if t := c.machineType(d.machine.doc.Type); t != nil {
				lack[to] -= t.CPUs
			}
		}
		c.log.Info("transferring machine shard", "shard", gd.shard.number, "machines", len(gd.machines), "from", b.leadership.partition, "to", to)
	}
}

// shardTransferPeriod is how long a machine shard stays where it was passed to. Two owners may each
// think that the other lacks room, since only the owner knows which jobs back off;
// they once handed the same machine shards to and fro without end.
const shardTransferPeriod = 30 * units.Second

// maxShardsTransferred is how many machine shards are passed on together: their machines take no
// new work until their new commander has heard them.
const maxShardsTransferred = 2

// shardUnused reports whether a machine shard has machines, and none of this partition's jobs
// has a task there. Others' tasks may: a commander is not their placer.
func (c *Controller) shardUnused(gd *stagedShard) bool {
	for _, d := range gd.machines {
		if !d.usable || len(d.added) > 0 {
			return false
		}
		for _, t := range d.kept {
			if j := c.replica.jobs[t.Job]; j != nil && j.accepted && j.partition == gd.shard.partition {
				return false
			}
		}
	}
	return len(gd.machines) > 0
}

package controller

import (
	"math"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// placeServices puts services first, whole as far as room goes, and makes room
// by stopping work of lower grade.
func (c *Controller) placeServices(b *plan, jobs []*job) {
	for _, j := range jobs {
		if !j.spec.Service || j.cancelled() || j.blocked() || c.now < j.retryAt {
			continue
		}
		for n := 0; n < j.spec.Tasks; n++ {
			if _, ok := j.bindings[n]; ok {
				continue
			}
			if !b.underQuota(j) {
				break
			}
			shape := shapeOf(j)
			if b.unplaceable[shape] {
				break
			}
			d := b.chooseMachine(j)
			lower := preemptionRule{eligible: func(v *job) bool { return v.spec.Priority < j.spec.Priority }}
			if d != nil && !d.hasImage(j.spec.Image) && c.fetchTooSlow(j, d.machine) && c.preempt(b, j, n, true, lower) {
				continue
			}
			if d != nil {
				b.place(d, j, n)
			} else if !c.preempt(b, j, n, false, lower) {
				b.unplaceable[shape] = true
				break
			}
		}
	}
}

// taskShape is what a task needs of a machine: once one finds no room, others that
// need the same need not be tried.
type taskShape struct {
	cpus, gpus, mem       float64
	zone, types           string
	priority              int
	spot, spreadSensitive bool
	team                  string
	maxLoss               units.Micros // within a guarantee, from teams beyond theirs: what may be lost; 0: no recall
}

func shapeOf(j *job) taskShape {
	s := &j.spec
	k := taskShape{s.CPUs, s.GPUs, s.MemGB, s.Zone, strings.Join(s.Types, ","), s.Priority, s.Spot, s.Spread || s.OneZone, s.Team, 0}
	if k.spreadSensitive {
		k.team = s.Team + "/" + j.id // depends on where its other tasks are
	}
	return k
}

// fetchTooSlow reports whether fetching the image on m would take longer than
// the class may wait for its start.
func (c *Controller) fetchTooSlow(j *job, m *machine) bool {
	t := c.machineType(m.doc.Type)
	// The rate may be a third lower, and a third is left for what comes before
	// and after the fetch.
	for _, o := range c.cfg.Settings.Objectives {
		if o.Kind == "wait" && o.Class == j.spec.Class && t != nil && t.FetchGBPerSecond > 0 {
			return j.spec.ImageGB/t.FetchGBPerSecond > o.WithinS/2
		}
	}
	return false
}

// preempt puts task n of j in the place of others: it enters it on the machine
// where least is lost, together with the stops that make room for it, so that
// nobody else takes that room. With needImage only machines that have its image
// count. It reports whether a place was found.
func (c *Controller) preempt(b *plan, j *job, n int, needImage bool, from preemptionRule) bool {
	var best *stagedMachine
	var stops []taskKey
	bestLoss := math.Inf(1)
	for _, d := range b.machines {
		if !c.placementAllowed(j, d.machine) || d.shard.bytesLeft < taskEntryBytes || !b.fitsShard(d.shard) || needImage && !d.hasImage(j.spec.Image) {
			continue
		}
		g := d.resources
		loss := 0.0
		var vs []taskKey
		for try := g; !try.tryReserve(&j.spec); try = g {
			k, cost, ok := c.cheapestVictim(d, from, vs)
			if !ok {
				loss = math.Inf(1)
				break
			}
			v := &c.replica.jobs[k.job].spec
			vs = append(vs, k)
			g.reserve(v, -1)
			loss += cost
		}
		if !d.hasImage(j.spec.Image) {
			loss += 60
		}
		if !d.shard.ownShard {
			loss += 10
		}
		if !d.shard.changed {
			loss += 10 // one more change
		}
		if j.spec.Service && c.rented(d.machine.name) {
			loss += 30
		}
		if loss < bestLoss {
			best, bestLoss, stops = d, loss, vs
		}
	}
	if best == nil {
		return false
	}
	for _, k := range stops {
		best.requestStop(k, schema.StopImmediately)
		best.resources.reserve(&c.replica.jobs[k.job].spec, -1)
		c.log.Info("preempting task", "task", k.task(), "machine", best.machine.name, "for", j.id, "partition", b.leadership.partition)
	}
	b.place(best, j, n)
	return true
}

// preemptionRule says which tasks may be stopped to make room.
type preemptionRule struct {
	eligible func(*job) bool
	maxLoss  units.Micros // the most that may be lost with one of them; 0: any
}

// priorityCost keeps the grades apart when losses, in seconds, are compared: the lower grade
// is stopped first, whatever it loses.
const priorityCost = 1000

// cheapestVictim finds the eligible task on d that loses least when it is stopped.
func (c *Controller) cheapestVictim(d *stagedMachine, from preemptionRule, not []taskKey) (taskKey, float64, bool) {
	var best taskKey
	bestCost, found := 0.0, false
next:
	for _, t := range d.kept {
		k := keyOf(t)
		for _, x := range not {
			if x == k {
				continue next
			}
		}
		j := c.replica.jobs[t.Job]
		if j == nil || !j.accepted || !c.facts.shouldRun(t) || d.stops[k] > 0 || !from.eligible(j) {
			continue
		}
		cost := c.workLost(d.machine, j, k)
		if from.maxLoss > 0 && cost > from.maxLoss.Seconds() {
			continue
		}
		cost += float64(j.spec.Priority) * priorityCost
		// By CPUs, so that one large task is not stopped where a few small ones that have
		// just begun would do.
		cost *= j.spec.CPUs
		if !found || cost < bestCost {
			best, bestCost, found = k, cost, true
		}
	}
	return best, bestCost, found
}

// workLost is how many seconds of work are lost when a task is stopped. What a task on another
// controller's machine has done is known to that one only; it is no more than the time since
// it was entered there.
func (c *Controller) workLost(m *machine, j *job, k taskKey) float64 {
	var began units.Micros
	if m.agent == nil {
		began = m.entrySeenAt[k]
	} else if run, ok := m.agent.runningSince[k]; ok {
		began = run.at
	} else {
		return 0
	}
	loss := (c.now - began).Seconds()
	if j.spec.CheckpointIntervalSeconds > 0 {
		loss = min(loss, j.spec.CheckpointIntervalSeconds)
	}
	return loss
}

// drainReclaimed saves what can be saved on machines that the cloud is about to take
// back: services leave at once, tasks with checkpoints as late as they can.
// Others run on, since they may complete in time.
func (c *Controller) drainReclaimed(b *plan) {
	for _, d := range b.machinesToEmpty(func(m *machine) bool { return m.agent.notice.announced }) {
		left := d.machine.agent.notice.endsAt - c.now
		for _, t := range d.kept {
			j := c.replica.jobs[t.Job]
			if j == nil || !c.facts.shouldRun(t) || !b.fitsShard(d.shard) {
				continue
			}
			if j.spec.Service || j.spec.CheckpointIntervalSeconds > 0 && left < units.FromSeconds(j.spec.CheckpointSeconds)+stopLeadTime {
				b.writeShard(d.shard)
				d.requestStop(keyOf(t), schema.StopGracefully)
			}
		}
	}
}

// machinesToEmpty lists this partition's machines that are to be emptied, for one reason or
// another. They take no more work, so they are not among those that tasks are
// placed on; looked for there, nothing was ever saved or moved.
func (b *plan) machinesToEmpty(why func(*machine) bool) []*stagedMachine {
	var out []*stagedMachine
	for _, gd := range b.shards {
		for _, d := range gd.machines {
			if gd.ownShard && d.machine.agent != nil && !d.machine.deleted && why(d.machine) {
				out = append(out, d)
			}
		}
	}
	return out
}

// hasStoppingTask reports whether a task of the job is being stopped.
func hasStoppingTask(j *job) bool {
	for n, b := range j.bindings {
		for _, t := range b.machine.doc.Tasks {
			if t.Job == j.id && t.Index == n && t.StopMode > 0 {
				return true
			}
		}
	}
	return false
}

// moveServices takes services off machines that are to be given back, where
// another machine has their image and room, so that they are away for a moment
// only. Those that have just started stay for now.
func (c *Controller) moveServices(b *plan) {
	if !periodOf(c.scheduling.movePeriods, b.leadership.partition).due(c.now, rebalancePeriod) {
		return
	}
	moves := 0
	moving := map[*job]bool{} // one task a time: two that move together may not fit one zone
	for _, d := range b.machinesToEmpty(func(m *machine) bool { return m.agent.draining && c.facts.quiesced(m) }) {
		for _, t := range d.kept {
			j := c.replica.jobs[t.Job]
			k := keyOf(t)
			run, runs := d.machine.agent.runningSince[k]
			if j == nil || !j.accepted || !j.spec.Service || moving[j] || j.waiting() > 0 || hasStoppingTask(j) || !c.facts.shouldRun(t) || !runs || c.now-run.at < minServiceRun || !b.fitsShard(d.shard) {
				continue
			}
			j.removeBinding(t.Index) // it does not stand in its own way
			to := b.chooseMachine(j)
			j.addBinding(t.Index, binding{d.machine, t.Attempt})
			if to == nil || !to.hasImage(j.spec.Image) || c.rented(to.machine.name) && to.active == 0 {
				continue
			}
			moving[j] = true
			b.writeShard(d.shard)
			d.requestStop(k, schema.StopImmediately)
			to.cpus, to.memoryGB = to.cpus-j.spec.CPUs, to.memoryGB-j.spec.MemGB
			c.log.Info("moving service", "task", k.task(), "from", d.machine.name, "to", to.machine.name)
			if moves++; moves >= 2 {
				return
			}
		}
	}
}

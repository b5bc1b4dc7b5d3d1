package controller

import (
	"math"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// placeServices puts services first, whole as far as room goes, and makes room
// by stopping work of lower grade.
func (c *Core) placeServices(b *batch, jobs []*job) {
	for _, j := range jobs {
		if !j.spec.Service || j.cancelled() || j.held() || c.now < j.retryAt {
			continue
		}
		for n := 0; n < j.spec.Tasks; n++ {
			if _, ok := j.bound[n]; ok {
				continue
			}
			if !b.underLimit(j) {
				break
			}
			shape := shapeOf(j)
			if b.failed[shape] {
				break
			}
			d := b.choose(j)
			lower := victims{eligible: func(v *job) bool { return v.spec.Grade < j.spec.Grade }}
			if d != nil && !d.has(j.spec.Image) && c.fetchTooSlow(j, d.m) && c.preempt(b, j, n, true, lower) {
				continue
			}
			if d != nil {
				b.put(d, j, n)
			} else if !c.preempt(b, j, n, false, lower) {
				b.failed[shape] = true
				break
			}
		}
	}
}

// taskShape is what a task needs of a machine: once one finds no room, others that
// need the same need not be tried.
type taskShape struct {
	cpus, gpus, mem float64
	zone, types     string
	grade           int
	spot, apart     bool
	team            string
	recall          units.Micros // within a guarantee, from teams beyond theirs: what may be lost; 0: no recall
}

func shapeOf(j *job) taskShape {
	s := &j.spec
	k := taskShape{s.CPUs, s.GPUs, s.MemGB, s.Zone, strings.Join(s.Types, ","), s.Grade, s.Spot, s.Spread || s.OneZone, s.Team, 0}
	if k.apart {
		k.team = s.Team + "/" + j.id // depends on where its other tasks are
	}
	return k
}

// fetchTooSlow reports whether fetching the image on m would take longer than
// the class may wait for its start.
func (c *Core) fetchTooSlow(j *job, m *machine) bool {
	t := c.machineType(m.doc.Type)
	// The rate may be a third lower, and a third is left for what comes before
	// and after the fetch.
	for _, o := range c.cfg.Settings.Objectives {
		if o.Kind == "wait" && o.Class == j.spec.Class && t != nil && t.FetchGBs > 0 {
			return j.spec.ImageGB/t.FetchGBs > o.WithinS/2
		}
	}
	return false
}

// preempt puts task n of j in the place of others: it enters it on the machine
// where least is lost, together with the stops that make room for it, so that
// nobody else takes that room. With needImage only machines that have its image
// count. It reports whether a place was found.
func (c *Core) preempt(b *batch, j *job, n int, needImage bool, from victims) bool {
	var best *draft
	var stops []taskKey
	bestLoss := math.Inf(1)
	for _, d := range b.drafts {
		if !c.allowed(j, d.m) || d.gd.bytes < taskBytes || !b.room(d.gd) || needImage && !d.has(j.spec.Image) {
			continue
		}
		g := d.resources
		loss := 0.0
		var vs []taskKey
		for try := g; !try.take(&j.spec); try = g {
			k, cost, ok := c.cheapest(d, from, vs)
			if !ok {
				loss = math.Inf(1)
				break
			}
			v := &c.replica.jobs[k.job].spec
			vs = append(vs, k)
			g.fill(v, -1)
			loss += cost
		}
		if !d.has(j.spec.Image) {
			loss += 60
		}
		if !d.gd.own {
			loss += 10
		}
		if !d.gd.changed {
			loss += 10 // one more change
		}
		if j.spec.Service && c.rented(d.m.name) {
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
		best.stop(k, schema.StopNow)
		best.resources.fill(&c.replica.jobs[k.job].spec, -1)
		c.log.Info("preempt", "task", k.task(), "machine", best.m.name, "for", j.id, "partition", b.o.n)
	}
	b.put(best, j, n)
	return true
}

// victims says which tasks may be stopped to make room.
type victims struct {
	eligible func(*job) bool
	maxLoss  units.Micros // the most that may be lost with one of them; 0: any
}

// gradeCost keeps the grades apart when losses, in seconds, are compared: the lower grade
// is stopped first, whatever it loses.
const gradeCost = 1000

// cheapest finds the eligible task on d that loses least when it is stopped.
func (c *Core) cheapest(d *draft, from victims, not []taskKey) (taskKey, float64, bool) {
	var best taskKey
	bestCost, found := 0.0, false
next:
	for _, t := range d.keep {
		k := keyOf(t)
		for _, x := range not {
			if x == k {
				continue next
			}
		}
		j := c.replica.jobs[t.Job]
		if j == nil || !j.known || !c.wanted(t) || d.stops[k] > 0 || !from.eligible(j) {
			continue
		}
		cost := c.lossOf(d.m, j, k)
		if from.maxLoss > 0 && cost > from.maxLoss.Seconds() {
			continue
		}
		cost += float64(j.spec.Grade) * gradeCost
		// By CPUs, so that one large task is not stopped where a few small ones that have
		// just begun would do.
		cost *= j.spec.CPUs
		if !found || cost < bestCost {
			best, bestCost, found = k, cost, true
		}
	}
	return best, bestCost, found
}

// lossOf is how many seconds of work are lost when a task is stopped. What a task on another
// controller's machine has done is known to that one only; it is no more than the time since
// it was entered there.
func (c *Core) lossOf(m *machine, j *job, k taskKey) float64 {
	var began units.Micros
	if m.rt == nil {
		began = m.enteredAt[k]
	} else if run, ok := m.rt.runs[k]; ok {
		began = run.at
	} else {
		return 0
	}
	loss := (c.now - began).Seconds()
	if j.spec.CkptS > 0 {
		loss = min(loss, j.spec.CkptS)
	}
	return loss
}

// evacuate saves what can be saved on machines that the cloud is about to take
// back: services leave at once, tasks with checkpoints as late as they can.
// Others run on, since they may complete in time.
func (c *Core) evacuate(b *batch) {
	for _, d := range b.emptying(func(m *machine) bool { return m.rt.hasNotice }) {
		left := d.m.rt.noticeEnds - c.now
		for _, t := range d.keep {
			j := c.replica.jobs[t.Job]
			if j == nil || !c.wanted(t) || !b.room(d.gd) {
				continue
			}
			if j.spec.Service || j.spec.CkptS > 0 && left < units.FromSeconds(j.spec.SaveS)+stopLeadTime {
				b.touch(d.gd)
				d.stop(keyOf(t), schema.StopSave)
			}
		}
	}
}

// emptying lists this partition's machines that are to be emptied, for one reason or
// another. They take no more work, so they are not among those that tasks are
// placed on; looked for there, nothing was ever saved or moved.
func (b *batch) emptying(why func(*machine) bool) []*draft {
	var out []*draft
	for _, gd := range b.shards {
		for _, d := range gd.drafts {
			if gd.own && d.m.rt != nil && !d.m.gone && why(d.m) {
				out = append(out, d)
			}
		}
	}
	return out
}

// stopping reports whether a task of the job is being stopped.
func stopping(j *job) bool {
	for n, b := range j.bound {
		for _, t := range b.m.doc.Tasks {
			if t.Job == j.id && t.Num == n && t.Stop > 0 {
				return true
			}
		}
	}
	return false
}

// moveServices takes services off machines that are to be given back, where
// another machine has their image and room, so that they are away for a moment
// only. Those that have just started stay for now.
func (c *Core) moveServices(b *batch) {
	if !c.every("move"+strconv.Itoa(b.o.n), 500*units.Millisecond) {
		return
	}
	moves := 0
	moving := map[*job]bool{} // one task a time: two that move together may not fit one zone
	for _, d := range b.emptying(func(m *machine) bool { return m.rt.draining && c.settled(m) }) {
		for _, t := range d.keep {
			j := c.replica.jobs[t.Job]
			k := keyOf(t)
			run, runs := d.m.rt.runs[k]
			if j == nil || !j.known || !j.spec.Service || moving[j] || j.waiting() > 0 || stopping(j) || !c.wanted(t) || !runs || c.now-run.at < minServiceRun || !b.room(d.gd) {
				continue
			}
			j.unbind(t.Num) // it does not stand in its own way
			to := b.choose(j)
			j.bind(t.Num, bind{d.m, t.Attempt})
			if to == nil || !to.has(j.spec.Image) || c.rented(to.m.name) && to.live == 0 {
				continue
			}
			moving[j] = true
			b.touch(d.gd)
			d.stop(k, schema.StopNow)
			to.cpus, to.mem = to.cpus-j.spec.CPUs, to.mem-j.spec.MemGB
			c.log.Info("move service", "task", k.task(), "from", d.m.name, "to", to.m.name)
			if moves++; moves >= 2 {
				return
			}
		}
	}
}

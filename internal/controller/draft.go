package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// shardDraft is a machine shard's document in the making.
type shardDraft struct {
	c       *Core
	g       *machineShard
	own     bool
	changed bool
	picked  bool // arrays may go here in this batch
	pieces  int  // that it is split into; 0: it is not

	oversized bool // longer than what may be written: it must be split first
	bytes     int  // that the value may still grow
	mark      string
	moveTo    int // partition that it is handed to, or -1
	drafts    []*draft
	entries   []schema.Machine // newcomers
}

// draft is a machine's entry in the making.
type draft struct {
	m         *machine
	gd        *shardDraft
	resources // free room
	keep      []schema.Task
	added     []schema.Task
	usable    bool
	fence     bool
	retire    bool
	live      int             // tasks that may be active
	soon      resources       // room of array tasks that are about to end
	images    []string        // what a foreign machine's commander says of its images
	stops     map[taskKey]int // tasks that are to be stopped, and how
}

// has reports whether the image is on the machine, as far as is known.
func (d *draft) has(image string) bool {
	if d.m.rt != nil {
		_, ok := d.m.rt.images[image]
		return ok
	}
	return slices.Contains(d.images, image)
}

func (d *draft) stop(k taskKey, how int) {
	if d.stops == nil {
		d.stops = map[taskKey]int{}
	}
	d.stops[k] = how
}

// doc is the machine shard as it is to be stored.
func (gd *shardDraft) doc() *schema.MachineShard {
	doc := &schema.MachineShard{Part: gd.g.part, Handover: gd.g.handover, Spread: gd.g.spread, Mark: gd.mark, Machines: slices.Clone(gd.entries)}
	if gd.moveTo >= 0 {
		doc.Part = gd.moveTo
		doc.Handover++
	}
	for _, d := range gd.drafts {
		if gd.own && d.m.gone {
			continue
		}
		m := d.m.doc
		m.Tasks = append(slices.Clone(d.keep), d.added...)
		for i := range m.Tasks {
			t := &m.Tasks[i]
			t.Stop = max(t.Stop, d.stops[keyOf(*t)])
			if gd.own && t.Ran == 0 {
				t.Ran = gd.c.ran(d.m, t)
			}
		}
		if d.fence {
			m.Handover++
		}
		if d.retire {
			m.Handover++
			m.Retired = true
		}
		doc.Machines = append(doc.Machines, m)
	}
	slices.SortFunc(doc.Machines, func(a, b schema.Machine) int { return strings.Compare(a.Name, b.Name) })
	return doc
}

// ran is how the end of a task that its commander saw complete is written down
// beside it; zero if there is nothing to tell. It frees the task's part of its team's
// limit, and tells the job's owner if that is another.
func (c *Core) ran(m *machine, t *schema.Task) int {
	j := c.replica.jobs[t.Job]
	if j == nil || !j.known || m.rt == nil || !j.unstoredDone[t.Num] {
		return 0
	}
	if c.owned[j.part] != nil {
		return 1 // how long it ran goes with the progress; alike, neighbours stay one range
	}
	return max(1, m.rt.ended[keyOf(*t)].tenths)
}

// mustRecordEnd reports whether the end of a task must be written down for another
// controller, which owns its job, or since its team is at its limit.
func (c *Core) mustRecordEnd(m *machine, t *schema.Task, using map[string]*usage) bool {
	if t.Ran > 0 || c.ran(m, t) == 0 {
		return false
	}
	j := c.replica.jobs[t.Job]
	if j.waiting() > 0 && c.quotaRoom(j, using) == 0 {
		return true
	}
	return c.owned[j.part] == nil && !c.ownerStores(j, m.rt.ended[keyOf(*t)].at)
}

func (gd *shardDraft) adds() bool {
	return slices.ContainsFunc(gd.drafts, func(d *draft) bool { return len(d.added) > 0 })
}

// takeBack undoes what was added: it has not been stored, unless the replica
// shows it.
func (gd *shardDraft) takeBack() {
	for _, d := range gd.drafts {
		for _, t := range d.added {
			if j := gd.c.replica.jobs[t.Job]; j != nil {
				if x, ok := j.bound[t.Num]; ok && x.m == d.m && x.attempt == t.Attempt && !d.m.lists(keyOf(t)) {
					j.unbind(t.Num)
				}
			}
		}
		d.added = nil
	}
}

// leaving marks the entries that a write under way takes off the document: they
// must not be launched again meanwhile.
func (gd *shardDraft) leaving(on bool) {
	if !gd.own {
		return
	}
	for _, d := range gd.drafts {
		rt := d.m.rt
		if rt == nil {
			continue
		}
		rt.leaving = nil
		if !on || len(d.keep) == len(d.m.doc.Tasks) {
			continue
		}
		rt.leaving = map[taskKey]bool{}
		for _, t := range d.m.doc.Tasks {
			rt.leaving[keyOf(t)] = true
		}
		for _, t := range d.keep {
			delete(rt.leaving, keyOf(t))
		}
	}
}

// acceptsTasks reports whether a machine of this node may be given tasks.
func (c *Core) acceptsTasks(m *machine) bool {
	rt := m.rt
	return rt.heardAt > 0 && c.now-rt.heardAt < 2*c.cfg.Settings.Report()+units.Second && !rt.hasNotice && !rt.suspect && !rt.draining && rt.retire == "" && rt.unheardAnswers < deafAfter &&
		rt.seen == c.token(m) && !rt.unclear && !c.mute(m)
}

// foreignOpen reports whether the owner of another partition's machine says
// that it takes work, and which images are there.
func (c *Core) foreignOpen(m *machine) ([]string, bool) {
	p := c.replica.parts[m.g.part]
	if p == nil {
		return nil, false
	}
	heartbeat, ok := c.heartbeatOf(p.doc.Member, p.doc.Inc)
	if !ok {
		return nil, false
	}
	images, ok := heartbeat.Open[m.name]
	return images, ok
}

// open drafts every machine shard as it stands. A partition puts tasks of its own teams
// on any machine, by writing them into the machine's machine shard; the machine's owner
// sees that and gives the commands. So a team's limit is still kept in one
// place, and each machine still has one commander.
func (b *batch) open() {
	c := b.c
	for _, g := range c.replica.machineShards {
		if c.writing[g.key] {
			continue
		}
		gd := &shardDraft{c: c, g: g, own: g.part == b.o.n, bytes: c.valueMax() - g.size - headBytes, mark: b.mark, moveTo: -1, oversized: g.size > c.valueMax()}
		usable := false
		for _, m := range g.members {
			d := &draft{m: m, gd: gd}
			gd.drafts = append(gd.drafts, d)
			t := c.machineType(m.doc.Type)
			switch {
			case m.doc.Retired || t == nil || gd.own && m.rt == nil:
				d.keep = m.doc.Tasks
				continue
			case gd.own:
				d.usable = c.acceptsTasks(m)
			case m.rt != nil: // this node owns that partition as well
				d.usable = c.usable(g.part) && c.acceptsTasks(m)
			default:
				d.images, d.usable = c.foreignOpen(m)
			}
			usable = usable || d.usable
			if !gd.own && !d.usable {
				d.keep = m.doc.Tasks
				continue
			}
			d.resources = resources{t.CPUs, t.GPUs, t.MemGB}
			b.fill(d)
		}
		if !gd.own && !usable {
			continue
		}
		b.shards = append(b.shards, gd)
		for _, d := range gd.drafts {
			if d.usable {
				b.drafts = append(b.drafts, d)
			}
		}
	}
	b.enter()
}

// enter writes down newcomers that have answered, into the machine shards with the most
// of them first.
func (b *batch) enter() {
	c := b.c
	wait := map[*machineShard][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.entering)) {
		if c.entering[name].answered && c.replica.machines[name] == nil {
			g := c.replica.machineShardOf(name)
			wait[g] = append(wait[g], name)
		}
	}
	if len(wait) == 0 {
		return
	}
	var groups []*shardDraft
	for _, gd := range b.shards {
		if gd.own && len(wait[gd.g]) > 0 {
			groups = append(groups, gd)
		}
	}
	slices.SortStableFunc(groups, func(x, y *shardDraft) int { return cmp.Compare(len(wait[y.g]), len(wait[x.g])) })
	for _, gd := range groups {
		for _, name := range wait[gd.g] {
			if !b.room(gd) || gd.bytes < headBytes {
				break
			}
			e := c.entering[name]
			r := &e.q.Report
			doc := schema.Machine{Name: name, Addr: r.Addr, MachineKind: schema.MachineKind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}}
			// A machine that had an entry before may have seen higher tokens.
			if seen := e.token >> 31; seen >= gd.g.handover {
				doc.Handover = seen - gd.g.handover + 1
			}
			gd.bytes -= schema.StoredCost(len(encode(doc)))
			gd.entries = append(gd.entries, doc)
			b.touch(gd)
			c.log.Info("enter a machine", "machine", name, "type", r.Type, "spot", r.Spot, "partition", gd.g.part)
		}
	}
}

// fill takes from a draft's room what may be on the machine.
func (b *batch) fill(d *draft) {
	v := &d.m.views[0]
	if d.gd.own {
		v = &d.m.views[1]
	}
	if b.c.now >= v.until {
		*v = b.c.survey(d.m, d.gd.own)
	}
	d.keep, d.live, d.soon = v.keep, v.live, v.soon
	d.resources = resources{d.resources.cpus - v.used.cpus, d.resources.gpus - v.used.gpus, d.resources.mem - v.used.mem}
}

// room reports whether another changed machine shard still fits into the batch.
func (b *batch) room(gd *shardDraft) bool {
	return gd.changed || !gd.oversized && b.ops > 0 && b.size > gd.g.size+headBytes
}

func (b *batch) touch(gd *shardDraft) {
	if !gd.changed {
		gd.changed = true
		b.ops--
		b.size -= gd.g.size + headBytes
	}
}

// dropGone drops machines whose deletion the cloud has confirmed, and frees the
// tasks of this partition's jobs that were there, so that the same change that
// drops them can start them on other machines of the machine shard. With a change for each
// it took twice as long until the services of many lost machines ran again.
func (b *batch) dropGone() {
	for _, gd := range b.shards {
		if !gd.own {
			continue
		}
		for _, d := range gd.drafts {
			if !d.m.gone || !b.room(gd) {
				continue
			}
			b.touch(gd)
			for _, t := range d.m.doc.Tasks {
				j := b.c.live(t)
				if j == nil || j.part != b.o.n {
					continue
				}
				if was, ok := j.bound[t.Num]; ok && was.m == d.m && was.attempt == t.Attempt {
					b.freed = append(b.freed, freedTask{j, t.Num, was})
					j.unbind(t.Num)
				}
			}
		}
	}
}

// bindAgain undoes dropGone when the batch was not stored: until the entries are
// off the document, who takes over would find them.
func (b *batch) bindAgain() {
	for _, f := range b.freed {
		if _, ok := f.j.bound[f.num]; !ok && b.c.replica.machines[f.was.m.name] == f.was.m && f.was.m.lists(taskKey{f.j.id, f.num, f.was.attempt}) {
			f.j.bind(f.num, f.was)
		}
	}
}

// retirements writes down which machines are to be given back.
func (b *batch) retirements() {
	for _, gd := range b.shards {
		for _, d := range gd.drafts {
			if !gd.own || !b.room(gd) {
				continue
			}
			if !d.m.gone && d.m.rt != nil && d.m.rt.retire != "" && !d.m.rt.urgent && !d.m.doc.Retired {
				b.touch(gd)
				d.retire, d.usable = true, false
			}
		}
	}
}

// releases writes machines whose entries stand in the way: tasks to be placed
// anew, ends that the owner of another partition's job must learn, and unclear
// commands to be fenced.
func (b *batch) releases() {
	c := b.c
	for _, gd := range b.shards {
		if !gd.own {
			continue
		}
		for _, d := range gd.drafts {
			rt := d.m.rt
			if rt == nil || !b.room(gd) {
				continue
			}
			if rt.unclear && rt.heardAt > 0 && c.now-rt.heardAt < c.cfg.Settings.Report()*2 && rt.unclearToken == c.token(d.m) {
				d.fence = true
				b.touch(gd)
			}
			if gd.changed {
				continue
			}
			for i := range d.keep {
				if c.mustRecordEnd(d.m, &d.keep[i], b.using) {
					b.touch(gd)
					break
				}
			}
			if len(d.keep) == len(d.m.doc.Tasks) || gd.changed {
				continue
			}
			kept := make(map[taskKey]bool, len(d.keep))
			for _, t := range d.keep {
				kept[keyOf(t)] = true
			}
			for _, t := range d.m.doc.Tasks {
				if j := c.replica.jobs[t.Job]; !kept[keyOf(t)] && j != nil && j.known && !j.done.Has(t.Num) {
					b.touch(gd)
					break
				}
			}
			if !gd.changed && gd.bytes < 2*taskBytes {
				b.touch(gd)
			}
		}
	}
}

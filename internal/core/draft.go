package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/intake"
	"frostdock.example/frostdock/internal/state"
	"frostdock.example/frostdock/internal/units"
	"frostdock.example/frostdock/internal/workers"
)

// groupDraft is a group's document in the making.
type groupDraft struct {
	c       *Core
	g       *group
	own     bool
	changed bool
	picked  bool // arrays may go here in this batch
	bytes   int  // that the value may still grow
	mark    string
	moveTo  int // partition that it is handed to, or -1
	drafts  []*draft
	entries []state.Machine // newcomers
}

// draft is a machine's entry in the making.
type draft struct {
	m      *machine
	gd     *groupDraft
	gap    // free room
	keep   []state.Task
	added  []state.Task
	usable bool
	fence  bool
	retire bool
	live   int             // tasks that may be active
	soon   gap             // room of array tasks that are about to end
	images []string        // what a foreign machine's commander says of its images
	stops  map[taskKey]int // tasks that are to be stopped, and how
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

// doc is the group as it is to be stored.
func (gd *groupDraft) doc() *state.Group {
	doc := &state.Group{Part: gd.g.part, Handover: gd.g.handover, Mark: gd.mark, Machines: slices.Clone(gd.entries)}
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
	slices.SortFunc(doc.Machines, func(a, b state.Machine) int { return strings.Compare(a.Name, b.Name) })
	return doc
}

// ran is how the end of a task that its commander saw complete is written down
// beside it; zero if there is nothing to tell. It frees the task's part of its team's
// limit, and tells the job's owner if that is another.
func (c *Core) ran(m *machine, t *state.Task) int {
	j := c.rep.jobs[t.Job]
	if j == nil || !j.known || m.rt == nil || !j.extra[t.Num] {
		return 0
	}
	if c.owned[j.part] != nil {
		return 1 // how long it ran goes with the progress; alike, neighbours stay one range
	}
	return max(1, m.rt.ended[keyOf(*t)])
}

// tells reports whether the end of a task must be written down for another
// controller, which owns its job, or since its team is at its limit.
func (c *Core) tells(m *machine, t *state.Task, using map[string]*usage) bool {
	if t.Ran > 0 || c.ran(m, t) == 0 {
		return false
	}
	j := c.rep.jobs[t.Job]
	return c.owned[j.part] == nil || j.waiting() > 0 && c.quotaRoom(j, using) == 0
}

func (gd *groupDraft) adds() bool {
	return slices.ContainsFunc(gd.drafts, func(d *draft) bool { return len(d.added) > 0 })
}

// takeBack undoes what was added: it has not been stored, unless the replica
// shows it.
func (gd *groupDraft) takeBack() {
	for _, d := range gd.drafts {
		for _, t := range d.added {
			if j := gd.c.rep.jobs[t.Job]; j != nil {
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
func (gd *groupDraft) leaving(on bool) {
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

// takesWork reports whether a machine of this node may be given tasks.
func (c *Core) takesWork(m *machine) bool {
	rt := m.rt
	return rt.heardAt > 0 && c.now-rt.heardAt < 2*c.cfg.Settings.Report()+units.Second && !rt.noticed && !rt.sick && !rt.draining && rt.retire == "" && rt.unheard < deafAfter &&
		rt.seen == c.token(m) && !rt.unclear && !c.mute(m)
}

// foreignOpen reports whether the owner of another partition's machine says
// that it takes work, and which images are there.
func (c *Core) foreignOpen(m *machine) ([]string, bool) {
	p := c.rep.parts[m.g.part]
	if p == nil {
		return nil, false
	}
	s, ok := c.peers[p.doc.Member]
	if !ok || s.beat.Inc != p.doc.Inc || c.now-s.at > 3*units.Second {
		return nil, false
	}
	images, ok := s.beat.Open[m.name]
	return images, ok
}

// open drafts every group as it stands. A partition puts tasks of its own teams
// on any machine, by writing them into the machine's group; the machine's owner
// sees that and gives the commands. So a team's limit is still kept in one
// place, and each machine still has one commander.
func (b *batch) open() {
	c := b.c
	for _, g := range c.rep.groups {
		if c.writing[g.key] {
			continue
		}
		gd := &groupDraft{c: c, g: g, own: g.part == b.o.n, bytes: c.valueMax() - g.size - headBytes, mark: b.mark, moveTo: -1}
		any := false
		for _, m := range g.members {
			d := &draft{m: m, gd: gd}
			gd.drafts = append(gd.drafts, d)
			t := c.machineType(m.doc.Type)
			switch {
			case m.doc.Retired || t == nil || gd.own && m.rt == nil:
				d.keep = m.doc.Tasks
				continue
			case gd.own:
				d.usable = c.takesWork(m)
			case m.rt != nil: // this node owns that partition as well
				d.usable = c.usable(g.part) && c.takesWork(m)
			default:
				d.images, d.usable = c.foreignOpen(m)
			}
			any = any || d.usable
			if !gd.own && !d.usable {
				d.keep = m.doc.Tasks
				continue
			}
			d.gap = gap{t.CPUs, t.GPUs, t.MemGB}
			b.fill(d)
		}
		if !gd.own && !any {
			continue
		}
		b.groups = append(b.groups, gd)
		for _, d := range gd.drafts {
			if d.usable {
				b.drafts = append(b.drafts, d)
			}
		}
	}
	b.enter()
}

// enter writes down newcomers that have answered, into the groups with the most
// of them first.
func (b *batch) enter() {
	c := b.c
	wait := map[*group][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.entering)) {
		if c.entering[name].answered && c.rep.machines[name] == nil {
			g := c.rep.groupOf(name)
			wait[g] = append(wait[g], name)
		}
	}
	if len(wait) == 0 {
		return
	}
	var groups []*groupDraft
	for _, gd := range b.groups {
		if gd.own && len(wait[gd.g]) > 0 {
			groups = append(groups, gd)
		}
	}
	slices.SortStableFunc(groups, func(x, y *groupDraft) int { return cmp.Compare(len(wait[y.g]), len(wait[x.g])) })
	for _, gd := range groups {
		for _, name := range wait[gd.g] {
			if !b.room(gd) || gd.bytes < headBytes {
				break
			}
			e := c.entering[name]
			r := &e.q.Report
			doc := state.Machine{Name: name, Addr: r.Addr, MachineKind: state.MachineKind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}}
			// A machine that had an entry before may have seen higher tokens.
			if seen := e.token >> 31; seen >= gd.g.handover {
				doc.Handover = seen - gd.g.handover + 1
			}
			gd.bytes -= state.StoredCost(len(encode(doc)))
			gd.entries = append(gd.entries, doc)
			b.touch(gd)
			c.log.Info("enter a machine", "machine", name, "type", r.Type, "spot", r.Spot, "partition", gd.g.part)
		}
	}
}

// view is what a machine's entry and its reports say about its room. Looking at
// every task of every machine for each plan was half of all the work of a large
// fleet, so it is kept until something that it depends on has changed.
type view struct {
	until units.Micros // it may have changed by then; 0: nothing is kept
	keep  []state.Task // entries that must stay
	live  int          // tasks that may be active
	used  gap
	soon  gap // room of array tasks that are about to end
}

// viewAge bounds how long a view is kept, whatever may have been overlooked.
const viewAge = 5 * units.Second

// touch drops what is kept of a machine: its entry, its reports or one of its
// jobs has changed.
func (m *machine) touch() { m.views = [2]view{} }

// touch drops what is kept of the machines on which the job may run.
func (j *job) touch() {
	for _, b := range j.bound {
		b.m.touch()
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
	d.gap = gap{d.gap.cpus - v.used.cpus, d.gap.gpus - v.used.gpus, d.gap.mem - v.used.mem}
}

// survey makes a machine's view, as its commander or as somebody else.
func (c *Core) survey(m *machine, own bool) view {
	rt := m.rt
	v := view{until: c.now + viewAge}
	if own && c.now <= rt.leaseEnd {
		v.until = min(v.until, rt.leaseEnd+1)
	}
	if own && c.now <= rt.launchOver() {
		v.until = min(v.until, rt.launchOver()+1)
	}
	for _, task := range m.doc.Tasks {
		j := c.rep.jobs[task.Job]
		over := j == nil || !j.known || j.done.Has(task.Num)
		active := !over && task.Ran == 0 // its commander has seen its end: the room is free
		if own {
			k := keyOf(task)
			rel := c.releasable(m, task)
			piece, there := rt.pieces[k]
			running := there && piece.State != workers.Ended && c.now <= rt.leaseEnd
			if rel && !running {
				continue
			}
			over = rel
			active = j != nil && (running || !j.isDone(task.Num))
		}
		if !over || !own {
			v.keep = append(v.keep, task)
		}
		if !active {
			continue
		}
		v.live++
		v.used.fill(&j.spec, -1)
		if own {
			if at := c.endsAt(m, j, task); at <= c.now {
				v.soon.fill(&j.spec, -1)
			} else {
				v.until = min(v.until, at)
			}
		}
	}
	if !own {
		return v
	}
	for k, piece := range rt.pieces { // tasks that nobody lists take room until they are gone
		if piece.State != workers.Ended && !m.lists(k) {
			if j := c.rep.jobs[k.job]; j != nil && j.known {
				v.used.fill(&j.spec, -1)
			}
			v.live++
		}
	}
	return v
}

// queueAhead is how long before its expected end a task's room may be given to
// the next one.
const queueAhead = 6 * units.Second

// endsAt is when an array task that runs on m comes so close to its end, by what
// has been observed of its job, that its room may be given to the next one.
func (c *Core) endsAt(m *machine, j *job, t state.Task) units.Micros {
	run, ok := m.rt.runs[keyOf(t)]
	avg, _ := j.average()
	if !ok || j.spec.Service || avg == 0 {
		return math.MaxInt64
	}
	return run.at + avg - queueAhead
}

func (m *machine) lists(k taskKey) bool {
	for _, t := range m.doc.Tasks {
		if keyOf(t) == k {
			return true
		}
	}
	return false
}

// room reports whether another changed group still fits into the batch.
func (b *batch) room(gd *groupDraft) bool {
	return gd.changed || b.ops > 0 && b.size > gd.g.size+headBytes
}

func (b *batch) touch(gd *groupDraft) {
	if !gd.changed {
		gd.changed = true
		b.ops--
		b.size -= gd.g.size + headBytes
	}
}

// allowed checks type, kind and zone, given where the job's other tasks may
// be; those in doubt count as well.
func (c *Core) allowed(j *job, m *machine) bool {
	s := &j.spec
	if !intake.TypeAllowed(s, m.doc.Type) || m.doc.Spot && !s.Spot || s.Zone != "" && s.Zone != m.doc.Zone {
		return false
	}
	return !s.OneZone && !s.Spread || zoneAllowed(j, m.doc.Zone)
}

// zoneAllowed reports whether one more task of j may be in the zone.
func zoneAllowed(j *job, zone string) bool {
	same := 0
	for n, o := range j.bound {
		if j.stored(n) {
			continue
		}
		if o.m.doc.Zone == zone {
			same++
		} else if j.spec.OneZone {
			return false
		}
	}
	return !j.spec.Spread || same+1 <= (j.spec.Tasks+1)/2
}

func (d *draft) fits(j *job) bool {
	return d.holds(&j.spec) && d.gd.bytes >= taskBytes
}

// choose finds the best machine for a task of j: one that has the image, and
// of those the fullest, so that large gaps stay whole.
func (b *batch) choose(j *job) *draft {
	c := b.c
	var best *draft
	bestScore := math.Inf(-1)
	presses, passed := c.presses(j), c.passedOver(j)
	for _, d := range b.drafts {
		if !d.fits(j) || !b.room(d.gd) || !c.allowed(j, d.m) {
			continue
		}
		if !j.spec.Service && !presses && (b.picked && !passed && !d.gd.picked && !d.gd.changed || b.spoken(d.gd)) {
			continue // not among those of this batch, or its own jobs wait for that room
		}
		if held := b.o.held[d.m.name].job; held != "" && held != j.id && !j.spec.Service && !presses {
			continue
		}
		score := -d.cpus
		if d.has(j.spec.Image) && j.spec.Service {
			score += 1000
		} else if d.has(j.spec.Image) {
			score += 120
		}
		if d.gd.own {
			score += 70
		}
		// What lasts goes on machines that stay, so that rented ones fall idle
		// and can be given back; what ends soon leaves the others free.
		switch {
		case j.spec.Service && !c.rented(d.m.name):
			score += 300
		case !j.spec.Service && d.m.doc.Spot && j.spec.CkptS > 0:
			score += 300 // it loses little when the machine is taken back
		case !j.spec.Service && d.m.doc.Spot:
			score += 100
		case !j.spec.Service && c.rented(d.m.name):
			score += 150
		}
		if d.gd.changed {
			score += 50
		}
		if score > bestScore {
			best, bestScore = d, score
		}
	}
	return best
}

// put binds task n of j to d in this batch.
func (b *batch) put(d *draft, j *job, n int) {
	b.touch(d.gd)
	// Attempts only grow: the epoch does with every take-over, the count within
	// one. All tasks of a batch share theirs, so that neighbours are written as
	// one range; an attempt must differ only from others of the same task.
	if b.attempt == 0 {
		b.o.seq++
		b.attempt = b.o.epoch<<28 | b.o.seq
	}
	t := state.Task{Job: j.id, Num: n, Attempt: b.attempt}
	d.added = append(d.added, t)
	d.gap.fill(&j.spec, 1)
	d.gd.bytes -= taskBytes
	d.live++
	b.size -= taskBytes
	addUse(b.using, &j.spec, 1)
	j.bind(n, bind{d.m, t.Attempt}) // taken back if the batch is not stored
	// Only here: an entry that is read once more, because something else on its machine has
	// changed, is no new place, and a job beside it waited for minutes.
	j.waitAt = 0
}

// dropGone drops machines whose deletion the cloud has confirmed, and frees the
// tasks of this partition's jobs that were there, so that the same change that
// drops them can start them on other machines of the group. With a change for each
// it took twice as long until the services of many lost machines ran again.
func (b *batch) dropGone() {
	for _, gd := range b.groups {
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
		if _, ok := f.j.bound[f.num]; !ok && b.c.rep.machines[f.was.m.name] == f.was.m && f.was.m.lists(taskKey{f.j.id, f.num, f.was.attempt}) {
			f.j.bind(f.num, f.was)
		}
	}
}

// retirements writes down which machines are to be given back.
func (b *batch) retirements() {
	for _, gd := range b.groups {
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
	for _, gd := range b.groups {
		if !gd.own {
			continue
		}
		for _, d := range gd.drafts {
			rt := d.m.rt
			if rt == nil || !b.room(gd) {
				continue
			}
			if rt.unclear && rt.heardAt > 0 && c.now-rt.heardAt < c.cfg.Settings.Report()*2 && rt.unTok == c.token(d.m) {
				d.fence = true
				b.touch(gd)
			}
			if gd.changed {
				continue
			}
			for i := range d.keep {
				if c.tells(d.m, &d.keep[i], b.using) {
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
				if j := c.rep.jobs[t.Job]; !kept[keyOf(t)] && j != nil && j.known && !j.done.Has(t.Num) {
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

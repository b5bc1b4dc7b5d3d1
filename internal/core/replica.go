package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/state"
	"frostdock.example/frostdock/internal/units"
)

// replica is this process's copy of what the state service holds. It is fed by
// one watch and by the node's own commits, and is exact as of watchRev.
type replica struct {
	stamps   map[string]uint64 // every live key under state.Active
	tombs    map[string]uint64 // keys this node deleted ahead of the watch
	watchRev uint64
	synced   bool
	watchN   int    // the watch that counts; answers to older ones are passed over
	seenRev  uint64 // latest revision that any answer has shown
	behind   units.Micros

	nodes    map[string]units.Micros // key -> first seen here
	parts    map[int]*part
	groups   []*group
	machines map[string]*machine
	ever     map[string]bool // names of all machines that were seen here
	byName   []*machine      // of machines, in order; nil when that has changed
	jobs     map[string]*job
	shelves  []*shelf
	byAge    []*job // accepted jobs, the oldest first; nil when that has changed
	packs    map[string]*pack
	finals   *finals
	base     *state.BaseDoc

	defaultPart func(group int) int // the partition of a group that has no document yet
	laidOut     bool                // the store's own layout is known
}

type part struct {
	stamp uint64
	doc   state.Part
}

// group is a document of machines; its stamp is 0 while there is none.
type group struct {
	n         int
	key       string
	stamp     uint64
	size      int // of the value as stored
	part      int
	handover  uint64
	members   []*machine   // in order of their names
	movedAt   units.Micros // when it was last seen to change partitions
	changedAt units.Micros // and when to change at all
}

// shelf is a document of accepted jobs.
type shelf struct {
	key  string
	size int
	ids  []string
}

// pack is a document of jobs' progress.
type pack struct {
	key  string
	part int
	size int
	jobs map[string]state.Done
}

// job is all that is known of a job that is not over. An entry also exists for
// tasks on machines whose job is gone, until those machines are cleared.
type job struct {
	id        string
	known     bool
	spec      state.Job
	done      state.Set
	pack      *pack        // where its progress is stored, if any is
	avg       units.Micros // stored average of finished tasks
	avgOf     int          // and of how many
	cancelled bool
	bound     map[int]bind // by task number: where it may be
	live      int          // of bound, those not known to be done; -1 when that must be counted
	holding   int          // of bound, those whose end is not stored; counted with live
	noted     map[int]bool // of bound, those whose end stands beside them in their machine's entry
	part      int

	// The owner's own knowledge, lost with it.
	extra      map[int]bool // done on machines of this node, not yet stored
	runSum     units.Micros // lengths of those
	runCount   int
	share      float64
	failures   int
	failedAt   units.Micros    // when it last failed
	failedOn   map[string]bool // machines of this node on which it failed
	wellOnce   bool            // one of its tasks completed
	retryAt    units.Micros
	observed   units.Micros // average with what running tasks have taken, and when it was worked out
	observedAt units.Micros
	flushAt    units.Micros // when its progress was last written
	storedAs   string       // done, as it is stored
	waitAt     units.Micros // since when tasks of it wait and none was placed; 0: none waits
}

type bind struct {
	m       *machine
	attempt uint64
}

// active counts the tasks that may be running.
func (j *job) active() int {
	j.count()
	return j.live
}

// reserved counts the tasks that take room of their team's limit: all whose end is
// not stored. An end that only this process knows is lost with it, and if the
// machine's lease ends too the task is started once more, beside those that took its
// place: a team was over its limit that way, and could be in two zones.
func (j *job) reserved() int {
	j.count()
	return j.holding
}

func (j *job) count() {
	if j.live >= 0 {
		return
	}
	j.live, j.holding = 0, 0
	for n := range j.bound {
		if !j.isDone(n) {
			j.live++
		}
		if !j.stored(n) {
			j.holding++
		}
	}
}

// stored reports whether the end of a task is stored, so that nobody starts it again.
func (j *job) stored(n int) bool { return j.done.Has(n) || j.noted[n] }

// bind notes where a task may be. Of two entries the one with the later attempt is
// the true one: while a copy is loaded, documents that were read late stand beside
// earlier changes of others, and those are shown once more. An earlier entry that
// came and went that way once made a running task look free.
func (j *job) bind(n int, b bind) {
	if was, ok := j.bound[n]; ok && was.attempt > b.attempt {
		return
	}
	j.bound[n], j.live = b, -1
	delete(j.noted, n)
}

// unbind notes that a task is free.
func (j *job) unbind(n int) {
	delete(j.bound, n)
	delete(j.noted, n)
	j.live = -1
}

func (j *job) isDone(n int) bool { return j.extra[n] || j.done.Has(n) }

func newReplica(layout state.Layout, defaultPart func(group int) int) *replica {
	r := &replica{
		stamps: map[string]uint64{}, tombs: map[string]uint64{}, nodes: map[string]units.Micros{},
		parts: map[int]*part{}, machines: map[string]*machine{}, jobs: map[string]*job{}, packs: map[string]*pack{}, ever: map[string]bool{}, finals: newFinals(40000),
		defaultPart: defaultPart,
	}
	r.layOut(layout)
	return r
}

// layOut spreads machines and jobs over so many documents. Documents that are known
// already stay.
func (r *replica) layOut(layout state.Layout) {
	for n := len(r.groups); n < layout.Groups; n++ {
		r.groups = append(r.groups, &group{n: n, key: state.GroupKey(n), part: r.defaultPart(n)})
	}
	for n := len(r.shelves); n < layout.Shelves; n++ {
		r.shelves = append(r.shelves, &shelf{key: state.ShelfKey(n)})
	}
	r.groups, r.shelves = r.groups[:layout.Groups], r.shelves[:layout.Shelves]
	for key := range r.stamps { // what was read by another layout is to be read again
		if strings.HasPrefix(key, state.Groups) || strings.HasPrefix(key, state.Shelves) {
			delete(r.stamps, key)
		}
	}
}

func (r *replica) groupOf(machine string) *group {
	return r.groups[state.GroupOf(machine, len(r.groups))]
}

func (r *replica) shelfOf(job string) *shelf { return r.shelves[state.ShelfOf(job, len(r.shelves))] }

func (r *replica) job(id string) *job {
	j := r.jobs[id]
	if j == nil {
		j = &job{id: id, bound: map[int]bind{}, live: -1}
		r.jobs[id] = j
	}
	return j
}

// tidy drops an entry of which nothing is left.
func (r *replica) tidy(j *job) {
	if !j.known && !j.cancelled && j.pack == nil && len(j.bound) == 0 {
		delete(r.jobs, j.id)
	}
}

// apply takes one change, in any order: an older one than what is known is
// passed over, since the node's own commits run ahead of the watch.
func (c *Core) apply(key string, val json.RawMessage, stamp uint64, deleted bool) {
	r := c.rep
	if strings.HasPrefix(key, state.Finals) {
		if !deleted {
			var f state.Final
			if c.decode(key, val, &f) {
				r.finals.put(strings.TrimPrefix(key, state.Finals), f)
			}
		}
		return
	}
	if stamp < r.stamps[key] || stamp <= r.tombs[key] && r.tombs[key] > 0 {
		return
	}
	if stamp == r.stamps[key] && !deleted {
		return
	}
	if deleted {
		delete(r.stamps, key)
	} else {
		r.stamps[key] = stamp
	}
	c.dirty = true
	switch {
	case strings.HasPrefix(key, state.Nodes):
		if deleted {
			delete(r.nodes, key)
		} else if _, ok := r.nodes[key]; !ok {
			r.nodes[key] = c.now
		}
	case strings.HasPrefix(key, state.Parts):
		n, err := strconv.Atoi(strings.TrimPrefix(key, state.Parts))
		if err != nil || deleted {
			return
		}
		var doc state.Part
		if c.decode(key, val, &doc) {
			r.parts[n] = &part{stamp: stamp, doc: doc}
			c.ownership(n)
		}
	case strings.HasPrefix(key, state.Groups):
		if n, err := strconv.Atoi(strings.TrimPrefix(key, state.Groups)); err == nil && n < len(r.groups) && !deleted {
			c.applyGroup(r.groups[n], val, stamp)
		}
	case strings.HasPrefix(key, state.Shelves):
		if n, err := strconv.Atoi(strings.TrimPrefix(key, state.Shelves)); err == nil && n < len(r.shelves) {
			c.applyShelf(r.shelves[n], val)
		}
	case strings.HasPrefix(key, state.Progress):
		c.applyPack(key, val)
	case key == state.LayoutOf:
		var doc state.Layout
		if !deleted && !r.laidOut && c.decode(key, val, &doc) && doc.Groups > 0 && doc.Shelves > 0 {
			r.layOut(doc)
			r.laidOut = true
		}
	case key == state.Base:
		var doc state.BaseDoc
		if !deleted && c.decode(key, val, &doc) {
			r.base = &doc
		}
	case strings.HasPrefix(key, state.Cancels):
		j := r.job(strings.TrimPrefix(key, state.Cancels))
		j.cancelled = !deleted
		j.touch()
		if deleted {
			r.tidy(j)
		}
	}
}

// applyShelf takes a shelf's new contents; none when it was deleted.
func (c *Core) applyShelf(s *shelf, val json.RawMessage) {
	r := c.rep
	var doc state.Shelf
	if len(val) > 0 && !c.decode(s.key, val, &doc) {
		return
	}
	r.byAge = nil
	old := s.ids
	s.ids, s.size = make([]string, 0, len(doc.Jobs)), len(val)
	still := make(map[string]bool, len(doc.Jobs))
	for i := range doc.Jobs {
		spec := &doc.Jobs[i]
		s.ids = append(s.ids, spec.ID)
		still[spec.ID] = true
		j := r.job(spec.ID)
		if !j.known {
			j.spec, j.known = *spec, true
			j.part = c.partOf(spec.Team)
			j.touch()
		}
	}
	for _, id := range old {
		if j := r.jobs[id]; j != nil && !still[id] {
			j.known = false
			j.touch()
			r.tidy(j)
		}
	}
}

// applyPack takes a progress document's new contents; none when it was deleted.
func (c *Core) applyPack(key string, val json.RawMessage) {
	r := c.rep
	var doc state.Pack
	if len(val) > 0 && !c.decode(key, val, &doc) {
		return
	}
	old := r.packs[key]
	p := &pack{key: key, size: len(val), jobs: doc.Jobs}
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, state.Progress), "%d/", &p.part); err != nil {
		c.log.Error("unreadable key", "key", key)
		return
	}
	delete(r.packs, key)
	if len(doc.Jobs) > 0 {
		r.packs[key] = p
	}
	for id, d := range doc.Jobs {
		j := r.job(id)
		j.pack = p
		if j.storedAs == d.Ranges {
			continue
		}
		set, err := state.ParseSet(d.Ranges)
		if err != nil {
			c.log.Error("unreadable progress", "job", id, "err", err)
			continue
		}
		j.live = -1
		j.touch()
		j.done, j.storedAs, j.avg, j.avgOf = set, d.Ranges, units.FromSeconds(d.AvgS), d.Of
		for n := range j.extra {
			if set.Has(n) {
				delete(j.extra, n)
			}
		}
	}
	if old == nil {
		return
	}
	for id := range old.jobs {
		if j := r.jobs[id]; j != nil && j.pack == old {
			j.pack = nil
			r.tidy(j)
		}
	}
}

// applyGroup takes a group's new contents.
func (c *Core) applyGroup(g *group, val json.RawMessage, stamp uint64) {
	r := c.rep
	var doc state.Group
	if !c.decode(g.key, val, &doc) {
		return
	}
	moved := g.part != doc.Part
	g.changedAt = c.now
	if moved {
		g.movedAt = c.now
	}
	g.stamp, g.size, g.part, g.handover = stamp, len(val), doc.Part, doc.Handover
	before := g.members
	g.members = make([]*machine, 0, len(doc.Machines))
	for i := range doc.Machines {
		d := &doc.Machines[i]
		m := r.machines[d.Name]
		if m == nil {
			m = &machine{name: d.Name, g: g}
			r.machines[d.Name] = m
			r.ever[d.Name] = true
			r.byName = nil
		}
		g.members = append(g.members, m)
		c.applyMachine(m, d, moved)
	}
	for _, m := range before {
		if !slices.Contains(g.members, m) {
			c.unbind(m)
			delete(r.machines, m.name)
			r.byName = nil
		}
	}
}

// unbind takes what the machine's entry lists off the jobs.
func (c *Core) unbind(m *machine) {
	for _, t := range m.doc.Tasks {
		j := c.rep.job(t.Job)
		if b, ok := j.bound[t.Num]; ok && b.m == m && b.attempt == t.Attempt {
			j.unbind(t.Num)
		}
		c.rep.tidy(j)
	}
}

func (c *Core) applyMachine(m *machine, doc *state.Machine, moved bool) {
	own := c.owned[m.g.part]
	old := m.doc
	changed := !slices.Equal(old.Tasks, doc.Tasks) || old.Handover != doc.Handover || old.Retired != doc.Retired || old.Name == ""
	if changed {
		c.unbind(m)
		m.doc = *doc
		m.touch()
		m.noteEntered(c.now)
		for _, t := range doc.Tasks {
			j := c.rep.job(t.Job)
			j.bind(t.Num, bind{m, t.Attempt})
			if t.Ran > 0 && !j.isDone(t.Num) {
				c.completed(j, t.Num, units.Micros(t.Ran-1)*100*units.Millisecond)
			}
			if b := j.bound[t.Num]; t.Ran > 0 && b.m == m && b.attempt == t.Attempt {
				if j.noted == nil {
					j.noted = map[int]bool{}
				}
				j.noted[t.Num], j.live = true, -1
			}
		}
		if !moved && own == nil {
			c.missed(old.Tasks)
		}
	}
	switch {
	case own == nil || doc.Retired:
		m.rt = nil
	case m.rt == nil || moved || m.rt.owner != own:
		c.acquire(m, own)
	case changed:
		for k := range m.rt.ended {
			if !m.lists(k) {
				delete(m.rt.ended, k)
			}
		}
		c.poke(m)
	}
}

// noteEntered keeps when each task of the machine's entry was first seen.
func (m *machine) noteEntered(now units.Micros) {
	before := m.enteredAt
	m.enteredAt = make(map[taskKey]units.Micros, len(m.doc.Tasks))
	for _, t := range m.doc.Tasks {
		k := keyOf(t)
		at, ok := before[k]
		if !ok {
			at = now
		}
		m.enteredAt[k] = at
	}
}

// completed notes a task that has completed, and how long it ran if that is
// known.
func (c *Core) completed(j *job, n int, ran units.Micros) {
	if j.extra == nil {
		j.extra = map[int]bool{}
	}
	j.extra[n], j.live = true, -1
	if b, ok := j.bound[n]; ok {
		b.m.touch()
	}
	if ran > 0 {
		j.runSum += ran
		j.runCount++
	}
}

// missed notes tasks of this node's partitions that another owner took off its
// machine though nobody had asked for it: they failed there. Without this a job
// that fails everywhere would be placed on others' machines without end.
func (c *Core) missed(old state.Tasks) {
	for _, t := range old {
		j := c.rep.jobs[t.Job]
		if j == nil || !j.known || j.cancelled || t.Stop > 0 || j.isDone(t.Num) || c.owned[j.part] == nil {
			continue
		}
		if _, ok := j.bound[t.Num]; !ok {
			c.failed(j)
		}
	}
}

// decode reads a stored document. An unreadable one is logged and left out.
func (c *Core) decode(key string, val json.RawMessage, into any) bool {
	if err := json.Unmarshal(val, into); err != nil {
		c.log.Error("unreadable document", "key", key, "err", err)
		return false
	}
	return true
}

// load reads everything under state.Active, then watches. It is the way in at
// the start and whenever the watch has lost its place (410).
func (c *Core) load() {
	c.rep.synced = false
	c.rep.watchN++
	seen := map[string]bool{}
	var base uint64
	var page func(since string)
	page = func(since string) {
		c.callState(state.Request{Kind: state.List, Key: state.Active, Since: since}, func(resp state.Response) {
			if resp.Status != 200 {
				c.after(300*units.Millisecond, func() { page(since) })
				return
			}
			if base == 0 {
				base = resp.Rev
			}
			for _, it := range resp.Items {
				seen[it.Key] = true
				c.apply(it.Key, it.Value, it.Stamp, false)
			}
			if resp.Truncated && len(resp.Items) > 0 {
				page(resp.Items[len(resp.Items)-1].Key)
				return
			}
			// What the list no longer has, and was not written since, is gone.
			for key, stamp := range c.rep.stamps {
				if !seen[key] && stamp <= base {
					c.apply(key, nil, base, true)
				}
			}
			if !c.rep.laidOut {
				c.writeLayout(base)
				return
			}
			c.loaded(base)
		})
	}
	page("")
}

// loaded begins to follow the store from the revision as of which the copy is complete.
func (c *Core) loaded(rev uint64) {
	c.rep.watchRev = rev
	c.rep.synced = true
	c.log.Info("replica loaded", "rev", rev, "jobs", len(c.rep.jobs), "machines", len(c.rep.machines))
	c.watch()
}

// writeLayout settles the layout of a store that has none. If another was first, or the
// copy was loaded by another layout, it is loaded anew.
func (c *Core) writeLayout(rev uint64) {
	settings := &c.cfg.Settings
	layout := state.LayoutFor(settings.State.ValueKB, settings.MostCPUs())
	for key := range c.rep.stamps {
		if strings.HasPrefix(key, state.Groups) {
			layout = state.LayoutBefore(settings.State.ValueKB)
		}
	}
	c.log.Info("lay out the store", "groups", layout.Groups, "shelves", layout.Shelves)
	txn := &state.Txn{
		Guards: []state.Guard{{Key: state.LayoutOf}},
		Apply:  []state.Op{{Set: state.LayoutOf, Value: encode(layout)}},
	}
	asLoaded := layout == state.Layout{Groups: len(c.rep.groups), Shelves: len(c.rep.shelves)}
	c.callState(state.Request{Kind: state.Commit, Txn: txn}, func(r state.Response) {
		if r.Status != 200 || !asLoaded {
			c.after(100*units.Millisecond, c.load)
			return
		}
		c.apply(state.LayoutOf, txn.Apply[0].Value, r.Rev, false)
		c.loaded(rev)
	})
}

// staleAfter is how long the watch may lag behind what other answers show.
const staleAfter = units.Second

// checkWatch opens a new watch when the present one has fallen behind: after a
// cut its connection may be dead without an error, and when this node alone
// was refused it waits as in an outage.
func (c *Core) checkWatch() {
	r := c.rep
	if !r.synced || r.seenRev <= r.watchRev {
		r.behind = 0
		return
	}
	if r.behind == 0 {
		r.behind = c.now
	}
	if c.now-r.behind > staleAfter {
		r.behind = c.now + staleAfter // give the new one time before the next
		c.log.Info("watch is behind, opening a new one", "rev", r.watchRev, "seen", r.seenRev)
		c.watch()
	}
}

func (c *Core) watch() {
	c.rep.watchN++
	n := c.rep.watchN
	opened := c.now
	c.callState(state.Request{Kind: state.Watch, Key: state.Root, Rev: c.rep.watchRev, HoldMs: 10000}, func(resp state.Response) {
		if n != c.rep.watchN {
			return
		}
		switch {
		case resp.Status == 200:
			for _, e := range resp.News {
				if e.Set != "" {
					c.apply(e.Set, e.Value, e.Stamp, false)
				} else {
					c.apply(e.Delete, nil, e.Stamp, true)
				}
			}
			if resp.Rev > c.rep.watchRev {
				c.rep.watchRev = resp.Rev
			}
			for k, rev := range c.rep.tombs {
				if rev <= c.rep.watchRev {
					delete(c.rep.tombs, k)
				}
			}
			c.caughtUp()
			if len(resp.News) == 0 && resp.Rev < c.rep.seenRev {
				c.after(100*units.Millisecond, func() { c.rewatch(n) }) // refused: it tells nothing
				return
			}
			// While much changes, one answer should tell several changes.
			c.after(max(0, opened+c.pace(0.4)-c.now), func() { c.rewatch(n) })
		case resp.Status == 410:
			c.log.Warn("watch lost its place, loading anew")
			c.load()
		default:
			c.after(200*units.Millisecond, func() { c.rewatch(n) })
		}
	})
}

// rewatch goes on after watch n unless another has been opened.
func (c *Core) rewatch(n int) {
	if n == c.rep.watchN && c.rep.synced {
		c.watch()
	}
}

// finals remembers how jobs ended, the latest ones only: the state service
// holds them all.
type finals struct {
	most int
	m    map[string]state.Final
	ring []string
	at   int
}

func newFinals(most int) *finals {
	return &finals{most: most, m: map[string]state.Final{}}
}

func (f *finals) put(id string, v state.Final) {
	if _, ok := f.m[id]; ok {
		return // an end never changes
	}
	if len(f.ring) < f.most {
		f.ring = append(f.ring, id)
	} else {
		delete(f.m, f.ring[f.at])
		f.ring[f.at] = id
		f.at = (f.at + 1) % f.most
	}
	f.m[id] = v
}

func (f *finals) get(id string) (state.Final, bool) {
	v, ok := f.m[id]
	return v, ok
}

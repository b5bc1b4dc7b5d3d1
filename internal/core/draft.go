package core

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"frostdock.example/frostdock/internal/intake"
	"frostdock.example/frostdock/internal/placement"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/state"
	"frostdock.example/frostdock/internal/units"
	"frostdock.example/frostdock/internal/workers"
)

// draft is a machine's document in the making.
type draft struct {
	m       *machine
	gap     // free room
	keep    []state.Task
	added   []state.Task
	bytes   int
	changed bool
	usable  bool
	fence   bool
	moveTo  int // partition that it is handed to, or -1
	live    int // tasks that may be active
	own     bool
	images  map[string]bool
	stops   map[taskKey]int // tasks that are to be stopped, and how
}

// batch gathers the changes of one partition into one transaction.
type batch struct {
	c      *Core
	o      *own
	mark   string
	drafts []*draft
	ops    int // operations that are still free
	size   int // bytes that are still free
	extra  []state.Op
	guards []state.Guard
	using  map[string]*usage
	saved  []savedRuns
	busy   map[int]bool // partitions with waiting tasks of their own
}

// savedRuns are task lengths that a commit makes part of the stored average.
type savedRuns struct {
	j     *job
	sum   units.Micros
	count int
}

type usage struct{ cpus, gpus float64 }

const (
	taskBytes  = 70 // an upper estimate of one task in a document
	headBytes  = 300
	txnBytes   = 56 << 10
	restFor    = 35 * units.Second // a service that started stays at least so long
	lastMoment = 3 * units.Second  // for a stop to be stored and carried out before a machine is taken
	keepTokens = 4                 // changes kept back for accepts, cancels and services
	maxHoles   = 200
	minAverage = units.Second
	firstGuess = 30 * units.Second // average task time while no job has shown any
)

// plan decides for one partition and writes what it decided; only when that is
// stored are the machines told.
func (c *Core) plan(p int) {
	o := c.owned[p]
	if o == nil || o.inflight || !c.usable(p) || c.stateBad || c.now < o.pauseTo || c.rep.watchRev < o.needRev || c.tokens < 1 || len(c.cloud.types) == 0 {
		return
	}
	b := &batch{c: c, o: o, mark: c.mark(), using: c.teamUsage(), size: txnBytes, busy: map[int]bool{}}
	for _, j := range c.rep.jobs {
		if j.known && !j.cancelled && j.part != p && !b.busy[j.part] && c.now >= j.retryAt && j.waiting() > 0 {
			b.busy[j.part] = true
		}
	}
	b.ops = min(c.cfg.Settings.State.TxnOps, int(c.tokens)-1) // one is kept back for accepts
	if b.ops < 1 {
		return
	}
	b.open()
	jobs := c.partJobs(p)
	c.placeServices(b, jobs)
	c.finishJobs(b)
	c.evacuate(b)
	b.releases()
	if c.tokens > keepTokens {
		b.ops = min(b.ops, int(c.tokens)-keepTokens)
		c.placeArrays(b, jobs)
		c.passOn(b)
		c.moveServices(b)
	}
	b.write()
}

func (c *Core) partJobs(p int) []*job {
	var out []*job
	for _, j := range c.sortedJobs() {
		if j.known && j.part == p {
			out = append(out, j)
		}
	}
	return out
}

// takesWork reports whether a machine of this node may be given tasks.
func (c *Core) takesWork(m *machine) bool {
	rt := m.rt
	return rt.heardAt > 0 && c.now-rt.heardAt < 2*c.cfg.Settings.Report()+units.Second && !rt.noticed && !rt.sick && !rt.draining &&
		rt.seen == c.token(m) && !rt.unclear
}

// foreignOpen reports whether the owner of another partition's machine says
// that it takes work, and which images are there.
func (c *Core) foreignOpen(m *machine) ([]string, bool) {
	p := c.rep.parts[m.doc.Part]
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

// open drafts every machine as it stands. A partition puts tasks of its own
// teams on any machine, by writing them into the machine's document; the
// machine's owner sees that and gives the commands. So a team's limit is still
// kept in one place, and each machine still has one commander.
func (b *batch) open() {
	c := b.c
	valueMax := int(c.cfg.Settings.State.ValueKB*1024) - 100
	for _, m := range c.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.doc.Part < 0 || c.writing[state.Machines+m.name] {
			continue
		}
		d := &draft{m: m, gap: gap{t.CPUs, t.GPUs, t.MemGB}, bytes: valueMax - headBytes, moveTo: -1, images: map[string]bool{}, stops: map[taskKey]int{}}
		if m.doc.Part == b.o.n {
			if m.rt == nil {
				continue
			}
			d.own, d.usable = true, c.takesWork(m)
			for i := range m.rt.images {
				d.images[i] = true
			}
		} else {
			images, open := c.foreignOpen(m)
			if m.rt != nil { // this node owns that partition as well
				open = c.usable(m.doc.Part) && c.takesWork(m)
				images = slices.Collect(maps.Keys(m.rt.images))
			}
			if !open {
				continue
			}
			d.usable = true
			for _, i := range images {
				d.images[i] = true
			}
		}
		b.fill(d)
		b.drafts = append(b.drafts, d)
	}
}

// fill takes from a draft's room what may be on the machine.
func (b *batch) fill(d *draft) {
	c, m, rt := b.c, d.m, d.m.rt
	for _, task := range m.doc.Tasks {
		j := c.rep.jobs[task.Job]
		over := j == nil || !j.known || j.done.Has(task.Num)
		active := !over
		if d.own {
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
		if !over || !d.own {
			d.keep = append(d.keep, task)
			d.bytes -= taskBytes
		}
		if active {
			d.live++
			d.gap.fill(&j.spec, 1)
		}
	}
	if !d.own {
		return
	}
	for k, piece := range rt.pieces { // tasks that nobody lists take room until they are gone
		if piece.State != workers.Ended && !m.lists(k) {
			if j := c.rep.jobs[k.job]; j != nil && j.known {
				d.gap.fill(&j.spec, 1)
			}
			d.live++
		}
	}
}

func (m *machine) lists(k taskKey) bool {
	for _, t := range m.doc.Tasks {
		if keyOf(t) == k {
			return true
		}
	}
	return false
}

// teamUsage is what each team's tasks take: whatever may be running, returned
// machines, doubt and writes under way included.
func (c *Core) teamUsage() map[string]*usage {
	using := map[string]*usage{}
	for _, j := range c.rep.jobs {
		for n := range j.bound {
			if j.known && !j.isDone(n) {
				addUse(using, &j.spec)
			}
		}
	}
	return using
}

func addUse(using map[string]*usage, s *state.Job) {
	u := using[s.Team]
	if u == nil {
		u = &usage{}
		using[s.Team] = u
	}
	u.cpus += s.CPUs
	u.gpus += s.GPUs
}

// room reports whether another changed machine still fits into the batch.
func (b *batch) room(d *draft) bool {
	return d.changed || b.ops > 0 && b.size > headBytes+(len(d.keep)+1)*taskBytes
}

func (b *batch) touch(d *draft) {
	if !d.changed {
		d.changed = true
		b.ops--
		b.size -= headBytes + len(d.keep)*taskBytes
	}
}

// underLimit keeps the team's limit, counting everything that may be running.
func (b *batch) underLimit(j *job) bool {
	t := b.c.team(j.spec.Team)
	if t == nil {
		return false
	}
	u := b.using[j.spec.Team]
	if u == nil {
		u = &usage{}
	}
	return (t.CPUsMax <= 0 || u.cpus+j.spec.CPUs <= t.CPUsMax+1e-9) && (t.GPUsMax <= 0 || u.gpus+j.spec.GPUs <= t.GPUsMax+1e-9)
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
		if j.isDone(n) {
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
	return d.holds(&j.spec) && d.bytes >= taskBytes
}

// choose finds the best machine for a task of j: one that has the image, and
// of those the fullest, so that large gaps stay whole.
func (b *batch) choose(j *job) *draft {
	c := b.c
	var best *draft
	bestScore := math.Inf(-1)
	for _, d := range b.drafts {
		if !d.usable || !d.fits(j) || !b.c.allowed(j, d.m) || !b.room(d) {
			continue
		}
		if !d.own && !j.spec.Service && b.busy[d.m.doc.Part] {
			continue // its own jobs wait for that room
		}
		score := -d.cpus
		if d.images[j.spec.Image] && j.spec.Service {
			score += 1000
		} else if d.images[j.spec.Image] {
			score += 120
		}
		if d.own {
			score += 70
		}
		// What lasts goes on machines that stay, so that rented ones fall idle
		// and can be given back; what ends soon leaves the others free.
		switch {
		case j.spec.Service && !c.rented(d.m.name):
			score += 300
		case !j.spec.Service && d.m.doc.Spot:
			score += 300
		case !j.spec.Service && c.rented(d.m.name):
			score += 150
		}
		if d.changed {
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
	b.touch(d)
	b.o.seq++
	// Attempts only grow: the epoch does with every take-over, the count within one.
	t := state.Task{Job: j.id, Num: n, Attempt: b.o.epoch<<28 | b.o.seq}
	d.added = append(d.added, t)
	d.gap.fill(&j.spec, 1)
	d.bytes -= taskBytes
	d.live++
	b.size -= taskBytes
	addUse(b.using, &j.spec)
	j.bound[n] = bind{d.m, t.Attempt} // taken back if the batch is not stored
}

// placeServices puts services first, whole as far as room goes, and makes room
// by stopping work of lower grade.
func (c *Core) placeServices(b *batch, jobs []*job) {
	for _, j := range jobs {
		if !j.spec.Service || j.cancelled || c.now < j.retryAt {
			continue
		}
		for n := 0; n < j.spec.Tasks; n++ {
			if _, ok := j.bound[n]; ok {
				continue
			}
			if !b.underLimit(j) {
				break
			}
			d := b.choose(j)
			lower := func(v *job) bool { return v.spec.Grade < j.spec.Grade }
			if d != nil && !d.images[j.spec.Image] && c.fetchTooSlow(j, d.m) && c.preempt(b, j, n, true, lower) {
				continue
			}
			if d != nil {
				b.put(d, j, n)
			} else if !c.preempt(b, j, n, false, lower) {
				break
			}
		}
	}
}

// fetchTooSlow reports whether fetching the image on m would take longer than
// the class may wait for its start.
func (c *Core) fetchTooSlow(j *job, m *machine) bool {
	t := c.machineType(m.doc.Type)
	for _, o := range c.cfg.Settings.Objectives {
		if o.Kind == "wait" && o.Class == j.spec.Class && t != nil && t.FetchGBs > 0 {
			return j.spec.ImageGB/t.FetchGBs > o.WithinS*0.8
		}
	}
	return false
}

// preempt puts task n of j in the place of others: it enters it on the machine
// where least is lost, together with the stops that make room for it, so that
// nobody else takes that room. With needImage only machines that have its image
// count. Victims must be eligible. It reports whether a place was found.
func (c *Core) preempt(b *batch, j *job, n int, needImage bool, eligible func(*job) bool) bool {
	var best *draft
	var victims []taskKey
	bestLoss := math.Inf(1)
	for _, d := range b.drafts {
		if !d.usable || !c.allowed(j, d.m) || d.bytes < taskBytes || !b.room(d) || needImage && !d.images[j.spec.Image] {
			continue
		}
		g := d.gap
		loss := 0.0
		var vs []taskKey
		for try := g; !try.take(&j.spec); try = g {
			k, cost, ok := c.cheapest(d, eligible, vs)
			if !ok {
				loss = math.Inf(1)
				break
			}
			v := &c.rep.jobs[k.job].spec
			vs = append(vs, k)
			g.fill(v, -1)
			loss += cost
		}
		if !d.images[j.spec.Image] {
			loss += 60
		}
		if !d.own {
			loss += 10
		}
		if j.spec.Service && c.rented(d.m.name) {
			loss += 30
		}
		if loss < bestLoss {
			best, bestLoss, victims = d, loss, vs
		}
	}
	if best == nil {
		return false
	}
	for _, k := range victims {
		best.stops[k] = state.StopNow
		best.gap.fill(&c.rep.jobs[k.job].spec, -1)
		c.log.Info("preempt", "task", k.task(), "machine", best.m.name, "for", j.id, "partition", b.o.n)
	}
	b.put(best, j, n)
	return true
}

// cheapest finds the eligible task on d that loses least when it is stopped.
func (c *Core) cheapest(d *draft, eligible func(*job) bool, not []taskKey) (taskKey, float64, bool) {
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
		j := c.rep.jobs[t.Job]
		if j == nil || !j.known || !c.wanted(t) || d.stops[k] > 0 || !eligible(j) {
			continue
		}
		cost := 0.0
		if d.m.rt == nil {
			cost = 20 // what it has done is known to its owner only
		} else if run, ok := d.m.rt.runs[k]; ok {
			cost = (c.now - run.at).Seconds()
			if j.spec.CkptS > 0 {
				cost = min(cost, j.spec.CkptS)
			}
		}
		cost += float64(j.spec.Grade) * 1000
		if !found || cost < bestCost {
			best, bestCost, found = k, cost, true
		}
	}
	return best, bestCost, found
}

// finishJobs stores progress and ends: of all jobs with tasks that completed
// on this node's machines, and it clears cancelled jobs of the partition.
func (c *Core) finishJobs(b *batch) {
	for _, j := range c.sortedJobs() {
		// Partitions of one node share what it saw: only one of them writes it.
		if !j.known || c.writing[state.Progress+j.id] || c.writing[state.Finals+j.id] {
			continue
		}
		if j.cancelled {
			if j.part == b.o.n && len(j.bound) == 0 && b.ops >= 3 {
				b.clear(j)
				b.op(state.Op{Delete: state.Cancels + j.id}, c.rep.stamps[state.Cancels+j.id])
			}
			continue
		}
		full := j.doneCount() == j.spec.Tasks
		switch {
		case full && (len(j.extra) > 0 || j.part == b.o.n) && b.ops >= 3:
			f := state.Final{Stage: Done, Done: j.spec.Tasks, Mark: b.mark}
			// Whoever writes the end first decides between done and cancelled.
			b.op(state.Op{Set: state.Finals + j.id, Value: encode(f)}, 0)
			b.clear(j)
		case !full && len(j.extra) > 0 && b.ops >= 1:
			set := j.done
			for n := range j.extra {
				set = set.With(n)
			}
			avg, of := j.average()
			doc := state.Done{Ranges: set.String(), AvgS: avg.Seconds(), Of: of, Mark: b.mark}
			b.op(state.Op{Set: state.Progress + j.id, Value: encode(doc)}, j.doneStamp)
			b.saved = append(b.saved, savedRuns{j, j.runSum, j.runCount})
		}
	}
}

func (b *batch) op(op state.Op, stamp uint64) {
	key := op.Set
	if key == "" {
		key = op.Delete
	}
	b.extra = append(b.extra, op)
	b.guards = append(b.guards, state.Guard{Key: key, Stamp: stamp})
	b.ops--
	b.size -= len(op.Value) + 100
}

// clear removes a job that is over from the active keys.
func (b *batch) clear(j *job) {
	b.op(state.Op{Delete: state.Jobs + j.id}, b.c.rep.stamps[state.Jobs+j.id])
	if j.doneStamp > 0 {
		b.op(state.Op{Delete: state.Progress + j.id}, j.doneStamp)
	}
}

// releases writes machines whose entries stand in the way: tasks to be placed
// anew, and unclear commands to be fenced.
func (b *batch) releases() {
	c := b.c
	for _, d := range b.drafts {
		if !d.own {
			continue
		}
		rt := d.m.rt
		if rt.unclear && rt.heardAt > 0 && c.now-rt.heardAt < c.cfg.Settings.Report()*2 && rt.unTok == c.token(d.m) && b.room(d) {
			d.fence = true
			b.touch(d)
		}
		if len(d.keep) == len(d.m.doc.Tasks) || d.changed {
			continue
		}
		kept := make(map[taskKey]bool, len(d.keep))
		for _, t := range d.keep {
			kept[keyOf(t)] = true
		}
		for _, t := range d.m.doc.Tasks {
			if j := c.rep.jobs[t.Job]; !kept[keyOf(t)] && j != nil && j.known && !j.done.Has(t.Num) && b.room(d) {
				b.touch(d)
				break
			}
		}
		if !d.changed && d.bytes < 2*taskBytes && b.room(d) {
			b.touch(d)
		}
	}
}

// average is the job's mean task time as observed, and of how many tasks; zero
// if nothing is known.
func (j *job) average() (units.Micros, int) {
	n := j.avgOf + j.runCount
	if n == 0 {
		return 0, 0
	}
	return max(minAverage, (j.avg*units.Micros(j.avgOf)+j.runSum)/units.Micros(n)), n
}

// placeArrays is hSRTF-Pr: jobs in order of remaining time, each up to its
// share, and what is left over to whoever can use it in the same order.
func (c *Core) placeArrays(b *batch, jobs []*job) {
	room := 0.0
	for _, d := range b.drafts {
		if d.usable && d.own {
			room += d.cpus
		}
	}
	var active []*job
	sum, known := units.Micros(0), 0
	average := map[*job]units.Micros{}
	running := map[*job]int{}
	for _, j := range jobs {
		if j.spec.Service || j.cancelled {
			continue
		}
		for n := range j.bound {
			if !j.isDone(n) {
				running[j]++
			}
		}
		room += float64(running[j]) * j.spec.CPUs
		if average[j] = c.observed(j); average[j] > 0 {
			sum += average[j]
			known++
		}
		active = append(active, j)
	}
	if len(active) == 0 {
		return
	}
	borrowed := firstGuess
	if known > 0 {
		borrowed = sum / units.Micros(known)
	}
	if c.now-b.o.refresh >= c.pol.Refresh {
		b.o.refresh = c.now
		for _, j := range active {
			j.share = 0
		}
	}
	list := make([]placement.Job, 0, len(active))
	byID := map[string]*job{}
	for _, j := range active {
		avg := average[j]
		if avg == 0 {
			avg = borrowed
		}
		cap := 0
		for _, d := range b.drafts {
			if t := c.machineType(d.m.doc.Type); d.usable && d.own && t != nil && intake.Fits(&j.spec, t) {
				cap += int(t.CPUs / j.spec.CPUs)
			}
		}
		list = append(list, placement.Job{
			ID: j.id, Total: j.spec.Tasks, Unfinished: j.spec.Tasks - j.doneCount(), Capacity: max(cap/len(active), 1), Average: avg,
			Age: units.Micros(max(0, int64(c.wall)-j.spec.At)), PerTask: j.spec.CPUs, Share: j.share,
			Weight: c.weight(j),
		})
		byID[j.id] = j
	}
	results := placement.Shares(list, room)
	for pass := 0; pass < 2; pass++ {
		for _, r := range results {
			j := byID[r.ID]
			j.share = r.Share
			if c.now < j.retryAt {
				continue
			}
			most := j.spec.Tasks
			if pass == 0 {
				most = max(1, int(r.Share/j.spec.CPUs+1e-9))
			}
			if j.failures >= 3 {
				most = 1 // it fails wherever it runs: try one task at a time
			}
			for n := j.next(0); n >= 0 && running[j] < most && b.ops >= 0; n = j.next(n + 1) {
				if !b.underLimit(j) {
					break
				}
				if d := b.choose(j); d != nil {
					b.put(d, j, n)
				} else if !c.recall(b, j, n) {
					break
				}
				running[j]++
			}
		}
	}
}

var gradeNames = [...]string{"best_effort", "standard", "urgent", "production"}

// weight is what the operators' script says of a job.
func (c *Core) weight(j *job) float64 {
	age := max(0, c.wall-units.Micros(j.spec.At))
	due := 0.0
	if j.spec.DueS > 0 {
		due = j.spec.DueS - age.Seconds()
	}
	w, err := c.pol.Weight(policy.Job{Class: j.spec.Class, Grade: gradeNames[j.spec.Grade], Tasks: j.spec.Tasks, AgeS: age.Seconds(), DueInS: due})
	if err != nil && c.every("weight", units.Second*60) {
		c.log.Warn("policy gives no weight, using 1", "job", j.id, "err", err)
	}
	return w
}

// recall gives a team its guarantee: it takes the room back from work that
// other teams run beyond theirs.
func (c *Core) recall(b *batch, j *job, n int) bool {
	if !b.within(j.spec.Team, j.spec.CPUs, j.spec.GPUs) {
		return false
	}
	return c.preempt(b, j, n, false, func(v *job) bool {
		return v.spec.Team != j.spec.Team && !b.within(v.spec.Team, 0, 0)
	})
}

// within reports whether a team stays inside its guarantee with so much more.
func (b *batch) within(team string, cpus, gpus float64) bool {
	t := b.c.team(team)
	u := b.using[team]
	if u == nil {
		u = &usage{}
	}
	return t != nil && u.cpus+cpus <= t.CPUs+1e-9 && u.gpus+gpus <= t.GPUs+1e-9
}

func (j *job) doneCount() int {
	return j.done.Len() + len(j.extra)
}

// next is the first task from n on that is neither done nor bound, or -1.
// Tasks are taken in order, so that the ranges of done ones stay few.
func (j *job) next(n int) int {
	if j.done.Ranges()+len(j.extra) > maxHoles {
		return -1
	}
	// All before the first gap are done: in an array of 100,000 that is most.
	for n = max(n, j.done.Missing()); n < j.spec.Tasks; n++ {
		if _, ok := j.bound[n]; !ok && !j.isDone(n) {
			return n
		}
	}
	return -1
}

// observed is a job's average task time: finished tasks, with running ones'
// elapsed time as a lower bound.
func (c *Core) observed(j *job) units.Micros {
	avg, _ := j.average()
	if avg == 0 {
		return 0
	}
	var over, late units.Micros
	for n, b := range j.bound {
		if b.m.rt == nil {
			continue
		}
		if run, ok := b.m.rt.runs[taskKey{j.id, n, b.attempt}]; ok && c.now-run.at > avg {
			over += c.now - run.at - avg
			late++
		}
	}
	// The late ones count with what they have taken so far, as if they ended now.
	return avg + over/(units.Micros(j.doneCount())+late+1)
}

// waiting counts the tasks that are neither done nor bound.
func (j *job) waiting() int {
	n := j.spec.Tasks - j.doneCount()
	for t := range j.bound {
		if !j.isDone(t) {
			n--
		}
	}
	return max(0, n)
}

// stir sends a machine its orders when its document has changed.
func (c *Core) stir(m *machine) {
	c.poke(m)
}

// shortfall is a job with the tasks that find no room in its partition.
type shortfall struct {
	j *job
	n int
}

// shortfalls fits the waiting tasks of every partition into the free room of
// its machines, as far as can be told from what is stored, and returns what is
// left over. Jobs of higher grade go first. With anywhere, the machines of all
// partitions count for every job, as they do for what must be rented.
func (c *Core) shortfalls(anywhere bool) []shortfall {
	type hole struct {
		m *machine
		gap
	}
	gaps := map[int][]*hole{}
	for _, m := range c.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.doc.Part < 0 || m.rt != nil && (m.rt.noticed || m.rt.sick) {
			continue
		}
		g := &hole{m, gap{t.CPUs, t.GPUs, t.MemGB}}
		for _, task := range m.doc.Tasks {
			if j := c.unstored(task); j != nil {
				g.fill(&j.spec, 1)
			}
		}
		p := m.doc.Part
		if anywhere {
			p = 0
		}
		gaps[p] = append(gaps[p], g)
	}
	var out []shortfall
	using := c.teamUsage()
	jobs := c.sortedJobs()
	for grade := 3; grade >= 0; grade-- {
		for _, j := range jobs {
			if !j.known || j.cancelled || j.spec.Grade != grade || c.now < j.retryAt {
				continue
			}
			n := j.waiting()
			if n == 0 {
				continue
			}
			n = min(n, c.quotaRoom(j, using))
			p := j.part
			if anywhere {
				p = 0
			}
			for _, g := range gaps[p] {
				if n == 0 {
					break
				}
				if !c.allowed(j, g.m) {
					continue
				}
				k := int(min(g.cpus/j.spec.CPUs, float64(n)) + 1e-9)
				if j.spec.GPUs > 0 {
					k = min(k, int(g.gpus/j.spec.GPUs+1e-9))
				}
				if j.spec.MemGB > 0 {
					k = min(k, int(g.mem/j.spec.MemGB+1e-9))
				}
				if k <= 0 {
					continue
				}
				g.fill(&j.spec, float64(k))
				n -= k
			}
			if n > 0 {
				out = append(out, shortfall{j, n})
			}
		}
	}
	return out
}

// quotaRoom is how many more tasks of j its team's limit allows at once.
func (c *Core) quotaRoom(j *job, using map[string]*usage) int {
	t := c.team(j.spec.Team)
	if t == nil || t.CPUsMax <= 0 {
		return j.spec.Tasks
	}
	used := 0.0
	if u := using[j.spec.Team]; u != nil {
		used = u.cpus
	}
	return max(0, int((t.CPUsMax-used)/j.spec.CPUs+1e-9))
}

// evacuate saves what can be saved on machines that the cloud is about to take
// back: services leave at once, tasks with checkpoints as late as they can.
// Others run on, since they may complete in time.
func (c *Core) evacuate(b *batch) {
	for _, d := range b.drafts {
		if !d.own || !d.m.rt.noticed {
			continue
		}
		left := d.m.rt.noticeAt - c.now
		for _, t := range d.keep {
			j := c.rep.jobs[t.Job]
			if j == nil || !c.wanted(t) || !b.room(d) {
				continue
			}
			if j.spec.Service || j.spec.CkptS > 0 && left < units.FromSeconds(j.spec.SaveS)+lastMoment {
				b.touch(d)
				d.stops[keyOf(t)] = state.StopSave
			}
		}
	}
}

// moveServices takes services off machines that are to be given back, where
// another machine has their image and room, so that they are away for a moment
// only. Those that have just started stay for now.
func (c *Core) moveServices(b *batch) {
	if !c.every("move"+strconv.Itoa(b.o.n), 500*units.Millisecond) {
		return
	}
	moves := 0
	for _, d := range b.drafts {
		if !d.own || !d.m.rt.draining || !c.settled(d.m) {
			continue
		}
		for _, t := range d.keep {
			j := c.rep.jobs[t.Job]
			k := keyOf(t)
			run, runs := d.m.rt.runs[k]
			if j == nil || !j.known || !j.spec.Service || !c.wanted(t) || !runs || c.now-run.at < restFor || !b.room(d) {
				continue
			}
			delete(j.bound, t.Num) // it does not stand in its own way
			to := b.choose(j)
			j.bound[t.Num] = bind{d.m, t.Attempt}
			if to == nil || !to.images[j.spec.Image] || c.rented(to.m.name) && to.live == 0 {
				continue
			}
			b.touch(d)
			d.stops[k] = state.StopNow
			to.cpus, to.mem = to.cpus-j.spec.CPUs, to.mem-j.spec.MemGB
			c.log.Info("move service", "task", k.task(), "from", d.m.name, "to", to.m.name)
			if moves++; moves >= 2 {
				return
			}
		}
	}
}

// passOn hands idle machines to the partitions that lack room.
func (c *Core) passOn(b *batch) {
	if !c.every("pass"+strconv.Itoa(b.o.n), 500*units.Millisecond) {
		return
	}
	short := c.shortfalls(false)
	lack := map[int]float64{}
	for _, s := range short {
		lack[s.j.part] += float64(s.n) * s.j.spec.CPUs
	}
	for _, d := range b.drafts {
		if !d.own || !d.usable || d.changed || d.live > 0 || len(d.keep) > 0 || !c.settled(d.m) || !b.room(d) {
			continue
		}
		t := c.machineType(d.m.doc.Type)
		to := -1
		for _, s := range short {
			if s.j.part == b.o.n && lack[b.o.n] > 0 && c.allowed(s.j, d.m) {
				to = -1 // needed here
				break
			}
			if s.j.part != b.o.n && lack[s.j.part] > 0 && intake.Fits(&s.j.spec, t) && c.allowed(s.j, d.m) && (to < 0 || lack[s.j.part] > lack[to]) {
				to = s.j.part
			}
		}
		if to < 0 {
			continue
		}
		d.moveTo = to
		b.touch(d)
		lack[to] -= t.CPUs
		c.log.Info("pass machine on", "machine", d.m.name, "from", b.o.n, "to", to)
	}
}

// write commits the batch, and tells the machines once it is stored.
func (b *batch) write() {
	c, o := b.c, b.o
	txn := &state.Txn{Guards: append([]state.Guard{{Key: state.PartKey(o.n), Stamp: o.stamp}}, b.guards...), Apply: b.extra}
	var changed []*draft
	for _, d := range b.drafts {
		if !d.changed {
			continue
		}
		doc := d.m.doc
		doc.Tasks = append(append([]state.Task{}, d.keep...), d.added...)
		for i, t := range doc.Tasks {
			doc.Tasks[i].Stop = max(t.Stop, d.stops[keyOf(t)])
		}
		doc.Mark = b.mark
		if d.fence {
			doc.Handover++
		}
		if d.moveTo >= 0 {
			doc.Part = d.moveTo
			doc.Handover++
		}
		if d.own {
			d.m.rt.leaving = map[taskKey]bool{}
			for _, t := range d.m.doc.Tasks {
				d.m.rt.leaving[keyOf(t)] = true
			}
			for _, t := range d.keep {
				delete(d.m.rt.leaving, keyOf(t))
			}
		}
		key := state.Machines + d.m.name
		txn.Guards = append(txn.Guards, state.Guard{Key: key, Stamp: d.m.stamp})
		txn.Apply = append(txn.Apply, state.Op{Set: key, Value: encode(doc)})
		changed = append(changed, d)
	}
	undo := func() {
		for _, d := range changed {
			for _, t := range d.added {
				if j := c.rep.jobs[t.Job]; j != nil {
					if x, ok := j.bound[t.Num]; ok && x.m == d.m && x.attempt == t.Attempt && !d.m.lists(keyOf(t)) {
						delete(j.bound, t.Num)
					}
				}
			}
		}
	}
	if len(txn.Apply) == 0 {
		return
	}
	o.inflight = true
	for _, op := range txn.Apply {
		c.writing[op.Set+op.Delete] = true
	}
	c.commit(txn, b.mark, func(res outcome, rev uint64, failed []string) {
		for _, op := range txn.Apply {
			delete(c.writing, op.Set+op.Delete)
		}
		for _, d := range changed {
			if d.m.rt != nil {
				d.m.rt.leaving = nil
			}
		}
		o.inflight = false
		c.dirty = true
		if res != committed {
			undo()
			o.pauseTo = c.now + 100*units.Millisecond
			if res == conflict {
				o.needRev = rev // the replica must first show what failed it
				c.log.Info("batch conflicts", "partition", o.n, "failed", failed)
			}
			return
		}
		for _, r := range b.saved {
			r.j.runSum -= r.sum
			r.j.runCount -= r.count
		}
	})
}

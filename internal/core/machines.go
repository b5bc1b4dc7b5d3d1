package core

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/state"
	"frostdock.example/frostdock/internal/units"
	"frostdock.example/frostdock/internal/workers"
)

// machine is one machine: its stored document, and rt, what its owner has
// learnt of it since it became the owner.
type machine struct {
	name  string
	g     *group
	doc   state.Machine
	rt    *runtime
	gone  bool    // the cloud has confirmed its deletion: the entry may go
	views [2]view // kept for plans: as somebody else sees it, and as its commander does

	enteredAt map[taskKey]units.Micros // when each task of its entry was first seen there
}

// part is the partition that commands the machine; -1 when it is retired:
// nobody answers for it any more.
func (m *machine) part() int {
	if m.doc.Retired {
		return -1
	}
	return m.g.part
}

type taskKey struct {
	job     string
	num     int
	attempt uint64
}

func keyOf(t state.Task) taskKey { return taskKey{t.Job, t.Num, t.Attempt} }

func (k taskKey) task() string { return k.job + "/" + strconv.Itoa(k.num) }

// runtime is the owner's volatile view of a machine.
type runtime struct {
	owner    *own
	session  uint64
	seq      uint64
	seen     uint64       // highest token that a report has shown
	heardAt  units.Micros // latest new report or direct answer; 0: none yet
	contact  units.Micros // since when it has been heard without a gap
	answered units.Micros // when a report of it was last answered
	steady   units.Micros // since when they have been, without a gap of a lease
	since    units.Micros
	leaseEnd units.Micros // when its session is over for certain if it stays silent

	launchAt units.Micros // when a report was last answered with a launch, and no later report has come; 0: none

	out     int    // direct commands without an answer yet
	unclear bool   // a direct command got no answer: it may be carried out late
	unTok   uint64 // under this token
	unSess  uint64 // in this session

	pieces   map[taskKey]workers.Piece
	runs     map[taskKey]runMark
	images   map[string]units.Micros
	noticed  bool
	noticeAt units.Micros
	ended    map[taskKey]int // tasks seen to complete: 1 plus the tenths of a second that each ran
	errors   map[string]bool // jobs with a task that failed here
	toldTok  uint64          // token of the latest answer
	unheard  int             // reports in a row that show that answers do not arrive
	probing  bool
	probeAt  units.Micros
	probeBad units.Micros // when a probe last failed
	failed   int          // probes in a row that failed, with no report between
	sick     bool
	sickAt   units.Micros // since when
	idleAt   units.Micros
	leaving  map[taskKey]bool // entries that a write under way takes off the document
	draining bool             // takes no new work, so that it can be given back
	urgent   bool             // it is deleted before that is written down
	retire   string           // why it is to be given back; empty: it is not
}

type runMark struct {
	at    units.Micros
	exact bool // seen to start, so the length can be known
}

// margin on top of a lease for drift of the steady clocks and for messages
// under way when the answer was given.
func leaseMargin(l units.Micros) units.Micros { return l/500 + units.Second }

// acquire begins a new view of a machine. Another owner may have answered it
// until it had to stop doing so, one AnswerBound after its last proof.
func (c *Core) acquire(m *machine, o *own) {
	l := c.cfg.Settings.Lease()
	m.touch()
	m.rt = &runtime{
		owner: o, since: c.now, contact: c.now, idleAt: c.now,
		leaseEnd: c.now + c.cfg.Settings.AnswerBound() + l + leaseMargin(l),
		pieces:   map[taskKey]workers.Piece{}, runs: map[taskKey]runMark{},
		images: map[string]units.Micros{}, errors: map[string]bool{}, ended: map[taskKey]int{},
	}
	c.inspect(m)
}

// token strictly grows with every handover of the machine and every take-over
// of its partition.
func (c *Core) token(m *machine) uint64 {
	p := c.rep.parts[m.g.part]
	if p == nil {
		return 0
	}
	return (m.g.handover+m.doc.Handover)<<31 | p.doc.Epoch
}

// settled reports whether no command that could still surprise is under way:
// the machine has seen the current token, no direct command is unanswered, and no launch
// is on its way in the answer to a report. Only then does absence from a report prove that
// a task is not there.
func (c *Core) settled(m *machine) bool {
	rt := m.rt
	return rt.heardAt > 0 && rt.seen == c.token(m) && rt.out == 0 && !rt.unclear && c.now > rt.launchOver()
}

// answerLife is how long after it was given a worker may still act on the answer to a
// report, with some time for the drift of the clocks.
const answerLife = 4*units.Second + 50*units.Millisecond

// launchOver is until when a launch that was given in the answer to a report may arrive. A
// worker sends its next report only when it has that answer, or waits for it no more. A task
// whose launch was held up on its way was once taken to be free, since the machine's direct
// answers did not show it, and ran on two machines.
func (rt *runtime) launchOver() units.Micros {
	if rt.launchAt == 0 {
		return 0
	}
	return rt.launchAt + answerLife
}

// report answers a worker.
func (c *Core) report(q ReportReq) {
	r := &q.Report
	if !c.rep.synced || r.Machine == "" {
		c.reply(q.To, 503, nil)
		return
	}
	m := c.rep.machines[r.Machine]
	if m == nil {
		c.newcomer(q)
		return
	}
	if m.doc.Retired { // nobody answers for it any more
		c.reply(q.To, 421, workers.Redirect{})
		return
	}
	if c.owned[m.g.part] == nil {
		c.heard[r.Machine] = c.now
		c.reply(q.To, 421, workers.Redirect{To: c.ownerOf(m.g.part)})
		return
	}
	tok := c.token(m)
	if r.Token > tok || m.rt == nil {
		// Somebody newer commands it. A 200 from here would be dropped and the
		// machine held at this node while its lease runs out.
		c.reply(q.To, 421, workers.Redirect{})
		return
	}
	if !c.usable(m.g.part) {
		c.reply(q.To, 503, nil)
		return
	}
	if r.Newer(m.rt.session, m.rt.seq) { // a late copy is no sign of life
		c.heard[r.Machine] = c.now
		c.listens(m, r, tok)
		if c.now-m.rt.answered > c.cfg.Settings.Lease() {
			m.rt.steady = c.now
		}
		m.rt.answered = c.now
		m.rt.launchAt = 0
	}
	c.observe(m, r)
	l := c.cfg.Settings.Lease()
	m.rt.leaseEnd = max(m.rt.leaseEnd, c.now+l+leaseMargin(l))
	orders := c.orders(m)
	if slices.ContainsFunc(orders, func(o workers.Order) bool { return o.Op == workers.Launch }) {
		m.rt.launchAt = c.now
	}
	c.reply(q.To, 200, workers.Answer{Token: tok, Orders: orders})
}

// steady reports whether the machine's reports have come, and been answered, for so
// long without a gap.
func (c *Core) steady(m *machine, long units.Micros) bool {
	return c.now-m.rt.answered < 2*c.cfg.Settings.Report()+units.Second && c.now-m.rt.steady > long
}

// mute reports whether a machine answers what it is asked while none of its reports
// has come for longer than a lease. Direct commands renew no lease, so all that it
// is given ends with its session, again and again.
func (c *Core) mute(m *machine) bool {
	heard := max(m.rt.answered, m.rt.contact, c.entitledAt)
	return c.now-heard > c.cfg.Settings.Lease()+2*c.cfg.Settings.Report()
}

// deafAfter is how many reports in a row may show that the answers before them
// were lost. Fewer may be the luck of a bad network.
const deafAfter = 3

// listens notices a machine whose reports arrive while nothing reaches it: it
// looks alive, but its lease runs out and takes its tasks with it, and what it
// is told to stop goes on until then.
func (c *Core) listens(m *machine, r *workers.Report, tok uint64) {
	rt := m.rt
	switch {
	case rt.session > 0 && r.Session > rt.session && c.now-rt.answered < c.cfg.Settings.Lease() && c.now-rt.steady > c.cfg.Settings.Lease():
		// Its lease ran out though its reports came, and were answered, for all that
		// time. After a cut they may come all at once, or only the new session, which
		// says nothing.
		rt.unheard = deafAfter
	case r.Token >= tok:
		rt.unheard = 0
	case rt.toldTok == tok:
		rt.unheard++ // an earlier answer had this token, and it has not seen it
	}
	rt.toldTok = tok
}

// ownerOf names the member that owns a partition, if it lives and is another.
func (c *Core) ownerOf(part int) string {
	if p := c.rep.parts[part]; p != nil && c.ownerAlive(p) && p.doc.Member != c.cfg.Member {
		return p.doc.Member
	}
	return ""
}

// newcomer is a machine that nobody knows: one that was there at the start, or
// came of a rental whose answer was lost or late. The owner of its group's
// partition enters it. First the machine itself must answer: a report may be a
// late copy from a machine that is long gone, and must not bring it back.
func (c *Core) newcomer(q ReportReq) {
	r := &q.Report
	c.heard[r.Machine] = c.now
	g := c.rep.groupOf(r.Machine)
	if c.owned[g.part] == nil {
		c.reply(q.To, 421, workers.Redirect{To: c.ownerOf(g.part)})
		return
	}
	if !c.usable(g.part) || c.stateBad {
		c.reply(q.To, 503, nil)
		return
	}
	if e := c.entering[r.Machine]; e != nil { // it came back: the earlier request is no longer waited for
		c.letGo(e)
		e.q, e.at, e.waits = q, c.now, true
		return
	}
	e := &entry{q: q, at: c.now, waits: true}
	c.entering[r.Machine] = e
	id := c.id()
	c.cmdCalls[id] = func(d WorkerDone) {
		if c.entering[r.Machine] != e {
			return
		}
		if d.Report == nil || d.Report.Machine != r.Machine {
			delete(c.entering, r.Machine)
			c.letGo(e)
			return
		}
		e.answered = true
		e.token = max(d.Report.Token, r.Token)
		c.dirty = true
	}
	c.out = append(c.out, WorkerCall{ID: id, Addr: r.Addr})
}

// entry is a machine that is about to be entered.
type entry struct {
	q        ReportReq
	at       units.Micros // when it last reported
	waits    bool         // its report is not answered yet
	answered bool
	token    uint64 // the highest that it has seen
}

// entryWait is how long a newcomer's report may wait for its entry. Its entry is
// written all the same for a while: a thousand machines that report at once need
// more writes than can be made before they give up, and each would begin anew.
const (
	entryWait = 3500 * units.Millisecond
	entryKept = 20 * units.Second
)

// letGo answers a newcomer's report that is still waiting: it may come again.
func (c *Core) letGo(e *entry) {
	if e.waits {
		e.waits = false
		c.reply(e.q.To, 503, nil)
	}
}

// entered answers newcomers whose entry is stored, and those that wait too long.
func (c *Core) entered() {
	for _, name := range slices.Sorted(maps.Keys(c.entering)) {
		e := c.entering[name]
		switch {
		case c.rep.machines[name] != nil:
			delete(c.entering, name)
			if e.waits {
				c.report(e.q)
			}
		case c.now-e.at > entryKept:
			delete(c.entering, name)
		case c.now-e.at > entryWait:
			c.letGo(e)
		}
	}
}

// observe takes a report if it is newer than what is known.
func (c *Core) observe(m *machine, r *workers.Report) {
	rt := m.rt
	if !r.Newer(rt.session, rt.seq) {
		return
	}
	c.dirty = true
	m.touch()
	if r.Session > rt.session && rt.session > 0 {
		c.log.Info("machine in a new session", "machine", m.name, "session", r.Session)
		rt.runs = map[taskKey]runMark{}
	}
	if c.now-rt.heardAt > 2*c.cfg.Settings.Report()+units.Second {
		rt.contact = c.now
	}
	rt.session, rt.seq, rt.heardAt, rt.failed = r.Session, r.Seq, c.now, 0
	// Its session was alive when it reported, and may have begun just then: what
	// was known of the end of an earlier one says nothing about this one.
	l := c.cfg.Settings.Lease()
	rt.leaseEnd = max(rt.leaseEnd, c.now+l+leaseMargin(l))
	rt.seen = max(rt.seen, r.Token)
	if rt.unclear && (r.Token > rt.unTok || r.Session > rt.unSess) {
		rt.unclear = false
	}
	if r.NoticeS != nil && !rt.noticed {
		rt.noticed, rt.noticeAt = true, c.now+units.FromSeconds(*r.NoticeS)
		c.log.Info("machine to be taken back", "machine", m.name, "in_s", *r.NoticeS)
	}
	old := rt.pieces
	rt.pieces = make(map[taskKey]workers.Piece, len(r.Tasks))
	for _, p := range r.Tasks {
		id, num, ok := strings.Cut(p.Task, "/")
		n, err := strconv.Atoi(num)
		if !ok || err != nil {
			continue
		}
		k := taskKey{id, n, p.Attempt}
		rt.pieces[k] = p
		j := c.rep.jobs[id]
		if p.State == workers.Running || p.State == workers.Flushing {
			if j != nil && j.known {
				rt.images[j.spec.Image] = c.now
			}
			if _, ok := rt.runs[k]; !ok {
				_, before := old[k]
				rt.runs[k] = runMark{at: c.now, exact: before}
				if j != nil && j.known {
					c.log.Debug("task runs", "task", k.task(), "machine", m.name, "type", m.doc.Type, "service", j.spec.Service, "since_accept_s", (c.wall - units.Micros(j.spec.At)).Seconds())
				}
			}
		}
		if p.State == workers.Ended && j != nil && j.known {
			c.ended(m, j, k, p, old[k].State == workers.Ended)
		}
	}
	for k := range rt.runs {
		if _, ok := rt.pieces[k]; !ok {
			delete(rt.runs, k)
		}
	}
}

func (c *Core) ended(m *machine, j *job, k taskKey, p workers.Piece, before bool) {
	b, bound := j.bound[k.num]
	if !bound || b.m != m || b.attempt != k.attempt || before {
		return
	}
	switch p.Cause {
	case workers.CauseDone:
		if j.done.Has(k.num) {
			return
		}
		j.failures = 0
		blamed := c.faulty(j)
		j.wellOnce = true
		if blamed { // it was not its own fault
			c.blame(j)
		}
		// Only a task seen from start to end tells its length; and only tasks
		// that completed: failed ones end in seconds and would make the job
		// look tiny.
		ran := units.Micros(0)
		if run, ok := m.rt.runs[k]; ok && run.exact {
			ran = c.now - run.at
		}
		m.rt.ended[k] = 1 + int(ran/(100*units.Millisecond))
		if !j.isDone(k.num) {
			c.completed(j, k.num, ran)
		}
	case workers.CauseError:
		c.failed(j)
		m.rt.errors[j.id] = true
		if j.failedOn == nil {
			j.failedOn = map[string]bool{}
		}
		j.failedOn[m.name] = true
		c.blame(j)
		c.log.Info("task failed", "task", k.task(), "machine", m.name, "failures", j.failures)
	default:
		c.log.Debug("task ended", "task", k.task(), "machine", m.name, "cause", p.Cause)
	}
}

// faulty reports whether the job itself seems to be at fault: it failed on several
// machines, or on all that there are, and completed on none.
func (c *Core) faulty(j *job) bool {
	if len(j.failedOn) < 2 || j.wellOnce || j.doneCount() > 0 {
		return false
	}
	mine := 0
	for _, m := range c.rep.machines {
		if m.rt != nil && m.rt.heardAt > 0 {
			if mine++; mine > len(j.failedOn) || mine == 3 {
				break // no need to count a whole fleet
			}
		}
	}
	return len(j.failedOn) >= min(3, mine)
}

// blame judges the machines on which a job has failed. One that fails tasks of
// several jobs gets no more work; but jobs that fail everywhere do not count. When
// they did, a few jobs submitted with a mistake took all machines out of use.
func (c *Core) blame(j *job) {
	for _, name := range slices.Sorted(maps.Keys(j.failedOn)) {
		m := c.rep.machines[name]
		if m == nil || m.rt == nil {
			continue
		}
		n := 0
		for id := range m.rt.errors {
			if o := c.rep.jobs[id]; o == nil || !c.faulty(o) {
				n++
			}
		}
		if sick := n >= 2; sick != m.rt.sick {
			m.rt.sick, m.rt.sickAt = sick, c.now
			c.log.Warn("machine fails tasks of several jobs", "machine", name, "no_more_work", sick)
		}
	}
}

// sickFor is how long a machine that fails tasks gets no work. Then it is tried once
// more: what ailed it may be over, and jobs must not wait beside it for good.
const sickFor = 30 * units.Second

// recovered lets a sick machine try again.
func (c *Core) recovered(m *machine) {
	if m.rt.sick && c.now-m.rt.sickAt > sickFor {
		m.rt.sick, m.rt.errors = false, map[string]bool{}
		c.dirty = true
	}
}

// failed backs off a job one of whose tasks failed.
func (c *Core) failed(j *job) {
	j.failures++
	j.failedAt = c.now
	j.retryAt = c.now + min(units.Second<<min(j.failures/2, 6), 40*units.Second)
}

// wanted reports whether a task in the machine's document should run there.
func (c *Core) wanted(t state.Task) bool {
	j := c.rep.jobs[t.Job]
	return j != nil && j.known && !j.cancelled && t.Stop == 0 && !j.isDone(t.Num)
}

// releasable reports whether a task in the document is certainly not, or no
// longer, active on the machine, so that its entry may go.
func (c *Core) releasable(m *machine, t state.Task) bool {
	if j := c.rep.jobs[t.Job]; j == nil || !j.known || j.done.Has(t.Num) {
		return true // its end is stored
	} else if j.isDone(t.Num) {
		return false // done, but not yet stored: without the entry it would run again
	}
	rt := m.rt
	k := keyOf(t)
	if p, ok := rt.pieces[k]; ok && rt.heardAt > 0 {
		// Only a report under the present token tells of an end that lasts: an older one
		// may be a late copy, and the attempt was started again in a later session.
		return p.State == workers.Ended && rt.seen == c.token(m) || c.now > rt.leaseEnd
	}
	if c.now > rt.leaseEnd {
		return true
	}
	return !c.wanted(t) && c.settled(m)
}

// orders compares what should be on the machine with what it reported.
func (c *Core) orders(m *machine) []workers.Order {
	rt := m.rt
	out := []workers.Order{}
	if rt.heardAt == 0 {
		return out
	}
	// A task may be entered together with the stops that make room for it: it
	// is launched once that room is free.
	room := c.freeNow(m)
	launch := c.mayLaunch()
	listed := make(map[taskKey]bool, len(m.doc.Tasks))
	// Whatever is entered may be waiting for room: what ranks higher has it first.
	grade := func(t state.Task) int {
		if j := c.rep.jobs[t.Job]; j != nil {
			return j.spec.Grade
		}
		return 0
	}
	tasks := slices.Clone(m.doc.Tasks)
	slices.SortStableFunc(tasks, func(a, b state.Task) int {
		return cmp.Or(cmp.Compare(grade(b), grade(a)), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, t := range tasks {
		k := keyOf(t)
		p, there := rt.pieces[k]
		if c.wanted(t) {
			listed[k] = true
			// One that is being given up must not be launched again meanwhile: the
			// same write may have put it elsewhere.
			if !there && !rt.leaving[k] && launch && room.take(&c.rep.jobs[t.Job].spec) {
				out = append(out, workers.Order{Op: workers.Launch, Task: k.task(), Attempt: t.Attempt})
			}
			continue
		}
		j := c.rep.jobs[t.Job]
		if j != nil && j.known && !j.done.Has(t.Num) {
			listed[k] = true // not to be reaped before its end is stored
			if there && p.State != workers.Ended {
				grace := 0.0
				if t.Stop == state.StopSave {
					grace = j.spec.SaveS
				}
				out = append(out, workers.Order{Op: workers.Kill, Task: k.task(), Attempt: t.Attempt, GraceS: grace})
			}
		}
	}
	settled := c.settled(m)
	for _, k := range rt.sorted() {
		p := rt.pieces[k]
		if listed[k] {
			continue
		}
		switch {
		case p.State != workers.Ended:
			out = append(out, workers.Order{Op: workers.Kill, Task: k.task(), Attempt: k.attempt})
		case settled:
			// Once reaped, a late launch would start the attempt anew: reap only
			// when no such command can be under way.
			out = append(out, workers.Order{Op: workers.Reap, Task: k.task(), Attempt: k.attempt})
		}
	}
	return out
}

// gap is free room.
type gap struct{ cpus, gpus, mem float64 }

// holds reports whether there is room for a task.
func (g *gap) holds(s *state.Job) bool {
	return g.cpus >= s.CPUs-1e-9 && g.gpus >= s.GPUs-1e-9 && g.mem >= s.MemGB-1e-9
}

// fill takes the room of so many tasks, or gives it back when n is negative.
func (g *gap) fill(s *state.Job, n float64) {
	g.cpus, g.gpus, g.mem = g.cpus-n*s.CPUs, g.gpus-n*s.GPUs, g.mem-n*s.MemGB
}

// take uses room for a task if there is enough.
func (g *gap) take(s *state.Job) bool {
	if !g.holds(s) {
		return false
	}
	g.fill(s, 1)
	return true
}

// freeNow is the room that no reported task takes.
func (c *Core) freeNow(m *machine) *gap {
	t := c.machineType(m.doc.Type)
	if t == nil {
		return &gap{}
	}
	g := &gap{t.CPUs, t.GPUs, t.MemGB}
	for k, p := range m.rt.pieces {
		if j := c.rep.jobs[k.job]; p.State != workers.Ended && j != nil && j.known {
			g.fill(&j.spec, 1)
		}
	}
	return g
}

// sorted gives the reported tasks in a fixed order, so that runs replay exactly.
func (rt *runtime) sorted() []taskKey {
	ks := make([]taskKey, 0, len(rt.pieces))
	for k := range rt.pieces {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.num, b.num), cmp.Compare(a.attempt, b.attempt))
	})
	return ks
}

// poke sends a machine its orders at once, instead of with the next report.
func (c *Core) poke(m *machine) {
	rt := m.rt
	if rt == nil || rt.out > 0 || rt.unclear || !c.usable(m.part()) {
		return
	}
	if rt.session == 0 {
		c.inspect(m)
		return
	}
	orders := c.orders(m)
	tok := c.token(m)
	if len(orders) == 0 && rt.seen == tok {
		return
	}
	if rt.seen > tok {
		return
	}
	rt.out++
	m.touch()
	id := c.id()
	sess := rt.session
	c.cmdCalls[id] = func(d WorkerDone) {
		if m.rt != rt {
			return
		}
		rt.out--
		m.touch()
		if d.Report != nil && d.Report.Machine == m.name {
			c.observe(m, d.Report)
			c.dirty = true
			return
		}
		// No answer: the command may be carried out at any time while token and
		// session stand. The next write of the document raises the token.
		rt.unclear, rt.unTok, rt.unSess = true, tok, sess
		c.dirty = true
		c.log.Info("direct command unanswered, fencing", "machine", m.name, "token", tok)
	}
	c.out = append(c.out, WorkerCall{ID: id, Addr: m.doc.Addr, Cmd: &workers.Command{Token: tok, Session: sess, Orders: orders}})
}

// inspect asks a machine for its report.
func (c *Core) inspect(m *machine) {
	rt := m.rt
	if rt == nil || rt.probing || m.doc.Addr == "" {
		return
	}
	rt.probing = true
	session, seq := rt.session, rt.seq
	id := c.id()
	c.cmdCalls[id] = func(d WorkerDone) {
		if m.rt != rt {
			return
		}
		rt.probing = false
		if d.Report == nil || d.Report.Machine != m.name {
			rt.probeBad = c.now
			rt.failed++
			return
		}
		rt.probeBad = 0
		if !d.Report.Newer(session, seq) && rt.session == session && rt.seq == seq {
			// An answer to what was asked just now is no late copy: the machine has
			// begun to count anew, so it was started again and all that it had is
			// gone. Its reports would be passed over for ever otherwise.
			c.log.Info("machine started again", "machine", m.name)
			rt.session, rt.seq, rt.seen = 0, 0, 0
			rt.runs = map[taskKey]runMark{}
		}
		c.observe(m, d.Report)
		c.poke(m)
	}
	c.out = append(c.out, WorkerCall{ID: id, Addr: m.doc.Addr})
}

// watchMachines looks after machines that have fallen silent.
func (c *Core) watchMachines() {
	if !c.rep.synced {
		return
	}
	report := c.cfg.Settings.Report()
	total, hearing, reporting := 0, 0, 0
	zones := map[string]*zoneView{}
	var silent, taken, deaf, mute []*machine
	for _, m := range c.sortedMachines() {
		if m.rt == nil || !c.usable(m.part()) {
			continue
		}
		total++
		c.recovered(m)
		if c.mute(m) {
			mute = append(mute, m)
		} else {
			reporting++
		}
		z := zones[m.doc.Zone]
		if z == nil {
			z = &zoneView{}
			zones[m.doc.Zone] = z
		}
		z.machines = append(z.machines, m)
		if m.rt.unheard >= deafAfter || m.rt.unheard > 0 && m.rt.failed >= 2 {
			deaf = append(deaf, m)
			continue
		}
		last := max(m.rt.heardAt, m.rt.since-report) // a new owner asks at once, and need not wait as long
		overdue := c.now-last > report*13/10
		if c.now-last < report*3/2 {
			hearing++
			z.hearing++
			if m.rt.seen < c.token(m) && m.rt.heardAt > 0 {
				c.poke(m) // raise its token, so that absence can prove something
			}
		}
		// The report is overdue, or a command was not answered: ask the machine
		// itself, and again.
		// In a zone where many fall silent all are asked, and those that do not answer
		// once more.
		asked := m.rt.failed > 0 && c.zones[m.doc.Zone].asked > 0
		if (overdue || m.rt.unclear || asked) && c.now-m.rt.probeAt > units.Second {
			m.rt.probeAt = c.now
			c.inspect(m)
		}
		if m.rt.failed > 0 {
			z.failing++
		}
		if (overdue || asked) && m.rt.failed >= 2 {
			silent = append(silent, m)
		}
	}
	c.judgeZones(zones)
	for _, m := range c.noticed() {
		if m.rt.probeBad > m.rt.noticeAt && m.rt.probeBad > m.rt.heardAt {
			taken = append(taken, m) // announced, and now it does not answer
		} else if c.now-m.rt.probeAt > units.Second/2 {
			m.rt.probeAt = c.now
			c.inspect(m)
		}
	}
	if len(taken) > 0 {
		c.giveUp("taken back", taken...)
	}
	if hearing == 0 && total > 0 {
		c.handOverDeaf()
	}
	if len(silent) > 0 && hearing*2 < total {
		c.cloud.doubtAt = c.now
	}
	// This node's own silence is no evidence. Most machines must be heard here,
	// and every living controller must say that it does not hear the machine.
	if len(silent)+len(deaf)+len(mute) == 0 || hearing*2 < total || !c.every("retire", units.Second) {
		return
	}
	var gone []*machine
	for _, m := range silent {
		if len(gone) <= total/8 && m.rt.failed >= 2 && !c.zones[m.doc.Zone].doubt && !c.othersHear(m.name, zones[m.doc.Zone].reached()) {
			gone = append(gone, m)
		}
	}
	c.giveUp("silent", gone...)
	c.giveUp("nothing reaches it", deaf...)
	for _, m := range mute {
		if reporting*2 >= total && c.now-m.rt.heardAt < report*3/2 && !c.othersHear(m.name, true) {
			c.giveUp("it reaches nobody", m)
		}
	}
}

// zoneState is what is remembered of a zone that may be cut off.
type zoneState struct {
	asked units.Micros // when all machines there were asked
	doubt bool         // it still may be
}

// zoneView is what an owner sees of its machines in one zone.
type zoneView struct {
	machines []*machine
	hearing  int // that report
	failing  int // that did not answer a question
}

// judgeZones notices zones that may be cut off. When several machines of a zone
// fall silent at once, all of them there are asked, so that those that have died
// with them are known before their reports are overdue. If next to none answers, it
// is the way to the zone that is lost: the machines run on behind the cut, their
// tasks until their leases end, and all of them are back after it; deleting them
// once took half of a fleet's machines away for minutes. Of those that are really
// gone the cloud's list will tell.
func (c *Core) judgeZones(zones map[string]*zoneView) {
	several := func(z *zoneView) bool { return z != nil && z.failing >= max(3, len(z.machines)/20) }
	for zone, s := range c.zones {
		if !several(zones[zone]) {
			delete(c.zones, zone)
			zones[zone].back(s.doubt)
		}
	}
	// With one zone alone, a silent majority is doubted anyway.
	others := len(zones) > 1
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		z := zones[zone]
		s, open := c.zones[zone]
		switch {
		case !several(z):
		case !open || c.now-s.asked > zoneAgain:
			c.zones[zone] = zoneState{asked: c.now, doubt: others && (!open || s.doubt)} // until the first answers
			for _, m := range z.machines {
				if c.now-m.rt.heardAt > units.Second {
					m.rt.probeAt = c.now
					c.inspect(m)
				}
			}
		case c.now-s.asked > zoneAnswers:
			answered := z.heardSince(s.asked - units.Second)
			was := s.doubt
			s.doubt = others && answered*4 < len(z.machines)
			c.zones[zone] = s
			if !s.doubt {
				z.back(was)
				continue
			}
			c.cloud.doubtAt = c.now
			if c.every("zone"+zone, 10*units.Second) {
				c.log.Warn("zone seems cut off", "zone", zone, "machines", len(z.machines), "answer", answered)
			}
		}
	}
}

// back is called when a zone is no longer in doubt. What its machines did not answer
// before says nothing about them, and none was idle: the last to be heard again were
// once deleted as silent, and those that were to be emptied as idle.
func (z *zoneView) back(doubted bool) {
	if z == nil || !doubted {
		return
	}
	for _, m := range z.machines {
		m.rt.failed, m.rt.draining = 0, false
	}
}

// heardSince counts the zone's machines that were heard since then.
func (z *zoneView) heardSince(at units.Micros) int {
	n := 0
	for _, m := range z.machines {
		if m.rt.heardAt >= at {
			n++
		}
	}
	return n
}

// The machines of a zone in doubt have so long to answer, and are asked again
// after a while.
const (
	zoneAnswers = 1800 * units.Millisecond
	zoneAgain   = 10 * units.Second
)

// handOverDeaf gives a partition none of whose machines are heard here to a
// controller that hears most of them: this node's own network is what fails,
// and while it kept the partition the machines' leases would run out.
func (c *Core) handOverDeaf() {
	report := c.cfg.Settings.Report()
	for _, p := range c.ownedParts() {
		o := c.owned[p]
		if o.inflight || c.now-o.since < 3*report || !c.mayOwe() || c.stateBad {
			continue
		}
		for _, l := range c.living() {
			member, inc, _ := strings.Cut(l, "/")
			s, ok := c.peers[member]
			if !ok || member == c.cfg.Member || s.beat.Inc != inc || c.now-s.at > 3*units.Second {
				continue
			}
			mine, there := 0, 0
			for _, m := range c.rep.machines {
				if m.part() != p {
					continue
				}
				mine++
				if ago, ok := s.beat.Heard[m.name]; ok && units.Micros(ago) < 2*report {
					there++
				}
			}
			if mine > 0 && there*2 > mine {
				c.log.Warn("hear none of the machines, another does", "partition", p, "to", member)
				c.claim(p, l)
				return
			}
		}
	}
}

// noticed lists this node's machines whose announced end has come.
func (c *Core) noticed() []*machine {
	var out []*machine
	for _, m := range c.sortedMachines() {
		if m.rt != nil && m.rt.noticed && c.now > m.rt.noticeAt && c.usable(m.part()) {
			out = append(out, m)
		}
	}
	return out
}

// reached reports whether the way to the zone is open: most machines there are heard.
func (z *zoneView) reached() bool { return len(z.machines) >= 4 && z.hearing*2 >= len(z.machines) }

// othersHear reports whether a living controller hears the machine. One that cannot
// be asked might, unless the way to the machine's zone is open: while controllers
// refuse each other's connections, nothing that died would be replaced.
func (c *Core) othersHear(name string, reached bool) bool {
	for key := range c.rep.nodes {
		member, inc, _ := strings.Cut(strings.TrimPrefix(key, state.Nodes), "/")
		if member == c.cfg.Member {
			continue
		}
		p, ok := c.peers[member]
		if !ok || p.beat.Inc != inc || c.now-p.at > 4*units.Second {
			if !reached {
				return true
			}
			continue
		}
		if ago, ok := p.beat.Heard[name]; ok && units.Micros(ago) < 2*c.cfg.Settings.Report() {
			return true
		}
	}
	return false
}

// retire marks machines to be returned to the cloud; the next write of their
// group says so. Their tasks stay bound until the cloud has confirmed that they
// are gone.
func (c *Core) retire(why string, ms ...*machine) { c.leave(why, false, ms) }

// giveUp returns machines whose tasks wait to be placed anew. They are deleted
// without being marked first: nothing is placed on a machine that is not heard,
// and what a controller that is behind still enters there is dropped with it.
func (c *Core) giveUp(why string, ms ...*machine) { c.leave(why, true, ms) }

func (c *Core) leave(why string, atOnce bool, ms []*machine) {
	for _, m := range ms {
		if m.rt != nil && m.rt.retire == "" {
			m.rt.retire, m.rt.urgent = why, atOnce
			c.dirty = true
			c.log.Info("retire a machine", "machine", m.name, "why", why, "tasks", c.unfinished(m), "partition", m.g.part)
		}
	}
}

// live is the job of a bound task that is not known to be done, or nil.
func (c *Core) live(t state.Task) *job {
	if j := c.rep.jobs[t.Job]; j != nil && j.known && !j.isDone(t.Num) {
		return j
	}
	return nil
}

// unstored is the job of a bound task whose end is not stored yet, or nil. It
// says the same on every controller.
func (c *Core) unstored(t state.Task) *job {
	if j := c.rep.jobs[t.Job]; j != nil && j.known && !j.done.Has(t.Num) {
		return j
	}
	return nil
}

// unfinished counts the tasks bound to a machine that are not known to be done.
func (c *Core) unfinished(m *machine) int {
	n := 0
	for _, t := range m.doc.Tasks {
		if c.live(t) != nil {
			n++
		}
	}
	return n
}

package controller

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// answerReports answers the reports of a step. They wait until it has read all else that it was
// given: an answer that starts a task must not leave beside the news that cancels its job.
func (c *Core) answerReports() {
	reports := c.reports
	c.reports = nil
	for _, q := range reports {
		c.report(q)
	}
}

// report answers a worker.
func (c *Core) report(q ReportReq) {
	r := &q.Report
	if !c.replica.synced || r.Machine == "" {
		c.reply(q.To, 503, nil)
		return
	}
	m := c.replica.machines[r.Machine]
	if m == nil {
		c.newcomer(q)
		return
	}
	if m.doc.Retired { // nobody answers for it any more
		c.reply(q.To, 421, agent.Redirect{})
		return
	}
	if c.owned[m.g.part] == nil {
		c.heard[r.Machine] = c.now
		c.reply(q.To, 421, agent.Redirect{To: c.ownerOf(m.g.part)})
		return
	}
	tok := c.token(m)
	if r.Token > tok || m.rt == nil {
		// Somebody newer commands it. A 200 from here would be dropped and the
		// machine held at this node while its lease runs out.
		c.reply(q.To, 421, agent.Redirect{})
		return
	}
	if !c.usable(m.g.part) {
		c.reply(q.To, 503, nil)
		return
	}
	if r.Newer(m.rt.session, m.rt.seq) { // a late copy is no sign of life
		c.heard[r.Machine] = c.now
		c.checkReachable(m, r, tok)
		if c.now-m.rt.answered > c.cfg.Settings.Lease() {
			m.rt.steady = c.now
		}
		m.rt.answered = c.now
		m.rt.launchAt = 0
	}
	c.observe(m, r)
	l := c.cfg.Settings.Lease()
	m.rt.leaseEnd = max(m.rt.leaseEnd, c.now+l+leaseMargin(l))
	orders, ok := c.cleared(m, c.orders(m))
	if !ok {
		c.reply(q.To, 503, nil)
		return
	}
	if slices.ContainsFunc(orders, func(o agent.Order) bool { return o.Op == agent.Launch }) {
		m.rt.launchAt = c.now
	}
	c.reply(q.To, 200, agent.Answer{Token: tok, Orders: orders})
}

// deafAfter is how many reports in a row may show that the answers before them
// were lost. Fewer may be the luck of a bad network.
const deafAfter = 3

// checkReachable notices a machine whose reports arrive while nothing reaches it: it
// looks alive, but its lease runs out and takes its tasks with it, and what it
// is told to stop goes on until then.
func (c *Core) checkReachable(m *machine, r *agent.Report, tok uint64) {
	rt := m.rt
	switch {
	case rt.session > 0 && r.Session > rt.session && c.now-rt.answered < c.cfg.Settings.Lease() && c.now-rt.steady > c.cfg.Settings.Lease():
		// Its lease ran out though its reports came, and were answered, for all that
		// time. After a cut they may come all at once, or only the new session, which
		// says nothing.
		rt.unheardAnswers = deafAfter
	case r.Token >= tok:
		rt.unheardAnswers = 0
	case rt.answeredToken == tok:
		rt.unheardAnswers++ // an earlier answer had this token, and it has not seen it
	}
	rt.answeredToken = tok
}

// ownerOf names the member that owns a partition, if it lives and is another.
func (c *Core) ownerOf(part int) string {
	if p := c.replica.parts[part]; p != nil && c.ownerAlive(p) && p.doc.Member != c.cfg.Member {
		return p.doc.Member
	}
	return ""
}

// newcomer is a machine that nobody knows: one that was there at the start, or
// came of a rental whose answer was lost or late. The owner of its machine shard's
// partition enters it. First the machine itself must answer: a report may be a
// late copy from a machine that is long gone, and must not bring it back.
func (c *Core) newcomer(q ReportReq) {
	r := &q.Report
	c.heard[r.Machine] = c.now
	g := c.replica.machineShardOf(r.Machine)
	if c.owned[g.part] == nil {
		c.reply(q.To, 421, agent.Redirect{To: c.ownerOf(g.part)})
		return
	}
	if !c.usable(g.part) || c.stateBad {
		c.reply(q.To, 503, nil)
		return
	}
	if e := c.entering[r.Machine]; e != nil { // it came back: the earlier request is no longer waited for
		c.dismiss(e)
		e.q, e.at, e.waits = q, c.now, true
		return
	}
	e := &newMachine{q: q, at: c.now, waits: true}
	c.entering[r.Machine] = e
	id := c.id()
	c.cmdCalls[id] = func(d WorkerDone) {
		if c.entering[r.Machine] != e {
			return
		}
		if d.Report == nil || d.Report.Machine != r.Machine {
			delete(c.entering, r.Machine)
			c.dismiss(e)
			return
		}
		e.answered = true
		e.token = max(d.Report.Token, r.Token)
		c.dirty = true
	}
	c.out = append(c.out, WorkerCall{ID: id, Addr: r.Addr})
}

// newMachine is a machine that is about to be entered.
type newMachine struct {
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

// dismiss answers a newcomer's report that is still waiting: it may come again.
func (c *Core) dismiss(e *newMachine) {
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
		case c.replica.machines[name] != nil:
			delete(c.entering, name)
			if e.waits {
				c.report(e.q)
			}
		case c.now-e.at > entryKept:
			delete(c.entering, name)
		case c.now-e.at > entryWait:
			c.dismiss(e)
		}
	}
}

// observe takes a report if it is newer than what is known.
func (c *Core) observe(m *machine, r *agent.Report) {
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
	if rt.unclear && (r.Token > rt.unclearToken || r.Session > rt.unclearSession) {
		rt.unclear = false
	}
	if r.NoticeS != nil && !rt.hasNotice {
		rt.hasNotice, rt.noticeEnds = true, c.now+units.FromSeconds(*r.NoticeS)
		c.log.Info("machine to be taken back", "machine", m.name, "in_s", *r.NoticeS)
	}
	old := rt.pieces
	rt.pieces = make(map[taskKey]agent.Piece, len(r.Tasks))
	for _, p := range r.Tasks {
		id, num, ok := strings.Cut(p.Task, "/")
		n, err := strconv.Atoi(num)
		if !ok || err != nil {
			continue
		}
		k := taskKey{id, n, p.Attempt}
		rt.pieces[k] = p
		j := c.replica.jobs[id]
		if p.State == agent.Running || p.State == agent.Flushing {
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
		if p.State == agent.Ended && j != nil && j.known {
			c.ended(m, j, k, p, old[k].State == agent.Ended)
		}
	}
	for k := range rt.runs {
		if _, ok := rt.pieces[k]; !ok {
			delete(rt.runs, k)
		}
	}
}

func (c *Core) ended(m *machine, j *job, k taskKey, p agent.Piece, before bool) {
	b, bound := j.bound[k.num]
	if !bound || b.m != m || b.attempt != k.attempt || before {
		return
	}
	switch p.Cause {
	case agent.CauseDone:
		if j.done.Has(k.num) {
			return
		}
		j.failures = 0
		blamed := c.faulty(j)
		j.succeeded = true
		if blamed { // it was not its own fault
			c.judgeMachinesOf(j)
		}
		// Only a task seen from start to end tells its length; and only tasks
		// that completed: failed ones end in seconds and would make the job
		// look tiny.
		ran := units.Micros(0)
		if run, ok := m.rt.runs[k]; ok && run.exact {
			ran = c.now - run.at
		}
		m.rt.ended[k] = endedTask{c.now, 1 + int(ran/tenth)}
		if !j.isDone(k.num) {
			c.completed(j, k.num, ran)
		}
	case agent.CauseError:
		c.failed(j)
		m.rt.errors[j.id] = true
		if j.failedOn == nil {
			j.failedOn = map[string]bool{}
		}
		j.failedOn[m.name] = true
		c.judgeMachinesOf(j)
		c.log.Info("task failed", "task", k.task(), "machine", m.name, "failures", j.failures)
	default:
		c.log.Debug("task ended", "task", k.task(), "machine", m.name, "cause", p.Cause)
	}
}

package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/schema"
)

// wanted reports whether a task in the machine's document should run there.
func (c *Core) wanted(t schema.Task) bool { return c.taskFactsOf(t).mustStop() == keepRunning }

// releasable reports whether a task in the document is certainly not, or no
// longer, active on the machine, so that its entry may go.
func (c *Core) releasable(m *machine, t schema.Task) bool {
	return c.taskFactsOf(t).mayRelease(c.machineFactsOf(m, t)) != keepEntry
}

// orders compares what should be on the machine with what it reported.
func (c *Core) orders(m *machine) []agent.Order {
	rt := m.rt
	out := []agent.Order{}
	if rt.heardAt == 0 {
		return out
	}
	// A task may be entered together with the stops that make room for it: it
	// is launched once that room is free.
	room := c.freeNow(m)
	right := c.rightsOver(m)
	listed := make(map[taskKey]bool, len(m.doc.Tasks))
	// Whatever is entered may be waiting for room: what ranks higher has it first.
	grade := func(t schema.Task) int {
		if j := c.replica.jobs[t.Job]; j != nil {
			return j.spec.Grade
		}
		return 0
	}
	tasks := slices.Clone(m.doc.Tasks)
	slices.SortStableFunc(tasks, func(a, b schema.Task) int {
		return cmp.Or(cmp.Compare(grade(b), grade(a)), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, t := range tasks {
		k := keyOf(t)
		p, there := rt.pieces[k]
		facts := c.taskFactsOf(t)
		if facts.mustStop() == keepRunning {
			listed[k] = true
			// One that is being given up must not be launched again meanwhile: the
			// same write may have put it elsewhere.
			if !there && !rt.leaving[k] && facts.mayStart(right) == startAllowed && room.take(&c.replica.jobs[t.Job].spec) {
				out = append(out, agent.Order{Op: agent.Launch, Task: k.task(), Attempt: t.Attempt})
			}
			continue
		}
		j := c.replica.jobs[t.Job]
		if j != nil && j.known && !j.done.Has(t.Num) {
			listed[k] = true // not to be reaped before its end is stored
			if there && p.State != agent.Ended {
				grace := 0.0
				if t.Stop == schema.StopSave {
					grace = j.spec.SaveS
				}
				out = append(out, agent.Order{Op: agent.Kill, Task: k.task(), Attempt: t.Attempt, GraceS: grace})
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
		case p.State != agent.Ended:
			out = append(out, agent.Order{Op: agent.Kill, Task: k.task(), Attempt: k.attempt})
		case settled:
			// Once reaped, a late launch would start the attempt anew: reap only
			// when no such command can be under way.
			out = append(out, agent.Order{Op: agent.Reap, Task: k.task(), Attempt: k.attempt})
		}
	}
	return out
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
	orders, ok := c.cleared(m, c.orders(m))
	tok := c.token(m)
	if !ok || len(orders) == 0 && rt.seen == tok {
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
		rt.unclear, rt.unclearToken, rt.unclearSession = true, tok, sess
		c.dirty = true
		c.log.Info("direct command unanswered, fencing", "machine", m.name, "token", tok)
	}
	c.out = append(c.out, WorkerCall{ID: id, Addr: m.doc.Addr, Cmd: &agent.Command{Token: tok, Session: sess, Orders: orders}})
}

// sendPokes tells the machines whose entries have changed. That waits until a step has read all
// that it was given: what enters a task may be followed, in the same answer of the state service,
// by what cancels its job, and such a task was once started all the same.
func (c *Core) sendPokes() {
	changed := c.pokes
	c.pokes = nil
	for _, m := range changed {
		if c.replica.machines[m.name] == m {
			c.poke(m)
		}
	}
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

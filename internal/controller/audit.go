package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// audit counts decisions by their reasons between two lines of the log, and violations of
// invariants since the start.
type audit struct {
	starts   int
	stops    map[stopReason]int
	releases map[releaseReason]int
	forgets  map[forgetReason]int
	answers  map[answerBasis]int

	violations map[string]int
}

func newAudit() audit {
	return audit{
		stops: map[stopReason]int{}, releases: map[releaseReason]int{}, forgets: map[forgetReason]int{}, answers: map[answerBasis]int{},
		violations: map[string]int{},
	}
}

// auditEvery is how often decisions are told in the log, if there are any.
const auditEvery = units.Second

// tellDecisions writes one line for all decisions since the last, with the revision and the age of
// the proof that they rest on, and the epochs under which they were made.
func (c *Core) tellDecisions() {
	a := &c.audit
	if a.starts+len(a.stops)+len(a.releases)+len(a.forgets)+len(a.answers) == 0 {
		return
	}
	attrs := append(c.proof(), "epochs", c.epochs(), "starts", a.starts)
	attrs = append(attrs, counts("stops", a.stops), counts("releases", a.releases), counts("forgets", a.forgets), counts("answers", a.answers))
	c.log.Info("decisions", attrs...)
	violations := a.violations
	*a = newAudit()
	a.violations = violations
}

// counts is a group of counts in the order of their names.
func counts[K ~string](name string, of map[K]int) slog.Attr {
	attrs := make([]any, 0, len(of))
	for _, k := range slices.Sorted(maps.Keys(of)) {
		attrs = append(attrs, slog.Int(string(k), of[k]))
	}
	return slog.Group(name, attrs...)
}

// proof is which revision the copy has reached and how long ago it was known to be complete.
func (c *Core) proof() []any {
	age := -1.0
	if c.knownAt > 0 {
		age = (c.now - c.knownAt).Seconds()
	}
	return []any{"rev", c.replica.watchRev, "proof_age_s", age}
}

// epochs are the partitions that this controller owns, each with its epoch.
func (c *Core) epochs() map[int]uint64 {
	out := make(map[int]uint64, len(c.owned))
	for n, o := range c.owned {
		out[n] = o.epoch
	}
	return out
}

// violated refuses something that an invariant forbids: it is logged with the facts and counted.
// Nothing should ever come here.
func (c *Core) violated(invariant string, facts ...any) {
	c.audit.violations[invariant]++
	c.log.Error("invariant violated, refused", append([]any{"invariant", invariant}, append(facts, c.proof()...)...)...)
}

// Invariants, as the log calls them.
const (
	invariantStart   = "no start without right, need or acceptance"
	invariantCommand = "no command without claim and recent copy"
	invariantRelease = "no entry freed without proof"
	invariantForget  = "no job cleared away without its end"
	invariantAnswer  = "no answer older than a stored end"
)

// rightsOver is what this controller may do with a machine now.
func (c *Core) rightsOver(m *machine) rights {
	return rights{commands: m.rt != nil && c.usable(m.part()), starts: c.mayLaunch()}
}

// cleared gives the orders that may leave for a machine: the last look at them, whatever path
// they come by. ok is false if nothing may be said to the machine at all.
func (c *Core) cleared(m *machine, orders []agent.Order) (out []agent.Order, ok bool) {
	right := c.rightsOver(m)
	if !right.commands {
		c.violated(invariantCommand, "machine", m.name, "partition", m.g.part)
		return nil, false
	}
	if len(orders) == 0 {
		return orders, true
	}
	entries := m.entriesByOrder()
	for _, o := range orders {
		t, entered := entries[orderKey{o.Task, o.Attempt}]
		facts := c.taskFactsOf(t)
		switch o.Op {
		case agent.Launch:
			refusal := facts.mayStart(right)
			if !entered || refusal != startAllowed {
				c.violated(invariantStart, "task", o.Task, "attempt", o.Attempt, "machine", m.name, "entered", entered, "refusal", refusal)
				continue
			}
			c.audit.starts++
		case agent.Kill:
			reason := stopUnlisted
			if entered {
				reason = facts.mustStop()
			}
			c.audit.stops[reason]++
		}
		out = append(out, o)
	}
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		c.tellOrders(m, out)
	}
	return out, true
}

// stopUnlisted is the reason for stopping what no entry allows to run.
const stopUnlisted stopReason = "not entered there"

// tellOrders writes the ids of what a machine is told, and the proof that it rests on.
func (c *Core) tellOrders(m *machine, orders []agent.Order) {
	attrs := append(c.proof(), "machine", m.name, "token", c.token(m), "session", m.rt.session)
	for _, o := range orders {
		attrs = append(attrs, slog.Group(o.Op+" "+o.Task, "attempt", o.Attempt))
	}
	c.log.Debug("orders", attrs...)
}

// orderKey is a task's attempt as orders name it.
type orderKey struct {
	task    string
	attempt uint64
}

// entriesByOrder are a machine's entries by what orders call them.
func (m *machine) entriesByOrder() map[orderKey]schema.Task {
	out := make(map[orderKey]schema.Task, len(m.doc.Tasks))
	for _, t := range m.doc.Tasks {
		out[orderKey{keyOf(t).task(), t.Attempt}] = t
	}
	return out
}

// auditReleases takes back releases that nothing proves, and counts the others.
func (gd *shardDraft) auditReleases() {
	if !gd.own {
		return
	}
	c := gd.c
	for _, d := range gd.drafts {
		if len(d.keep) == len(d.m.doc.Tasks) && !d.m.gone || d.m.rt == nil && !d.m.gone {
			continue
		}
		kept := make(map[taskKey]bool, len(d.keep))
		for _, t := range d.keep {
			kept[keyOf(t)] = true
		}
		for _, t := range d.m.doc.Tasks {
			if kept[keyOf(t)] && !d.m.gone {
				continue
			}
			reason := releaseMachineGone
			if !d.m.gone {
				reason = c.taskFactsOf(t).mayRelease(c.machineFactsOf(d.m, t))
			}
			if reason == keepEntry {
				c.violated(invariantRelease, "task", keyOf(t).task(), "attempt", t.Attempt, "machine", d.m.name)
				d.keep = append(slices.Clone(d.keep), t)
				continue
			}
			c.audit.releases[reason]++
		}
	}
}

// auditForgotten refuses to clear away jobs whose end is neither stored nor written in the same
// transaction.
func (b *batch) auditForgotten() {
	for _, s := range b.c.replica.jobShards {
		for _, id := range slices.Sorted(maps.Keys(b.cleared[s])) {
			j := b.c.replica.jobs[id]
			_, stored := b.c.replica.finals.get(id)
			written := slices.ContainsFunc(b.finals, func(op kv.Op) bool { return op.Set == schema.Finals+id })
			if !stored && !written && (j == nil || !j.marked) {
				b.c.violated(invariantForget, "job", id)
				delete(b.cleared[s], id)
			}
		}
	}
}

// auditAnswer looks at an answer to a user a last time. What was found before the job's end was
// shown gives way to the end: another controller may have told it to the user already.
func (c *Core) auditAnswer(st *Status) *Status {
	end, stored := c.replica.finals.get(st.ID)
	if stored && st.contradicts(end) {
		if st.Stage == Done || st.Stage == Cancelled {
			c.violated(invariantAnswer, "job", st.ID, "stage", st.Stage, "end", end.Stage)
		}
		st = finalStatus(st.ID, end)
	}
	if st.Stage == Done || st.Stage == Cancelled {
		c.audit.answers[st.basisOf(stored)]++
	}
	return st
}

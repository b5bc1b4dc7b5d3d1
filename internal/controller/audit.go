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

// decisionLogPeriod is how often decisions are told in the log, if there are any.
const decisionLogPeriod = units.Second

// logDecisions writes one line for all decisions since the last, with the revision and the age of
// the proof that they rest on, and the epochs under which they were made.
func (c *Controller) logDecisions() {
	a := &c.audit
	if a.starts+len(a.stops)+len(a.releases)+len(a.forgets)+len(a.answers) == 0 {
		return
	}
	attrs := append(c.freshness.logAttrs(), "terms", c.partitions.terms(), "starts", a.starts)
	attrs = append(attrs, countsAttr("stops", a.stops), countsAttr("releases", a.releases), countsAttr("forgets", a.forgets), countsAttr("answers", a.answers))
	c.log.Info("decisions", attrs...)
	violations := a.violations
	*a = newAudit()
	a.violations = violations
}

// countsAttr is a group of counts in the order of their names.
func countsAttr[K ~string](name string, of map[K]int) slog.Attr {
	attrs := make([]any, 0, len(of))
	for _, k := range slices.Sorted(maps.Keys(of)) {
		attrs = append(attrs, slog.Int(string(k), of[k]))
	}
	return slog.Group(name, attrs...)
}

// reportViolation refuses something that an invariant forbids: it is logged with the facts and counted.
// Nothing should ever come here.
func (c *Controller) reportViolation(invariant string, facts ...any) {
	c.audit.violations[invariant]++
	c.log.Error("invariant violated, refused", append([]any{"invariant", invariant}, append(facts, c.freshness.logAttrs()...)...)...)
}

// Invariants, as the log calls them.
const (
	invariantStart   = "no start without authority, dependencies done and acceptance"
	invariantCommand = "no command without leadership and recent replica"
	invariantRelease = "no entry released without proof"
	invariantForget  = "no job removed without stored outcome"
	invariantAnswer  = "no answer older than a stored outcome"
)

// authorityOver is what this controller may do with a machine now.
func (c *Controller) authorityOver(m *machine) permissions {
	return permissions{mayCommand: m.agent != nil && c.leads(m.part()), mayStart: c.mayStartTasks()}
}

// auditCommands gives the orders that may leave for a machine: the last look at them, whatever path
// they come by. ok is false if nothing may be said to the machine at all.
func (c *Controller) auditCommands(m *machine, orders []agent.Command) (out []agent.Command, ok bool) {
	right := c.authorityOver(m)
	if !right.mayCommand {
		c.reportViolation(invariantCommand, "machine", m.name, "partition", m.shard.partition)
		return nil, false
	}
	if len(orders) == 0 {
		return orders, true
	}
	entries := m.entriesByAttempt()
	for _, o := range orders {
		t, entered := entries[attemptKey{o.Task, o.Attempt}]
		facts := c.taskFactsOf(t)
		switch o.Action {
		case agent.Start:
			refusal := facts.mayStart(right)
			if !entered || refusal != startAllowed {
				c.reportViolation(invariantStart, "task", o.Task, "attempt", o.Attempt, "machine", m.name, "entered", entered, "refusal", refusal)
				continue
			}
			c.audit.starts++
		case agent.Stop:
			reason := stopNotEntered
			if entered {
				reason = facts.mustStop()
			}
			c.audit.stops[reason]++
		case agent.Remove: // ends nothing: the task has ended already
		}
		out = append(out, o)
	}
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		c.logCommands(m, out)
	}
	return out, true
}

// stopNotEntered is the reason for stopping what no entry allows to run.
const stopNotEntered stopReason = "not entered"

// logCommands writes the ids of what a machine is told, and the proof that it rests on.
func (c *Controller) logCommands(m *machine, orders []agent.Command) {
	attrs := append(c.freshness.logAttrs(), "machine", m.name, "fencing_token", c.fencingToken(m), "agent_epoch", m.agent.epoch)
	for _, o := range orders {
		attrs = append(attrs, slog.Group(string(o.Action)+" "+o.Task, "attempt", o.Attempt))
	}
	c.log.Debug("commands", attrs...)
}

// attemptKey is a task's attempt as orders name it.
type attemptKey struct {
	task    string
	attempt uint64
}

// entriesByAttempt are a machine's entries by what orders call them.
func (m *machine) entriesByAttempt() map[attemptKey]schema.Task {
	out := make(map[attemptKey]schema.Task, len(m.doc.Tasks))
	for _, t := range m.doc.Tasks {
		out[attemptKey{keyOf(t).task(), t.Attempt}] = t
	}
	return out
}

// auditReleases takes back releases that nothing proves, and counts the others.
func (gd *stagedShard) auditReleases() {
	if !gd.ownShard {
		return
	}
	c := gd.c
	for _, d := range gd.machines {
		if len(d.kept) == len(d.machine.doc.Tasks) && !d.machine.deleted || d.machine.agent == nil && !d.machine.deleted {
			continue
		}
		kept := make(map[taskKey]bool, len(d.kept))
		for _, t := range d.kept {
			kept[keyOf(t)] = true
		}
		for _, t := range d.machine.doc.Tasks {
			if kept[keyOf(t)] && !d.machine.deleted {
				continue
			}
			reason := releaseMachineDeleted
			if !d.machine.deleted {
				reason = c.taskFactsOf(t).mayRelease(c.machineFactsOf(d.machine, t))
			}
			if reason == keepEntry {
				c.reportViolation(invariantRelease, "task", keyOf(t).task(), "attempt", t.Attempt, "machine", d.machine.name)
				d.kept = append(slices.Clone(d.kept), t)
				continue
			}
			c.audit.releases[reason]++
		}
	}
}

// auditForgotten refuses to clear away jobs whose end is neither stored nor written in the same
// transaction.
func (b *plan) auditForgotten() {
	for _, s := range b.c.replica.jobShards {
		for _, id := range slices.Sorted(maps.Keys(b.cleared[s])) {
			j := b.c.replica.jobs[id]
			_, stored := b.c.replica.outcomes.get(id)
			written := slices.ContainsFunc(b.jointOps, func(op kv.Operation) bool { return op.Set == schema.OutcomePrefix+id })
			if !stored && !written && (j == nil || !j.cancellationShown) {
				b.c.reportViolation(invariantForget, "job", id)
				delete(b.cleared[s], id)
			}
		}
	}
}

// auditAnswer looks at an answer to a user a last time. What was found before the job's end was
// shown gives way to the end: another controller may have told it to the user already.
func (c *Controller) auditAnswer(st *JobStatus) *JobStatus {
	end, stored := c.replica.outcomes.get(st.ID)
	if stored && st.contradicts(end) {
		if st.Stage == StageDone || st.Stage == StageCancelled {
			c.reportViolation(invariantAnswer, "job", st.ID, "stage", st.Stage, "end", end.State)
		}
		st = outcomeStatus(st.ID, end)
	}
	if st.Stage == StageDone || st.Stage == StageCancelled {
		c.audit.answers[st.basisOf(stored)]++
	}
	return st
}

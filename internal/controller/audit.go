package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// audit makes the last check of effects before they are sent, whichever code they come from: it asks package
// guard once more, refuses effects that an invariant forbids, and counts the others. It owns the counts of
// decisions by reason since the last log line, and the counts of violations since the process started. It
// can only refuse or correct an effect, never cause one, and no decision depends on its counts.
type audit struct {
	*environment
	replica    *replica
	freshness  *freshness
	partitions *partitionTable
	facts      *factSource

	decisions  decisionCounts
	violations map[string]int // by invariant
}

func newAudit(env *environment, replica *replica, freshness *freshness, partitions *partitionTable, facts *factSource) *audit {
	return &audit{
		environment: env, replica: replica, freshness: freshness, partitions: partitions, facts: facts,
		decisions: newDecisionCounts(), violations: map[string]int{},
	}
}

// decisionCounts counts decisions by their reasons.
type decisionCounts struct {
	starts   int
	removals int // of attempts from agents
	raises   int // of fencing tokens
	stops    map[guard.StopReason]int
	releases map[guard.ReleaseReason]int
	forgets  map[guard.ForgetReason]int
	answers  map[guard.AnswerBasis]int
}

func newDecisionCounts() decisionCounts {
	return decisionCounts{
		stops: map[guard.StopReason]int{}, releases: map[guard.ReleaseReason]int{},
		forgets: map[guard.ForgetReason]int{}, answers: map[guard.AnswerBasis]int{},
	}
}

// empty reports whether no decision was counted.
func (d *decisionCounts) empty() bool {
	return d.starts+d.removals+d.raises+len(d.stops)+len(d.releases)+len(d.forgets)+len(d.answers) == 0
}

// countForgotten counts a job that may be removed from the accepted jobs.
func (a *audit) countForgotten(reason guard.ForgetReason) { a.decisions.forgets[reason]++ }

// countTokenRaise counts a raise of a machine's fencing token.
func (a *audit) countTokenRaise() { a.decisions.raises++ }

// takeDecisions returns the counts of decisions and resets them.
func (a *audit) takeDecisions() decisionCounts {
	taken := a.decisions
	a.decisions = newDecisionCounts()
	return taken
}

// decisionLogPeriod is how often decisions are logged, if there are any.
const decisionLogPeriod = units.Second

// logDecisions writes one log line for all decisions since the previous line, with the replica's revision,
// the age of the proof that the decisions rest on, and the terms under which they were made.
func (a *audit) logDecisions() {
	if a.decisions.empty() {
		return
	}
	decisions := a.takeDecisions()
	attrs := append(a.freshness.logAttrs(), "terms", a.partitions.terms(), "starts", decisions.starts,
		"removals", decisions.removals, "token_raises", decisions.raises)
	attrs = append(attrs,
		countsAttr("stops", decisions.stops), countsAttr("releases", decisions.releases),
		countsAttr("forgets", decisions.forgets), countsAttr("answers", decisions.answers))
	a.log.Info("decisions", attrs...)
}

// countsAttr returns a log group of counts, sorted by name.
func countsAttr[K ~string](name string, counts map[K]int) slog.Attr {
	attrs := make([]any, 0, len(counts))
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		attrs = append(attrs, slog.Int(string(key), counts[key]))
	}
	return slog.Group(name, attrs...)
}

// Invariants, by their names in the log.
const (
	invariantStart   = "no start without authority, dependencies done and acceptance"
	invariantCommand = "no command without leadership and recent replica"
	invariantRelease = "no entry released without proof"
	invariantForget  = "no job removed without stored outcome"
	invariantAnswer  = "no answer older than a stored outcome"
	invariantFencing = "no attempt forgotten while a copy of its start could be carried out"
)

// reportViolation logs and counts an effect that was refused because it violates an invariant; facts are
// the log attributes that describe the effect. It should never be called.
func (a *audit) reportViolation(invariant string, facts ...any) {
	a.violations[invariant]++
	attrs := append([]any{"invariant", invariant}, facts...)
	a.log.Error("invariant violated, refused", append(attrs, a.freshness.logAttrs()...)...)
}

// checkCommands returns the commands that may be sent to a machine. ok is false if this controller may not
// command the machine at all.
func (a *audit) checkCommands(m *machine, commands []agent.Command) (allowed []agent.Command, ok bool) {
	permissions := a.facts.permissionsOver(m)
	if !permissions.MayCommand {
		a.reportViolation(invariantCommand, "machine", m.name, "partition", m.shard.partition)
		return nil, false
	}
	if len(commands) == 0 {
		return commands, true
	}
	entries := m.entriesByAttempt()
	for _, command := range commands {
		entry, entered := entries[attemptKey{command.Task, command.Attempt}]
		if a.checkCommand(m, command, a.facts.ofTask(m, entry), entered, permissions) {
			allowed = append(allowed, command)
		}
	}
	if a.log.Enabled(context.Background(), slog.LevelDebug) {
		a.logCommands(m, allowed)
	}
	return allowed, true
}

// checkCommand reports whether one command may be sent, and counts it.
func (a *audit) checkCommand(m *machine, command agent.Command, facts guard.TaskFacts, entered bool, permissions guard.Permissions) bool {
	if m.agent.fencing.mustRaiseFor(command) {
		a.reportViolation(invariantFencing, "task", command.Task, "attempt", command.Attempt, "machine", m.name, "action", command.Action)
		return false
	}
	switch command.Action {
	case agent.Start:
		refusal := facts.MayStart(permissions)
		if !entered || refusal != guard.StartAllowed {
			a.reportViolation(invariantStart, "task", command.Task, "attempt", command.Attempt, "machine", m.name, "entered", entered, "refusal", refusal)
			return false
		}
		a.decisions.starts++
	case agent.Stop:
		reason := guard.StopNotEntered
		if entered {
			reason = facts.MustStop()
		}
		a.decisions.stops[reason]++
	case agent.Remove:
		a.decisions.removals++
	}
	return true
}

// logCommands logs the tasks and attempts that a machine's commands name, and the proof that the commands
// rest on.
func (a *audit) logCommands(m *machine, commands []agent.Command) {
	attrs := append(a.freshness.logAttrs(), "machine", m.name, "fencing_token", a.replica.fencingToken(m), "agent_epoch", m.agent.epoch)
	for _, command := range commands {
		attrs = append(attrs, slog.Group(string(command.Action)+" "+command.Task, "attempt", command.Attempt))
	}
	a.log.Debug("commands", attrs...)
}

// attemptKey identifies an attempt of a task by the names that commands use.
type attemptKey struct {
	task    string
	attempt uint64
}

// entriesByAttempt returns a machine's entries, keyed as commands name them.
func (m *machine) entriesByAttempt() map[attemptKey]schema.Task {
	entries := make(map[attemptKey]schema.Task, len(m.doc.Tasks))
	for _, task := range m.doc.Tasks {
		entries[attemptKey{keyOf(task).task(), task.Attempt}] = task
	}
	return entries
}

// auditReleases undoes releases for which there is no proof, and counts the others.
func (s *stagedShard) auditReleases() {
	if !s.ownShard {
		return
	}
	for _, m := range s.machines {
		deleted := m.machine.deleted
		if deleted || m.machine.agent != nil && m.releasesEntries() {
			m.auditReleases()
		}
	}
}

// auditReleases undoes releases of one machine's entries for which there is no proof. All entries of a
// deleted machine are released.
func (m *stagedMachine) auditReleases() {
	kept := m.keptKeys()
	for _, task := range m.machine.doc.Tasks {
		if kept[keyOf(task)] && !m.machine.deleted {
			continue
		}
		if !m.shard.planner.audit.checkRelease(m.machine, task) {
			m.keepEntry(task)
		}
	}
}

// checkRelease reports whether an entry may be released, and counts the release or the violation.
func (a *audit) checkRelease(m *machine, task schema.Task) bool {
	reason := guard.ReleaseMachineDeleted // the machine may have no agent state to check
	if !m.deleted {
		reason = a.facts.ofTask(m, task).MayRelease(a.facts.ofPresence(m, task))
	}
	if reason == guard.KeepEntry {
		a.reportViolation(invariantRelease, "task", keyOf(task).task(), "attempt", task.Attempt, "machine", m.name)
		return false
	}
	a.decisions.releases[reason]++
	a.logRelease(m, task, reason)
	return true
}

// logRelease logs the release of an entry with the age of the evidence that it may rest on: how long ago the
// agent's latest heartbeat arrived, and how long ago a response with a start was sent that no newer heartbeat has
// followed.
func (a *audit) logRelease(m *machine, task schema.Task, reason guard.ReleaseReason) {
	if !a.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	attrs := []any{"task", keyOf(task).task(), "attempt", task.Attempt, "machine", m.name, "reason", reason}
	if m.agent != nil {
		attrs = append(attrs, "agent_epoch", m.agent.epoch, "sequence", m.agent.sequence, "heard_ago_s", (a.now - m.agent.heardAt).Seconds())
		if startAt := m.agent.responses.startAt; startAt > 0 {
			attrs = append(attrs, "start_ago_s", (a.now - startAt).Seconds())
		}
	}
	a.log.Debug("release", attrs...)
}

// auditForgotten refuses to remove jobs whose outcome is neither stored nor written in the same
// transaction.
func (p *plan) auditForgotten() {
	for _, shard := range p.replica.jobShards.all() {
		for _, id := range slices.Sorted(maps.Keys(p.joint.removedJobs[shard])) {
			if !p.outcomeStoredOrStaged(id) {
				p.audit.reportViolation(invariantForget, "job", id)
				delete(p.joint.removedJobs[shard], id)
			}
		}
	}
}

// outcomeStoredOrStaged reports whether a job's outcome is stored, or is written by this plan's transaction.
func (p *plan) outcomeStoredOrStaged(id string) bool {
	if _, stored := p.replica.outcomes.get(id); stored {
		return true
	}
	if j := p.replica.jobs[id]; j != nil && j.cancellationShown { // the outcome was written with the cancellation
		return true
	}
	return slices.ContainsFunc(p.joint.operations, func(op kv.Operation) bool { return op.Set == schema.OutcomePrefix+id })
}

// checkAnswer checks an answer to a user and returns the answer to send. An answer that was determined before
// the replica showed the job's outcome may differ from that outcome. It is then replaced by the outcome,
// which another controller may already have sent to a user.
func (a *audit) checkAnswer(answer *JobStatus) *JobStatus {
	outcome, stored := a.replica.outcomes.get(answer.ID)
	facts := answer.facts(outcome, stored)
	if facts.Contradicts() {
		a.reportViolation(invariantAnswer, "job", answer.ID, "stage", answer.Stage, "end", outcome.State)
	}
	if facts.Outdated() {
		answer = outcomeStatus(answer.ID, outcome)
		facts = answer.facts(outcome, stored)
	}
	if facts.Final {
		a.decisions.answers[facts.Basis()]++
	}
	return answer
}

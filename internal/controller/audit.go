package controller

import (
	"log/slog"
	"maps"
	"slices"

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
	invariantBinding = "no task bound without a stored entry or a write in flight"
	invariantFencing = "no attempt forgotten while a copy of its start could be carried out"
)

// reportViolation logs and counts an effect that was refused because it violates an invariant; facts are
// the log attributes that describe the effect. It should never be called.
func (a *audit) reportViolation(invariant string, facts ...any) {
	a.violations[invariant]++
	attrs := append([]any{"invariant", invariant}, facts...)
	a.log.Error("invariant violated, refused", append(attrs, a.freshness.logAttrs()...)...)
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

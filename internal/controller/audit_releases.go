package controller

import (
	"context"
	"log/slog"

	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

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

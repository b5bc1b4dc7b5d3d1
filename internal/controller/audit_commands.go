package controller

import (
	"context"
	"log/slog"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

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

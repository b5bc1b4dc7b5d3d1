package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

// factSource gathers the facts on which package guard bases its decisions: the contents of the replica, the
// reports of agents, and the permissions of this controller. It decides nothing and has no state of its own.
type factSource struct {
	*environment
	replica   *replica
	authority *authority
}

// ofTask returns the facts of a task that is entered on a machine.
func (f *factSource) ofTask(m *machine, task schema.Task) guard.TaskFacts {
	j := f.replica.acceptedJob(task.Job)
	if j == nil {
		return guard.TaskFacts{
			NotProvenOver: !f.replica.provenOver(task.Job, m.entriesSeen[keyOf(task)].revision),
			Cancelled:     f.replica.knownCancelled(task.Job),
			StopRequested: task.StopMode > 0,
		}
	}
	return guard.TaskFacts{
		Accepted:         true,
		Cancelled:        j.cancelled(),
		DependenciesDone: j.dependency.Ready(),
		Completed:        j.isDone(task.Index),
		CompletionStored: j.done.Contains(task.Index),
		StopRequested:    task.StopMode > 0,
		Superseded:       j.supersedes(task),
	}
}

// permissionsOver returns what this controller may do with a machine now.
func (f *factSource) permissionsOver(m *machine) guard.Permissions {
	return guard.Permissions{
		MayCommand: m.agent != nil && f.authority.leads(m.commandingPartition()),
		MayStart:   f.authority.mayStartTasks(),
	}
}

// ofPresence returns the facts of a task's presence on a machine that this controller commands.
func (f *factSource) ofPresence(m *machine, task schema.Task) guard.MachineFacts {
	status, listed := m.agent.tasks[keyOf(task)]
	return guard.MachineFacts{
		Reported:       listed && m.agent.heardAt > 0,
		Ended:          status.State == agent.Ended,
		TokenSeen:      f.replica.showsToken(m),
		LeaseExpired:   f.now > m.agent.leaseEnd,
		Quiesced:       f.quiesced(m),
		MachineDeleted: m.deleted,
	}
}

// countUndecided counts the entered tasks, on machines that this controller commands, whose jobs the replica
// neither shows as accepted nor proves to be over. Their entries stay until the replica does either.
func (f *factSource) countUndecided() int {
	undecided := 0
	for _, m := range f.replica.machines {
		if m.agent == nil {
			continue
		}
		for _, task := range m.doc.Tasks {
			if f.ofTask(m, task).NotProvenOver {
				undecided++
			}
		}
	}
	return undecided
}

// quiesced reports whether no command can still start a task on a machine, and its latest heartbeat lists all
// tasks that earlier commands started.
func (f *factSource) quiesced(m *machine) bool { return f.replica.quiesced(m) }

// shouldRun reports whether a task that is entered on a machine should run there.
func (f *factSource) shouldRun(m *machine, task schema.Task) bool {
	facts := f.ofTask(m, task)
	return facts.Accepted && facts.MustStop() == guard.KeepRunning
}

// mayRelease reports whether the entry of a task on a machine may be released, because the task is
// certainly not, or no longer, active there.
func (f *factSource) mayRelease(m *machine, task schema.Task) bool {
	return f.ofTask(m, task).MayRelease(f.ofPresence(m, task)) != guard.KeepEntry
}

// facts returns the facts of a job of a led partition; outcome is the job's stored outcome, or zero if none
// is stored.
func (j *job) facts(outcome schema.Outcome) guard.JobFacts {
	return guard.JobFacts{
		Cancelled:             j.cancelled(),
		CancellationShown:     j.cancellationShown,
		CancelledByDependency: j.dependency.CancelledBy() != "" || outcome.CancelledBy != "",
		HasEntries:            len(j.bindings) > 0,
		Completed:             j.doneCount() == j.spec.Tasks,
	}
}

// facts returns the facts of an answer to a user, given the stored outcome of the answer's job.
func (s *JobStatus) facts(outcome schema.Outcome, stored bool) guard.AnswerFacts {
	return guard.AnswerFacts{
		Final:         s.terminal(),
		Cancelled:     s.Stage == StageCancelled,
		OutcomeStored: stored,
		Agrees:        s.Stage == outcome.State,
	}
}

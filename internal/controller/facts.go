package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

// This file gathers the facts that package guard decides on. It decides nothing itself.

// taskFactsOf gathers what is known of a task that is entered on a machine.
func (c *Controller) taskFactsOf(t schema.Task) guard.TaskFacts {
	j := c.replica.jobs[t.Job]
	if j == nil || !j.accepted {
		return guard.TaskFacts{}
	}
	return guard.TaskFacts{
		Accepted:         true,
		Cancelled:        j.cancelled(),
		DependenciesDone: j.dependency.Ready(),
		Completed:        j.isDone(t.Index),
		CompletionStored: j.done.Contains(t.Index),
		StopRequested:    t.StopMode > 0,
	}
}

// permissionsOver is what this controller may do with a machine now.
func (c *Controller) permissionsOver(m *machine) guard.Permissions {
	return guard.Permissions{MayCommand: m.agent != nil && c.leads(m.part()), MayStart: c.mayStartTasks()}
}

// machineFactsOf gathers what is known of a task's presence on a machine that this controller
// commands.
func (c *Controller) machineFactsOf(m *machine, t schema.Task) guard.MachineFacts {
	status, listed := m.agent.tasks[keyOf(t)]
	return guard.MachineFacts{
		Reported:       listed && m.agent.heardAt > 0,
		Ended:          status.State == agent.Ended,
		TokenSeen:      m.agent.tokenSeen == c.fencingToken(m),
		LeaseExpired:   c.now > m.agent.leaseEnd,
		Quiesced:       c.quiesced(m),
		MachineDeleted: m.deleted,
	}
}

// facts gathers what is known of a job of a led partition; outcome is its stored one, if there is one.
func (j *job) facts(outcome schema.Outcome) guard.JobFacts {
	return guard.JobFacts{
		Cancelled:             j.cancelled(),
		CancellationShown:     j.cancellationShown,
		CancelledByDependency: j.dependency.CancelledBy() != "" || outcome.CancelledBy != "",
		Entered:               len(j.bindings) > 0,
		Completed:             j.doneCount() == j.spec.Tasks,
	}
}

// facts gathers what an answer says and what is stored of its job's outcome.
func (st *JobStatus) facts(outcome schema.Outcome, stored bool) guard.AnswerFacts {
	return guard.AnswerFacts{
		Final:         st.Stage == StageDone || st.Stage == StageCancelled,
		Cancelled:     st.Stage == StageCancelled,
		OutcomeStored: stored,
		Agrees:        st.Stage == outcome.State,
	}
}

// shouldRun reports whether a task that is entered on a machine should run there.
func (c *Controller) shouldRun(t schema.Task) bool {
	return c.taskFactsOf(t).MustStop() == guard.KeepRunning
}

// mayReleaseEntry reports whether a task that is entered on a machine is certainly not, or no longer,
// active there, so that its entry may go.
func (c *Controller) mayReleaseEntry(m *machine, t schema.Task) bool {
	return c.taskFactsOf(t).MayRelease(c.machineFactsOf(m, t)) != guard.KeepEntry
}

package simulator

import (
	"slices"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// brokenRunTime is how long a task of a job runs that fails everywhere.
const brokenRunTime = 2 * units.Second

// task is an attempt of a task on a machine.
type task struct {
	id           string // "j-1/3"
	jobID        string
	number       int
	attempt      uint64
	state        agent.TaskState
	cause        agent.Cause
	checkpointed bool
	imageReadyAt units.Micros // when its image has been fetched
	startedAt    units.Micros
	endsAt       units.Micros // when the task, or its checkpoint, completes
}

func taskID(jobID string, number int) string { return jobID + "/" + strconv.Itoa(number) }

// runs reports whether the task's program is running, also while it saves a checkpoint.
func (t *task) runs() bool { return t.state == agent.Running || t.state == agent.Checkpointing }

func (a *fakeAgent) sortedTasks() []*task {
	var sorted []*task
	for _, t := range a.tasks {
		sorted = append(sorted, t)
	}
	slices.SortFunc(sorted, func(x, y *task) int { return strings.Compare(x.id, y.id) })
	return sorted
}

// dropTasks ends all tasks and deletes them from the machine.
func (a *fakeAgent) dropTasks() {
	for _, t := range a.sortedTasks() {
		a.stopProgram(t)
		delete(a.tasks, t.id)
	}
}

// endTask ends a task. The machine keeps its outcome until a controller commands its removal.
func (a *fakeAgent) endTask(t *task, cause agent.Cause) {
	a.stopProgram(t)
	t.state, t.cause = agent.Ended, cause
	a.changed = true
	if cause != agent.CauseDone {
		return
	}
	a.world.checker.taskCompleted(t.jobID, t.number)
	if a.world.checker.allCompleted(t.jobID) {
		a.world.users.jobCompleted(t.jobID)
	}
}

func (a *fakeAgent) stopProgram(t *task) {
	if t.runs() {
		a.world.checker.taskStopped(a.name, t.jobID, t.number)
	}
}

// anyTaskDue reports whether any task may change its state now: in most ticks none does.
func (a *fakeAgent) anyTaskDue() bool {
	now := a.world.now
	for _, t := range a.tasks {
		if a.failsTasks || t.state == agent.Pulling && now >= t.imageReadyAt || t.runs() && now >= t.endsAt {
			return true
		}
	}
	return false
}

// advanceTasks moves every task that is due to its next state.
func (a *fakeAgent) advanceTasks() {
	if !a.anyTaskDue() {
		return
	}
	for _, t := range a.sortedTasks() {
		switch t.state {
		case agent.Pulling:
			a.advancePulling(t)
		case agent.Running:
			a.advanceRunning(t)
		case agent.Checkpointing:
			a.advanceCheckpointing(t)
		case agent.Ended: // stays until a controller commands its removal
		}
	}
}

// advancePulling starts a task whose image has been fetched.
func (a *fakeAgent) advancePulling(t *task) {
	now := a.world.now
	if now < t.imageReadyAt {
		return
	}
	job := a.world.users.job(t.jobID)
	a.images[job.spec.Image] = true
	t.state = agent.Running
	a.changed = true
	a.world.checker.taskStarted(a.name, a.listed, t.jobID, t.number)
	if a.world.store.progress.isStored(t.jobID, t.number) {
		a.world.checker.repeatedStarts++
	}
	t.startedAt = now
	switch {
	case a.world.checker.isCompleted(t.jobID, t.number):
		t.endsAt = now // the result of the first run is kept: this one ends immediately
	case a.failsTasks:
		t.endsAt = now + a.failAfter
	case job.failsEverywhere:
		t.endsAt = now + brokenRunTime
	default:
		t.endsAt = now + units.FromSeconds(job.runTime(t.number)*a.slowdown)
	}
}

// advanceRunning ends an array task whose run time is over, and any task that has run for the machine's
// failAfter while the machine fails all tasks.
func (a *fakeAgent) advanceRunning(t *task) {
	now := a.world.now
	job := a.world.users.job(t.jobID)
	switch {
	case now >= t.endsAt && !job.spec.Service:
		cause := agent.CauseDone
		if (a.failsTasks || job.failsEverywhere) && !a.world.checker.isCompleted(t.jobID, t.number) {
			cause = agent.CauseError
		}
		a.endTask(t, cause)
	case a.failsTasks && now >= t.startedAt+a.failAfter:
		a.endTask(t, agent.CauseError)
	}
}

// advanceCheckpointing ends a task whose checkpoint is saved.
func (a *fakeAgent) advanceCheckpointing(t *task) {
	if a.world.now < t.endsAt {
		return
	}
	t.checkpointed = true
	a.endTask(t, agent.CauseStopped)
}

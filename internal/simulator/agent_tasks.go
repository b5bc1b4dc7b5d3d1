package simulator

import (
	"sort"
	"strconv"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/units"
)

// failAfter is how long a task runs that fails.
const failAfter = 2 * units.Second

// task is an attempt of a task on a machine.
type task struct {
	jobID        string
	number       int
	attempt      uint64
	state        agent.TaskState
	cause        agent.Cause
	checkpointed bool
	imageReadyAt units.Micros // when its image has been fetched
	startedAt    units.Micros
	endsAt       units.Micros // when it completes, or its checkpoint does
}

func taskID(jobID string, number int) string { return jobID + "/" + strconv.Itoa(number) }

func (t *task) id() string { return taskID(t.jobID, t.number) }

// runs reports whether the task's program is alive.
func (t *task) runs() bool { return t.state == agent.Running || t.state == agent.Checkpointing }

func (a *fakeAgent) sortedTasks() []*task {
	var sorted []*task
	for _, t := range a.tasks {
		sorted = append(sorted, t)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].id() < sorted[j].id() })
	return sorted
}

// dropAll ends all tasks; the machine forgets them.
func (a *fakeAgent) dropAll() {
	for _, t := range a.sortedTasks() {
		a.stopProgram(t)
		delete(a.tasks, t.id())
	}
}

// endTask ends a task; the machine keeps its outcome until a controller has it removed.
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

// anyTaskDue reports whether some task's time may have come: most ticks have none.
func (a *fakeAgent) anyTaskDue() bool {
	now := a.world.now
	for _, t := range a.tasks {
		if a.failsTasks || t.state == agent.Pulling && now >= t.imageReadyAt || t.runs() && now >= t.endsAt {
			return true
		}
	}
	return false
}

// advanceTasks moves every task on whose time has come.
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
		case agent.Ended: // it stays until a controller has it removed
		}
	}
}

// advancePulling starts a task whose image is there.
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
	t.startedAt = now
	switch {
	case a.world.checker.isCompleted(t.jobID, t.number):
		t.endsAt = now // the result of the first run is kept
	case a.failsTasks || job.failing:
		t.endsAt = now + failAfter
	default:
		t.endsAt = now + units.FromSeconds(job.runSeconds*a.slowdown)
	}
}

// advanceRunning ends a task of an array whose time is over, and any on a machine that fails them.
func (a *fakeAgent) advanceRunning(t *task) {
	now := a.world.now
	job := a.world.users.job(t.jobID)
	switch {
	case now >= t.endsAt && !job.spec.Service:
		cause := agent.CauseDone
		if (a.failsTasks || job.failing) && !a.world.checker.isCompleted(t.jobID, t.number) {
			cause = agent.CauseError
		}
		a.endTask(t, cause)
	case a.failsTasks && now >= t.startedAt+failAfter:
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

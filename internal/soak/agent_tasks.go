package soak

import (
	"strconv"
	"strings"
	"time"

	"frostdock.example/frostdock/internal/agent"
)

// agentTask is an attempt of a task on a machine.
type agentTask struct {
	id      string
	jobID   string
	index   int
	attempt uint64
	state   agent.TaskState
	cause   agent.Cause
	fails   bool      // it ends with an error
	dueAt   time.Time // when its image is pulled, or when it completes or fails
}

// isOnMachine reports whether the protocol counts the task as being on the machine.
func (t *agentTask) isOnMachine() bool {
	return t.state == agent.Running || t.state == agent.Checkpointing
}

// Causes with which an agent refuses a start.
const (
	causeNoSuchTask = "no_such"
	causeNoCapacity = "no_room"
)

// minPullTime and maxPullTime bound the time to pull an image.
const minPullTime, maxPullTime = 20 * time.Millisecond, 300 * time.Millisecond

// Shares of the starts that end with an error, while faults are injected. Services fail more often, since their tasks go
// on elsewhere until the end, so that another start of the failed attempt shows.
const (
	failingArrayShare   = 0.08
	failingServiceShare = 0.4
	maxTimeToFailure    = 500 * time.Millisecond
)

// cpuRounding is the rounding error allowed in a machine's sum of CPUs.
const cpuRounding = 1e-9

// advance moves a task to its next state once dueAt is reached.
func (a *fakeAgent) advance(task *agentTask, now time.Time) {
	if now.Before(task.dueAt) || task.state == agent.Ended {
		return
	}
	job := a.world.users.job(task.jobID)
	switch task.state {
	case agent.Pulling:
		a.beginTask(task, now, job)
	case agent.Running:
		if task.fails {
			a.endTask(task, agent.CauseError)
		} else if !job.facts.Service {
			a.endTask(task, agent.CauseDone)
			a.world.checker.Completed(task.jobID, task.index)
		}
	case agent.Checkpointing:
		a.endTask(task, agent.CauseStopped)
	case agent.Ended: // returned above
	}
}

// beginTask runs a task whose image is pulled. If an earlier attempt has completed, the task finds
// the stored result and completes immediately.
func (a *fakeAgent) beginTask(task *agentTask, now time.Time, job *userJob) {
	task.state, a.changed = agent.Running, true
	a.world.checker.TaskStarted(a.listed.Name, a.listed.Zone, a.listed.Spot, task.jobID, task.index)
	a.world.events.add("task %s attempt %d starts on %s", task.id, task.attempt, a.listed.Name)
	task.dueAt = now.Add(job.runTimeOf(task.index))
	failingShare := failingArrayShare
	if job.facts.Service {
		failingShare = failingServiceShare
	}
	switch {
	case a.world.checker.IsCompleted(task.jobID, task.index):
		task.dueAt = now
	case !a.world.faultsOver.Load() && a.world.rng.chance(failingShare):
		task.fails, task.dueAt = true, now.Add(a.world.rng.between(0, maxTimeToFailure))
	}
}

func (a *fakeAgent) endTask(task *agentTask, cause agent.Cause) {
	a.reportStopped(task)
	task.state, task.cause, a.changed = agent.Ended, cause, true
}

// dropTasks ends all tasks and removes them, so that no heartbeat reports their end.
func (a *fakeAgent) dropTasks() {
	for id, task := range a.tasks {
		a.reportStopped(task)
		delete(a.tasks, id)
	}
}

func (a *fakeAgent) reportStopped(task *agentTask) {
	if task.isOnMachine() {
		a.world.checker.TaskStopped(a.listed.Name, task.jobID, task.index)
	}
}

func (a *fakeAgent) execute(commands []agent.Command) {
	for _, command := range commands {
		task := a.tasks[command.Task]
		sameAttempt := task != nil && task.attempt == command.Attempt
		switch command.Action {
		case agent.Start:
			if !sameAttempt {
				a.startTask(command, task)
			}
		case agent.Stop:
			if sameAttempt && task.state != agent.Ended {
				a.endTask(task, agent.CauseStopped)
			}
		case agent.Remove:
			if sameAttempt && task.state == agent.Ended {
				delete(a.tasks, command.Task)
				a.changed = true
			}
		}
	}
}

// startTask executes a start command, unless another attempt of the task has not ended yet.
func (a *fakeAgent) startTask(command agent.Command, previous *agentTask) {
	if previous != nil && previous.state != agent.Ended {
		return
	}
	jobID, digits, _ := strings.Cut(command.Task, "/")
	index, err := strconv.Atoi(digits)
	if err != nil {
		return
	}
	task := &agentTask{id: command.Task, jobID: jobID, index: index, attempt: command.Attempt, state: agent.Pulling}
	task.dueAt = time.Now().Add(a.world.rng.between(minPullTime, maxPullTime))
	if cause := a.refusalCause(jobID, index); cause != "" {
		task.state, task.cause = agent.Ended, cause
	}
	a.tasks[command.Task] = task
	a.changed = true
}

// refusalCause returns why a task can't start on the machine, or "" if it can.
func (a *fakeAgent) refusalCause(jobID string, index int) agent.Cause {
	job := a.world.users.job(jobID)
	switch {
	case job == nil || index >= job.facts.Tasks:
		return causeNoSuchTask
	case a.usedCPUs()+job.facts.CPUs > machineCPUs+cpuRounding:
		return causeNoCapacity
	}
	return ""
}

func (a *fakeAgent) usedCPUs() float64 {
	used := 0.0
	for _, task := range a.tasks {
		if task.state != agent.Ended {
			used += a.world.users.job(task.jobID).facts.CPUs
		}
	}
	return used
}

package simulator

import (
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

// Causes with which an agent refuses to start a task, as they are on the wire.
const (
	causeUnknownTask agent.Cause = "no_such"
	causeNoCapacity  agent.Cause = "no_room"
)

const (
	commandTimeout = 2 * units.Second
	fitTolerance   = 1e-9 // for rounding errors in sums of resources
)

// execute carries out commands that were sent at sentAt.
func (a *fakeAgent) execute(commands []agent.Command, sentAt units.Micros) {
	for i := range commands {
		command := &commands[i]
		jobID, digits, _ := strings.Cut(command.Task, "/")
		number, err := strconv.Atoi(digits)
		if err != nil {
			continue
		}
		switch command.Action {
		case agent.Start:
			a.start(command, jobID, number, sentAt)
		case agent.Stop:
			a.stop(command)
		case agent.Remove:
			a.removeEnded(command)
		}
	}
}

// start begins an attempt once; a repeated command has no effect.
func (a *fakeAgent) start(command *agent.Command, jobID string, number int, sentAt units.Micros) {
	previous := a.tasks[command.Task]
	if previous != nil && previous.attempt == command.Attempt {
		return
	}
	a.world.checker.startCommanded(jobID, number, a.name, sentAt)
	a.changed = true
	if previous != nil && previous.state != agent.Ended {
		return // refused: controllers see the earlier attempt until it is removed
	}
	t := &task{id: taskID(jobID, number), jobID: jobID, number: number, attempt: command.Attempt, state: agent.Ended}
	job := a.world.users.find(jobID)
	switch {
	case job == nil || number >= job.spec.Tasks:
		t.cause = causeUnknownTask
	case !a.freeCapacity().covers(requestOf(&job.spec), fitTolerance):
		t.cause = causeNoCapacity
	default:
		t.state = agent.Pulling
		t.imageReadyAt = a.world.now + a.fetchTime(job)
	}
	a.tasks[t.id] = t
}

// fetchTime returns how long fetching the job's image takes; 0 if the machine has the image.
func (a *fakeAgent) fetchTime(job *userJob) units.Micros {
	if a.images[job.spec.Image] {
		return 0
	}
	return units.FromSeconds(job.spec.ImageGB / a.machineType.FetchGBPerSecond)
}

// freeCapacity returns the machine's capacity minus what its tasks that have not ended request.
func (a *fakeAgent) freeCapacity() resources {
	free := resources{cpus: a.machineType.CPUs, gpus: a.machineType.GPUs, memGB: a.machineType.MemGB}
	for _, t := range a.sortedTasks() {
		if t.state != agent.Ended {
			free = free.minus(requestOf(&a.world.users.job(t.jobID).spec))
		}
	}
	return free
}

// stop ends an attempt, after a checkpoint if its job makes checkpoints and the grace period is long
// enough.
func (a *fakeAgent) stop(command *agent.Command) {
	t := a.tasks[command.Task]
	if t == nil || t.attempt != command.Attempt || t.state == agent.Ended {
		return
	}
	spec := &a.world.users.job(t.jobID).spec
	switch {
	case t.state == agent.Running && spec.CheckpointIntervalSeconds > 0 && command.GracePeriodSeconds >= spec.CheckpointSeconds:
		t.state, t.endsAt = agent.Checkpointing, a.world.now+units.FromSeconds(spec.CheckpointSeconds)
		a.changed = true
	case t.state != agent.Checkpointing || command.GracePeriodSeconds == 0:
		a.endTask(t, agent.CauseStopped)
	}
}

// removeEnded deletes an attempt that has ended.
func (a *fakeAgent) removeEnded(command *agent.Command) {
	t := a.tasks[command.Task]
	if t != nil && t.attempt == command.Attempt && t.state == agent.Ended {
		delete(a.tasks, command.Task)
		a.changed = true
	}
}

// callAgent sends direct commands or an inspection to a machine. One that arrives while the machine
// hangs is served when the machine resumes.
func (w *World) callAgent(caller string, request controller.AgentCall, done func(controller.AgentResult)) {
	machine, _, _ := strings.Cut(request.Address, ":")
	sentAt := w.now
	call(w, caller, machine, commandTimeout, func(answer func(controller.AgentResult)) {
		worker := w.workers[machine]
		if worker == nil {
			return
		}
		worker.whenRunning(func() {
			result, executed := worker.serve(&request, sentAt)
			answer(result)
			if executed {
				w.maybeRepeat(caller, machine, &request, sentAt)
			}
		})
	}, func(result controller.AgentResult, ok bool) {
		if !ok {
			result = controller.AgentResult{}
		}
		result.CallID = request.CallID
		done(result)
	})
}

// whenRunning serves a call now or, while the machine hangs, when it resumes.
func (a *fakeAgent) whenRunning(serve func()) {
	if a.hangs() {
		a.delayedCommands = append(a.delayedCommands, serve)
		return
	}
	serve()
}

// serve carries out direct commands and returns the machine's state. Commands of a superseded leader,
// and those for an earlier epoch, are ignored. executed reports whether commands were carried out.
func (a *fakeAgent) serve(request *controller.AgentCall, sentAt units.Micros) (result controller.AgentResult, executed bool) {
	a.checkLease()
	commands := request.Commands
	if commands != nil && commands.FencingToken >= a.token && commands.Epoch == a.epoch {
		a.raiseToken(commands.FencingToken)
		a.execute(commands.Commands, sentAt)
		executed = true
	}
	heartbeat := a.heartbeat()
	return controller.AgentResult{Heartbeat: roundTrip(&heartbeat)}, executed
}

// maybeRepeat delivers direct commands that were carried out once more. Nobody receives the answers. A machine that was
// restarted meanwhile receives none: its connections are gone.
func (w *World) maybeRepeat(caller, machine string, request *controller.AgentCall, sentAt units.Micros) {
	worker := w.workers[machine]
	restarts := worker.restarts
	w.repeatLater(w.network.repeatRate, caller, machine, func() {
		if w.workers[machine] == worker && worker.restarts == restarts {
			worker.whenRunning(func() { worker.serve(request, sentAt) })
		}
	})
}

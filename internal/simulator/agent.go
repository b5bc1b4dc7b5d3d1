package simulator

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

// fakeAgent is one machine's agent.
type fakeAgent struct {
	world       *World
	name        string
	listed      cloud.ListedMachine
	machineType *cloud.MachineType
	running     bool

	epoch, seq, token uint64
	leaseRenewedAt    units.Micros // when the last answered report was sent
	tasks             map[string]*task
	images            map[string]bool
	controllerIndex   int
	inFlight          bool
	sentAt            units.Micros
	nextHeartbeat     units.Micros
	changed           bool
	tokenRaisedAt     units.Micros
	hungUntil         units.Micros
	delayedCommands   []func() // commands that came while it hung
	failsTasks        bool
	slowdown          float64
	spotNotice        *float64
}

type task struct {
	jobID        string
	num          int
	attempt      uint64
	state        agent.TaskState
	cause        agent.Cause
	checkpointed bool
	imageReadyAt units.Micros // when its image is there
	endsAt       units.Micros // when it completes
	startedAt    units.Micros
}

func (t *task) id() string { return t.jobID + "/" + strconv.Itoa(t.num) }

func (w *World) addWorker(name string, listed cloud.ListedMachine, machineType *cloud.MachineType) {
	worker := &fakeAgent{world: w, name: name, listed: listed, machineType: machineType, running: true, epoch: 1, tasks: map[string]*task{}, images: map[string]bool{},
		leaseRenewedAt: w.now, slowdown: 1, controllerIndex: w.rng.IntN(len(w.processes))}
	w.workers[name] = worker
	w.workerNames = append(w.workerNames, name)
	worker.nextHeartbeat = w.now + units.Micros(w.rng.Int64N(int64(units.Second)))
	w.every(100*units.Millisecond, worker.tick)
}

func (w *World) removeWorker(name string) {
	worker := w.workers[name]
	if worker == nil || !worker.running {
		return
	}
	for _, running := range worker.sortedTasks() {
		worker.drop(running)
	}
	worker.running = false
	delete(w.workers, name)
}

func (a *fakeAgent) sortedTasks() []*task {
	var out []*task
	for _, t := range a.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id() < out[j].id() })
	return out
}

// drop ends whatever the task does; the machine forgets it.
func (a *fakeAgent) drop(t *task) {
	if t.state == agent.Running || t.state == agent.Checkpointing {
		a.world.Checker.TaskStopped(a.name, t.jobID, t.num)
	}
	delete(a.tasks, t.id())
}

func (a *fakeAgent) endTask(t *task, cause agent.Cause) {
	if t.state == agent.Running || t.state == agent.Checkpointing {
		a.world.Checker.TaskStopped(a.name, t.jobID, t.num)
	}
	t.state, t.cause = agent.Ended, cause
	a.changed = true
	if cause == agent.CauseDone {
		a.world.Checker.Completed(t.jobID, t.num)
		if a.world.Checker.AllCompleted(t.jobID) {
			a.world.users.jobCompleted(t.jobID)
		}
	}
}

func (a *fakeAgent) lease() units.Micros { return a.world.processes[0].cfg.Settings.Lease() }

func (a *fakeAgent) tick() {
	now := a.world.now
	if !a.running {
		return
	}
	a.checkLease() // also while it hangs: it may go on within its lease only
	if now < a.hungUntil {
		return
	}
	for _, command := range a.delayedCommands {
		command()
	}
	a.delayedCommands = nil
	due := false
	for _, t := range a.tasks {
		due = due || a.failsTasks || t.state == agent.Pulling && now >= t.imageReadyAt || (t.state == agent.Running || t.state == agent.Checkpointing) && now >= t.endsAt
	}
	if due {
		a.advance()
	}
	if !a.inFlight && (now >= a.nextHeartbeat || a.changed && now-a.sentAt >= 500*units.Millisecond) {
		a.sendHeartbeat()
	}
}

// advance moves every task on whose time has come.
func (a *fakeAgent) advance() {
	now := a.world.now
	for _, current := range a.sortedTasks() {
		switch {
		case current.state == agent.Pulling && now >= current.imageReadyAt:
			job := a.world.users.job(current.jobID)
			a.images[job.spec.Image] = true
			current.state = agent.Running
			a.changed = true
			a.world.Checker.TaskStarted(a.name, a.listed, current.jobID, current.num)
			current.startedAt = now
			run := units.FromSeconds(job.runSeconds * a.slowdown)
			switch {
			case a.world.Checker.IsCompleted(current.jobID, current.num):
				run = 0 // the result is kept
			case a.failsTasks || job.failing:
				run = 2 * units.Second
			}
			current.endsAt = now + run
		case current.state == agent.Running && now >= current.endsAt && !a.world.users.job(current.jobID).spec.Service:
			if (a.failsTasks || a.world.users.job(current.jobID).failing) && !a.world.Checker.IsCompleted(current.jobID, current.num) {
				a.endTask(current, agent.CauseError)
			} else {
				a.endTask(current, agent.CauseDone)
			}
		case current.state == agent.Running && a.failsTasks && now >= current.startedAt+2*units.Second:
			a.endTask(current, agent.CauseError)
		case current.state == agent.Checkpointing && now >= current.endsAt:
			current.checkpointed = true
			a.endTask(current, agent.CauseStopped)
		}
	}
}

// checkLease ends the session when the last answered report is too old.
func (a *fakeAgent) checkLease() {
	if a.world.now-a.leaseRenewedAt > a.lease() {
		for _, t := range a.sortedTasks() {
			a.drop(t)
		}
		a.epoch++
		a.leaseRenewedAt = a.world.now
		a.changed = true
	}
}

func (a *fakeAgent) heartbeat() agent.Heartbeat {
	a.seq++
	heartbeat := agent.Heartbeat{Machine: a.name, Addr: a.listed.Addr, Type: a.listed.Type, Zone: a.listed.Zone, Spot: a.listed.Spot,
		Epoch: a.epoch, Sequence: a.seq, FencingToken: a.token, InterruptionNoticeSeconds: a.spotNotice}
	for _, t := range a.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, agent.TaskStatus{Task: t.id(), Attempt: t.attempt, State: t.state, Cause: t.cause, CheckpointSaved: t.checkpointed})
	}
	return heartbeat
}

func (a *fakeAgent) sendHeartbeat() {
	w := a.world
	a.inFlight, a.changed = true, false
	a.sentAt = w.now
	period := a.world.processes[0].cfg.Settings.HeartbeatPeriod()
	a.nextHeartbeat = w.now + units.Micros(float64(period)*(0.75+0.5*w.rng.Float64()))
	heartbeat := a.heartbeat()
	target, epoch, sent := w.processes[a.controllerIndex], a.epoch, w.now
	if w.duplicateRate > 0 && w.rng.Float64() < w.duplicateRate { // nobody waits for its answer
		other := w.processes[w.rng.IntN(len(w.processes))]
		late := units.FromSeconds(1 + w.rng.Float64()*w.rng.Float64()*3*a.lease().Seconds())
		w.after(late, func() {
			other.request(func(to uint64) controller.Message {
				return controller.HeartbeatRequest{RequestID: to, Heartbeat: heartbeat}
			}, func(controller.Reply) {})
		})
	}
	call(w, a.name, target.name, 4*units.Second, func(answer func(controller.Reply)) {
		target.request(func(to uint64) controller.Message {
			return controller.HeartbeatRequest{RequestID: to, Heartbeat: heartbeat}
		}, answer)
	}, func(reply controller.Reply, ok bool) {
		a.inFlight = false
		if !a.running || w.now < a.hungUntil {
			return
		}
		a.checkLease()
		if !ok || reply.Status != 200 {
			a.chooseController(reply)
			return
		}
		answer := reply.Body.(agent.HeartbeatResponse)
		if a.epoch != epoch || answer.FencingToken < a.token {
			return
		}
		a.raiseToken(answer.FencingToken)
		a.leaseRenewedAt = sent
		a.execute(answer.Commands, w.now)
	})
}

func (a *fakeAgent) raiseToken(token uint64) {
	if token > a.token {
		a.token = token
		if a.world.now-a.tokenRaisedAt > a.lease()/2 || a.tokenRaisedAt == 0 {
			a.changed = true
			a.tokenRaisedAt = a.world.now
		}
	}
}

func (a *fakeAgent) chooseController(reply controller.Reply) {
	if redirect, ok := reply.Body.(agent.Redirect); ok && reply.Status == 421 && redirect.LeaderAddr != "" {
		for i, process := range a.world.processes {
			if process.name == redirect.LeaderAddr && i != a.controllerIndex {
				a.controllerIndex = i
				a.nextHeartbeat = a.world.now + units.Micros(a.world.rng.Int64N(int64(500*units.Millisecond)))
				return
			}
		}
	}
	a.controllerIndex = (a.controllerIndex + 1) % len(a.world.processes)
	a.nextHeartbeat = a.world.now + units.Second
}

// execute carries out orders that were given at a time.
func (a *fakeAgent) execute(orders []agent.Command, sentAt units.Micros) {
	for _, command := range orders {
		jobID, digits, _ := strings.Cut(command.Task, "/")
		num, err := strconv.Atoi(digits)
		if err != nil {
			continue
		}
		t := a.tasks[command.Task]
		switch command.Action {
		case agent.Start:
			if t != nil && t.attempt == command.Attempt {
				continue
			}
			a.world.Checker.LaunchCommanded(jobID, num, a.name, sentAt)
			a.launch(jobID, num, command.Attempt, t)
		case agent.Stop:
			if t == nil || t.attempt != command.Attempt || t.state == agent.Ended {
				continue
			}
			job := a.world.users.job(jobID)
			if t.state == agent.Running && job.spec.CheckpointIntervalSeconds > 0 && command.GracePeriodSeconds >= job.spec.CheckpointSeconds {
				t.state, t.endsAt = agent.Checkpointing, a.world.now+units.FromSeconds(job.spec.CheckpointSeconds)
				a.changed = true
			} else if t.state != agent.Checkpointing || command.GracePeriodSeconds == 0 {
				a.endTask(t, agent.CauseStopped)
			}
		case agent.Remove:
			if t != nil && t.attempt == command.Attempt && t.state == agent.Ended {
				delete(a.tasks, command.Task)
				a.changed = true
			}
		}
	}
}

func (a *fakeAgent) launch(jobID string, num int, attempt uint64, previous *task) {
	a.changed = true
	t := &task{jobID: jobID, num: num, attempt: attempt, state: agent.Ended}
	job := a.world.users.find(jobID)
	switch {
	case previous != nil && previous.state != agent.Ended:
		// Shown under a key of its own until it is reaped: a refused start.
		return
	case job == nil || num >= job.spec.Tasks:
		t.cause = "no_such"
	case !a.fits(job):
		t.cause = "no_room"
	default:
		t.state = agent.Pulling
		t.imageReadyAt = a.world.now
		if !a.images[job.spec.Image] {
			t.imageReadyAt += units.FromSeconds(job.spec.ImageGB / a.machineType.FetchGBPerSecond)
		}
	}
	a.tasks[t.id()] = t
}

func (a *fakeAgent) fits(job *userJob) bool {
	cpus, gpus, mem := a.machineType.CPUs, a.machineType.GPUs, a.machineType.MemGB
	for _, t := range a.tasks {
		if t.state != agent.Ended {
			other := a.world.users.job(t.jobID)
			cpus, gpus, mem = cpus-other.spec.CPUs, gpus-other.spec.GPUs, mem-other.spec.MemGB
		}
	}
	return cpus >= job.spec.CPUs-1e-9 && gpus >= job.spec.GPUs-1e-9 && mem >= job.spec.MemGB-1e-9
}

// sendCommand carries a direct command, or a question, to a worker. One that
// arrives while the machine hangs is carried out when it goes on.
func (w *World) sendCommand(caller string, command controller.AgentCall, done func(controller.AgentResult)) {
	name, _, _ := strings.Cut(command.Address, ":")
	sentAt := w.now
	call(w, caller, name, 2*units.Second, func(answer func(controller.AgentResult)) {
		worker := w.workers[name]
		if worker == nil {
			return
		}
		execute := func() {
			worker.checkLease()
			if c := command.Commands; c != nil && c.FencingToken >= worker.token && c.Epoch == worker.epoch {
				worker.raiseToken(c.FencingToken)
				worker.execute(c.Commands, sentAt)
			}
			heartbeat := worker.heartbeat()
			answer(controller.AgentResult{Heartbeat: roundTrip(&heartbeat)})
		}
		if w.now < worker.hungUntil {
			worker.delayedCommands = append(worker.delayedCommands, execute)
			return
		}
		execute()
	}, func(result controller.AgentResult, ok bool) {
		if !ok {
			result = controller.AgentResult{}
		}
		result.CallID = command.CallID
		done(result)
	})
}

// roundTrip encodes and decodes a report, so that the wire form is exercised.
func roundTrip(sent *agent.Heartbeat) *agent.Heartbeat {
	encoded, err := json.Marshal(sent)
	if err != nil {
		panic(err)
	}
	var out agent.Heartbeat
	if err := json.Unmarshal(encoded, &out); err != nil {
		panic(err)
	}
	return &out
}

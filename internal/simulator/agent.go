package simulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

const (
	firstEpoch          = 1
	agentTickPeriod     = 100 * units.Millisecond
	heartbeatTimeout    = 4 * units.Second
	minHeartbeatSpacing = 500 * units.Millisecond // between one heartbeat and the next, when something has changed
	failAfter           = 2 * units.Second        // how long a task runs that fails
)

// fakeAgent is one machine's agent: it sends heartbeats, carries commands out, and drops all tasks
// when its lease expires.
type fakeAgent struct {
	world       *World
	name        string
	listed      cloud.ListedMachine
	machineType *cloud.MachineType
	running     bool

	epoch, sequence, token uint64
	tokenRaisedAt          units.Micros
	leaseRenewedAt         units.Micros // when the last answered heartbeat was sent

	tasks  map[string]*task // by id
	images map[string]bool  // those that are on the machine

	controllerIndex int // which controller gets the next heartbeat
	inFlight        bool
	sentAt          units.Micros
	nextHeartbeat   units.Micros
	changed         bool // something happened that controllers don't know yet

	hungUntil       units.Micros
	delayedCommands []func() // those that came while it hung
	failsTasks      bool
	slowdown        float64 // how many times longer tasks take
	spotNotice      *float64
}

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

func (w *World) addWorker(name string, listed cloud.ListedMachine, machineType *cloud.MachineType) {
	worker := &fakeAgent{
		world:           w,
		name:            name,
		listed:          listed,
		machineType:     machineType,
		running:         true,
		epoch:           firstEpoch,
		leaseRenewedAt:  w.now,
		tasks:           map[string]*task{},
		images:          map[string]bool{},
		controllerIndex: w.rng.IntN(len(w.processes)),
		slowdown:        1,
	}
	w.workers[name] = worker
	w.workerNames = append(w.workerNames, name)
	worker.nextHeartbeat = w.now + units.Micros(w.rng.Int64N(int64(units.Second)))
	w.every(agentTickPeriod, worker.tick)
}

// removeWorker ends a machine with all that is on it.
func (w *World) removeWorker(name string) {
	worker := w.workers[name]
	if worker == nil || !worker.running {
		return
	}
	worker.dropAll()
	worker.running = false
	delete(w.workers, name)
}

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

func (a *fakeAgent) lease() units.Micros { return a.world.settings.Lease() }

// hangs reports whether the machine stands still.
func (a *fakeAgent) hangs() bool { return a.world.now < a.hungUntil }

// hang makes the machine stand still; its tasks make no progress meanwhile.
func (a *fakeAgent) hang(duration units.Micros) {
	a.hungUntil = a.world.now + duration
	for _, t := range a.tasks {
		t.endsAt += duration
		t.imageReadyAt += duration
	}
}

// failTasks makes the machine fail all tasks for a while.
func (a *fakeAgent) failTasks(duration units.Micros) {
	a.failsTasks = true
	a.world.after(duration, func() { a.failsTasks = false })
}

// slowDown makes tasks that start from now on take longer.
func (a *fakeAgent) slowDown(factor float64) { a.slowdown = factor }

// reboot restarts the machine at once; it knows nothing of its life before.
func (a *fakeAgent) reboot() {
	a.dropAll()
	a.epoch, a.sequence, a.token = firstEpoch, 0, 0
	a.leaseRenewedAt, a.changed = a.world.now, true
}

// receiveNotice tells the agent that its spot instance will be interrupted.
func (a *fakeAgent) receiveNotice(notice units.Micros) {
	seconds := notice.Seconds()
	a.spotNotice, a.changed = &seconds, true
}

func (a *fakeAgent) tick() {
	if !a.running {
		return
	}
	a.checkLease() // also while it hangs: it may go on within its lease only
	if a.hangs() {
		return
	}
	for _, execute := range a.delayedCommands {
		execute()
	}
	a.delayedCommands = nil
	a.advanceTasks()
	now := a.world.now
	if !a.inFlight && (now >= a.nextHeartbeat || a.changed && now-a.sentAt >= minHeartbeatSpacing) {
		a.sendHeartbeat()
	}
}

// checkLease begins a new epoch, without any task, when the last answered heartbeat is too old.
func (a *fakeAgent) checkLease() {
	if a.world.now-a.leaseRenewedAt <= a.lease() {
		return
	}
	a.dropAll()
	a.epoch++
	a.leaseRenewedAt = a.world.now
	a.changed = true
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

// heartbeat tells the machine's present state under the next sequence number.
func (a *fakeAgent) heartbeat() agent.Heartbeat {
	a.sequence++
	heartbeat := agent.Heartbeat{
		Machine:                   a.name,
		Addr:                      a.listed.Addr,
		Type:                      a.listed.Type,
		Zone:                      a.listed.Zone,
		Spot:                      a.listed.Spot,
		Epoch:                     a.epoch,
		Sequence:                  a.sequence,
		FencingToken:              a.token,
		InterruptionNoticeSeconds: a.spotNotice,
	}
	for _, t := range a.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, agent.TaskStatus{
			Task:            t.id(),
			Attempt:         t.attempt,
			State:           t.state,
			Cause:           t.cause,
			CheckpointSaved: t.checkpointed,
		})
	}
	return heartbeat
}

func (a *fakeAgent) sendHeartbeat() {
	w := a.world
	a.inFlight, a.changed = true, false
	a.sentAt = w.now
	period := float64(w.settings.HeartbeatPeriod())
	a.nextHeartbeat = w.now + units.Micros(period*(0.75+0.5*w.rng.Float64()))
	heartbeat := a.heartbeat()
	target, epoch, sentAt := w.processes[a.controllerIndex], a.epoch, w.now
	a.maybeDuplicate(heartbeat)
	call(w, a.name, target.name, heartbeatTimeout, func(answer func(controller.Reply)) {
		target.requestHeartbeat(heartbeat, answer)
	}, func(reply controller.Reply, ok bool) { a.heartbeatAnswered(reply, ok, epoch, sentAt) })
}

// requestHeartbeat gives the controller a worker heartbeat.
func (p *controllerProcess) requestHeartbeat(heartbeat agent.Heartbeat, answer func(controller.Reply)) {
	p.request(func(requestID uint64) controller.Message {
		return controller.HeartbeatRequest{RequestID: requestID, Heartbeat: heartbeat}
	}, answer)
}

// maybeDuplicate sends a copy of a heartbeat late, to any controller. Nobody waits for its answer.
func (a *fakeAgent) maybeDuplicate(heartbeat agent.Heartbeat) {
	w := a.world
	if w.network.duplicateRate <= 0 || w.rng.Float64() >= w.network.duplicateRate {
		return
	}
	target := w.processes[w.rng.IntN(len(w.processes))]
	delay := units.FromSeconds(1 + w.rng.Float64()*w.rng.Float64()*3*a.lease().Seconds())
	w.after(delay, func() { target.requestHeartbeat(heartbeat, func(controller.Reply) {}) })
}

// heartbeatAnswered renews the lease and carries the answer's commands out, unless the answer is for
// an epoch that is over or comes from a leader that has been superseded.
func (a *fakeAgent) heartbeatAnswered(reply controller.Reply, ok bool, epoch uint64, sentAt units.Micros) {
	a.inFlight = false
	if !a.running || a.hangs() {
		return
	}
	a.checkLease()
	if !ok || reply.Status != http.StatusOK {
		a.chooseController(reply)
		return
	}
	response := reply.Body.(agent.HeartbeatResponse)
	if a.epoch != epoch || response.FencingToken < a.token {
		return
	}
	a.raiseToken(response.FencingToken)
	a.leaseRenewedAt = sentAt
	a.execute(response.Commands, a.world.now)
}

// raiseToken keeps the highest fencing token; controllers hear of it soon, but not of each.
func (a *fakeAgent) raiseToken(token uint64) {
	if token <= a.token {
		return
	}
	a.token = token
	if a.world.now-a.tokenRaisedAt > a.lease()/2 || a.tokenRaisedAt == 0 {
		a.changed = true
		a.tokenRaisedAt = a.world.now
	}
}

// chooseController turns to the controller that a redirect names, else to the next one.
func (a *fakeAgent) chooseController(reply controller.Reply) {
	processes := a.world.processes
	redirect, ok := reply.Body.(agent.Redirect)
	if ok && reply.Status == http.StatusMisdirectedRequest && redirect.LeaderAddr != "" {
		for i, process := range processes {
			if process.name == redirect.LeaderAddr && i != a.controllerIndex {
				a.controllerIndex = i
				a.nextHeartbeat = a.world.now + units.Micros(a.world.rng.Int64N(int64(500*units.Millisecond)))
				return
			}
		}
	}
	a.controllerIndex = (a.controllerIndex + 1) % len(processes)
	a.nextHeartbeat = a.world.now + units.Second
}

// roundTrip encodes and decodes a heartbeat, so that the wire form is exercised.
func roundTrip(sent *agent.Heartbeat) *agent.Heartbeat {
	encoded, err := json.Marshal(sent)
	if err != nil {
		panic(err)
	}
	var received agent.Heartbeat
	if err := json.Unmarshal(encoded, &received); err != nil {
		panic(err)
	}
	return &received
}

package simulator

import (
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

const (
	firstEpoch          = 1
	agentTickPeriod     = 100 * units.Millisecond
	minHeartbeatSpacing = 500 * units.Millisecond // from one heartbeat to the next, if a change triggers the next
)

// fakeAgent is one machine's agent: it sends heartbeats, carries commands out, and drops all tasks
// when its lease expires.
type fakeAgent struct {
	world       *World
	name        string
	listed      cloud.ListedMachine
	machineType *cloud.MachineType
	running     bool

	restarts               int // since the machine was created
	epoch, sequence, token uint64
	tokenRaisedAt          units.Micros
	leaseRenewedAt         units.Micros // when the last answered heartbeat was sent

	tasks  map[string]*task // by id
	images map[string]bool  // images that are on the machine

	controllerIndex int // which controller gets the next heartbeat
	inFlight        bool
	sentAt          units.Micros
	nextHeartbeat   units.Micros
	changed         bool // the state has changed since the last heartbeat

	hungUntil       units.Micros
	delayedCommands []func() // commands that arrived while the machine hung
	failsTasks      bool
	failAfter       units.Micros // how long a task runs before the machine fails it
	slowdown        float64      // factor by which new tasks take longer
	spotNotice      *float64
}

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

// removeWorker removes a machine and all its tasks.
func (w *World) removeWorker(name string) {
	worker := w.workers[name]
	if worker == nil || !worker.running {
		return
	}
	worker.dropTasks()
	worker.running = false
	delete(w.workers, name)
}

func (a *fakeAgent) lease() units.Micros { return a.world.settings.Lease() }

// hangs reports whether the machine hangs now.
func (a *fakeAgent) hangs() bool { return a.world.now < a.hungUntil }

// hang stops the agent and its tasks for a duration, during which tasks make no progress.
func (a *fakeAgent) hang(duration units.Micros) {
	a.hungUntil = a.world.now + duration
	for _, t := range a.tasks {
		t.endsAt += duration
		t.imageReadyAt += duration
	}
}

// failTasks makes the machine fail all tasks for a duration, each after it has run for runTime.
func (a *fakeAgent) failTasks(runTime, duration units.Micros) {
	a.failsTasks, a.failAfter = true, runTime
	a.world.after(duration, func() { a.failsTasks = false })
}

// slowDown makes tasks that start from now on take longer by a factor.
func (a *fakeAgent) slowDown(factor float64) { a.slowdown = factor }

// reboot restarts the machine immediately, without tasks and with epoch, sequence and token reset.
func (a *fakeAgent) reboot() {
	a.dropTasks()
	a.restarts++
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
	a.checkLease() // also while the machine hangs: its tasks may resume only within the lease
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

// checkLease drops all tasks and begins a new epoch if the lease since the last answered heartbeat has
// expired.
func (a *fakeAgent) checkLease() {
	if a.world.now-a.leaseRenewedAt <= a.lease() {
		return
	}
	a.dropTasks()
	a.epoch++
	a.leaseRenewedAt = a.world.now
	a.changed = true
}

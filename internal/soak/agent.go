package soak

import (
	"sync"
	"time"

	"frostdock.example/frostdock/internal/cloud"
)

// fakeAgent stands in for one machine's worker agent. It follows the agent's side of the protocol: it
// ends its tasks when its lease expires, and rejects commands with an older fencing token or of another epoch.
type fakeAgent struct {
	world  *world
	listed cloud.ListedMachine
	server *httpServer

	mu              sync.Mutex
	removed         bool
	restarts        int // since the machine was created
	epoch           uint64
	sequence        uint64
	fencingToken    uint64
	leaseRenewedAt  time.Time // when the last heartbeat that got a response was sent
	tasks           map[string]*agentTask
	controllerIndex int // receiver of the next heartbeat
	nextHeartbeat   time.Time
	inFlight        bool      // a heartbeat awaits its response
	sentAt          time.Time // when the latest heartbeat was sent
	changed         bool      // there is a change to report before nextHeartbeat
	faults          agentFaults
}

// agentFaults are the faults injected into a machine. The zero value means none.
type agentFaults struct {
	hungUntil         time.Time
	inboundLostUntil  time.Time // responses and commands do not reach the machine
	outboundLostUntil time.Time // its heartbeats reach no controller
	lateCommandRate   float64   // share of commands that are delayed
	reclaimedAt       time.Time // when the cloud takes the machine away, as announced; zero: not announced
}

func (f *agentFaults) isHung(now time.Time) bool         { return now.Before(f.hungUntil) }
func (f *agentFaults) isInboundLost(now time.Time) bool  { return now.Before(f.inboundLostUntil) }
func (f *agentFaults) isOutboundLost(now time.Time) bool { return now.Before(f.outboundLostUntil) }

// agentStepInterval is the interval between calls of fakeAgent.step.
const agentStepInterval = 25 * time.Millisecond

func newAgent(w *world, listed cloud.ListedMachine) (*fakeAgent, error) {
	a := &fakeAgent{
		world: w, listed: listed, epoch: 1, leaseRenewedAt: time.Now(),
		tasks: map[string]*agentTask{}, controllerIndex: w.rng.intN(controllerCount),
	}
	a.nextHeartbeat = time.Now().Add(w.rng.between(0, heartbeatInterval))
	var err error
	if a.server, err = w.serve(listed.Addr, a.handle); err != nil {
		return nil, err
	}
	w.spawn(a.run)
	return a, nil
}

// run steps the machine until it is removed or the run stops.
func (a *fakeAgent) run() {
	for a.world.sleep(agentStepInterval) {
		if !a.step() {
			break
		}
	}
	a.remove()
}

// step performs the actions that are due, and reports whether the machine still exists.
func (a *fakeAgent) step() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removed {
		return false
	}
	now := time.Now()
	a.checkLease(now)
	if a.faults.isHung(now) {
		return true
	}
	for _, task := range a.tasks {
		a.advance(task, now)
	}
	if !a.inFlight && a.heartbeatDue(now) {
		next := a.prepareHeartbeat(now)
		a.world.spawn(func() { a.sendHeartbeat(next) })
	}
	return true
}

// checkLease drops all tasks and begins a new epoch if the lease has expired.
func (a *fakeAgent) checkLease(now time.Time) {
	if now.Sub(a.leaseRenewedAt) <= workerLease {
		return
	}
	if len(a.tasks) > 0 {
		a.world.events.add("machine %s: lease of epoch %d expires with %d tasks", a.listed.Name, a.epoch, len(a.tasks))
	}
	a.dropTasks()
	a.epoch++
	a.leaseRenewedAt, a.changed = now, true
}

// raiseToken records the highest fencing token seen. Commands with a lower one are rejected.
func (a *fakeAgent) raiseToken(token uint64) {
	if token > a.fencingToken {
		a.fencingToken, a.changed = token, true
	}
}

// remove drops the machine's tasks and closes its server.
func (a *fakeAgent) remove() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removed {
		return
	}
	a.removed = true
	a.dropTasks()
	a.world.spawn(func() { // closing waits for requests, which need the agent's lock
		if err := a.server.close(); err != nil {
			a.world.events.add("machine %s: %v", a.listed.Name, err)
		}
	})
}

// reboot restarts the machine immediately, without tasks and with its epoch, sequence and token reset.
func (a *fakeAgent) reboot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropTasks()
	a.restarts++
	a.epoch, a.sequence, a.fencingToken = 1, 0, 0
	a.leaseRenewedAt, a.changed = time.Now(), true
}

// setFaults changes the machine's faults.
func (a *fakeAgent) setFaults(change func(faults *agentFaults)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.faults)
}

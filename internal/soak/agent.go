package soak

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
)

// fakeAgent is one machine's agent.
type fakeAgent struct {
	world  *world
	listed cloud.ListedMachine
	server *fasthttp.Server

	mu                sync.Mutex
	removed           bool
	epoch, seq, token uint64
	leaseRenewedAt    time.Time // when the last answered report was sent
	tasks             map[string]*agentTask
	controllerIndex   int
	nextHeartbeat     time.Time
	inFlight          bool      // a report has no answer yet
	sentAt            time.Time // when it was sent
	changed           bool
	hungUntil         time.Time
	inboundLostUntil  time.Time // answers and commands do not reach it
	outboundLostUntil time.Time // its reports reach nobody
	lateCommandRate   float64   // share of commands that are held up
}

type agentTask struct {
	id      string
	jobID   string
	num     int
	attempt uint64
	state   string
	cause   string
	dueAt   time.Time // when its image is there, or it completes
}

func newWorker(w *world, listed cloud.ListedMachine) (*fakeAgent, error) {
	worker := &fakeAgent{world: w, listed: listed, epoch: 1, leaseRenewedAt: time.Now(), tasks: map[string]*agentTask{}, controllerIndex: w.rng.intN(controllerCount)}
	worker.nextHeartbeat = time.Now().Add(w.rng.between(0, heartbeatInterval))
	worker.server = &fasthttp.Server{Handler: worker.handle, Logger: discardLogger{}}
	if err := serve(w, worker.server, listed.Addr); err != nil {
		return nil, err
	}
	w.spawn(worker.run)
	return worker, nil
}

// run moves the machine's time on until it is gone.
func (a *fakeAgent) run() {
	for a.world.sleep(25 * time.Millisecond) {
		if !a.step() {
			break
		}
	}
	a.remove()
}

// step does what is due, and reports whether the machine is still there.
func (a *fakeAgent) step() bool {
	a.mu.Lock()
	if a.removed {
		a.mu.Unlock()
		return false
	}
	now := time.Now()
	a.checkLease(now)
	if now.Before(a.hungUntil) {
		a.mu.Unlock()
		return true
	}
	for _, t := range a.tasks {
		a.advance(t, now)
	}
	due := !now.Before(a.nextHeartbeat) || a.changed && now.Sub(a.sentAt) >= minHeartbeatInterval
	if a.inFlight || !due {
		a.mu.Unlock()
		return true
	}
	a.changed, a.inFlight, a.sentAt = false, true, now
	a.nextHeartbeat = now.Add(a.world.rng.between(heartbeatInterval*3/4, heartbeatInterval*5/4))
	heartbeat, epoch, target := a.heartbeat(), a.epoch, a.controllerIndex
	outboundLost, inboundLost := now.Before(a.outboundLostUntil), now.Before(a.inboundLostUntil)
	a.mu.Unlock()
	a.world.spawn(func() { a.sendHeartbeat(heartbeat, epoch, target, outboundLost, inboundLost) })
	return true
}

// minHeartbeatInterval is how soon a change is reported after the report before.
const minHeartbeatInterval = 250 * time.Millisecond

// checkLease ends the session when the last answered report is too old.
func (a *fakeAgent) checkLease(now time.Time) {
	if now.Sub(a.leaseRenewedAt) <= workerLease {
		return
	}
	if len(a.tasks) > 0 {
		a.world.events.add("machine %s: session %d ends with %d tasks", a.listed.Name, a.epoch, len(a.tasks))
	}
	a.dropAll()
	a.epoch++
	a.leaseRenewedAt, a.changed = now, true
}

func (a *fakeAgent) dropAll() {
	for id, t := range a.tasks {
		a.taskStopped(t)
		delete(a.tasks, id)
	}
}

func (a *fakeAgent) taskStopped(t *agentTask) {
	if t.state == agent.Running || t.state == agent.Checkpointing {
		a.world.checker.TaskStopped(a.listed.Name, t.jobID, t.num)
	}
}

// advance moves a task on if its time has come.
func (a *fakeAgent) advance(current *agentTask, now time.Time) {
	if now.Before(current.dueAt) || current.state == agent.Ended {
		return
	}
	job := a.world.users.job(current.jobID)
	switch current.state {
	case agent.Pulling:
		current.state, a.changed = agent.Running, true
		a.world.checker.TaskStarted(a.listed.Name, a.listed.Zone, a.listed.Spot, current.jobID, current.num)
		a.world.events.add("task %s pass %d starts on %s", current.id, current.attempt, a.listed.Name)
		current.dueAt = now.Add(job.runTime)
		if a.world.checker.IsCompleted(current.jobID, current.num) {
			current.dueAt = now
		}
	case agent.Running:
		if !job.facts.Service {
			a.endTask(current, agent.CauseDone)
			a.world.checker.Completed(current.jobID, current.num)
		}
	case agent.Checkpointing:
		a.endTask(current, agent.CauseStopped)
	}
}

func (a *fakeAgent) endTask(t *agentTask, cause string) {
	a.taskStopped(t)
	t.state, t.cause, a.changed = agent.Ended, cause, true
}

func (a *fakeAgent) heartbeat() agent.Heartbeat {
	a.seq++
	heartbeat := agent.Heartbeat{
		Machine: a.listed.Name, Addr: a.listed.Addr, Type: a.listed.Type, Zone: a.listed.Zone, Spot: a.listed.Spot,
		Epoch: a.epoch, Sequence: a.seq, FencingToken: a.token, Tasks: []agent.TaskStatus{},
	}
	for _, t := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, agent.TaskStatus{Task: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause})
	}
	return heartbeat
}

// sendHeartbeat sends one report and obeys its answer.
func (a *fakeAgent) sendHeartbeat(heartbeat agent.Heartbeat, epoch uint64, target int, outboundLost, inboundLost bool) {
	sent := time.Now()
	if share := a.world.duplicateRate.Load(); share > 0 && a.world.rng.chance(float64(share)/100) {
		other := a.world.rng.intN(controllerCount)
		a.world.after(a.world.rng.between(time.Second, 2*workerLease), func() {
			a.world.controllers[other].post("/v1/report", heartbeat, time.Second, nil)
		})
	}
	var body struct {
		agent.HeartbeatResponse
		agent.Redirect
	}
	status := 0
	if !outboundLost && !a.world.network.isCut(linkHeartbeats, target) {
		status = a.world.controllers[target].post("/v1/report", heartbeat, 4*time.Second, &body)
	} else {
		a.world.sleep(200 * time.Millisecond)
	}
	if inboundLost || a.world.network.isCut(linkHeartbeatAnswers, target) {
		status = 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.inFlight = false
	a.checkLease(now)
	switch {
	case a.removed || now.Before(a.hungUntil):
	case status != 200:
		a.chooseController(status, body.LeaderAddr, target)
	case a.epoch == epoch && body.FencingToken >= a.token:
		a.raiseToken(body.FencingToken)
		a.leaseRenewedAt = sent
		a.execute(body.Commands)
	}
}

// chooseController chooses the controller for the next report.
func (a *fakeAgent) chooseController(status int, to string, lastTried int) {
	if status == 421 && to != "" {
		for i, process := range a.world.controllers {
			if process.name == to && i != lastTried {
				a.controllerIndex, a.nextHeartbeat = i, time.Now().Add(a.world.rng.between(0, 300*time.Millisecond))
				return
			}
		}
	}
	a.controllerIndex = (lastTried + 1) % controllerCount
	a.nextHeartbeat = time.Now().Add(500 * time.Millisecond)
}

func (a *fakeAgent) raiseToken(token uint64) {
	if token > a.token {
		a.token, a.changed = token, true
	}
}

func (a *fakeAgent) execute(orders []agent.Command) {
	for _, command := range orders {
		t := a.tasks[command.Task]
		same := t != nil && t.attempt == command.Attempt
		switch command.Action {
		case agent.Start:
			if !same {
				a.launch(command, t)
			}
		case agent.Stop:
			if same && t.state != agent.Ended {
				a.endTask(t, agent.CauseStopped)
			}
		case agent.Remove:
			if same && t.state == agent.Ended {
				delete(a.tasks, command.Task)
				a.changed = true
			}
		}
	}
}

func (a *fakeAgent) launch(command agent.Command, previous *agentTask) {
	if previous != nil && previous.state != agent.Ended {
		return
	}
	jobID, digits, _ := strings.Cut(command.Task, "/")
	num, err := strconv.Atoi(digits)
	if err != nil {
		return
	}
	t := &agentTask{id: command.Task, jobID: jobID, num: num, attempt: command.Attempt, state: agent.Pulling}
	t.dueAt = time.Now().Add(a.world.rng.between(20*time.Millisecond, 300*time.Millisecond))
	used := 0.0
	for _, other := range a.tasks {
		if other.state != agent.Ended {
			used += a.world.users.job(other.jobID).facts.CPUs
		}
	}
	job := a.world.users.job(jobID)
	switch {
	case job == nil || num >= job.facts.Tasks:
		t.state, t.cause = agent.Ended, "no_such"
	case used+job.facts.CPUs > machineCPUs+1e-9:
		t.state, t.cause = agent.Ended, "no_room"
	}
	a.tasks[command.Task] = t
	a.changed = true
}

func (a *fakeAgent) handle(ctx *fasthttp.RequestCtx) {
	for { // what comes while the machine hangs is carried out when it goes on
		a.mu.Lock()
		hung, inboundLost := time.Until(a.hungUntil), time.Now().Before(a.inboundLostUntil)
		late := a.lateCommandRate
		a.mu.Unlock()
		if inboundLost {
			a.world.sleep(2 * time.Second)
			ctx.SetConnectionClose()
			ctx.SetStatusCode(503)
			return
		}
		if hung > 0 {
			if !a.world.sleep(hung) {
				return
			}
			continue
		}
		if late > 0 && ctx.IsPost() && a.world.rng.chance(late) && !a.world.sleep(a.world.rng.between(2*time.Second, 8*time.Second)) {
			return
		}
		break
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removed {
		ctx.SetConnectionClose()
		ctx.SetStatusCode(503)
		return
	}
	a.checkLease(time.Now())
	status := 200
	if ctx.IsPost() {
		var cmd agent.CommandRequest
		if json.Unmarshal(ctx.PostBody(), &cmd) != nil {
			ctx.SetStatusCode(400)
			return
		}
		if cmd.FencingToken < a.token || cmd.Epoch != a.epoch {
			status = 409
		} else {
			a.raiseToken(cmd.FencingToken)
			a.execute(cmd.Commands)
		}
	}
	respond(ctx, response{status, a.heartbeat()})
}

// remove takes the machine away with all that is on it.
func (a *fakeAgent) remove() {
	a.mu.Lock()
	if a.removed {
		a.mu.Unlock()
		return
	}
	a.removed = true
	a.dropAll()
	a.mu.Unlock()
	go func() { _ = a.server.Shutdown() }()
}

// reboot starts the machine again at once, with nothing on it and its counts begun anew.
func (a *fakeAgent) reboot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropAll()
	a.epoch, a.seq, a.token = 1, 0, 0
	a.leaseRenewedAt, a.changed = time.Now(), true
}

// setFault changes a fault of the machine.
func (a *fakeAgent) setFault(change func(k *fakeAgent)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a)
}

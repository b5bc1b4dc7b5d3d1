package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

const heartbeatTimeout = 4 * units.Second

// heartbeat returns the machine's present state with the next sequence number.
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
			Task:            t.id,
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

// requestHeartbeat passes a worker heartbeat to the controller.
func (p *controllerProcess) requestHeartbeat(heartbeat agent.Heartbeat, answer func(controller.Reply)) {
	p.request(func(requestID uint64) controller.Message {
		return controller.HeartbeatRequest{RequestID: requestID, Heartbeat: heartbeat}
	}, answer)
}

// maybeDuplicate sends late copies of some heartbeats, each to a random controller. Answers to copies
// are ignored.
func (a *fakeAgent) maybeDuplicate(heartbeat agent.Heartbeat) {
	w := a.world
	if w.network.duplicateRate <= 0 || w.rng.Float64() >= w.network.duplicateRate {
		return
	}
	target := w.processes[w.rng.IntN(len(w.processes))]
	delay := units.FromSeconds(1 + w.rng.Float64()*w.rng.Float64()*3*a.lease().Seconds())
	w.after(delay, func() { target.requestHeartbeat(heartbeat, func(controller.Reply) {}) })
}

// heartbeatAnswered renews the lease and carries out the answer's commands, unless the answer is for
// an earlier epoch or comes from a superseded leader.
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
	response, ok := reply.Body.(agent.HeartbeatResponse)
	if !ok {
		panic(fmt.Sprintf("reply to a worker heartbeat has a body of type %T, want agent.HeartbeatResponse", reply.Body))
	}
	if a.epoch != epoch || response.FencingToken < a.token {
		return
	}
	a.raiseToken(response.FencingToken)
	a.leaseRenewedAt = sentAt
	a.execute(response.Commands, a.world.now)
}

// raiseToken keeps the highest fencing token. A raise triggers an early heartbeat, at most once in half
// a lease.
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

// chooseController selects the controller for the next heartbeat: the one that a redirect names, else
// the next one in order.
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

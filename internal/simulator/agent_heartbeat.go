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
	response, ok := reply.Body.(agent.HeartbeatResponse)
	if !ok {
		panic(fmt.Sprintf("a worker heartbeat is answered with a %T", reply.Body))
	}
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

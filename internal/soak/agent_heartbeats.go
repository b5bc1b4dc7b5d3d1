package soak

import (
	"net/http"
	"time"

	"frostdock.example/frostdock/internal/agent"
)

const (
	heartbeatPath    = "/v1/report"
	heartbeatTimeout = 4 * time.Second
	// lostHeartbeatTime is how long an agent takes to give up a heartbeat that reaches nobody.
	lostHeartbeatTime = 200 * time.Millisecond
	// minHeartbeatInterval is how soon a change is told after the heartbeat before.
	minHeartbeatInterval = 250 * time.Millisecond
	// heartbeatRetryDelay is how soon another controller is tried.
	heartbeatRetryDelay = 500 * time.Millisecond
	// maxRedirectDelay keeps redirected agents from reaching the leader all at once.
	maxRedirectDelay = 300 * time.Millisecond
)

// outgoingHeartbeat is a heartbeat with what held when it was sent.
type outgoingHeartbeat struct {
	body            agent.Heartbeat
	controllerIndex int
	outboundLost    bool
	inboundLost     bool
}

func (a *fakeAgent) heartbeatDue(now time.Time) bool {
	return !now.Before(a.nextHeartbeat) || a.changed && now.Sub(a.sentAt) >= minHeartbeatInterval
}

// prepareHeartbeat notes that a heartbeat is sent now.
func (a *fakeAgent) prepareHeartbeat(now time.Time) outgoingHeartbeat {
	a.changed, a.inFlight, a.sentAt = false, true, now
	a.nextHeartbeat = now.Add(a.world.rng.between(heartbeatInterval*3/4, heartbeatInterval*5/4))
	return outgoingHeartbeat{
		body: a.heartbeat(), controllerIndex: a.controllerIndex,
		outboundLost: a.faults.isOutboundLost(now), inboundLost: a.faults.isInboundLost(now),
	}
}

// heartbeat tells all of the machine, its tasks in no order: the protocol asks for none.
func (a *fakeAgent) heartbeat() agent.Heartbeat {
	a.sequence++
	heartbeat := agent.Heartbeat{
		Machine: a.listed.Name, Addr: a.listed.Addr, Type: a.listed.Type, Zone: a.listed.Zone, Spot: a.listed.Spot,
		Epoch: a.epoch, Sequence: a.sequence, FencingToken: a.fencingToken, Tasks: []agent.TaskStatus{},
	}
	for _, task := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, agent.TaskStatus{Task: task.id, Attempt: task.attempt, State: task.state, Cause: task.cause})
	}
	return heartbeat
}

// heartbeatAnswer is what a controller answers: commands, or where the leader is.
type heartbeatAnswer struct {
	agent.HeartbeatResponse
	agent.Redirect
}

// sendHeartbeat sends one heartbeat and obeys its answer.
func (a *fakeAgent) sendHeartbeat(outgoing outgoingHeartbeat) {
	sentAt := time.Now()
	a.maybeDuplicate(outgoing.body)
	status, answer := a.exchange(outgoing)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.inFlight = false
	a.checkLease(now)
	switch {
	case a.removed || a.faults.isHung(now):
	case status != http.StatusOK:
		a.chooseController(status, answer.LeaderAddr, outgoing.controllerIndex)
	case a.epoch == outgoing.body.Epoch && answer.FencingToken >= a.fencingToken:
		a.raiseToken(answer.FencingToken)
		a.leaseRenewedAt = sentAt
		a.execute(answer.Commands)
	}
}

// maybeDuplicate has a heartbeat arrive a second time, late and anywhere, if that fault is at work.
func (a *fakeAgent) maybeDuplicate(heartbeat agent.Heartbeat) {
	percent := a.world.duplicatePercent.Load()
	if percent == 0 || !a.world.rng.chance(float64(percent)/100) {
		return
	}
	target := a.world.controllers[a.world.rng.intN(controllerCount)]
	a.world.after(a.world.rng.between(time.Second, 2*workerLease), func() {
		target.post(heartbeatPath, heartbeat, time.Second, nil)
	})
}

// exchange sends a heartbeat through the faults at work and returns what comes back.
func (a *fakeAgent) exchange(outgoing outgoingHeartbeat) (status int, answer heartbeatAnswer) {
	target := outgoing.controllerIndex
	if outgoing.outboundLost || a.world.network.isCut(linkHeartbeats, target) {
		a.world.sleep(lostHeartbeatTime)
		return noAnswer, answer
	}
	status = a.world.controllers[target].post(heartbeatPath, outgoing.body, heartbeatTimeout, &answer)
	if outgoing.inboundLost || a.world.network.isCut(linkHeartbeatAnswers, target) {
		return noAnswer, answer
	}
	return status, answer
}

// chooseController chooses where the next heartbeat goes: to the leader that the answer names, or to
// the controller after the one that was tried.
func (a *fakeAgent) chooseController(status int, leader string, lastTried int) {
	if status == http.StatusMisdirectedRequest && leader != "" {
		for index, process := range a.world.controllers {
			if process.name == leader && index != lastTried {
				a.controllerIndex = index
				a.nextHeartbeat = time.Now().Add(a.world.rng.between(0, maxRedirectDelay))
				return
			}
		}
	}
	a.controllerIndex = (lastTried + 1) % controllerCount
	a.nextHeartbeat = time.Now().Add(heartbeatRetryDelay)
}

package soak

import (
	"net/http"
	"time"

	"frostdock.example/frostdock/internal/agent"
)

const (
	heartbeatPath    = "/v1/report"
	heartbeatTimeout = 4 * time.Second
	// lostHeartbeatTime is how long an agent takes to give up on a heartbeat that reaches no controller.
	lostHeartbeatTime = 200 * time.Millisecond
	// minHeartbeatInterval is the shortest time from a heartbeat to one that reports a change.
	minHeartbeatInterval = 250 * time.Millisecond
	// heartbeatRetryDelay is the delay before another controller is tried.
	heartbeatRetryDelay = 500 * time.Millisecond
	// maxRedirectDelay keeps redirected agents from reaching the leader all at once.
	maxRedirectDelay = 300 * time.Millisecond
)

// outgoingHeartbeat is a heartbeat with its receiver and the machine's faults when it is sent.
type outgoingHeartbeat struct {
	body            agent.Heartbeat
	controllerIndex int
	outboundLost    bool
	inboundLost     bool
}

func (a *fakeAgent) heartbeatDue(now time.Time) bool {
	return !now.Before(a.nextHeartbeat) || a.changed && now.Sub(a.sentAt) >= minHeartbeatInterval
}

// prepareHeartbeat returns the heartbeat to send now and schedules the next one.
func (a *fakeAgent) prepareHeartbeat(now time.Time) outgoingHeartbeat {
	a.changed, a.inFlight, a.sentAt = false, true, now
	a.nextHeartbeat = now.Add(a.world.rng.between(heartbeatInterval*3/4, heartbeatInterval*5/4))
	return outgoingHeartbeat{
		body: a.heartbeat(), controllerIndex: a.controllerIndex,
		outboundLost: a.faults.isOutboundLost(now), inboundLost: a.faults.isInboundLost(now),
	}
}

// heartbeat returns the machine's full state, with its tasks in no particular order: the protocol requires none.
func (a *fakeAgent) heartbeat() agent.Heartbeat {
	a.sequence++
	heartbeat := agent.Heartbeat{
		Machine: a.listed.Name, Addr: a.listed.Addr, Type: a.listed.Type, Zone: a.listed.Zone, Spot: a.listed.Spot,
		Epoch: a.epoch, Sequence: a.sequence, FencingToken: a.fencingToken, Tasks: []agent.TaskStatus{},
	}
	if !a.faults.reclaimedAt.IsZero() {
		left := time.Until(a.faults.reclaimedAt).Seconds()
		heartbeat.InterruptionNoticeSeconds = &left
	}
	for _, task := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, agent.TaskStatus{Task: task.id, Attempt: task.attempt, State: task.state, Cause: task.cause})
	}
	return heartbeat
}

// heartbeatResponse is a controller's response: commands, or a redirect to the leader.
type heartbeatResponse struct {
	agent.HeartbeatResponse
	agent.Redirect
}

// sendHeartbeat sends one heartbeat and handles its response.
func (a *fakeAgent) sendHeartbeat(outgoing outgoingHeartbeat) {
	sentAt := time.Now()
	a.maybeDuplicate(outgoing.body)
	status, response := a.exchange(outgoing)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.inFlight = false
	a.checkLease(now)
	switch {
	case a.removed || a.faults.isHung(now):
	case status != http.StatusOK:
		a.chooseController(status, response.LeaderAddr, outgoing.controllerIndex)
	case a.epoch == outgoing.body.Epoch && response.FencingToken >= a.fencingToken:
		a.raiseToken(response.FencingToken)
		a.leaseRenewedAt = sentAt
		a.execute(response.Commands)
	}
}

// maybeDuplicate sends a share of the heartbeats a second time, late and to a random controller, while
// that fault is active.
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

// exchange sends a heartbeat subject to the active faults and returns the response, if it gets through.
func (a *fakeAgent) exchange(outgoing outgoingHeartbeat) (status int, response heartbeatResponse) {
	target := outgoing.controllerIndex
	if outgoing.outboundLost || a.world.network.isCut(linkHeartbeats, target) {
		a.world.sleep(lostHeartbeatTime)
		return noResponse, response
	}
	status = a.world.controllers[target].post(heartbeatPath, outgoing.body, heartbeatTimeout, &response)
	if outgoing.inboundLost || a.world.network.isCut(linkHeartbeatResponses, target) {
		return noResponse, response
	}
	return status, response
}

// chooseController selects the receiver of the next heartbeat: the leader that the response names, or
// else the controller after the one that was tried.
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

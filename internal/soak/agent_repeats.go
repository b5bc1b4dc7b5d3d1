package soak

import (
	"time"

	"frostdock.example/frostdock/internal/agent"
)

const (
	repeatedCommandShare = 0.6                  // of direct commands that are carried out and answered
	maxRepeats           = 2                    // of one direct command
	minRepeatDelay       = 2 * time.Millisecond // after the command was carried out
	maxRepeatDelay       = 3 * workerLease
)

// maybeRepeat delivers direct commands that were carried out once or twice more; nobody receives the answers. A machine
// that was restarted meanwhile receives none: its connections are gone. During a rolling upgrade none are repeated: the
// production version is known to start tasks again for them (docs/incidents/repeated-start.md).
func (a *fakeAgent) maybeRepeat(request agent.CommandRequest) {
	w := a.world
	if !w.upgraded.Load() || w.faultsOver.Load() || !w.rng.chance(repeatedCommandShare) {
		return
	}
	restarts := a.restarts
	for range 1 + w.rng.intN(maxRepeats) {
		w.after(w.rng.doubledDelay(minRepeatDelay, maxRepeatDelay), func() { a.receiveRepeat(request, restarts) })
	}
}

// receiveRepeat handles commands once more, when the machine no longer hangs.
func (a *fakeAgent) receiveRepeat(request agent.CommandRequest, restarts int) {
	for {
		a.mu.Lock()
		hung := time.Until(a.faults.hungUntil)
		if hung <= 0 {
			break
		}
		a.mu.Unlock()
		if !a.world.sleep(hung) {
			return
		}
	}
	defer a.mu.Unlock()
	if a.removed || a.restarts != restarts || a.faults.isInboundLost(time.Now()) {
		return
	}
	a.checkLease(time.Now())
	status := a.handleCommands(request)
	a.world.events.add("machine %s: direct commands under token %d arrive again: status %d", a.listed.Name, request.FencingToken, status)
}

package soak

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/agent"
)

// lostCommandTime is how long a lost request is held open: longer than a controller waits for an agent.
const lostCommandTime = 2 * time.Second

// minCommandDelay and maxCommandDelay bound the delay of a late command.
const minCommandDelay, maxCommandDelay = 2 * time.Second, 8 * time.Second

// handle serves a controller's request: a POST carries commands, any other method asks for a heartbeat.
func (a *fakeAgent) handle(ctx *fasthttp.RequestCtx) {
	if !a.awaitDelivery(ctx) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removed {
		ctx.SetConnectionClose()
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	a.checkLease(time.Now())
	status := http.StatusOK
	if ctx.IsPost() {
		var request agent.CommandRequest
		if json.Unmarshal(ctx.PostBody(), &request) != nil {
			ctx.SetStatusCode(http.StatusBadRequest)
			return
		}
		if status = a.handleCommands(request); status == http.StatusOK {
			a.maybeRepeat(request)
		}
	}
	respond(ctx, response{status, a.heartbeat()})
}

// awaitDelivery delays a request according to the machine's faults, and reports whether the agent
// receives it. Requests that arrive while the machine hangs are handled when it resumes.
func (a *fakeAgent) awaitDelivery(ctx *fasthttp.RequestCtx) bool {
	for {
		a.mu.Lock()
		faults := a.faults
		a.mu.Unlock()
		if faults.isInboundLost(time.Now()) {
			a.world.loseRequest(ctx, lostCommandTime)
			return false
		}
		if hung := time.Until(faults.hungUntil); hung > 0 {
			if !a.world.sleep(hung) {
				return false
			}
			continue
		}
		if ctx.IsPost() && faults.lateCommandRate > 0 && a.world.rng.chance(faults.lateCommandRate) {
			return a.world.sleep(a.world.rng.between(minCommandDelay, maxCommandDelay))
		}
		return true
	}
}

// handleCommands executes commands, unless they have an older fencing token or are for another epoch.
func (a *fakeAgent) handleCommands(request agent.CommandRequest) (status int) {
	if request.FencingToken < a.fencingToken || request.Epoch != a.epoch {
		return http.StatusConflict
	}
	a.raiseToken(request.FencingToken)
	a.execute(request.Commands)
	return http.StatusOK
}

package simulator

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"os"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

const (
	tickPeriod = 25 * units.Millisecond
	stepDelay  = units.Micros(200)  // messages that arrive within this time are handled by one step
	wallOffset = units.Micros(1e15) // Unix time minus simulated time

	// Health checks of controllers by the load balancer.
	probePeriod        = units.Second
	probeTimeout       = units.Second
	probesToEject      = 2                // failed ones in a row
	probesToReadmit    = 2                // passed ones in a row
	readmissionBackoff = 3 * units.Second // from ejection to the earliest readmission
)

// controllerProcess is one process of the service and its health as seen by the load balancer. It
// persists across crashes; each start runs a new incarnation of the controller.
type controllerProcess struct {
	world           *World
	name            string
	cfg             *config.Config
	controller      *controller.Controller
	incarnation     int
	running         bool
	previousVersion bool // the process runs the previous version
	pausedUntil     units.Micros

	commands    *agentCalls
	inspections *agentCalls

	inbox          []controller.Message
	stepScheduled  bool
	pendingReplies map[uint64]func(controller.Reply) // callbacks for the replies, by request id
	lastRequest    uint64

	healthy      bool // the load balancer sends requests to the process
	everHealthy  bool
	passedProbes int // in a row
	failedProbes int // in a row
	readmitAt    units.Micros
}

// addProcess adds a controller process to the region and starts it.
func (w *World) addProcess(cfg *config.Config, previousVersion bool) {
	process := &controllerProcess{world: w, name: cfg.Member, cfg: cfg, previousVersion: previousVersion}
	w.processes = append(w.processes, process)
	process.start()
	w.every(tickPeriod, process.step)
	w.every(probePeriod, process.probe)
}

func (p *controllerProcess) start() {
	p.incarnation++
	p.running = true
	cfg := p.cfg
	if p.previousVersion { // the previous version does not know announced limits
		previousConfig := *p.cfg
		previousConfig.Settings.KVStore.Next = nil
		cfg = &previousConfig
	}
	p.controller = controller.New(cfg, policy.Default(), p.logger(), fmt.Sprintf("%s%04d", p.name, p.incarnation))
	p.inbox, p.stepScheduled = nil, false
	p.commands = newAgentCalls(p, maxCommandWait)
	p.inspections = newAgentCalls(p, maxInspectWait)
	p.pendingReplies = map[uint64]func(controller.Reply){}
}

// crash ends the process; its state in memory is lost.
func (p *controllerProcess) crash() {
	p.running, p.pausedUntil = false, 0
	p.incarnation++
	p.inbox = nil
	p.commands.drop()
	p.inspections.drop()
}

// restartAfter crashes the process and starts it again after downtime.
func (p *controllerProcess) restartAfter(downtime units.Micros) {
	p.crash()
	p.world.after(downtime, p.start)
}

// upgrade makes the process run the present version from its next start on.
func (p *controllerProcess) upgrade() { p.previousVersion = false }

// pause suspends the process: it takes no steps, and loses neither state nor messages.
func (p *controllerProcess) pause(duration units.Micros) { p.pausedUntil = p.world.now + duration }

// request passes a request to the controller; answer is called if the controller replies.
func (p *controllerProcess) request(message func(requestID uint64) controller.Message, answer func(controller.Reply)) {
	if !p.running {
		return
	}
	p.lastRequest++
	p.pendingReplies[p.lastRequest] = answer
	p.enqueue(message(p.lastRequest))
}

func (p *controllerProcess) enqueue(message controller.Message) {
	p.inbox = append(p.inbox, message)
	if p.stepScheduled {
		return
	}
	p.stepScheduled = true
	incarnation := p.incarnation
	p.world.after(stepDelay, func() {
		if p.incarnation == incarnation {
			p.step()
		}
	})
}

// step passes the queued messages to the controller and carries out the resulting effects.
func (p *controllerProcess) step() {
	if !p.running || p.world.now < p.pausedUntil {
		return
	}
	p.stepScheduled = false
	messages := p.inbox
	p.inbox = nil
	for _, effect := range p.controller.Step(p.world.now, p.world.now+wallOffset, messages) {
		p.perform(effect)
	}
}

// perform carries out one effect. Its result is passed only to the incarnation that requested it.
func (p *controllerProcess) perform(effect controller.Effect) {
	w := p.world
	w.trace.record(w.now, p.name, effect)
	incarnation := p.incarnation
	enqueue := func(message controller.Message) {
		if p.incarnation == incarnation && p.running {
			p.enqueue(message)
		}
	}
	switch effect := effect.(type) {
	case controller.Reply:
		p.reply(effect)
	case controller.StoreCall:
		p.callStore(effect, enqueue)
	case controller.CloudCall:
		w.cloud.call(p.name, effect, func(result controller.CloudResult) { enqueue(result) })
	case controller.AgentCall:
		calls := p.inspections
		if effect.Commands != nil {
			calls = p.commands
		}
		calls.call(p.name, effect, func(result controller.AgentResult) { enqueue(result) })
	case controller.BroadcastHeartbeat:
		p.broadcast(effect)
	}
}

func (p *controllerProcess) reply(reply controller.Reply) {
	if answer := p.pendingReplies[reply.RequestID]; answer != nil {
		delete(p.pendingReplies, reply.RequestID)
		answer(reply)
	}
}

func (p *controllerProcess) callStore(request controller.StoreCall, enqueue func(controller.Message)) {
	previousVersion := p.previousVersion
	if previousVersion {
		request = previousVersionCall(request)
	}
	p.world.store.call(p.name, request, func(result controller.StoreResult) {
		if previousVersion {
			result = previousVersionResult(result)
		}
		enqueue(result)
	})
}

// broadcast sends a heartbeat to the other controllers; those that are down or partitioned miss it.
func (p *controllerProcess) broadcast(heartbeat controller.BroadcastHeartbeat) {
	w := p.world
	for _, other := range w.processes {
		if other == p || w.partitionBetween(p.name, other.name, false) != nil {
			continue
		}
		w.after(w.networkDelay(), func() {
			if other.running {
				other.enqueue(controller.PeerHeartbeat(heartbeat))
			}
		})
	}
}

// probe sends the load balancer's health check to the controller.
func (p *controllerProcess) probe() {
	call(p.world, usersHost, p.name, probeTimeout, func(answer func(controller.Reply)) {
		p.request(func(requestID uint64) controller.Message { return controller.ReadyRequest{RequestID: requestID} }, answer)
	}, func(reply controller.Reply, ok bool) { p.recordProbe(ok && reply.Status == http.StatusOK) })
}

// recordProbe records the outcome of a probe: probesToEject failed ones in a row eject the controller,
// and probesToReadmit passed ones in a row readmit it after the backoff. A controller that was never
// healthy is admitted at its first passed probe.
func (p *controllerProcess) recordProbe(passed bool) {
	if !passed {
		p.passedProbes, p.failedProbes = 0, p.failedProbes+1
		if p.failedProbes >= probesToEject && p.healthy {
			p.healthy, p.readmitAt = false, p.world.now+readmissionBackoff
		}
		return
	}
	p.passedProbes, p.failedProbes = p.passedProbes+1, 0
	if !p.healthy && (!p.everHealthy || p.passedProbes >= probesToReadmit && p.world.now >= p.readmitAt) {
		p.healthy, p.everHealthy = true, true
	}
}

// logger returns the controller's logger. SCENARIO_LOG=debug enables debug messages.
func (p *controllerProcess) logger() *slog.Logger {
	level := slog.LevelInfo
	if os.Getenv("SCENARIO_LOG") == "debug" {
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(logWriter{p.world}, &slog.HandlerOptions{Level: level, ReplaceAttr: dropTime}))
}

// dropTime removes the real time from log lines, so that the log of a run is reproducible.
func dropTime(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return attr
}

// logWriter prefixes each line of a controller's log with the simulated time, and reports invariant
// violations that a controller logs to the checker.
type logWriter struct{ world *World }

// Write writes one log line.
func (l logWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("invariant violated")) {
		l.world.checker.violate(RuleInvariant, "%s", bytes.TrimSpace(line))
	}
	if l.world.log == nil {
		return len(line), nil
	}
	if _, err := fmt.Fprintf(l.world.log, "%9.3f ", l.world.now.Seconds()); err != nil {
		return 0, err
	}
	return l.world.log.Write(line)
}

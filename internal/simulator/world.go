// Package simulator is a small region in simulated time: state service, cloud,
// workers, users and the network between them, written from the protocol. It
// drives the real core and checks every rule at every moment. Nothing here
// reads a clock: with the same scenario and seed, a run is the same each time.
package simulator

import (
	"bytes"
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/units"
)

type event struct {
	at       units.Micros
	sequence int
	action   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// World is the region.
type World struct {
	now    units.Micros
	queue  queue
	events int
	rng    *rand.Rand
	log    io.Writer

	processes   []*controllerProcess
	store       *fakeStore
	cloud       *fakeCloud
	workers     map[string]*fakeAgent
	workerNames []string // workers in order of creation
	users       *fakeUsers
	Checker     *Checker
	trace       *Trace

	networkPartitions []*networkPartition
	lossRate          float64 // chance that an answer is lost, or a request is carried out late
	latency           units.Micros

	maxAnswerDelay units.Micros // the most that an answer to a report is held up on its way

	duplicateRate float64 // chance that a copy of a report comes late, to any controller
}

// cut is an interruption between two kinds of host.
type networkPartition struct {
	host, peer          string
	machines            map[string]bool // instead of a and b: these machines from everything
	zone                string          // instead of a and b: all in that zone from all that is not
	until               units.Micros
	delayed             bool
	inboundLost         bool // only what b sends to a is lost
	inboundRequestsLost bool // only requests from b to a are lost: b answers what it is asked
}

// controllerProcess is one process of the service, or the gap between two.
type controllerProcess struct {
	world           *World
	name            string
	cfg             *config.Config
	controller      *controller.Controller
	incarnation     int
	running         bool
	previousVersion bool // it runs the version before
	inbox           []controller.Message
	stepScheduled   bool
	// replies that callers of this process wait for
	pendingReplies map[uint64]func(controller.Reply)
	nextReply      uint64
	// what the load balancer thinks of it
	healthy      bool
	everHealthy  bool
	passedProbes int
	failedProbes int
	pausedUntil  units.Micros // it stands still until then
	readmitAt    units.Micros
}

func newWorld(seed uint64, log io.Writer) *World {
	w := &World{
		now: units.Second, rng: rand.New(rand.NewPCG(seed, 42)), workers: map[string]*fakeAgent{}, log: log,
		Checker: NewChecker(), latency: 4 * units.Millisecond,
	}
	w.store = newStore(w)
	w.cloud = newCloud(w)
	w.users = newUsers(w)
	return w
}

func (w *World) at(when units.Micros, action func()) {
	w.events++
	heap.Push(&w.queue, event{max(when, w.now), w.events, action})
}

func (w *World) after(delay units.Micros, action func()) { w.at(w.now+delay, action) }

func (w *World) every(period units.Micros, action func()) {
	w.after(period, func() { action(); w.every(period, action) })
}

// run plays until the given time, or until a rule is broken.
func (w *World) run(until units.Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		w.Checker.now = w.now
		next.action()
	}
	w.now = until
}

// networkDelay is the time of one trip through the network.
func (w *World) networkDelay() units.Micros {
	delay := w.latency/2 + units.Micros(w.rng.Int64N(int64(w.latency)))
	if w.rng.Float64() < 0.005 {
		delay += units.Micros(w.rng.Int64N(int64(300 * units.Millisecond)))
	}
	return delay
}

// blocked finds an interruption of what one host sends to another, a request or
// an answer.
func (w *World) blocked(from, to string, answer bool) *networkPartition {
	for _, fault := range w.networkPartitions {
		if fault.inboundRequestsLost && answer {
			continue
		}
		if fault.machines != nil {
			if w.now < fault.until && (fault.machines[from] || fault.machines[to]) {
				return fault
			}
			continue
		}
		if fault.zone != "" {
			if w.now < fault.until && (w.zoneOf(from) == fault.zone) != (w.zoneOf(to) == fault.zone) {
				return fault
			}
			continue
		}
		if w.now < fault.until && (matchesHost(fault.host, from) && matchesHost(fault.peer, to) && !fault.inboundLost && !fault.inboundRequestsLost || matchesHost(fault.host, to) && matchesHost(fault.peer, from)) {
			return fault
		}
	}
	return nil
}

// zoneOf is the zone that a machine or controller is in; the rest belongs to the
// region.
func (w *World) zoneOf(host string) string {
	if worker := w.workers[host]; worker != nil {
		return worker.listed.Zone
	}
	for i, process := range w.processes {
		if process.name == host {
			return process.cfg.Settings.Zones[i%len(process.cfg.Settings.Zones)]
		}
	}
	return ""
}

func matchesHost(pattern, host string) bool {
	if pattern == "*" || pattern == host {
		return true
	}
	return len(pattern) > 1 && pattern[len(pattern)-1] == '*' && len(host) >= len(pattern)-1 && host[:len(pattern)-1] == pattern[:len(pattern)-1]
}

// call sends a request from one host to another. serve runs there and passes
// its answer to the function it is given; got runs here with that answer, or
// with ok false after the time limit. Under interruptions requests are lost or
// held back and carried out late, though nobody waits for them any more.
func call[T any](w *World, from, to string, limit units.Micros, serve func(answer func(T)), received func(v T, ok bool)) {
	settled := false
	finish := func(v T, ok bool) {
		if !settled {
			settled = true
			received(v, ok)
		}
	}
	w.after(limit, func() {
		var none T
		finish(none, false)
	})
	var deliver func()
	deliver = func() {
		if fault := w.blocked(from, to, false); fault != nil {
			if fault.delayed {
				w.at(fault.until+w.networkDelay(), deliver)
			}
			return
		}
		serve(func(v T) {
			if w.blocked(to, from, true) != nil || w.rng.Float64() < w.lossRate {
				return
			}
			w.after(w.networkDelay()+w.answerDelay(from), func() { finish(v, true) })
		})
	}
	if w.rng.Float64() < w.lossRate/2 {
		w.after(units.FromSeconds(1+w.rng.Float64()*30), deliver)
		return
	}
	w.after(w.networkDelay(), deliver)
}

// answerDelay is how much longer an answer to that host takes than usual.
func (w *World) answerDelay(host string) units.Micros {
	if w.maxAnswerDelay == 0 || w.workers[host] == nil {
		return 0
	}
	return units.Micros(w.rng.Int64N(int64(w.maxAnswerDelay)))
}

func (w *World) addProcess(cfg *config.Config, previousVersion bool) {
	process := &controllerProcess{world: w, name: cfg.Member, cfg: cfg, previousVersion: previousVersion, pendingReplies: map[uint64]func(controller.Reply){}}
	w.processes = append(w.processes, process)
	process.start()
	w.every(25*units.Millisecond, process.step)
	w.every(units.Second, process.probe)
}

// probe asks for the health as the load balancer does.
func (p *controllerProcess) probe() {
	call(p.world, "users", p.name, units.Second, func(answer func(controller.Reply)) {
		p.request(func(to uint64) controller.Message { return controller.ReadyRequest{RequestID: to} }, answer)
	}, func(reply controller.Reply, ok bool) {
		if !ok || reply.Status != 200 {
			p.passedProbes, p.failedProbes = 0, p.failedProbes+1
			if p.failedProbes >= 2 && p.healthy {
				p.healthy, p.readmitAt = false, p.world.now+3*units.Second
			}
			return
		}
		p.passedProbes, p.failedProbes = p.passedProbes+1, 0
		if !p.healthy && (!p.everHealthy || p.passedProbes >= 2 && p.world.now >= p.readmitAt) {
			p.healthy, p.everHealthy = true, true
		}
	})
}

func (p *controllerProcess) start() {
	p.incarnation++
	p.running = true
	level := slog.LevelInfo
	if os.Getenv("SCENARIO_LOG") == "debug" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(timestampWriter{p.world}, &slog.HandlerOptions{Level: level, ReplaceAttr: dropTime}))
	cfg := p.cfg
	if p.previousVersion { // it does not know what is announced
		previousSettings := *p.cfg
		previousSettings.Settings.KVStore.Next = nil
		cfg = &previousSettings
	}
	p.controller = controller.New(cfg, policy.Default(), log, fmt.Sprintf("%s%04d", p.name, p.incarnation))
	p.inbox, p.stepScheduled = nil, false
	p.pendingReplies = map[uint64]func(controller.Reply){}
}

func dropTime(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return attr
}

type timestampWriter struct{ world *World }

func (t timestampWriter) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("invariant violated")) {
		t.world.Checker.violate("invariant", "%s", bytes.TrimSpace(b))
	}
	if t.world.log == nil {
		return len(b), nil
	}
	if _, err := fmt.Fprintf(t.world.log, "%9.3f ", t.world.now.Seconds()); err != nil {
		return 0, err
	}
	return t.world.log.Write(b)
}

func (p *controllerProcess) crash() {
	p.running, p.pausedUntil = false, 0
	p.incarnation++
	p.inbox = nil
}

func (p *controllerProcess) enqueue(msg controller.Message) {
	p.inbox = append(p.inbox, msg)
	if !p.stepScheduled {
		p.stepScheduled = true
		incarnation := p.incarnation
		p.world.after(200, func() {
			if p.incarnation == incarnation {
				p.step()
			}
		})
	}
}

// step gives the core its messages and carries out the effects.
func (p *controllerProcess) step() {
	if !p.running || p.world.now < p.pausedUntil {
		return
	}
	p.stepScheduled = false
	msgs := p.inbox
	p.inbox = nil
	for _, e := range p.controller.Step(p.world.now, p.world.now+units.Micros(1e15), msgs) {
		p.perform(e)
	}
}

// ifRunning returns a function that runs its argument only if this very process
// still runs.
func (p *controllerProcess) ifRunning(action func()) {
	if p.running {
		action()
	}
}

func (p *controllerProcess) perform(e controller.Effect) {
	w, incarnation := p.world, p.incarnation
	w.trace.record(w.now, p.name, e)
	enqueueIfSame := func(msg controller.Message) {
		if p.incarnation == incarnation && p.running {
			p.enqueue(msg)
		}
	}
	switch e := e.(type) {
	case controller.Reply:
		if answer := p.pendingReplies[e.RequestID]; answer != nil {
			delete(p.pendingReplies, e.RequestID)
			answer(e)
		}
	case controller.StoreCall:
		if p.previousVersion {
			e = previousVersionCall(e)
		}
		previousVersion := p.previousVersion
		w.store.call(p.name, e, func(result controller.StoreResult) {
			if previousVersion {
				result = previousVersionResult(result)
			}
			enqueueIfSame(result)
		})
	case controller.CloudCall:
		w.cloud.call(p.name, e, func(result controller.CloudResult) { enqueueIfSame(result) })
	case controller.AgentCall:
		w.sendCommand(p.name, e, func(result controller.AgentResult) { enqueueIfSame(result) })
	case controller.BroadcastHeartbeat:
		for _, other := range w.processes {
			if other == p || w.blocked(p.name, other.name, false) != nil {
				continue
			}
			w.after(w.networkDelay(), func() { other.ifRunning(func() { other.enqueue(controller.PeerHeartbeat(e)) }) })
		}
	}
}

// request sends a request to the process; answer is called if it replies.
func (p *controllerProcess) request(msg func(to uint64) controller.Message, answer func(controller.Reply)) {
	if !p.running {
		return
	}
	p.nextReply++
	to := p.nextReply
	p.pendingReplies[to] = answer
	p.enqueue(msg(to))
}

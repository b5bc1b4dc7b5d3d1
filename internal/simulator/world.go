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
	at units.Micros
	n  int
	f  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].n < q[b].n
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
	q      queue
	events int
	rng    *rand.Rand
	log    io.Writer

	nodes   []*process
	store   *store
	cloud   *cloudService
	workers map[string]*worker
	names   []string // workers in order of creation
	users   *users
	Rules   *Checker
	trace   *Trace

	cuts  []*cut
	flaky float64 // chance that an answer is lost, or a request is carried out late
	lag   units.Micros

	slowAnswers units.Micros // the most that an answer to a report is held up on its way

	copies float64 // chance that a copy of a report comes late, to any controller
}

// cut is an interruption between two kinds of host.
type cut struct {
	a, b  string
	some  map[string]bool // instead of a and b: these machines from everything
	zone  string          // instead of a and b: all in that zone from all that is not
	until units.Micros
	hold  bool
	deaf  bool // only what b sends to a is lost
	mute  bool // only requests from b to a are lost: b answers what it is asked
}

// process is one process of the service, or the gap between two.
type process struct {
	w     *World
	name  string
	cfg   *config.Config
	core  *controller.Core
	gen   int
	up    bool
	old   bool // it runs the version before
	inbox []controller.Msg
	due   bool
	// replies that callers of this process wait for
	waiting map[uint64]func(controller.Reply)
	next    uint64
	// what the load balancer thinks of it
	healthy bool
	ever    bool
	good    int
	bad     int
	frozen  units.Micros // it stands still until then
	backAt  units.Micros
}

func newWorld(seed uint64, log io.Writer) *World {
	w := &World{
		now: units.Second, rng: rand.New(rand.NewPCG(seed, 42)), workers: map[string]*worker{}, log: log,
		Rules: NewChecker(), lag: 4 * units.Millisecond,
	}
	w.store = newStore(w)
	w.cloud = newCloud(w)
	w.users = newUsers(w)
	return w
}

func (w *World) at(t units.Micros, f func()) {
	w.events++
	heap.Push(&w.q, event{max(t, w.now), w.events, f})
}

func (w *World) after(d units.Micros, f func()) { w.at(w.now+d, f) }

func (w *World) every(d units.Micros, f func()) {
	w.after(d, func() { f(); w.every(d, f) })
}

// run plays until the given time, or until a rule is broken.
func (w *World) run(until units.Micros) {
	for len(w.q) > 0 && w.q[0].at <= until {
		e := heap.Pop(&w.q).(event)
		w.now = e.at
		w.Rules.now = w.now
		e.f()
	}
	w.now = until
}

// jitter is the time of one trip through the network.
func (w *World) jitter() units.Micros {
	d := w.lag/2 + units.Micros(w.rng.Int64N(int64(w.lag)))
	if w.rng.Float64() < 0.005 {
		d += units.Micros(w.rng.Int64N(int64(300 * units.Millisecond)))
	}
	return d
}

// blocked finds an interruption of what one host sends to another, a request or
// an answer.
func (w *World) blocked(from, to string, answer bool) *cut {
	for _, c := range w.cuts {
		if c.mute && answer {
			continue
		}
		if c.some != nil {
			if w.now < c.until && (c.some[from] || c.some[to]) {
				return c
			}
			continue
		}
		if c.zone != "" {
			if w.now < c.until && (w.zoneOf(from) == c.zone) != (w.zoneOf(to) == c.zone) {
				return c
			}
			continue
		}
		if w.now < c.until && (matches(c.a, from) && matches(c.b, to) && !c.deaf && !c.mute || matches(c.a, to) && matches(c.b, from)) {
			return c
		}
	}
	return nil
}

// zoneOf is the zone that a machine or controller is in; the rest belongs to the
// region.
func (w *World) zoneOf(host string) string {
	if k := w.workers[host]; k != nil {
		return k.l.Zone
	}
	for i, n := range w.nodes {
		if n.name == host {
			return n.cfg.Settings.Zones[i%len(n.cfg.Settings.Zones)]
		}
	}
	return ""
}

func matches(pattern, host string) bool {
	if pattern == "*" || pattern == host {
		return true
	}
	return len(pattern) > 1 && pattern[len(pattern)-1] == '*' && len(host) >= len(pattern)-1 && host[:len(pattern)-1] == pattern[:len(pattern)-1]
}

// call sends a request from one host to another. serve runs there and passes
// its answer to the function it is given; got runs here with that answer, or
// with ok false after the time limit. Under interruptions requests are lost or
// held back and carried out late, though nobody waits for them any more.
func call[T any](w *World, from, to string, limit units.Micros, serve func(answer func(T)), got func(v T, ok bool)) {
	settled := false
	finish := func(v T, ok bool) {
		if !settled {
			settled = true
			got(v, ok)
		}
	}
	w.after(limit, func() {
		var none T
		finish(none, false)
	})
	var deliver func()
	deliver = func() {
		if c := w.blocked(from, to, false); c != nil {
			if c.hold {
				w.at(c.until+w.jitter(), deliver)
			}
			return
		}
		serve(func(v T) {
			if w.blocked(to, from, true) != nil || w.rng.Float64() < w.flaky {
				return
			}
			w.after(w.jitter()+w.heldUp(from), func() { finish(v, true) })
		})
	}
	if w.rng.Float64() < w.flaky/2 {
		w.after(units.FromSeconds(1+w.rng.Float64()*30), deliver)
		return
	}
	w.after(w.jitter(), deliver)
}

// heldUp is how much longer an answer to that host takes than usual.
func (w *World) heldUp(host string) units.Micros {
	if w.slowAnswers == 0 || w.workers[host] == nil {
		return 0
	}
	return units.Micros(w.rng.Int64N(int64(w.slowAnswers)))
}

func (w *World) addNode(cfg *config.Config, old bool) {
	n := &process{w: w, name: cfg.Member, cfg: cfg, old: old, waiting: map[uint64]func(controller.Reply){}}
	w.nodes = append(w.nodes, n)
	n.start()
	w.every(25*units.Millisecond, n.wake)
	w.every(units.Second, n.probe)
}

// probe asks for the health as the load balancer does.
func (n *process) probe() {
	call(n.w, "users", n.name, units.Second, func(answer func(controller.Reply)) {
		n.ask(func(to uint64) controller.Msg { return controller.ReadyReq{To: to} }, answer)
	}, func(r controller.Reply, ok bool) {
		if !ok || r.Status != 200 {
			n.good, n.bad = 0, n.bad+1
			if n.bad >= 2 && n.healthy {
				n.healthy, n.backAt = false, n.w.now+3*units.Second
			}
			return
		}
		n.good, n.bad = n.good+1, 0
		if !n.healthy && (!n.ever || n.good >= 2 && n.w.now >= n.backAt) {
			n.healthy, n.ever = true, true
		}
	})
}

func (n *process) start() {
	n.gen++
	n.up = true
	level := slog.LevelInfo
	if os.Getenv("SCENARIO_LOG") == "debug" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(stamped{n.w}, &slog.HandlerOptions{Level: level, ReplaceAttr: noTime}))
	cfg := n.cfg
	if n.old { // it does not know what is announced
		before := *n.cfg
		before.Settings.State.Next = nil
		cfg = &before
	}
	n.core = controller.New(cfg, policy.Default(), log, fmt.Sprintf("%s%04d", n.name, n.gen))
	n.inbox, n.due = nil, false
	n.waiting = map[uint64]func(controller.Reply){}
}

func noTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}

type stamped struct{ w *World }

func (s stamped) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("invariant violated")) {
		s.w.Rules.fail("invariant", "%s", bytes.TrimSpace(b))
	}
	if s.w.log == nil {
		return len(b), nil
	}
	if _, err := fmt.Fprintf(s.w.log, "%9.3f ", s.w.now.Seconds()); err != nil {
		return 0, err
	}
	return s.w.log.Write(b)
}

func (n *process) crash() {
	n.up, n.frozen = false, 0
	n.gen++
	n.inbox = nil
}

func (n *process) post(m controller.Msg) {
	n.inbox = append(n.inbox, m)
	if !n.due {
		n.due = true
		gen := n.gen
		n.w.after(200, func() {
			if n.gen == gen {
				n.wake()
			}
		})
	}
}

// wake gives the core its messages and carries out the effects.
func (n *process) wake() {
	if !n.up || n.w.now < n.frozen {
		return
	}
	n.due = false
	msgs := n.inbox
	n.inbox = nil
	for _, e := range n.core.Step(n.w.now, n.w.now+units.Micros(1e15), msgs) {
		n.effect(e)
	}
}

// alive returns a function that runs its argument only if this very process
// still runs.
func (n *process) alive(f func()) {
	if n.up {
		f()
	}
}

func (n *process) effect(e controller.Effect) {
	w, gen := n.w, n.gen
	w.trace.record(w.now, n.name, e)
	mine := func(m controller.Msg) {
		if n.gen == gen && n.up {
			n.post(m)
		}
	}
	switch e := e.(type) {
	case controller.Reply:
		if f := n.waiting[e.To]; f != nil {
			delete(n.waiting, e.To)
			f(e)
		}
	case controller.StateCall:
		if n.old {
			e = asBefore(e)
		}
		old := n.old
		w.store.from(n.name, e, func(d controller.StateDone) {
			if old {
				d = shownBefore(d)
			}
			mine(d)
		})
	case controller.CloudCall:
		w.cloud.from(n.name, e, func(d controller.CloudDone) { mine(d) })
	case controller.WorkerCall:
		w.commandTo(n.name, e, func(d controller.WorkerDone) { mine(d) })
	case controller.SendHeartbeat:
		for _, o := range w.nodes {
			if o == n || w.blocked(n.name, o.name, false) != nil {
				continue
			}
			w.after(w.jitter(), func() { o.alive(func() { o.post(controller.PeerHeartbeat(e)) }) })
		}
	}
}

// ask sends a request to the process; answer is called if it replies.
func (n *process) ask(msg func(to uint64) controller.Msg, answer func(controller.Reply)) {
	if !n.up {
		return
	}
	n.next++
	to := n.next
	n.waiting[to] = answer
	n.post(msg(to))
}

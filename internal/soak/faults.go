package soak

import (
	"time"
)

// faults has troubles come at moments that the seed draws, two or three of which overlap. What
// lasts ends by itself; heal ends all that is left.
func (w *world) faults(d time.Duration) {
	for at := w.rng.between(2*time.Second, 4*time.Second); at < d-2*time.Second; at += w.rng.between(time.Second, 6*time.Second) {
		for range 1 + w.rng.intN(3) {
			kind, long := w.rng.intN(len(faultKinds)), w.rng.between(time.Second, 12*time.Second)
			w.after(at+w.rng.between(0, 1500*time.Millisecond), func() {
				fault := faultKinds[kind]
				w.events.add("fault: %s for %v", fault.name, long.Round(time.Millisecond))
				fault.begin(w, long)
			})
		}
	}
	w.after(w.rng.between(d/3, d), func() {
		for !w.upgraded.Load() {
			if !w.sleep(100 * time.Millisecond) {
				return
			}
		}
		if !w.sleep(4 * time.Second) { // the format is raised, and documents are split by then
			return
		}
		w.events.add("fault: the state service lowers its limits")
		w.store.set(func(s *store) { s.limits = limitsNext })
	})
}

// faultKind is one kind of trouble.
type faultKind struct {
	name  string
	begin func(w *world, d time.Duration)
}

// away draws how long a process stays away: next to nothing, or longer.
func (w *world) away() time.Duration {
	if w.rng.chance(0.5) {
		return w.rng.between(0, 300*time.Millisecond)
	}
	return w.rng.between(time.Second, 6*time.Second)
}

func (w *world) anyNode() *process { return pick(w, w.nodes...) }

// someMachines draws so many machines.
func (w *world) someMachines(n int) []*worker {
	all := w.cloud.workers()
	var out []*worker
	for range min(n, len(all)) {
		out = append(out, pick(w, all...))
	}
	return out
}

// cancelSome has users cancel some of the latest jobs within moments.
func (w *world) cancelSome(n int) {
	for range n {
		if id := w.users.any(); id != "" {
			w.after(w.rng.between(0, 300*time.Millisecond), func() { w.users.cancel(id) })
		}
	}
}

// refuse has the state service refuse one controller, or lose its requests.
func (w *world) refuse(node *process, d time.Duration) {
	set := func(on, silent bool) {
		w.store.set(func(s *store) { s.refused[node.index], s.silent[node.index] = on && !silent, on && silent })
	}
	set(true, w.rng.chance(0.4))
	w.after(d, func() { set(false, false) })
}

func (w *world) outage(d time.Duration) {
	w.store.setOutage(true)
	w.after(d, func() { w.store.setOutage(false) })
}

var faultKinds = []faultKind{
	{"a controller ends", func(w *world, _ time.Duration) { w.anyNode().restart(w.away()) }},
	{"a controller ends twice", func(w *world, _ time.Duration) {
		node := w.anyNode()
		node.restart(w.away())
		w.after(w.rng.between(100*time.Millisecond, 3*time.Second), func() { node.restart(w.away()) })
	}},
	{"all controllers end", func(w *world, _ time.Duration) {
		for _, node := range w.nodes {
			w.after(w.rng.between(0, time.Second), func() { node.restart(w.away()) })
		}
	}},
	{"leaders change in series", func(w *world, d time.Duration) {
		for i := range 5 {
			w.after(time.Duration(i)*d/4, func() { w.anyNode().restart(w.away()) })
		}
	}},
	{"a controller stands still", func(w *world, d time.Duration) { w.anyNode().pause(d) }},
	{"a controller is refused by the state service", func(w *world, d time.Duration) {
		w.refuse(w.anyNode(), d)
		w.cancelSome(3)
	}},
	{"a controller is refused, then all", func(w *world, d time.Duration) {
		w.refuse(w.anyNode(), d)
		w.after(time.Second, func() { w.cancelSome(5) })
		w.after(w.rng.between(time.Second, 2*time.Second), func() { w.outage(d + 4*time.Second) })
	}},
	{"the state service is down", func(w *world, d time.Duration) { w.outage(d) }},
	{"a controller loses state service and peers", func(w *world, d time.Duration) {
		node := w.anyNode()
		w.refuse(node, d)
		w.links.cutFor(linkPeers, node.index, d)
		w.after(2*time.Second, func() { w.cancelSome(4) })
	}},
	{"a controller loses its peers", func(w *world, d time.Duration) { w.links.cutFor(linkPeers, w.anyNode().index, d) }},
	{"reports do not reach a controller", func(w *world, d time.Duration) { w.links.cutFor(linkWorkers, w.anyNode().index, d) }},
	{"answers of a controller are lost", func(w *world, d time.Duration) { w.links.cutFor(linkAnswers, w.anyNode().index, d) }},
	{"answers to users are lost", func(w *world, d time.Duration) { w.links.cutFor(linkUsers, w.anyNode().index, d/2) }},
	{"transactions come late", func(w *world, d time.Duration) {
		w.store.set(func(s *store) { s.lateShare = 0.3 })
		w.after(d, func() { w.store.set(func(s *store) { s.lateShare = 0 }) })
	}},
	{"answers to transactions are lost", func(w *world, d time.Duration) {
		w.store.set(func(s *store) { s.lostShare = 0.3 })
		w.after(d, func() { w.store.set(func(s *store) { s.lostShare = 0 }) })
	}},
	{"the state service is slow", func(w *world, d time.Duration) {
		w.store.set(func(s *store) { s.slowest = 600 * time.Millisecond })
		w.after(d, func() { w.store.set(func(s *store) { s.slowest = 0 }) })
	}},
	{"reports come again, late", func(w *world, d time.Duration) {
		w.lateReports.Store(30)
		w.after(d, func() { w.lateReports.Store(0) })
	}},
	{"commands come late", func(w *world, d time.Duration) {
		all := w.cloud.workers()
		for _, k := range all {
			k.trouble(func(k *worker) { k.lateCommands = 0.4 })
		}
		w.after(time.Second, func() { w.cancelSome(4) })
		w.after(d, func() {
			for _, k := range all {
				k.trouble(func(k *worker) { k.lateCommands = 0 })
			}
		})
	}},
	{"machines hang and jobs are cancelled", func(w *world, d time.Duration) {
		for _, k := range w.someMachines(5) {
			k.trouble(func(k *worker) { k.hungUntil = time.Now().Add(d) })
		}
		w.cancelSome(5)
	}},
	{"machines are deaf", func(w *world, d time.Duration) {
		for _, k := range w.someMachines(3) {
			k.trouble(func(k *worker) { k.deafUntil = time.Now().Add(d) })
		}
		w.cancelSome(2)
	}},
	{"machines are mute", func(w *world, d time.Duration) {
		for _, k := range w.someMachines(3) {
			k.trouble(func(k *worker) { k.muteUntil = time.Now().Add(d) })
		}
	}},
	{"machines die", func(w *world, _ time.Duration) {
		for _, k := range w.someMachines(2) {
			w.cloud.die(k.listed.Name)
		}
	}},
	{"machines restart", func(w *world, _ time.Duration) {
		for _, k := range w.someMachines(2) {
			k.reboot()
		}
	}},
	{"the cloud is down", func(w *world, d time.Duration) {
		w.cloud.setDown(true)
		w.after(d, func() { w.cloud.setDown(false) })
	}},
	{"jobs are cancelled in numbers", func(w *world, _ time.Duration) { w.cancelSome(8) }},
}

func (c *cloudService) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// rollToNew replaces the version in production, one controller after the other.
func (w *world) rollToNew() {
	every := w.rng.between(time.Second, 3*time.Second)
	w.run(func() {
		w.sleep(4 * time.Second)
		for _, node := range w.nodes {
			node.kill()
			node.binary = w.opts.Binary
			if !w.sleep(w.away()) {
				return
			}
			if err := node.start(); err != nil {
				w.events.add("BROKEN %v", err)
			}
			if !w.sleep(every) {
				return
			}
		}
		w.upgraded.Store(true)
		w.events.add("all controllers run the new version")
	})
}

// heal ends all troubles.
func (w *world) heal() {
	w.links.heal()
	w.store.setOutage(false)
	w.store.set(func(s *store) {
		clear(s.refused)
		clear(s.silent)
		s.lateShare, s.lostShare, s.slowest = 0, 0, 0
	})
	w.lateReports.Store(0)
	w.cloud.setDown(false)
	for _, k := range w.cloud.workers() {
		k.trouble(func(k *worker) {
			k.hungUntil, k.deafUntil, k.muteUntil, k.lateCommands = time.Time{}, time.Time{}, time.Time{}, 0
		})
	}
	w.events.add("all troubles are over")
}

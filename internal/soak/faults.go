package soak

import (
	"time"
)

// scheduleFaults has troubles come at moments that the seed draws, two or three of which overlap. What
// lasts ends by itself; heal ends all that is left.
func (w *world) scheduleFaults(duration time.Duration) {
	for at := w.rng.between(2*time.Second, 4*time.Second); at < duration-2*time.Second; at += w.rng.between(time.Second, 6*time.Second) {
		for range 1 + w.rng.intN(3) {
			kind, length := w.rng.intN(len(faultKinds)), w.rng.between(time.Second, 12*time.Second)
			w.after(at+w.rng.between(0, 1500*time.Millisecond), func() {
				fault := faultKinds[kind]
				w.events.add("fault: %s for %v", fault.name, length.Round(time.Millisecond))
				fault.begin(w, length)
			})
		}
	}
	w.after(w.rng.between(duration/3, duration), func() {
		for !w.upgraded.Load() {
			if !w.sleep(100 * time.Millisecond) {
				return
			}
		}
		if !w.sleep(4 * time.Second) { // the format is raised, and documents are split by then
			return
		}
		w.events.add("fault: the state service lowers its limits")
		w.store.setFault(func(s *fakeStore) { s.limits = announcedLimits })
	})
}

// faultKind is one kind of trouble.
type faultKind struct {
	name  string
	begin func(w *world, d time.Duration)
}

// downtime draws how long a process stays away: next to nothing, or longer.
func (w *world) downtime() time.Duration {
	if w.rng.chance(0.5) {
		return w.rng.between(0, 300*time.Millisecond)
	}
	return w.rng.between(time.Second, 6*time.Second)
}

func (w *world) randomController() *controllerProcess { return pick(w, w.controllers...) }

// randomWorkers draws so many machines.
func (w *world) randomWorkers(n int) []*fakeAgent {
	all := w.cloud.workers()
	var out []*fakeAgent
	for range min(n, len(all)) {
		out = append(out, pick(w, all...))
	}
	return out
}

// cancelRecent has users cancel some of the latest jobs within moments.
func (w *world) cancelRecent(n int) {
	for range n {
		if id := w.users.recentJob(); id != "" {
			w.after(w.rng.between(0, 300*time.Millisecond), func() { w.users.cancel(id) })
		}
	}
}

// refuseRequests has the state service refuse one controller, or lose its requests.
func (w *world) refuseRequests(controller *controllerProcess, duration time.Duration) {
	set := func(on, silent bool) {
		w.store.setFault(func(s *fakeStore) {
			s.unavailableTo[controller.index], s.requestsLost[controller.index] = on && !silent, on && silent
		})
	}
	set(true, w.rng.chance(0.4))
	w.after(duration, func() { set(false, false) })
}

func (w *world) outage(duration time.Duration) {
	w.store.setOutage(true)
	w.after(duration, func() { w.store.setOutage(false) })
}

var faultKinds = []faultKind{
	{"a controller ends", func(w *world, _ time.Duration) { w.randomController().restartAfter(w.downtime()) }},
	{"a controller ends twice", func(w *world, _ time.Duration) {
		node := w.randomController()
		node.restartAfter(w.downtime())
		w.after(w.rng.between(100*time.Millisecond, 3*time.Second), func() { node.restartAfter(w.downtime()) })
	}},
	{"all controllers end", func(w *world, _ time.Duration) {
		for _, node := range w.controllers {
			w.after(w.rng.between(0, time.Second), func() { node.restartAfter(w.downtime()) })
		}
	}},
	{"leaders change in series", func(w *world, d time.Duration) {
		for i := range 5 {
			w.after(time.Duration(i)*d/4, func() { w.randomController().restartAfter(w.downtime()) })
		}
	}},
	{"a controller stands still", func(w *world, d time.Duration) { w.randomController().pause(d) }},
	{"a controller is refused by the state service", func(w *world, d time.Duration) {
		w.refuseRequests(w.randomController(), d)
		w.cancelRecent(3)
	}},
	{"a controller is refused, then all", func(w *world, d time.Duration) {
		w.refuseRequests(w.randomController(), d)
		w.after(time.Second, func() { w.cancelRecent(5) })
		w.after(w.rng.between(time.Second, 2*time.Second), func() { w.outage(d + 4*time.Second) })
	}},
	{"the state service is down", func(w *world, d time.Duration) { w.outage(d) }},
	{"a controller loses state service and peers", func(w *world, d time.Duration) {
		node := w.randomController()
		w.refuseRequests(node, d)
		w.network.cutFor(linkPeers, node.index, d)
		w.after(2*time.Second, func() { w.cancelRecent(4) })
	}},
	{"a controller loses its peers", func(w *world, d time.Duration) { w.network.cutFor(linkPeers, w.randomController().index, d) }},
	{"reports do not reach a controller", func(w *world, d time.Duration) { w.network.cutFor(linkHeartbeats, w.randomController().index, d) }},
	{"answers of a controller are lost", func(w *world, d time.Duration) { w.network.cutFor(linkHeartbeatAnswers, w.randomController().index, d) }},
	{"answers to users are lost", func(w *world, d time.Duration) { w.network.cutFor(linkUserAnswers, w.randomController().index, d/2) }},
	{"transactions come late", func(w *world, d time.Duration) {
		w.store.setFault(func(s *fakeStore) { s.lateCommitRate = 0.3 })
		w.after(d, func() { w.store.setFault(func(s *fakeStore) { s.lateCommitRate = 0 }) })
	}},
	{"answers to transactions are lost", func(w *world, d time.Duration) {
		w.store.setFault(func(s *fakeStore) { s.lostAnswerRate = 0.3 })
		w.after(d, func() { w.store.setFault(func(s *fakeStore) { s.lostAnswerRate = 0 }) })
	}},
	{"the state service is slow", func(w *world, d time.Duration) {
		w.store.setFault(func(s *fakeStore) { s.maxDelay = 600 * time.Millisecond })
		w.after(d, func() { w.store.setFault(func(s *fakeStore) { s.maxDelay = 0 }) })
	}},
	{"reports come again, late", func(w *world, d time.Duration) {
		w.duplicateRate.Store(30)
		w.after(d, func() { w.duplicateRate.Store(0) })
	}},
	{"commands come late", func(w *world, d time.Duration) {
		all := w.cloud.workers()
		for _, k := range all {
			k.setFault(func(k *fakeAgent) { k.lateCommandRate = 0.4 })
		}
		w.after(time.Second, func() { w.cancelRecent(4) })
		w.after(d, func() {
			for _, k := range all {
				k.setFault(func(k *fakeAgent) { k.lateCommandRate = 0 })
			}
		})
	}},
	{"machines hang and jobs are cancelled", func(w *world, d time.Duration) {
		for _, k := range w.randomWorkers(5) {
			k.setFault(func(k *fakeAgent) { k.hungUntil = time.Now().Add(d) })
		}
		w.cancelRecent(5)
	}},
	{"machines are deaf", func(w *world, d time.Duration) {
		for _, k := range w.randomWorkers(3) {
			k.setFault(func(k *fakeAgent) { k.inboundLostUntil = time.Now().Add(d) })
		}
		w.cancelRecent(2)
	}},
	{"machines are mute", func(w *world, d time.Duration) {
		for _, k := range w.randomWorkers(3) {
			k.setFault(func(k *fakeAgent) { k.outboundLostUntil = time.Now().Add(d) })
		}
	}},
	{"machines die", func(w *world, _ time.Duration) {
		for _, k := range w.randomWorkers(2) {
			w.cloud.crash(k.listed.Name)
		}
	}},
	{"machines restart", func(w *world, _ time.Duration) {
		for _, k := range w.randomWorkers(2) {
			k.reboot()
		}
	}},
	{"the cloud is down", func(w *world, d time.Duration) {
		w.cloud.setDown(true)
		w.after(d, func() { w.cloud.setDown(false) })
	}},
	{"jobs are cancelled in numbers", func(w *world, _ time.Duration) { w.cancelRecent(8) }},
}

func (c *fakeCloud) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// rollingUpgrade replaces the version in production, one controller after the other.
func (w *world) rollingUpgrade() {
	every := w.rng.between(time.Second, 3*time.Second)
	w.spawn(func() {
		w.sleep(4 * time.Second)
		for _, controller := range w.controllers {
			controller.kill()
			controller.binary = w.opts.Binary
			if !w.sleep(w.downtime()) {
				return
			}
			if err := controller.start(); err != nil {
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
	w.network.heal()
	w.store.setOutage(false)
	w.store.setFault(func(s *fakeStore) {
		clear(s.unavailableTo)
		clear(s.requestsLost)
		s.lateCommitRate, s.lostAnswerRate, s.maxDelay = 0, 0, 0
	})
	w.duplicateRate.Store(0)
	w.cloud.setDown(false)
	for _, worker := range w.cloud.workers() {
		worker.setFault(func(worker *fakeAgent) {
			worker.hungUntil, worker.inboundLostUntil, worker.outboundLostUntil, worker.lateCommandRate = time.Time{}, time.Time{}, time.Time{}, 0
		})
	}
	w.events.add("all troubles are over")
}

package soak

import "time"

func (w *world) randomController() *controllerProcess { return pick(w.rng, w.controllers...) }

// shortDowntimeShare is the share of processes that are started again almost at once.
const shortDowntimeShare = 0.5

// downtime draws how long a process stays away: next to nothing, or longer.
func (w *world) downtime() time.Duration {
	if w.rng.chance(shortDowntimeShare) {
		return w.rng.between(0, 300*time.Millisecond)
	}
	return w.rng.between(time.Second, 6*time.Second)
}

func (w *world) killController(time.Duration) { w.randomController().restartAfter(w.downtime()) }

func (w *world) killControllerTwice(time.Duration) {
	process := w.randomController()
	process.restartAfter(w.downtime())
	w.after(w.rng.between(100*time.Millisecond, 3*time.Second), func() { process.restartAfter(w.downtime()) })
}

func (w *world) killAllControllers(time.Duration) {
	for _, process := range w.controllers {
		w.after(w.rng.between(0, time.Second), func() { process.restartAfter(w.downtime()) })
	}
}

// killControllersInSeries kills one after the other, so that leaders that have just begun are hit.
func (w *world) killControllersInSeries(duration time.Duration) {
	const kills = 5
	for i := range time.Duration(kills) {
		w.after(i*duration/(kills-1), func() { w.killController(0) })
	}
}

func (w *world) pauseController(duration time.Duration) { w.randomController().pause(duration) }

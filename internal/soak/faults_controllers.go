package soak

import "time"

func (w *world) randomController() *controllerProcess { return pick(w.rng, w.controllers...) }

// shortDowntimeShare is the share of restarts that follow almost immediately.
const shortDowntimeShare = 0.5

// downtime draws the time until a process is restarted: almost none, or some seconds.
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

// killControllersInSeries kills one controller after the other, so that some have only just become leader.
func (w *world) killControllersInSeries(duration time.Duration) {
	const kills = 5
	for i := range time.Duration(kills) {
		w.after(i*duration/(kills-1), func() { w.killController(0) })
	}
}

func (w *world) pauseController(duration time.Duration) { w.randomController().pause(duration) }

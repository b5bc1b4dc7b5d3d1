package soak

import "time"

// upgradeDelay is how long the production version runs before it is replaced.
const upgradeDelay = 4 * time.Second

// startRollingUpgrade replaces the production version, one controller after the other.
func (w *world) startRollingUpgrade() {
	pause := w.rng.between(time.Second, 3*time.Second)
	w.spawn(func() {
		if !w.sleep(upgradeDelay) {
			return
		}
		for _, process := range w.controllers {
			process.upgrade(w.opts.Binary, w.downtime)
			if !w.sleep(pause) {
				return
			}
		}
		w.upgraded.Store(true)
		w.events.add("all controllers run the new version")
	})
}

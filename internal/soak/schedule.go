package soak

import "time"

// Times of the schedule. The first faults come early, and lastFaultMargin leaves time for the last.
const (
	minFirstFault, maxFirstFault       = 2 * time.Second, 4 * time.Second
	minFaultPause, maxFaultPause       = time.Second, 6 * time.Second
	minFaultDuration, maxFaultDuration = time.Second, 12 * time.Second
	maxFaultOffset                     = 1500 * time.Millisecond // between the faults of a group
	maxOverlappingFaults               = 3
	lastFaultMargin                    = 2 * time.Second
)

// plannedFault is a fault with its start time in the run and its duration.
type plannedFault struct {
	at       time.Duration
	fault    faultKind
	duration time.Duration
}

// schedule says when faults begin in a run. It depends only on the random numbers and the run time.
type schedule struct {
	faults          []plannedFault
	limitsLoweredAt time.Duration
}

// drawSchedule draws faults for the run time, in groups of up to three that overlap, and the time at
// which the store's limits are lowered.
func drawSchedule(rng *lockedRand, runTime time.Duration) schedule {
	var drawn schedule
	at := rng.between(minFirstFault, maxFirstFault)
	for at < runTime-lastFaultMargin {
		for range 1 + rng.intN(maxOverlappingFaults) {
			fault := pick(rng, faultKinds...)
			duration := rng.between(minFaultDuration, maxFaultDuration)
			begin := at + rng.between(0, maxFaultOffset)
			drawn.faults = append(drawn.faults, plannedFault{at: begin, fault: fault, duration: duration})
		}
		at += rng.between(minFaultPause, maxFaultPause)
	}
	drawn.limitsLoweredAt = rng.between(runTime/3, runTime)
	return drawn
}

// startSchedule starts the faults at their times. Each fault ends by itself; heal ends those that are left.
func (w *world) startSchedule(planned schedule) {
	for _, next := range planned.faults {
		w.after(next.at, func() {
			w.events.add("fault: %s for %v", next.fault.name, next.duration.Round(time.Millisecond))
			next.fault.begin(w, next.duration)
		})
	}
	w.after(planned.limitsLoweredAt, w.lowerStoreLimits)
}

// upgradeCheckInterval is how often lowerStoreLimits checks whether the upgrade is over.
const upgradeCheckInterval = 100 * time.Millisecond

// formatRaiseTime is the time that the controllers get after an upgrade to raise the documents' format
// and to split the documents that are too large for the lower limits.
const formatRaiseTime = 4 * time.Second

// lowerStoreLimits applies the store's announced limits once all controllers are ready for them.
func (w *world) lowerStoreLimits() {
	for !w.upgraded.Load() {
		if !w.sleep(upgradeCheckInterval) {
			return
		}
	}
	if !w.sleep(formatRaiseTime) {
		return
	}
	w.events.add("fault: the key-value store lowers its limits")
	w.store.lowerLimits()
}

// heal ends all active faults.
func (w *world) heal() {
	w.faultsOver.Store(true)
	w.network.heal()
	w.store.setOutage(false)
	w.store.setFaults(func(faults *storeFaults) { *faults = storeFaults{} })
	w.duplicatePercent.Store(0)
	w.cloud.setDown(false)
	for _, agent := range w.cloud.agents() {
		agent.setFaults(func(faults *agentFaults) { *faults = agentFaults{} })
	}
	w.events.add("all faults are over")
}

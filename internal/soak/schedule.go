package soak

import "time"

// Times of the schedule: the first faults come early, and none begins so late that it has no time.
const (
	minFirstFault, maxFirstFault       = 2 * time.Second, 4 * time.Second
	minFaultPause, maxFaultPause       = time.Second, 6 * time.Second
	minFaultDuration, maxFaultDuration = time.Second, 12 * time.Second
	maxFaultOffset                     = 1500 * time.Millisecond // between faults that overlap
	maxOverlappingFaults               = 3
	lastFaultMargin                    = 2 * time.Second
)

// plannedFault is a fault with its moment in the run.
type plannedFault struct {
	at       time.Duration
	fault    faultKind
	duration time.Duration
}

// schedule is what comes when in a run. Given the same numbers it is the same.
type schedule struct {
	faults          []plannedFault
	limitsLoweredAt time.Duration
}

// drawSchedule draws faults for a time, of which up to three overlap, and the fall of the store's limits.
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

// playSchedule has the faults come at their moments. What lasts ends by itself; heal ends what is left.
func (w *world) playSchedule(planned schedule) {
	for _, next := range planned.faults {
		w.after(next.at, func() {
			w.events.add("fault: %s for %v", next.fault.name, next.duration.Round(time.Millisecond))
			next.fault.begin(w, next.duration)
		})
	}
	w.after(planned.limitsLoweredAt, w.lowerStoreLimits)
}

// upgradeCheckInterval is how often it is looked whether the upgrade is over.
const upgradeCheckInterval = 100 * time.Millisecond

// formatRaiseTime is how long after an upgrade the documents' format is raised, and those are
// split that would be too large for the lower limits.
const formatRaiseTime = 4 * time.Second

// lowerStoreLimits has the store's announced limits come into force, once all controllers are ready for them.
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

// heal ends all faults that are at work.
func (w *world) heal() {
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

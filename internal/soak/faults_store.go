package soak

import "time"

// storeFaultRate is the share of transactions that a fault of the store affects.
const storeFaultRate = 0.3

// lostRequestsShare is the probability that a controller's requests are lost instead of refused.
const lostRequestsShare = 0.4

// slowStoreDelay is the longest delay of a slow store before it serves a request, and again before its response.
const slowStoreDelay = 600 * time.Millisecond

func (w *world) outage(duration time.Duration) {
	w.during(duration, func() { w.store.setOutage(true) }, func() { w.store.setOutage(false) })
}

// refuseRequests has the store refuse the requests of one controller, or lose them.
func (w *world) refuseRequests(process *controllerProcess, duration time.Duration) {
	lost := w.rng.chance(lostRequestsShare)
	set := func(unavailable, lost bool) {
		w.store.setFaults(func(faults *storeFaults) {
			faults.unavailableTo[process.index], faults.requestsLost[process.index] = unavailable, lost
		})
	}
	w.during(duration, func() { set(!lost, lost) }, func() { set(false, false) })
}

func (w *world) refuseController(duration time.Duration) {
	w.refuseRequests(w.randomController(), duration)
	w.cancelRecent(3)
}

func (w *world) refuseControllerThenAll(duration time.Duration) {
	w.refuseRequests(w.randomController(), duration)
	w.after(time.Second, func() { w.cancelRecent(5) })
	w.after(w.rng.between(time.Second, 2*time.Second), func() { w.outage(duration + 4*time.Second) })
}

func (w *world) isolateController(duration time.Duration) {
	process := w.randomController()
	w.refuseRequests(process, duration)
	w.network.cutFor(linkPeers, process.index, duration)
	w.after(2*time.Second, func() { w.cancelRecent(4) })
}

func (w *world) commitLate(duration time.Duration) {
	w.storeFaultDuring(duration,
		func(faults *storeFaults) { faults.lateCommitRate = storeFaultRate },
		func(faults *storeFaults) { faults.lateCommitRate = 0 })
}

func (w *world) loseCommitResponses(duration time.Duration) {
	w.storeFaultDuring(duration,
		func(faults *storeFaults) { faults.lostResponseRate = storeFaultRate },
		func(faults *storeFaults) { faults.lostResponseRate = 0 })
}

func (w *world) slowStore(duration time.Duration) {
	w.storeFaultDuring(duration,
		func(faults *storeFaults) { faults.maxDelay = slowStoreDelay },
		func(faults *storeFaults) { faults.maxDelay = 0 })
}

func (w *world) storeFaultDuring(duration time.Duration, begin, end func(faults *storeFaults)) {
	w.during(duration, func() { w.store.setFaults(begin) }, func() { w.store.setFaults(end) })
}

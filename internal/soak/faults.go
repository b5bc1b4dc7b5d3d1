package soak

import "time"

// faultKind is one kind of fault. begin starts the fault, and returns soon or when the fault is over.
type faultKind struct {
	name  string
	begin func(w *world, duration time.Duration)
}

// faultKinds are all kinds of faults. A seed draws them by index, so a new order changes a seed's faults.
var faultKinds = []faultKind{
	{"a controller is killed", (*world).killController},
	{"a controller is killed twice", (*world).killControllerTwice},
	{"all controllers are killed", (*world).killAllControllers},
	{"controllers are killed in series", (*world).killControllersInSeries},
	{"a controller is paused", (*world).pauseController},
	{"a controller is refused by the key-value store", (*world).refuseController},
	{"a controller is refused by the key-value store, then all", (*world).refuseControllerThenAll},
	{"the key-value store is down", (*world).outage},
	{"a controller loses the key-value store and its peers", (*world).isolateController},
	{"a controller loses its peers", (*world).cutPeers},
	{"heartbeats do not reach a controller", (*world).cutHeartbeats},
	{"responses to heartbeats are lost", (*world).cutHeartbeatResponses},
	{"responses to users are lost", (*world).cutUserResponses},
	{"transactions are applied late", (*world).commitLate},
	{"responses to transactions are lost", (*world).loseCommitResponses},
	{"the key-value store is slow", (*world).slowStore},
	{"heartbeats are duplicated with a delay", (*world).duplicateHeartbeats},
	{"commands are delayed", (*world).delayCommands},
	{"machines hang and jobs are cancelled", (*world).hangMachines},
	{"machines are unreachable inbound", (*world).loseInbound},
	{"machines are unreachable outbound", (*world).loseOutbound},
	{"machines crash", (*world).crashMachines},
	{"machines reboot", (*world).rebootMachines},
	{"the cloud is down", (*world).cloudOutage},
	{"many jobs are cancelled", (*world).cancelManyJobs},
	{"machines are reclaimed after a notice", (*world).reclaimMachines},
}

// during calls begin, and calls end after the duration unless the run is stopped before.
func (w *world) during(duration time.Duration, begin, end func()) {
	begin()
	w.after(duration, end)
}

// cancelRecent has users cancel up to count of the latest jobs, each after a random delay of at most 300 ms.
func (w *world) cancelRecent(count int) {
	for range count {
		if id := w.users.recentJob(); id != "" {
			w.after(w.rng.between(0, 300*time.Millisecond), func() { w.users.cancel(id) })
		}
	}
}

func (w *world) cancelManyJobs(time.Duration) { w.cancelRecent(8) }

func (w *world) cloudOutage(duration time.Duration) {
	w.during(duration, func() { w.cloud.setDown(true) }, func() { w.cloud.setDown(false) })
}

func (w *world) cutPeers(duration time.Duration) {
	w.network.cutFor(linkPeers, w.randomController().index, duration)
}

func (w *world) cutHeartbeats(duration time.Duration) {
	w.network.cutFor(linkHeartbeats, w.randomController().index, duration)
}

func (w *world) cutHeartbeatResponses(duration time.Duration) {
	w.network.cutFor(linkHeartbeatResponses, w.randomController().index, duration)
}

// cutUserResponses lasts half as long as the drawn duration, unlike the other faults.
func (w *world) cutUserResponses(duration time.Duration) {
	w.network.cutFor(linkUserResponses, w.randomController().index, duration/2)
}

const duplicatedHeartbeatPercent = 30

func (w *world) duplicateHeartbeats(duration time.Duration) {
	w.during(duration,
		func() { w.duplicatePercent.Store(duplicatedHeartbeatPercent) },
		func() { w.duplicatePercent.Store(0) })
}

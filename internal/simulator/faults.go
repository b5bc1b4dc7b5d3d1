package simulator

import (
	"fmt"

	"frostdock.example/frostdock/internal/units"
)

// crashControllers crashes controllers and starts them again after downtime.
type crashControllers struct {
	names    []string
	downtime units.Micros
}

func (f crashControllers) apply(w *World) error {
	for _, name := range f.names {
		process := w.findProcess(name)
		if process == nil {
			return fmt.Errorf("no controller %q", name)
		}
		process.restartAfter(f.downtime)
	}
	return nil
}

// restartInTurn crashes and restarts all controllers, one after the other.
type restartInTurn struct {
	interval, downtime units.Micros
	upgrade            bool // they restart with the present version
}

func (f restartInTurn) apply(w *World) error {
	for i, process := range w.processes {
		w.after(units.Micros(i)*f.interval, func() {
			if f.upgrade {
				process.upgrade()
			}
			process.restartAfter(f.downtime)
		})
	}
	return nil
}

// pauseController suspends a controller, which loses neither state nor messages.
type pauseController struct {
	name     string
	duration units.Micros
}

func (f pauseController) apply(w *World) error {
	process := w.findProcess(f.name)
	if process == nil {
		return fmt.Errorf("no controller %q", f.name)
	}
	process.pause(f.duration)
	return nil
}

// partitionHosts partitions two groups of hosts from each other.
type partitionHosts struct {
	host, peer string // patterns
	mode       partitionMode
	duration   units.Micros
}

func (f partitionHosts) apply(w *World) error {
	w.partitionHosts(f.host, f.peer, f.mode, f.duration)
	return nil
}

// partitionRandomMachines partitions some random machines from all hosts.
type partitionRandomMachines struct {
	count    int
	mode     partitionMode
	duration units.Micros
}

func (f partitionRandomMachines) apply(w *World) error {
	machines := map[string]bool{}
	for _, worker := range w.randomWorkers(f.count) {
		machines[worker.name] = true
	}
	w.partitionMachines(machines, f.mode, f.duration)
	return nil
}

// partitionZone partitions a zone from all hosts outside it.
type partitionZone struct {
	zone     string
	mode     partitionMode
	duration units.Micros
}

func (f partitionZone) apply(w *World) error {
	w.partitionZone(f.zone, f.mode, f.duration)
	return nil
}

// delayAnswers delays answers to worker heartbeats; direct commands are not delayed.
type delayAnswers struct{ maxDelay, duration units.Micros }

func (f delayAnswers) apply(w *World) error {
	w.delayAnswers(f.maxDelay, f.duration)
	return nil
}

// duplicateHeartbeats sends copies of some worker heartbeats, up to well over a lease late.
type duplicateHeartbeats struct {
	rate     float64
	duration units.Micros
}

func (f duplicateHeartbeats) apply(w *World) error {
	w.duplicateHeartbeats(f.rate, f.duration)
	return nil
}

// repeatCommands delivers some direct commands again that were carried out and answered.
type repeatCommands struct {
	rate     float64
	duration units.Micros
}

func (f repeatCommands) apply(w *World) error {
	w.repeatCommands(f.rate, f.duration)
	return nil
}

// refuseController makes the key-value store unavailable to one controller.
type refuseController struct {
	name     string
	duration units.Micros
}

func (f refuseController) apply(w *World) error {
	w.store.refuse(f.name, f.duration)
	return nil
}

// storeOutage makes the key-value store unavailable to all controllers.
type storeOutage struct{ duration units.Micros }

func (f storeOutage) apply(w *World) error {
	w.store.startOutage(f.duration)
	return nil
}

// lateCommits leaves some transactions unanswered and commits them seconds later.
type lateCommits struct {
	rate     float64
	duration units.Micros
}

func (f lateCommits) apply(w *World) error {
	w.store.commitLate(f.rate, f.duration)
	return nil
}

// slowStore delays requests to the key-value store.
type slowStore struct{ averageDelay, duration units.Micros }

func (f slowStore) apply(w *World) error {
	w.store.slowDown(f.averageDelay, f.duration)
	return nil
}

// delayStoreAnswers delays the answers of the key-value store to a controller, whose requests it carries out without delay.
type delayStoreAnswers struct {
	name               string
	maxDelay, duration units.Micros
}

func (f delayStoreAnswers) apply(w *World) error {
	w.store.delayAnswers(f.name, f.maxDelay, f.duration)
	return nil
}

// coalesceWatchEvents makes watches return only the newest change of each key, in random order.
type coalesceWatchEvents struct{ duration units.Micros }

func (f coalesceWatchEvents) apply(w *World) error {
	w.store.coalesceChanges(f.duration)
	return nil
}

// loseWatches leaves a controller's watches unanswered; its other requests are answered.
type loseWatches struct {
	name     string
	duration units.Micros
}

func (f loseWatches) apply(w *World) error {
	w.store.loseWatches(f.name, f.duration)
	return nil
}

// cloudOutage makes the cloud refuse all requests.
type cloudOutage struct{ duration units.Micros }

func (f cloudOutage) apply(w *World) error {
	w.cloud.startOutage(f.duration)
	return nil
}

// cancelAtEnd makes users cancel some jobs at the moment of their completion.
type cancelAtEnd struct {
	rate     float64
	duration units.Micros
}

func (f cancelAtEnd) apply(w *World) error {
	w.users.cancelJobsAtEnd(f.rate, f.duration)
	return nil
}

// invalidRequests makes users send requests that no user should send.
type invalidRequests struct{ duration units.Micros }

func (f invalidRequests) apply(w *World) error {
	w.users.sendInvalid(w.now + f.duration)
	return nil
}

package simulator

import (
	"io"
	"math/rand/v2"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/units"
)

const (
	startOfTime = units.Second // when a run begins: zero means "never" in many places
	rngStream   = 42           // the second half of the generator's seed
)

// World is the region: it owns simulated time, random numbers and everything that lives in it.
type World struct {
	now       units.Micros
	queue     eventQueue
	scheduled int // events that were ever scheduled
	rng       *rand.Rand
	log       io.Writer // of the controllers; nil: not kept
	trace     *Trace

	settings    config.Settings
	processes   []*controllerProcess
	store       *fakeStore
	cloud       *fakeCloud
	workers     map[string]*fakeAgent
	workerNames []string // in order of creation, also of those that are gone
	users       *fakeUsers
	checker     *Checker

	network network
}

// newWorld returns a region without machines and controllers.
func newWorld(options *worldOptions, log io.Writer, trace *Trace) *World {
	w := &World{
		now:      startOfTime,
		rng:      rand.New(rand.NewPCG(options.seed, rngStream)),
		log:      log,
		trace:    trace,
		settings: options.controllerSettings(),
		workers:  map[string]*fakeAgent{},
		checker:  NewChecker(),
		network:  network{latency: defaultLatency, lossRate: options.lossRate, duplicateRate: options.duplicateRate},
	}
	w.checker.cancelDeadline = units.FromSeconds(options.cancelSeconds)
	for _, team := range options.teams {
		w.checker.setQuota(team.Name, resources{cpus: team.QuotaCPUs, gpus: team.QuotaGPUs})
	}
	w.store = newStore(w, options.limits, options.historyLength)
	w.cloud = newCloud(w, options)
	w.users = newUsers(w)
	return w
}

// findWorker finds a machine by name, or the one with the most tasks; nil: there is none.
func (w *World) findWorker(name string) *fakeAgent {
	if name != busiestMachine {
		return w.workers[name]
	}
	var busiest *fakeAgent
	for _, worker := range w.presentWorkers() {
		if busiest == nil || len(worker.tasks) > len(busiest.tasks) {
			busiest = worker
		}
	}
	return busiest
}

// presentWorkers lists the agents of machines that are there, in order of creation.
func (w *World) presentWorkers() []*fakeAgent {
	var present []*fakeAgent
	for _, name := range w.workerNames {
		if worker := w.workers[name]; worker != nil {
			present = append(present, worker)
		}
	}
	return present
}

// randomWorkers draws so many machines.
func (w *World) randomWorkers(count int) []*fakeAgent {
	present := w.presentWorkers()
	w.rng.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	return present[:min(count, len(present))]
}

func (w *World) findProcess(name string) *controllerProcess {
	for _, process := range w.processes {
		if process.name == name {
			return process
		}
	}
	return nil
}

// zoneOf is the zone that a machine or controller is in; empty: the host belongs to the region.
func (w *World) zoneOf(host string) string {
	if worker := w.workers[host]; worker != nil {
		return worker.listed.Zone
	}
	for i, process := range w.processes {
		if process.name == host {
			return w.settings.Zones[i%len(w.settings.Zones)]
		}
	}
	return ""
}

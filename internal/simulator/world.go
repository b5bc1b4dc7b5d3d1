package simulator

import (
	"io"
	"math/rand/v2"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/units"
)

const (
	startTime = units.Second // when a run begins; later than zero, which means "never" in many places
	rngStream = 42           // second half of the generator's seed; the first is the scenario's
)

// World is the simulated region: its clock, its random number generator and everything in it.
type World struct {
	now       units.Micros
	queue     eventQueue
	scheduled int // number of events scheduled so far
	rng       *rand.Rand
	log       io.Writer // receives the log of the controllers; nil: discarded
	trace     *Trace

	settings    config.Settings
	processes   []*controllerProcess
	store       *fakeStore
	cloud       *fakeCloud
	workers     map[string]*fakeAgent
	workerNames []string // in order of creation, including removed machines
	users       *fakeUsers
	checker     *Checker

	network network
}

// newWorld returns a region without machines and controllers.
func newWorld(options *worldOptions, log io.Writer, trace *Trace) *World {
	w := &World{
		now:      startTime,
		rng:      rand.New(rand.NewPCG(options.seed, rngStream)),
		log:      log,
		trace:    trace,
		settings: options.controllerSettings(),
		workers:  map[string]*fakeAgent{},
		checker:  NewChecker(),
		network:  network{latency: defaultLatency, lossRate: options.lossRate, duplicateRate: options.duplicateRate, repeatRate: options.repeatRate, apiRepeatRate: options.apiRepeatRate},
	}
	w.checker.cancelDeadline = units.FromSeconds(options.cancelSeconds)
	for _, team := range options.teams {
		w.checker.setQuota(team.Name, resources{cpus: team.QuotaCPUs, gpus: team.QuotaGPUs})
	}
	w.store = newStore(w, options)
	w.cloud = newCloud(w, options)
	w.users = newUsers(w)
	return w
}

// findWorker returns the agent of the named machine or, for busiestMachine, the one with the most
// tasks. It returns nil if there is none.
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

// presentWorkers returns the agents of all machines that have not been removed, in order of creation.
func (w *World) presentWorkers() []*fakeAgent {
	var present []*fakeAgent
	for _, name := range w.workerNames {
		if worker := w.workers[name]; worker != nil {
			present = append(present, worker)
		}
	}
	return present
}

// randomWorkers draws count machines, or all if there are fewer.
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

// zoneOf returns the zone of a machine or controller; empty: the host is in no zone.
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

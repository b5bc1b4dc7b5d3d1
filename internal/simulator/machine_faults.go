package simulator

import (
	"fmt"

	"frostdock.example/frostdock/internal/units"
)

// busiestMachine is the name by which a scenario refers to the machine with the most tasks.
const busiestMachine = "busiest"

// machineFault is a fault of one machine.
type machineFault interface {
	applyTo(w *World, worker *fakeAgent)
}

// injectMachineFault applies a fault to some machines.
type injectMachineFault struct {
	name   string // of one machine, or busiestMachine
	random bool   // apply the fault to random machines instead
	count  int    // number of random machines
	fault  machineFault
}

func (f injectMachineFault) apply(w *World) error {
	if f.random {
		for _, worker := range w.randomWorkers(f.count) {
			f.fault.applyTo(w, worker)
		}
		return nil
	}
	worker := w.findWorker(f.name)
	if worker == nil {
		return fmt.Errorf("no machine %q", f.name)
	}
	f.fault.applyTo(w, worker)
	return nil
}

// crashMachine crashes a machine; the cloud lists it as failed later.
type crashMachine struct{}

func (crashMachine) applyTo(w *World, worker *fakeAgent) { w.cloud.crash(worker.name) }

// hangMachine makes a machine and its tasks hang.
type hangMachine struct{ duration units.Micros }

func (f hangMachine) applyTo(_ *World, worker *fakeAgent) { worker.hang(f.duration) }

// failTasks makes a machine fail all tasks, each after it has run for some time.
type failTasks struct{ runTime, duration units.Micros }

func (f failTasks) applyTo(_ *World, worker *fakeAgent) { worker.failTasks(f.runTime, f.duration) }

// slowTasks makes new tasks on a machine take longer.
type slowTasks struct{ factor float64 }

func (f slowTasks) applyTo(_ *World, worker *fakeAgent) { worker.slowDown(f.factor) }

// rebootMachine restarts a machine immediately, without tasks and with its counters reset; it keeps its images.
type rebootMachine struct{}

func (rebootMachine) applyTo(_ *World, worker *fakeAgent) { worker.reboot() }

// reclaimMachine makes the cloud remove a machine without notice.
type reclaimMachine struct{}

func (reclaimMachine) applyTo(w *World, worker *fakeAgent) { w.cloud.remove(worker.name) }

// interruptSpot makes the cloud send an interruption notice, and remove the machine when the notice
// period has passed.
type interruptSpot struct{ notice units.Micros }

func (f interruptSpot) applyTo(w *World, worker *fakeAgent) {
	worker.receiveNotice(f.notice)
	w.after(f.notice, func() { w.cloud.remove(worker.name) })
}

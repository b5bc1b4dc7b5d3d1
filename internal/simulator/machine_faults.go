package simulator

import (
	"fmt"

	"frostdock.example/frostdock/internal/units"
)

// busiestMachine names the machine with the most tasks in a scenario.
const busiestMachine = "busiest"

// machineFault is what can happen to one machine.
type machineFault interface {
	strike(w *World, worker *fakeAgent)
}

// faultyMachines strikes some machines with a fault.
type faultyMachines struct {
	name   string // of one machine, or the busiest
	random bool   // instead of it: some that are drawn
	count  int    // of these
	fault  machineFault
}

func (f faultyMachines) apply(w *World) error {
	if f.random {
		for _, worker := range w.randomWorkers(f.count) {
			f.fault.strike(w, worker)
		}
		return nil
	}
	worker := w.findWorker(f.name)
	if worker == nil {
		return fmt.Errorf("no machine %q", f.name)
	}
	f.fault.strike(w, worker)
	return nil
}

// crashMachine ends a machine; the cloud notices it later.
type crashMachine struct{}

func (crashMachine) strike(w *World, worker *fakeAgent) { w.cloud.crash(worker.name) }

// hangMachine makes a machine stand still with all that is on it.
type hangMachine struct{ duration units.Micros }

func (f hangMachine) strike(_ *World, worker *fakeAgent) { worker.hang(f.duration) }

// failTasks makes a machine fail all tasks.
type failTasks struct{ duration units.Micros }

func (f failTasks) strike(_ *World, worker *fakeAgent) { worker.failTasks(f.duration) }

// slowTasks makes tasks take longer on a machine.
type slowTasks struct{ factor float64 }

func (f slowTasks) strike(_ *World, worker *fakeAgent) { worker.slowDown(f.factor) }

// rebootMachine restarts a machine: it is back at once, with nothing on it and its counts begun anew.
type rebootMachine struct{}

func (rebootMachine) strike(_ *World, worker *fakeAgent) { worker.reboot() }

// reclaimMachine has the cloud take a machine away.
type reclaimMachine struct{}

func (reclaimMachine) strike(w *World, worker *fakeAgent) { w.cloud.remove(worker.name) }

// interruptSpot has the cloud give notice, and take the machine away when it has passed.
type interruptSpot struct{ notice units.Micros }

func (f interruptSpot) strike(w *World, worker *fakeAgent) {
	worker.receiveNotice(f.notice)
	w.after(f.notice, func() { w.cloud.remove(worker.name) })
}

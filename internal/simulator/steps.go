package simulator

import (
	"fmt"
	"slices"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// step is an action of a scenario on the region. Steps are values that a run does not modify, so that a
// scenario can be run again.
type step interface {
	// apply performs the step. It fails if a job, machine or controller that the step names does not exist.
	apply(w *World) error
}

// Limits of cancelRunning.
const (
	minSecondsToCancel = 10               // jobs with a shorter run time are not cancelled
	cancelSpread       = units.Second / 5 // cancellations are spread over this time
	maxHungMachines    = 8
)

// submitJobs makes users submit jobs that differ only in their ids.
type submitJobs struct {
	firstNumber, count  int
	spec                schema.Job
	long                longTasks
	failsEverywhere     bool // their program has a bug: their tasks fail on every machine
	ignoresDependencies bool // they are submitted immediately, before their dependencies are known to be accepted
}

func (s submitJobs) apply(w *World) error {
	for i := range s.count {
		spec := s.spec
		spec.ID = fmt.Sprintf("j-%06d", s.firstNumber+i)
		spec.Types, spec.Needs = slices.Clone(spec.Types), slices.Clone(spec.Needs)
		w.users.submit(&userJob{spec: spec, runSeconds: spec.EstimatedSeconds, long: s.long, failsEverywhere: s.failsEverywhere, ignoresDependencies: s.ignoresDependencies})
	}
	return nil
}

// cancelJob makes a user cancel a job, with retries until that is confirmed.
type cancelJob struct{ id string }

func (s cancelJob) apply(w *World) error {
	if w.users.find(s.id) == nil {
		return fmt.Errorf("no submitted job %q", s.id)
	}
	w.users.cancel(s.id)
	return nil
}

// resubmitJob makes a user submit a known job again.
type resubmitJob struct {
	id        string
	malformed bool
}

func (s resubmitJob) apply(w *World) error {
	if w.users.find(s.id) == nil {
		return fmt.Errorf("no submitted job %q", s.id)
	}
	w.users.resubmit(s.id, s.malformed)
	return nil
}

// cancelRunning makes users cancel jobs that have tasks on machines and a long run time, within a fifth of a
// second; some of their machines hang for a duration.
type cancelRunning struct {
	count int
	hang  units.Micros
}

func (s cancelRunning) apply(w *World) error {
	cancelled, hung := 0, 0
	for _, job := range w.users.sortedJobs() {
		machines := w.checker.machinesOf(job.spec.ID)
		if cancelled == s.count {
			break
		}
		if job.cancelRequested || job.acceptedAt == 0 || job.runSeconds < minSecondsToCancel || len(machines) == 0 {
			continue
		}
		cancelled++
		w.after(units.Micros(w.rng.Int64N(int64(cancelSpread))), func() { w.users.cancel(job.spec.ID) })
		if worker := w.workers[machines[0]]; worker != nil && s.hang > 0 && hung < maxHungMachines && !worker.hangs() {
			hung++
			worker.hang(s.hang)
		}
	}
	return nil
}

// applyNextLimits makes the announced limits of the key-value store take effect.
type applyNextLimits struct{}

func (applyNextLimits) apply(w *World) error {
	w.store.setLimits(w.settings.NextKVLimits())
	return nil
}

package simulator

import (
	"fmt"
	"slices"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// step is something that a scenario does to the region at a moment of it. Steps are values: a
// scenario can be run again.
type step interface {
	// apply does it. It fails if what the step names isn't there.
	apply(w *World) error
}

// What cancelRunning does.
const (
	minSecondsToCancel = 10 // jobs with less to run are left alone
	cancelSpread       = units.Second / 5
	maxHungMachines    = 8
)

// submitJobs has users submit jobs that differ in their ids only.
type submitJobs struct {
	firstNumber, count int
	spec               schema.Job
	failing            bool // with a mistake: they fail everywhere
	ignoresNeeds       bool // at once, though the jobs that they need are not known to be accepted
}

func (s submitJobs) apply(w *World) error {
	for i := range s.count {
		spec := s.spec
		spec.ID = fmt.Sprintf("j-%06d", s.firstNumber+i)
		spec.Types, spec.Needs = slices.Clone(spec.Types), slices.Clone(spec.Needs)
		w.users.submit(&userJob{spec: spec, runSeconds: spec.EstimatedSeconds, failing: s.failing, ignoresNeeds: s.ignoresNeeds})
	}
	return nil
}

// cancelJob has a user cancel a job until that is confirmed.
type cancelJob struct{ id string }

func (s cancelJob) apply(w *World) error {
	if w.users.find(s.id) == nil {
		return fmt.Errorf("no job %q", s.id)
	}
	w.users.cancel(s.id)
	return nil
}

// resubmitJob has a user submit a known job again.
type resubmitJob struct {
	id        string
	malformed bool
}

func (s resubmitJob) apply(w *World) error {
	if w.users.find(s.id) == nil {
		return fmt.Errorf("no job %q", s.id)
	}
	w.users.repeat(s.id, s.malformed)
	return nil
}

// cancelRunning has users cancel arrays that run and have long to go, within a fifth of a second;
// some of their machines hang for a while.
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

// applyNextLimits puts the announced limits of the key-value store into force.
type applyNextLimits struct{}

func (applyNextLimits) apply(w *World) error {
	w.store.setLimits(w.settings.NextKVLimits())
	return nil
}

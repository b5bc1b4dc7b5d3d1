package simulator

import (
	"encoding/json"
	"fmt"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// expectation is what must hold at the end of a run.
type expectation interface {
	// check says what is otherwise than expected; empty: nothing. It fails if the expectation names
	// what never was.
	check(w *World) (unmet string, err error)
}

// countRange is a range of numbers, both ends included.
type countRange struct{ min, max int }

func (r countRange) contains(count int) bool { return r.min <= count && count <= r.max }

// jobsInStage expects users to have been told a stage of some jobs.
type jobsInStage struct {
	ids   []string
	stage string
}

func (e jobsInStage) check(w *World) (string, error) {
	for _, id := range e.ids {
		job := w.users.jobs[id]
		if job == nil {
			return "", fmt.Errorf("no job %s", id)
		}
		if job.stage != e.stage {
			return fmt.Sprintf("%s is %q", id, job.stage), nil
		}
	}
	return "", nil
}

// jobRejected expects a job's submission to have been refused for good.
type jobRejected struct {
	id     string
	status int
}

func (e jobRejected) check(w *World) (string, error) {
	if job := w.users.jobs[e.id]; job == nil || job.rejectedStatus != e.status {
		return "it was not", nil
	}
	return "", nil
}

// allJobsOver expects all arrays that can succeed to be over.
type allJobsOver struct{}

func (allJobsOver) check(w *World) (string, error) {
	for _, job := range w.users.sortedJobs() {
		if job.rejectedStatus == 0 && !job.spec.Service && !job.failing && !job.over() {
			return fmt.Sprintf("%s is %q", job.spec.ID, job.stage), nil
		}
	}
	return "", nil
}

// allServicesRunning expects all tasks of services to be on machines.
type allServicesRunning struct{}

func (allServicesRunning) check(w *World) (string, error) {
	for _, job := range w.users.sortedJobs() {
		if !job.spec.Service || job.cancelRequested || job.rejectedStatus > 0 {
			continue
		}
		for number := range job.spec.Tasks {
			if !w.checker.isRunning(job.spec.ID, number) {
				return fmt.Sprintf("%s/%d is not on a machine", job.spec.ID, number), nil
			}
		}
	}
	return "", nil
}

// jobsStarted expects jobs to have started soon after they were accepted.
type jobsStarted struct {
	ids    []string
	within units.Micros
}

func (e jobsStarted) check(w *World) (string, error) {
	for _, id := range e.ids {
		job := w.users.jobs[id]
		if job == nil {
			return "", fmt.Errorf("no job %s", id)
		}
		if at, ok := w.checker.firstStart(id); !ok || at-job.acceptedAt > e.within {
			return fmt.Sprintf("%s is not, or late: at %.1f s", id, at.Seconds()), nil
		}
	}
	return "", nil
}

// machinesPresent expects machines to be there, or to have been returned or lost.
type machinesPresent struct {
	names   []string
	present bool
}

func (e machinesPresent) check(w *World) (string, error) {
	for _, name := range e.names {
		if (w.workers[name] != nil) == e.present {
			continue
		}
		if e.present {
			return name + " is not there", nil
		}
		return name + " is not gone", nil
	}
	return "", nil
}

// noLeaseExpired expects that no agent's lease has ever expired.
type noLeaseExpired struct{}

func (noLeaseExpired) check(w *World) (string, error) {
	for _, worker := range w.presentWorkers() {
		if worker.epoch > firstEpoch {
			return fmt.Sprintf("%s is in epoch %d", worker.name, worker.epoch), nil
		}
	}
	return "", nil
}

// registeredMachines expects so many machines in the documents.
type registeredMachines struct{ countRange }

func (e registeredMachines) check(w *World) (string, error) {
	registered := strings.Count(w.store.textUnder(schema.MachineShardPrefix), `"a":"`)
	if !e.contains(registered) {
		return fmt.Sprintf("there are %d", registered), nil
	}
	return "", nil
}

// taskStarts expects so many starts of tasks.
type taskStarts struct{ countRange }

func (e taskStarts) check(w *World) (string, error) {
	if !e.contains(w.checker.starts) {
		return fmt.Sprintf("%d tasks were started", w.checker.starts), nil
	}
	return "", nil
}

// machineCount expects so many machines to be there.
type machineCount struct{ countRange }

func (e machineCount) check(w *World) (string, error) {
	if !e.contains(len(w.workers)) {
		return fmt.Sprintf("there are %d", len(w.workers)), nil
	}
	return "", nil
}

// documentFormat expects the documents in the key-value store to have a format.
type documentFormat struct{ format int }

func (e documentFormat) check(w *World) (string, error) {
	var layout schema.Layout
	if stored := w.store.keys[schema.LayoutKey]; stored != nil {
		if err := json.Unmarshal(stored.value, &layout); err != nil {
			return "", fmt.Errorf("layout: %w", err)
		}
	}
	if layout.Format != e.format {
		return fmt.Sprintf("it is %d", layout.Format), nil
	}
	return "", nil
}

// sizesWithinLimits expects that no transaction was too large, and that no stored value exceeds the
// announced limits.
type sizesWithinLimits struct{}

func (sizesWithinLimits) check(w *World) (string, error) {
	if w.store.oversizedTxns > 0 {
		return fmt.Sprintf("%d transactions were too large", w.store.oversizedTxns), nil
	}
	maxBytes := w.settings.NextKVLimits().ValueKB * bytesPerKB
	for _, key := range w.store.sortedKeys() {
		if size := len(w.store.keys[key].value); float64(size) > maxBytes {
			return fmt.Sprintf("%s has %d bytes", key, size), nil
		}
	}
	return "", nil
}

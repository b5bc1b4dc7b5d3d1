package simulator

import (
	"encoding/json"
	"fmt"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// expectation is a condition that must hold at the end of a run.
type expectation interface {
	// check describes how the expectation is not met; empty: it is met. It returns an error if the
	// expectation can't be evaluated, such as the stage of a job that was never submitted.
	check(w *World) (unmet string, err error)
}

// countRange is a range of integers, including both bounds.
type countRange struct{ min, max int }

func (r countRange) contains(count int) bool { return r.min <= count && count <= r.max }

// jobsInStage expects that the last stage that users were told of these jobs is the given one.
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

// jobRejected expects that a job's submission was permanently rejected with the given HTTP status.
type jobRejected struct {
	id     string
	status int
}

func (e jobRejected) check(w *World) (string, error) {
	if job := w.users.jobs[e.id]; job == nil || job.rejectedStatus != e.status {
		return "the submission was not refused with this status", nil
	}
	return "", nil
}

// allJobsOver expects that all arrays are done or cancelled, except rejected ones and those whose tasks
// fail everywhere.
type allJobsOver struct{}

func (allJobsOver) check(w *World) (string, error) {
	for _, job := range w.users.sortedJobs() {
		if job.rejectedStatus == 0 && !job.spec.Service && !job.failsEverywhere && !job.over() {
			return fmt.Sprintf("%s is %q", job.spec.ID, job.stage), nil
		}
	}
	return "", nil
}

// allServicesRunning expects that all tasks of services are on machines, except for services that were
// rejected or whose cancellation was requested.
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

// jobsStarted expects that the first task of each job started within the given time of the job's
// acceptance.
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
			return fmt.Sprintf("%s has not started, or too late: at %.1f s", id, at.Seconds()), nil
		}
	}
	return "", nil
}

// machinesPresent expects that machines are present or, if present is false, returned or lost.
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
			return name + " is not present", nil
		}
		return name + " is still present", nil
	}
	return "", nil
}

// noLeaseExpired expects that no lease of an agent that is present has ever expired.
type noLeaseExpired struct{}

func (noLeaseExpired) check(w *World) (string, error) {
	for _, worker := range w.presentWorkers() {
		if worker.epoch > firstEpoch {
			return fmt.Sprintf("%s is in epoch %d", worker.name, worker.epoch), nil
		}
	}
	return "", nil
}

// registeredMachines expects that the number of machines in the stored documents is in the range.
type registeredMachines struct{ countRange }

func (e registeredMachines) check(w *World) (string, error) {
	registered := strings.Count(w.store.decompressedValues(schema.MachineShardPrefix), `"a":"`)
	if !e.contains(registered) {
		return fmt.Sprintf("%d machines are registered", registered), nil
	}
	return "", nil
}

// taskStarts expects that the number of task starts is in the range.
type taskStarts struct{ countRange }

func (e taskStarts) check(w *World) (string, error) {
	if !e.contains(w.checker.starts) {
		return fmt.Sprintf("%d tasks were started", w.checker.starts), nil
	}
	return "", nil
}

// repeatedStarts expects a number of starts of tasks whose completion was stored.
type repeatedStarts struct{ countRange }

func (e repeatedStarts) check(w *World) (string, error) {
	if !e.contains(w.checker.repeatedStarts) {
		return fmt.Sprintf("%d tasks were started though their completion was stored", w.checker.repeatedStarts), nil
	}
	return "", nil
}

// machineCount expects that the number of machines present is in the range.
type machineCount struct{ countRange }

func (e machineCount) check(w *World) (string, error) {
	if !e.contains(len(w.workers)) {
		return fmt.Sprintf("%d machines are present", len(w.workers)), nil
	}
	return "", nil
}

// documentFormat expects that the documents in the key-value store have the given format version.
type documentFormat struct{ format int }

func (e documentFormat) check(w *World) (string, error) {
	var layout schema.Layout
	if stored := w.store.keys[schema.LayoutKey]; stored != nil {
		if err := json.Unmarshal(stored.value, &layout); err != nil {
			return "", fmt.Errorf("layout: %w", err)
		}
	}
	if layout.Format != e.format {
		return fmt.Sprintf("the format is %d", layout.Format), nil
	}
	return "", nil
}

// sizesWithinLimits expects that no transaction exceeded the store's limit, and that no stored value
// exceeds the announced one.
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

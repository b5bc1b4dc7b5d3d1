package simulator

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// freeCapacity is what a machine has left.
type freeCapacity struct {
	worker          *fakeAgent
	cpus, gpus, mem float64
}

// checkWaiting tells the checker which jobs wait beside a machine that has room for them.
func (w *World) checkWaiting() {
	if w.Checker.FaultsEndAt == 0 || w.now < w.Checker.FaultsEndAt {
		return
	}
	var candidates []freeCapacity
	placed := map[string]bool{} // tasks that are on some machine, or wait for their image there
	for _, name := range w.workerNames {
		worker := w.workers[name]
		if worker == nil {
			continue
		}
		left := freeCapacity{worker, worker.machineType.CPUs, worker.machineType.GPUs, worker.machineType.MemGB}
		for _, running := range worker.sortedTasks() {
			if running.state != agent.Ended {
				spec := &w.users.job(running.jobID).spec
				left.cpus, left.gpus, left.mem = left.cpus-spec.CPUs, left.gpus-spec.GPUs, left.mem-spec.MemGB
				placed[running.id()] = true
			}
		}
		if worker.running && w.now >= worker.hungUntil && !worker.failsTasks && worker.spotNotice == nil {
			candidates = append(candidates, left)
		}
	}
	for _, job := range w.users.sortedJobs() {
		machine := w.machineWithCapacity(job, candidates, placed)
		w.Checker.Waiting(job.spec.ID, machine, machine != "")
	}
}

// machineWithCapacity names a machine that could take a task of the job that waits.
func (w *World) machineWithCapacity(job *userJob, candidates []freeCapacity, placed map[string]bool) string {
	spec := &job.spec
	if history := w.Checker.jobs[spec.ID]; w.Checker.readyAt(history) < 0 || w.Checker.dependencyCancelledAt(history) > 0 {
		return "" // it waits for other jobs, or is cancelled with one
	}
	if job.acceptedAt == 0 || job.cancelRequested || job.failing || job.rejectedStatus > 0 || !w.hasUnplacedTask(job, placed) {
		return ""
	}
	if usage := w.Checker.usage[spec.Team]; usage != nil {
		if limit := w.Checker.cpuLimit[spec.Team]; limit > 0 && usage.cpus+spec.CPUs > limit+1e-6 {
			return ""
		}
		if limit := w.Checker.gpuLimit[spec.Team]; limit > 0 && usage.gpus+spec.GPUs > limit+1e-6 {
			return ""
		}
	}
	for _, candidate := range candidates {
		if candidate.cpus >= spec.CPUs && candidate.gpus >= spec.GPUs && candidate.mem >= spec.MemGB && api.AllowsType(spec, candidate.worker.listed.Type) &&
			(spec.Spot || !candidate.worker.listed.Spot) && (spec.Zone == "" || spec.Zone == candidate.worker.listed.Zone) && w.zoneAllowed(spec, candidate.worker.listed.Zone) {
			return candidate.worker.name
		}
	}
	return ""
}

// hasUnplacedTask reports whether a task of the job is neither done nor on any machine.
func (w *World) hasUnplacedTask(job *userJob, placed map[string]bool) bool {
	for num := range job.spec.Tasks {
		if taskID := (&task{jobID: job.spec.ID, num: num}).id(); !placed[taskID] && !w.Checker.IsCompleted(job.spec.ID, num) {
			return true
		}
	}
	return false
}

// zoneAllowed reports whether one more task of the job may be in the zone.
func (w *World) zoneAllowed(spec *schema.Job, zone string) bool {
	same := 0
	for _, machine := range w.Checker.machinesOf(spec.ID) {
		if w.Checker.machines[machine].Zone == zone {
			same++
		} else if spec.OneZone {
			return false
		}
	}
	return !spec.Spread || same+1 <= (spec.Tasks+1)/2
}

// waitCheckInterval is how often that is looked at.
const waitCheckInterval = 5 * units.Second

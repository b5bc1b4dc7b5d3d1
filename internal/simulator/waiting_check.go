package simulator

import "frostdock.example/frostdock/internal/agent"

// candidate is a machine that takes tasks, and what it has left.
type candidate struct {
	worker *fakeAgent
	free   resources
}

// checkWaiting tells the checker which jobs wait beside a machine that has free capacity for them.
func (w *World) checkWaiting() {
	if !w.checker.faultsOver() {
		return
	}
	var candidates []candidate
	placed := map[string]bool{} // tasks that are on some machine, or wait for their image there
	for _, worker := range w.presentWorkers() {
		for id, t := range worker.tasks {
			if t.state != agent.Ended {
				placed[id] = true
			}
		}
		if worker.acceptsTasks() {
			candidates = append(candidates, candidate{worker, worker.freeCapacity()})
		}
	}
	for _, job := range w.users.sortedJobs() {
		machine := w.machineFor(job, candidates, placed)
		w.checker.waiting(job.spec.ID, machine, machine != "")
	}
}

// acceptsTasks reports whether nothing is wrong with the machine.
func (a *fakeAgent) acceptsTasks() bool {
	return a.running && !a.hangs() && !a.failsTasks && a.spotNotice == nil
}

// machineFor names a machine that could take a task of the job that waits; empty: none could.
func (w *World) machineFor(job *userJob, candidates []candidate, placed map[string]bool) string {
	if !w.mayStart(job) || !w.hasUnplacedTask(job, placed) {
		return ""
	}
	history := w.checker.jobs[job.spec.ID]
	for _, c := range candidates {
		listed := c.worker.listed
		if c.free.covers(requestOf(&job.spec), 0) && jobAllowsMachine(&job.spec, listed) && w.checker.zoneAllowsAnother(history, listed.Zone) {
			return c.worker.name
		}
	}
	return ""
}

// mayStart reports whether a task of the job may start somewhere: it is accepted, wanted, waits for no
// other job, and its team's quota allows one more.
func (w *World) mayStart(job *userJob) bool {
	if job.acceptedAt == 0 || job.cancelRequested || job.failing || job.rejectedStatus > 0 {
		return false
	}
	history := w.checker.jobs[job.spec.ID]
	_, ready := w.checker.readyAt(history)
	return ready && w.checker.dependencyCancelledAt(history) == 0 && w.checker.quotaAllows(&job.spec)
}

// hasUnplacedTask reports whether a task of the job has neither completed nor is on any machine.
func (w *World) hasUnplacedTask(job *userJob, placed map[string]bool) bool {
	for number := range job.spec.Tasks {
		if !placed[taskID(job.spec.ID, number)] && !w.checker.isCompleted(job.spec.ID, number) {
			return true
		}
	}
	return false
}

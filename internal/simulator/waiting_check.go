package simulator

import "frostdock.example/frostdock/internal/agent"

// candidate is a machine that accepts tasks, with its free capacity.
type candidate struct {
	worker *fakeAgent
	free   resources
}

// checkWaiting tells the checker which jobs have a waiting task although a machine has free capacity
// for it.
func (w *World) checkWaiting() {
	if !w.checker.faultsOver() {
		return
	}
	var candidates []candidate
	placed := map[string]bool{} // ids of the tasks that are on a machine and have not ended, also those that wait for their image
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

// acceptsTasks reports whether the machine is running, neither hung nor failing its tasks, and without a
// spot interruption notice.
func (a *fakeAgent) acceptsTasks() bool {
	return a.running && !a.hangs() && !a.failsTasks && a.spotNotice == nil
}

// machineFor returns the name of a machine that could run a waiting task of the job; empty: there is
// no such task or machine.
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

// mayStart reports whether a task of the job may start on some machine: the job is accepted and its
// cancellation has not been requested, its tasks don't fail everywhere, its dependencies are done, and its
// team's quota allows one more task.
func (w *World) mayStart(job *userJob) bool {
	if job.acceptedAt == 0 || job.cancelRequested || job.failsEverywhere || job.rejectedStatus > 0 {
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

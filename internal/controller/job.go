package controller

import (
	"slices"

	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// job is the state of a job that has not ended, from the replica and from this controller's observations. It
// also exists, not accepted, while only its cancellation document, its stored progress or entries of machines
// refer to the job.
type job struct {
	id                 string
	accepted           bool
	removedFromShard   bool      // it was accepted, and its shard has since been seen without it
	shard              *jobShard // the shard that lists it; nil: none in the replica does
	spec               schema.Job
	done               schema.TaskSet     // tasks whose completion is stored
	progressSegments   []*progressSegment // segments that store parts of its progress, in the order of their keys
	storedAverage      units.Micros       // stored average run time of done tasks
	storedAverageCount int                // number of tasks in storedAverage
	cancellationShown  bool               // the replica shows its cancellation document
	partition          int
	dependency         *dag.Node // its node in the dependency graph; nil: not in the graph

	bindings        map[int]binding   // by task number: where the task may be
	superseded      map[int][]binding // by task number: entries of earlier attempts, see addBinding
	activeCount     int               // bindings whose task is not known to be done; -1: to be counted again
	unstoredCount   int               // bindings whose task's completion is not stored; counted with activeCount
	recordedInEntry map[int]bool      // bindings whose task's completion is stored in the machine's entry

	// Known only to this controller, and lost when its process ends.
	unstoredCompletions   map[int]bool // tasks known to be done, not yet stored as such
	runSum                units.Micros // total run time of runCount tasks that the stored average does not include yet
	runCount              int
	fairShareCPUs         float64 // in CPUs, as last allocated by package fairshare
	failures              int     // consecutive task failures
	failedAt              units.Micros
	failedOn              map[string]bool // machines commanded by this controller on which its tasks failed
	succeeded             bool            // at least one of its tasks has completed
	retryAt               units.Micros    // no task of it is placed before this time
	cachedObservedAverage units.Micros    // average run time, including the elapsed time of running tasks
	observedAverageAt     units.Micros    // when cachedObservedAverage was computed
	progressWrittenAt     units.Micros    // when the last flush of its completions was over
	flushLeft             int             // completions that the present flush has still to store; 0: none is under way
	waitingSince          units.Micros    // since when its tasks wait without one being placed; 0: none waits
}

// binding is a machine on which a task may be, with the task's attempt number.
type binding struct {
	machine *machine
	attempt uint64
}

// cancelled reports whether the job is known to be cancelled: by its cancellation document, by its own
// outcome, or by that of a direct or transitive dependency.
func (j *job) cancelled() bool { return j.cancellationShown || j.dependency.Cancelled() }

// active returns how many tasks may be running.
func (j *job) active() int {
	j.countBindings()
	return j.activeCount
}

// countedForQuota returns how many tasks count against the team's quota: all bound tasks whose completion
// is not stored. A completion that only this process knows is lost with the process, and if the machine's
// lease expires too, the task is started once more. If such a completion had freed quota, the task would
// then run in addition to the tasks started in its place: a team could exceed its quota, and a job could
// run in two zones.
func (j *job) countedForQuota() int {
	j.countBindings()
	return j.unstoredCount
}

func (j *job) countBindings() {
	if j.activeCount >= 0 {
		return
	}
	j.activeCount, j.unstoredCount = 0, 0
	for n := range j.bindings {
		if !j.isDone(n) {
			j.activeCount++
		}
		if !j.completionStored(n) {
			j.unstoredCount++
		}
	}
}

// completionStored reports whether the completion of a task is stored, so that no controller starts it again.
func (j *job) completionStored(n int) bool { return j.done.Contains(n) || j.recordedInEntry[n] }

// removeBinding removes a task's binding, so that the task counts as unbound.
func (j *job) removeBinding(n int) {
	delete(j.bindings, n)
	delete(j.recordedInEntry, n)
	j.activeCount = -1
}

func (j *job) isDone(n int) bool { return j.unstoredCompletions[n] || j.done.Contains(n) }

// noteCompletion records that a task has completed. ran is its run time; 0: unknown.
func (j *job) noteCompletion(n int, ran units.Micros) {
	if j.unstoredCompletions == nil {
		j.unstoredCompletions = map[int]bool{}
	}
	j.unstoredCompletions[n], j.activeCount = true, -1
	if b, ok := j.bindings[n]; ok {
		b.machine.invalidateOccupancy()
	}
	if ran > 0 {
		j.runSum += ran
		j.runCount++
	}
}

func (j *job) doneCount() int {
	return j.done.Len() + len(j.unstoredCompletions)
}

// nextUnbound returns the first task from n on that is neither done nor bound, or -1 if none may be
// started now. Tasks are taken in order, so that the stored ranges of done tasks stay few.
func (j *job) nextUnbound(n int) int {
	if !j.dependency.Ready() {
		return -1
	}
	for n = j.done.NextMissing(n); n < j.spec.Tasks; n = j.done.NextMissing(n + 1) {
		if _, ok := j.bindings[n]; !ok && !j.unstoredCompletions[n] {
			return n
		}
	}
	return -1
}

// waiting returns how many tasks are neither done nor bound; 0 while the job waits for dependencies.
func (j *job) waiting() int {
	if !j.dependency.Ready() {
		return 0
	}
	return max(0, j.spec.Tasks-j.doneCount()-j.active())
}

// addBinding records where a task may be. Of two entries for a task, the one with the later attempt is valid:
// while a replica is loaded, its documents are read at different revisions, and the watch then repeats the
// changes made since the first of these. An outdated entry that appears and disappears in this way must not
// make a running task look unbound. An installation whose controllers once could not read a document may hold
// two entries for good: the earlier attempt is stopped.
func (j *job) addBinding(index int, bound binding) {
	known, ok := j.bindings[index]
	if ok && known.attempt > bound.attempt {
		j.addSuperseded(index, bound)
		return
	}
	if ok && known != bound {
		j.addSuperseded(index, known)
	}
	j.bindings[index], j.activeCount = bound, -1
	delete(j.recordedInEntry, index)
}

// supersedes reports whether a later attempt of an entered task has an entry too.
func (j *job) supersedes(task schema.Task) bool {
	bound := j.bindings[task.Index]
	return bound.attempt > task.Attempt && j.hasEntry(task.Index, bound)
}

// hasEntry reports whether a binding is that of a stored entry. One without an entry is one that a plan has not
// stored yet, or could not store because another leader was faster.
func (j *job) hasEntry(index int, bound binding) bool {
	return bound.machine.hasEntry(taskKey{j.id, index, bound.attempt})
}

// addSuperseded records the entry of an earlier attempt of a task.
func (j *job) addSuperseded(index int, bound binding) {
	if !j.hasEntry(index, bound) {
		return
	}
	bound.machine.invalidateOccupancy()
	if j.superseded == nil {
		j.superseded = map[int][]binding{}
	}
	if !slices.Contains(j.superseded[index], bound) {
		j.superseded[index] = append(j.superseded[index], bound)
	}
}

// removeSuperseded removes the entry of an earlier attempt, if it is recorded.
func (j *job) removeSuperseded(index int, gone binding) {
	rest := slices.DeleteFunc(j.superseded[index], func(bound binding) bool { return bound == gone })
	if len(rest) > 0 {
		j.superseded[index] = rest
	} else {
		delete(j.superseded, index)
	}
}

// removeEntry removes the binding of an entry that is gone. If an earlier attempt still has an entry, the task
// is bound by that: it may be running, and must not be placed.
func (j *job) removeEntry(index int, gone binding) {
	if j.bindings[index] != gone {
		j.removeSuperseded(index, gone)
		return
	}
	j.removeBinding(index)
	earlier := j.superseded[index]
	delete(j.superseded, index)
	for _, bound := range earlier {
		bound.machine.invalidateOccupancy()
		j.addBinding(index, bound)
	}
}

// invalidateOccupancies drops the cached occupancy of the machines on which the job may run.
func (j *job) invalidateOccupancies() {
	for _, bound := range j.bindings {
		bound.machine.invalidateOccupancy()
	}
}

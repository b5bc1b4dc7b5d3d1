package controller

import (
	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// job is all that is known of a job that is not over. An entry also exists for tasks on machines whose
// job is gone, until those machines release them.
type job struct {
	id                 string
	accepted           bool
	left               bool      // it was accepted, and its shard was shown to have dropped it
	shard              *jobShard // that lists it; nil: none that was shown does
	spec               schema.Job
	done               schema.TaskSet   // tasks whose completion is stored
	storedRanges       string           // these, as they are stored
	progressSegment    *progressSegment // where its progress is stored, if any is
	storedAverage      units.Micros     // stored average time of done tasks
	storedAverageCount int              // and of how many
	cancellationShown  bool             // its cancellation is stored
	partition          int
	dependency         *dag.Node // which jobs it waits for; nil: none was ever named
	maxGaps            *int      // gaps that its stored progress may have; nil: the usual number

	bindings        map[int]binding // by task number: where it may be
	activeCount     int             // of bindings, those not known to be done; -1 when that must be counted
	unstoredCount   int             // of bindings, those whose completion is not stored; counted with activeCount
	recordedInEntry map[int]bool    // of bindings, those whose completion stands in their machine's entry

	// What only this controller knows, lost with it.
	unstoredCompletions map[int]bool   // known to be done, not yet stored
	allDone             schema.TaskSet // done, and what is not stored yet
	runSum              units.Micros   // task times that are not part of the stored average yet
	runCount            int
	share               float64 // in CPUs, as fairshare allocated it last
	failures            int     // in a row
	failedAt            units.Micros
	failedOn            map[string]bool // machines that this controller commands, on which it failed
	succeeded           bool            // one of its tasks completed
	retryAt             units.Micros    // nothing of it is placed before
	observed            units.Micros    // average with what running tasks have taken
	observedAt          units.Micros    // when that was worked out
	progressWrittenAt   units.Micros
	waitingSince        units.Micros // since when tasks of it wait and none was placed; 0: none waits
}

// binding is where a task may be, and under which attempt.
type binding struct {
	machine *machine
	attempt uint64
}

// cancelled reports whether the job is known to be cancelled: by its stored cancellation, by its own
// outcome, or by that of a job that it depends on, directly or through others.
func (j *job) cancelled() bool { return j.cancellationShown || j.dependency.Cancelled() }

// active counts the tasks that may be running.
func (j *job) active() int {
	j.countBindings()
	return j.activeCount
}

// countedForQuota counts the tasks that count for their team's quota: all whose completion is not
// stored. A completion that only this process knows is lost with it, and if the machine's lease expires
// too the task is started once more, beside those that took its place: counted by what is known here
// only, a team could exceed its quota that way, and a job be in two zones.
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

// completionStored reports whether the completion of a task is stored, so that nobody starts it again.
func (j *job) completionStored(n int) bool { return j.done.Contains(n) || j.recordedInEntry[n] }

// removeBinding notes that a task is free.
func (j *job) removeBinding(n int) {
	delete(j.bindings, n)
	delete(j.recordedInEntry, n)
	j.activeCount = -1
}

func (j *job) isDone(n int) bool { return j.unstoredCompletions[n] || j.done.Contains(n) }

// noteCompletion notes a task that has completed, and how long it ran if that is
// known.
func (j *job) noteCompletion(n int, ran units.Micros) {
	if j.unstoredCompletions == nil {
		j.unstoredCompletions = map[int]bool{}
	}
	j.unstoredCompletions[n], j.activeCount = true, -1
	j.allDone = j.allDone.With(n)
	if b, ok := j.bindings[n]; ok {
		b.machine.forgetOccupancy()
	}
	if ran > 0 {
		j.runSum += ran
		j.runCount++
	}
}

func (j *job) doneCount() int {
	return j.done.Len() + len(j.unstoredCompletions)
}

// nextUnbound is the first task from n on that is neither done nor bound, or -1.
// Tasks are taken in order, so that the ranges of done ones stay few.
func (j *job) nextUnbound(n int) int {
	if !j.dependency.Ready() {
		return -1
	}
	last := j.spec.Tasks
	if most := j.maxProgressGaps(); max(j.done.RangeCount(), j.allDone.RangeCount()) > most {
		// What is stored must not become much longer; but filling gaps makes it shorter in the end, and
		// without that a job with too many of them could not go on.
		if j.active() >= most/4 {
			return -1
		}
		last = j.done.End()
	}
	// All before the first gap are done: in an array of 100,000 that is most.
	for n = max(n, j.done.FirstMissing()); n < last; n++ {
		if _, ok := j.bindings[n]; !ok && !j.isDone(n) {
			return n
		}
	}
	return -1
}

// maxProgressGaps is how many gaps the stored progress may have.
func (j *job) maxProgressGaps() int {
	if j.maxGaps == nil {
		return maxProgressGaps
	}
	return *j.maxGaps
}

// progressGapsFor is how many gaps a job's progress may have so that it fits into a value of that
// length: each is two numbers of a task and two signs.
func progressGapsFor(valueMax int) int {
	const gapBytes = 2*len("99999") + 2
	return max(8, min(maxProgressGaps, (valueMax-2*documentOverheadBytes)/gapBytes))
}

// waiting counts the tasks that are neither done nor bound; none of a job that waits for
// other jobs.
func (j *job) waiting() int {
	if !j.dependency.Ready() {
		return 0
	}
	return max(0, j.spec.Tasks-j.doneCount()-j.active())
}

// addBinding notes where a task may be. Of two entries the one with the later attempt is the true one:
// while a replica is loaded, documents that are read late stand beside earlier changes of others, and
// those are shown once more. An earlier entry that comes and goes that way must not make a running task
// look free.
func (j *job) addBinding(index int, bound binding) {
	if known, ok := j.bindings[index]; ok && known.attempt > bound.attempt {
		return
	}
	j.bindings[index], j.activeCount = bound, -1
	delete(j.recordedInEntry, index)
}

// forgetOccupancies drops what is kept of the machines on which the job may run.
func (j *job) forgetOccupancies() {
	for _, bound := range j.bindings {
		bound.machine.forgetOccupancy()
	}
}

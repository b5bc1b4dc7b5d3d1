package controller

import (
	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// job is all that is known of a job that is not over. An entry also exists for
// tasks on machines whose job is gone, until those machines are cleared.
type job struct {
	id                 string
	accepted           bool
	spec               schema.Job
	done               schema.TaskSet
	progressSegment    *progressSegment // where its progress is stored, if any is
	storedAverage      units.Micros     // stored average of finished tasks
	storedAverageCount int              // and of how many
	cancellationShown  bool             // a mark says that it is cancelled
	bindings           map[int]binding  // by task number: where it may be
	activeCount        int              // of bound, those not known to be done; -1 when that must be counted
	unstoredCount      int              // of bound, those whose end is not stored; counted with live
	recordedInEntry    map[int]bool     // of bound, those whose end stands beside them in their machine's entry
	partition          int
	dependency         *dag.Node // which jobs it waits for; nil: none was ever named
	maxGaps            *int      // gaps that its stored progress may have; nil: the usual number

	// The owner's own knowledge, lost with it.
	unstoredCompletions map[int]bool   // known to be done, not yet stored
	allDone             schema.TaskSet // done, and what is not stored yet
	runSum              units.Micros   // lengths of those
	runCount            int
	share               float64
	failures            int
	failedAt            units.Micros    // when it last failed
	failedOn            map[string]bool // machines of this node on which it failed
	succeeded           bool            // one of its tasks completed
	retryAt             units.Micros
	observed            units.Micros // average with what running tasks have taken, and when it was worked out
	observedAt          units.Micros
	progressWrittenAt   units.Micros // when its progress was last written
	storedRanges        string       // done, as it is stored
	waitingSince        units.Micros // since when tasks of it wait and none was placed; 0: none waits
}

type binding struct {
	machine *machine
	attempt uint64
}

// cancelled reports whether the job is known to be cancelled: by its mark, by its own stored end,
// or by that of a job that it needs, directly or through others.
func (j *job) cancelled() bool { return j.cancellationShown || j.dependency.Cancelled() }

// active counts the tasks that may be running.
func (j *job) active() int {
	j.countBindings()
	return j.activeCount
}

// quotaHeld counts the tasks that take room of their team's limit: all whose end is
// not stored. An end that only this process knows is lost with it, and if the
// machine's lease ends too the task is started once more, beside those that took its
// place: a team was over its limit that way, and could be in two zones.
func (j *job) quotaHeld() int {
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

// completionStored reports whether the end of a task is stored, so that nobody starts it again.
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

// average is the job's mean task time as observed, and of how many tasks; zero
// if nothing is known.
func (j *job) average() (units.Micros, int) {
	n := j.storedAverageCount + j.runCount
	if n == 0 {
		return 0, 0
	}
	return max(minTaskTime, (j.storedAverage*units.Micros(j.storedAverageCount)+j.runSum)/units.Micros(n)), n
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
		// What is stored must not become much longer; but filling gaps makes it shorter in
		// the end, and without that a job with too many of them would never go on.
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

// observedAverage is a job's average task time: finished tasks, with running ones'
// elapsed time as a lower bound.
func (c *Controller) observedAverage(j *job) units.Micros {
	avg, _ := j.average()
	if avg == 0 {
		return 0
	}
	if j.observedAt > 0 && c.now-j.observedAt < observeEvery {
		return max(avg, j.observed)
	}
	var over, late units.Micros
	for n, b := range j.bindings {
		if b.machine.agent == nil {
			continue
		}
		if run, ok := b.machine.agent.runningSince[taskKey{j.id, n, b.attempt}]; ok && c.now-run.at > avg {
			over += c.now - run.at - avg
			late++
		}
	}
	// The late ones count with what they have taken so far, as if they ended now.
	j.observed, j.observedAt = avg+over/(units.Micros(j.doneCount())+late+1), c.now
	return j.observed
}

// observeEvery is how often all running tasks of a job are looked at.
const observeEvery = 2 * units.Second

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

// addBinding notes where a task may be. Of two entries the one with the later attempt is
// the true one: while a copy is loaded, documents that were read late stand beside
// earlier changes of others, and those are shown once more. An earlier entry that
// came and went that way once made a running task look free.
func (j *job) addBinding(n int, b binding) {
	if was, ok := j.bindings[n]; ok && was.attempt > b.attempt {
		return
	}
	j.bindings[n], j.activeCount = b, -1
	delete(j.recordedInEntry, n)
}

// forgetOccupancies drops what is kept of the machines on which the job may run.
func (j *job) forgetOccupancies() {
	for _, b := range j.bindings {
		b.machine.forgetOccupancy()
	}
}

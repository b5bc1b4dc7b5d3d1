package controller

import (
	"frostdock.example/frostdock/internal/dag"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// job is all that is known of a job that is not over. An entry also exists for
// tasks on machines whose job is gone, until those machines are cleared.
type job struct {
	id           string
	known        bool
	spec         schema.Job
	done         schema.Set
	pack         *progressPack // where its progress is stored, if any is
	avg          units.Micros  // stored average of finished tasks
	avgOf        int           // and of how many
	marked       bool          // a mark says that it is cancelled
	bound        map[int]bind  // by task number: where it may be
	live         int           // of bound, those not known to be done; -1 when that must be counted
	holding      int           // of bound, those whose end is not stored; counted with live
	recordedDone map[int]bool  // of bound, those whose end stands beside them in their machine's entry
	part         int
	chain        *dag.Node // which jobs it waits for; nil: none was ever named
	gapsMost     *int      // gaps that its stored progress may have; nil: the usual number

	// The owner's own knowledge, lost with it.
	unstoredDone map[int]bool // known to be done, not yet stored
	merged       schema.Set   // done, and what is not stored yet
	runSum       units.Micros // lengths of those
	runCount     int
	share        float64
	failures     int
	failedAt     units.Micros    // when it last failed
	failedOn     map[string]bool // machines of this node on which it failed
	succeeded    bool            // one of its tasks completed
	retryAt      units.Micros
	observed     units.Micros // average with what running tasks have taken, and when it was worked out
	observedAt   units.Micros
	flushAt      units.Micros // when its progress was last written
	storedAs     string       // done, as it is stored
	waitAt       units.Micros // since when tasks of it wait and none was placed; 0: none waits
}

type bind struct {
	m       *machine
	attempt uint64
}

// cancelled reports whether the job is known to be cancelled: by its mark, by its own stored end,
// or by that of a job that it needs, directly or through others.
func (j *job) cancelled() bool { return j.marked || j.chain.Cancelled() }

// active counts the tasks that may be running.
func (j *job) active() int {
	j.count()
	return j.live
}

// reserved counts the tasks that take room of their team's limit: all whose end is
// not stored. An end that only this process knows is lost with it, and if the
// machine's lease ends too the task is started once more, beside those that took its
// place: a team was over its limit that way, and could be in two zones.
func (j *job) reserved() int {
	j.count()
	return j.holding
}

func (j *job) count() {
	if j.live >= 0 {
		return
	}
	j.live, j.holding = 0, 0
	for n := range j.bound {
		if !j.isDone(n) {
			j.live++
		}
		if !j.stored(n) {
			j.holding++
		}
	}
}

// stored reports whether the end of a task is stored, so that nobody starts it again.
func (j *job) stored(n int) bool { return j.done.Has(n) || j.recordedDone[n] }

// unbind notes that a task is free.
func (j *job) unbind(n int) {
	delete(j.bound, n)
	delete(j.recordedDone, n)
	j.live = -1
}

func (j *job) isDone(n int) bool { return j.unstoredDone[n] || j.done.Has(n) }

// tidy drops an entry of which nothing is left.
func (r *replica) tidy(j *job) {
	if !j.known && !j.marked && j.pack == nil && len(j.bound) == 0 {
		delete(r.jobs, j.id)
	}
}

// completed notes a task that has completed, and how long it ran if that is
// known.
func (c *Core) completed(j *job, n int, ran units.Micros) {
	if j.unstoredDone == nil {
		j.unstoredDone = map[int]bool{}
	}
	j.unstoredDone[n], j.live = true, -1
	j.merged = j.merged.With(n)
	if b, ok := j.bound[n]; ok {
		b.m.touch()
	}
	if ran > 0 {
		j.runSum += ran
		j.runCount++
	}
}

// average is the job's mean task time as observed, and of how many tasks; zero
// if nothing is known.
func (j *job) average() (units.Micros, int) {
	n := j.avgOf + j.runCount
	if n == 0 {
		return 0, 0
	}
	return max(minAverage, (j.avg*units.Micros(j.avgOf)+j.runSum)/units.Micros(n)), n
}

func (j *job) doneCount() int {
	return j.done.Len() + len(j.unstoredDone)
}

// next is the first task from n on that is neither done nor bound, or -1.
// Tasks are taken in order, so that the ranges of done ones stay few.
func (j *job) next(n int) int {
	if !j.chain.Ready() {
		return -1
	}
	last := j.spec.Tasks
	if most := j.mostGaps(); max(j.done.Ranges(), j.merged.Ranges()) > most {
		// What is stored must not become much longer; but filling gaps makes it shorter in
		// the end, and without that a job with too many of them would never go on.
		if j.active() >= most/4 {
			return -1
		}
		last = j.done.End()
	}
	// All before the first gap are done: in an array of 100,000 that is most.
	for n = max(n, j.done.Missing()); n < last; n++ {
		if _, ok := j.bound[n]; !ok && !j.isDone(n) {
			return n
		}
	}
	return -1
}

// observed is a job's average task time: finished tasks, with running ones'
// elapsed time as a lower bound.
func (c *Core) observed(j *job) units.Micros {
	avg, _ := j.average()
	if avg == 0 {
		return 0
	}
	if j.observedAt > 0 && c.now-j.observedAt < observeEvery {
		return max(avg, j.observed)
	}
	var over, late units.Micros
	for n, b := range j.bound {
		if b.m.rt == nil {
			continue
		}
		if run, ok := b.m.rt.runs[taskKey{j.id, n, b.attempt}]; ok && c.now-run.at > avg {
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

// mostGaps is how many gaps the stored progress may have.
func (j *job) mostGaps() int {
	if j.gapsMost == nil {
		return maxProgressGaps
	}
	return *j.gapsMost
}

// gapsWithin is how many gaps a job's progress may have so that it fits into a value of that
// length: each is two numbers of a task and two signs.
func gapsWithin(valueMax int) int {
	const gapBytes = 2*len("99999") + 2
	return max(8, min(maxProgressGaps, (valueMax-2*headBytes)/gapBytes))
}

// waiting counts the tasks that are neither done nor bound; none of a job that waits for
// other jobs.
func (j *job) waiting() int {
	if !j.chain.Ready() {
		return 0
	}
	return max(0, j.spec.Tasks-j.doneCount()-j.active())
}

// bind notes where a task may be. Of two entries the one with the later attempt is
// the true one: while a copy is loaded, documents that were read late stand beside
// earlier changes of others, and those are shown once more. An earlier entry that
// came and went that way once made a running task look free.
func (j *job) bind(n int, b bind) {
	if was, ok := j.bound[n]; ok && was.attempt > b.attempt {
		return
	}
	j.bound[n], j.live = b, -1
	delete(j.recordedDone, n)
}

// touch drops what is kept of the machines on which the job may run.
func (j *job) touch() {
	for _, b := range j.bound {
		b.m.touch()
	}
}

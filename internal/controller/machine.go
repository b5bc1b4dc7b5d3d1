package controller

import (
	"strconv"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// machine is one machine: its stored document, and what the controller that commands it has learnt of
// its worker agent since it began to.
type machine struct {
	name        string
	shard       *machineShard
	doc         schema.Machine
	agent       *agentState  // nil unless this controller commands it
	deleted     bool         // the cloud has confirmed its deletion: the entry may go
	occupancies [2]occupancy // kept for plans: as another controller sees it, and as its commander does

	entriesSeen map[taskKey]entrySeen // since when each task is in its entry, as this controller sees it
}

// entrySeen is when a task was first seen in a machine's entry, and in the document of which revision.
type entrySeen struct {
	at       units.Micros
	revision uint64
}

// noPartition is the partition of a machine that nobody commands any more.
const noPartition = -1

// part is the partition that commands the machine; noPartition when it is decommissioned.
func (m *machine) part() int {
	if m.doc.Decommissioned {
		return noPartition
	}
	return m.shard.partition
}

// taskKey names an attempt of a task.
type taskKey struct {
	job     string
	num     int
	attempt uint64
}

func keyOf(t schema.Task) taskKey { return taskKey{t.Job, t.Index, t.Attempt} }

// task is the task's name in messages with agents.
func (k taskKey) task() string { return k.job + "/" + strconv.Itoa(k.num) }

// acceptedJob is a job that is among the accepted ones, or nil.
func (r *replica) acceptedJob(id string) *job {
	if j := r.jobs[id]; j != nil && j.accepted {
		return j
	}
	return nil
}

// unfinishedJobOf is the job of an entered task that is not known to be done, or nil.
func (r *replica) unfinishedJobOf(t schema.Task) *job {
	if j := r.acceptedJob(t.Job); j != nil && !j.isDone(t.Index) {
		return j
	}
	return nil
}

// unstoredJobOf is the job of an entered task whose completion is not stored yet, or nil. It says the
// same on every controller.
func (r *replica) unstoredJobOf(t schema.Task) *job {
	if j := r.acceptedJob(t.Job); j != nil && !j.done.Contains(t.Index) {
		return j
	}
	return nil
}

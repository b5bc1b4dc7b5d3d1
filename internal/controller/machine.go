package controller

import (
	"strconv"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// machine is one machine: its stored document and, if this controller commands it, the state of its worker
// agent.
type machine struct {
	name        string
	shard       *machineShard
	doc         schema.Machine
	agent       *agentState  // nil unless this controller commands it
	deleted     bool         // the cloud has confirmed the deletion: the entry may be dropped
	occupancies [2]occupancy // cached for plans; [0]: as other controllers see it, [1]: as the commanding one does

	entriesSeen map[taskKey]entrySeen // when this controller first saw each task in the machine's entry
}

// entrySeen is when a task was first seen in a machine's entry, and the revision of the document that
// showed it.
type entrySeen struct {
	at       units.Micros
	revision uint64
}

// noPartition is the partition of a machine that no controller commands any more.
const noPartition = -1

// commandingPartition returns the partition that commands the machine; noPartition if the machine is
// decommissioned.
func (m *machine) commandingPartition() int {
	if m.doc.Decommissioned {
		return noPartition
	}
	return m.shard.partition
}

// taskKey identifies an attempt of a task.
type taskKey struct {
	job     string
	index   int
	attempt uint64
}

func keyOf(t schema.Task) taskKey { return taskKey{t.Job, t.Index, t.Attempt} }

// task returns the task's name in messages to and from agents.
func (k taskKey) task() string { return k.job + "/" + strconv.Itoa(k.index) }

// acceptedJob returns the job if it is among the accepted ones, or nil.
func (r *replica) acceptedJob(id string) *job {
	if j := r.jobs[id]; j != nil && j.accepted {
		return j
	}
	return nil
}

// jobOfUnfinishedTask returns the job of an entered task, or nil if the job is not accepted or the task is
// known to be done.
func (r *replica) jobOfUnfinishedTask(t schema.Task) *job {
	if j := r.acceptedJob(t.Job); j != nil && !j.isDone(t.Index) {
		return j
	}
	return nil
}

// jobOfUnstoredTask returns the job of an entered task, or nil if the job is not accepted or the task's
// completion is stored in the job's progress. It uses only stored documents, so that every controller gets
// the same result.
func (r *replica) jobOfUnstoredTask(t schema.Task) *job {
	if j := r.acceptedJob(t.Job); j != nil && !j.done.Contains(t.Index) {
		return j
	}
	return nil
}

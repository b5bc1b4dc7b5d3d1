package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/units"
)

// completionExchange reports completed tasks to other controllers in heartbeats, and applies what they
// report. The leader of a job's partition stores the job's progress, but the leader of the machine's
// partition sees its tasks complete. If completions were written into the machine shard, for the job's
// leader to read, they would take a third of all changes of a large fleet. A completed task stays
// completed, so a heartbeat that is lost, late or repeated does no harm. The exchange owns no state and
// guarantees no delivery: it never stores a completion, and a completion that the job's leader has not
// stored in time is still written into the machine shard.
type completionExchange struct {
	*environment
	replica    *replica
	partitions *partitionTable
	peers      peerHeartbeats
}

// peerHeartbeats provides the latest heartbeat of each process, if it is recent.
type peerHeartbeats interface {
	heartbeatOf(member, incarnation string) (peer.Heartbeat, bool)
}

const (
	// runTimeUnit is the unit in which a machine shard stores how long a task ran.
	runTimeUnit = 100 * units.Millisecond
	// maxCompletionsSent bounds the completed tasks that one heartbeat reports.
	maxCompletionsSent = 2000
	// leaderStoreTimeout is how long the leader of a job may take to store a completion that has been
	// reported to it.
	leaderStoreTimeout = progressFlushPeriod + 10*units.Second
)

// forPeers lists completed tasks on this controller's machines that the leaders of their jobs have not
// stored yet.
func (e *completionExchange) forPeers() []peer.EndedTask {
	var completed []peer.EndedTask
	for _, m := range e.replica.sortedMachines() {
		if m.agent == nil {
			continue
		}
		for task, completion := range m.agent.completions {
			j := e.replica.acceptedJob(task.job)
			if j != nil && !e.leadsJob(j) && !j.done.Contains(task.index) {
				ran := units.Micros(completion.tenths-1) * runTimeUnit
				completed = append(completed, peer.EndedTask{Job: task.job, Num: task.index, Ran: int64(ran)})
			}
		}
	}
	slices.SortFunc(completed, func(a, b peer.EndedTask) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Num, b.Num))
	})
	return completed[:min(len(completed), maxCompletionsSent)]
}

// apply records the tasks that another controller reports as completed.
func (e *completionExchange) apply(completed []peer.EndedTask) {
	for _, task := range completed {
		j := e.replica.acceptedJob(task.Job)
		if j == nil || !e.leadsJob(j) || task.Num < 0 || task.Num >= j.spec.Tasks || j.isDone(task.Num) {
			continue
		}
		j.failures, j.succeeded = 0, true
		j.noteCompletion(task.Num, units.Micros(task.Ran))
		e.planNeeded = true
	}
}

// leadsJob reports whether this controller leads the partition of a job.
func (e *completionExchange) leadsJob(j *job) bool { return e.partitions.led[j.partition] != nil }

// leaderStores reports whether the leader of a job can be left to store a completion that was seen at
// seenAt and that heartbeats report to it.
func (e *completionExchange) leaderStores(j *job, seenAt units.Micros) bool {
	if !e.replica.dependenciesEnabled() || e.now-seenAt > leaderStoreTimeout {
		return false
	}
	partition := e.replica.partitions[j.partition]
	if partition == nil {
		return false
	}
	_, ok := e.peers.heartbeatOf(partition.doc.Member, partition.doc.Incarnation)
	return ok
}

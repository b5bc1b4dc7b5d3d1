package controller

import (
	"encoding/json"
	"fmt"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

// TestLoadBesideChanges loads a replica in pages that are read far apart, as when a network failure
// delays messages: a document of the last page is newer than changes of other documents that the watch
// shows after it. The task must stay bound where it is.
func TestLoadBesideChanges(t *testing.T) {
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 4
	c := newTestController(cfg)
	showMachineShard := func(revision uint64, machine string, tasks ...schema.Task) {
		t.Helper()
		doc := schema.MachineShard{Machines: []schema.Machine{{Name: machine, Addr: "x", Tasks: tasks}}}
		raw, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		c.replica.apply(c.replica.machineShardOf(machine).key, raw, revision, false)
	}
	first := schema.Task{Job: "j-000001", Index: 3, Attempt: 1<<28 | 5}
	second := schema.Task{Job: "j-000001", Index: 3, Attempt: 1<<28 | 9}
	showMachineShard(100, "n-000010")
	showMachineShard(140, "n-000060", second) // read late
	showMachineShard(110, "n-000010", first)  // the watch catches up
	showMachineShard(120, "n-000010")
	b, ok := c.replica.jobs["j-000001"].bindings[3]
	if !ok || b.machine.name != "n-000060" || b.attempt != second.Attempt {
		t.Fatalf("bound: %v, to %+v", ok, b)
	}
	showMachineShard(150, "n-000060")
	if j := c.replica.jobs["j-000001"]; j != nil && len(j.bindings) > 0 {
		t.Errorf("still bound: %+v", j.bindings)
	}
}

// TestManyGaps checks that any task of a job may be started, whatever the gaps among its completed tasks and whether the
// completions are stored, those in gaps first: a limit on the gaps would wait for a write that may never come (review/4).
func TestManyGaps(t *testing.T) {
	j := &job{id: "j-1", accepted: true, bindings: map[int]binding{}, activeCount: -1}
	j.spec.Tasks = 1000
	for n := 1; n < 900; n += 3 {
		if n < 450 {
			j.done = j.done.Union(schema.NewTaskSet([]int{n}))
		} else {
			j.noteCompletion(n, 0)
		}
	}
	m := &machine{name: "n-1"}
	previous, started := -1, 0
	for n := j.nextUnbound(0); n >= 0; n = j.nextUnbound(n + 1) {
		if n <= previous || n >= j.spec.Tasks || j.isDone(n) {
			t.Fatalf("task %d is started after %d", n, previous)
		}
		j.addBinding(n, binding{m, 1})
		previous = n
		started++
	}
	if started != j.spec.Tasks-300 || j.waiting() != 0 || j.nextUnbound(0) != -1 {
		t.Errorf("%d tasks are started of %d that are open, %d wait", started, j.spec.Tasks-300, j.waiting())
	}
}

// TestCorruptShardCount shows a replica shards whose shard count is above the maximum, and looks up
// names: the lookup panicked with "index out of range". Such a document is ignored, and the shard keeps
// its previous contents.
func TestCorruptShardCount(t *testing.T) {
	c, jobs := newSplitTestController(t)
	c.replica.apply(schema.JobShardKey(5), json.RawMessage(`{"of":9007199254740993}`), 20, false)
	c.replica.apply(schema.MachineShardKey(3), json.RawMessage(`{"of":9007199254740993}`), 20, false)
	c.replica.jobShardOf("j-2000000000")
	if number := c.replica.jobShardOf(jobs[0].ID).number; number != 5 {
		t.Errorf("job in shard %d", number)
	}
	if number := c.replica.machineShardOf("n-000003").number; number != 3 {
		t.Errorf("machine in shard %d", number)
	}
	checkAccepted(t, c, jobs)
}

// TestLargeShardCounts shows a replica shards whose counts are above the largest that is written, as the versions
// with the fault of TestSplitsEnd have stored them: the machines and jobs in them were unknown to every
// controller. They are found and stay writable, whatever the counts, and only shards that exist take memory.
func TestLargeShardCounts(t *testing.T) {
	const count, manyShards = 98304, schema.MaxReadableShardCount
	c, _ := newTestAccepts()
	shardOfJob, shardOfMachine := 5+count/2, 3+count/2
	job := schema.Job{ID: fmt.Sprintf("j-%d", shardOfJob+3*count), Tasks: 1}
	task := schema.Task{Job: job.ID, Attempt: 7}
	machine := schema.Machine{Name: fmt.Sprintf("n-%d", shardOfMachine+count), Addr: "x", Tasks: schema.Tasks{task}}
	known := len(c.replica.jobShards.all()) + len(c.replica.machineShards.all())
	c.replica.apply(schema.JobShardKey(5), encode(schema.JobShard{ShardCount: count}), 20, false)
	c.replica.apply(schema.JobShardKey(shardOfJob), encode(schema.JobShard{ShardCount: count, Jobs: []schema.Job{job}}), 20, false)
	c.replica.apply(schema.MachineShardKey(3), encode(schema.MachineShard{ShardCount: count}), 21, false)
	c.replica.apply(schema.MachineShardKey(shardOfMachine), encode(schema.MachineShard{ShardCount: count, Machines: []schema.Machine{machine}}), 21, false)
	c.replica.apply(schema.MachineShardKey(manyShards-1), encode(schema.MachineShard{ShardCount: manyShards}), 22, false)
	checkAccepted(t, c, []schema.Job{job})
	if shard, shown := c.replica.jobDirectory.owner(job.ID); shard != shardOfJob || !shown {
		t.Errorf("the job is in shard %d, shown: %v", shard, shown)
	}
	if m := c.replica.machines[machine.Name]; m == nil || m.shard.number != shardOfMachine || len(c.replica.jobs[job.ID].bindings) != 1 {
		t.Errorf("machine: %+v", m)
	}
	if added := len(c.replica.jobShards.all()) + len(c.replica.machineShards.all()) - known; added != 3 {
		t.Errorf("%d shards became known, not the 3 with a document beyond the layout", added)
	}
	submit(c, 1, fmt.Sprintf("j-%d", shardOfJob+5*count))
	writer, ok := c.accepts.commits.(*fakeShardWriter)
	if !ok || writer.commits != 1 || writer.txn.Operations[0].Set != schema.JobShardKey(shardOfJob) {
		t.Error("the shard takes no job")
	}
	if documents := c.splits.splitToFit(2, stagedJobShard{c.jobShardSplits, c.replica.jobShards.find(shardOfJob), "tag"}); documents != nil {
		t.Errorf("split into %d", len(documents))
	}
}

// showMachine shows a replica the machine with the given number, alone in its shard.
func showMachine(c *Controller, number int, revision uint64, tasks ...schema.Task) *machine {
	name := fmt.Sprintf("n-%06d", number)
	document := schema.MachineShard{Machines: []schema.Machine{{Name: name, Addr: "x", Tasks: tasks}}}
	c.replica.apply(schema.MachineShardKey(number), encode(document), revision, false)
	return c.replica.machines[name]
}

// TestTwoEntriesOfOneTask shows a replica two entries of a task, as review/1 left them in the store. Both
// attempts were kept running, the earlier one would have been started again on its machine, and once the later
// one's entry was gone the task was placed a third time, though the earlier attempt might still run.
func TestTwoEntriesOfOneTask(t *testing.T) {
	for _, laterFirst := range []bool{false, true} {
		c, _ := newTestAccepts()
		j := acceptJob(c, schema.Job{ID: "j-000005", Tasks: 1})
		earlier, later := schema.Task{Job: j.id, Attempt: 7}, schema.Task{Job: j.id, Attempt: 9}
		if laterFirst {
			showMachine(c, 2, 10, later)
		}
		first := showMachine(c, 1, 10, earlier)
		second := showMachine(c, 2, 11, later)
		if got := c.facts.ofTask(first, earlier).MustStop(); got != guard.StopSuperseded {
			t.Errorf("earlier attempt: %q", got)
		}
		if got := c.facts.ofTask(second, later).MustStop(); got != guard.KeepRunning {
			t.Errorf("later attempt: %q", got)
		}
		showMachine(c, 2, 20)
		if bound := j.bindings[0]; bound.machine != first || j.nextUnbound(0) >= 0 || c.facts.ofTask(first, earlier).MustStop() != guard.KeepRunning {
			t.Errorf("bound to %+v while the earlier attempt has an entry", bound)
		}
		showMachine(c, 1, 21)
		if len(j.bindings) > 0 || len(j.superseded) > 0 || j.nextUnbound(0) != 0 {
			t.Errorf("bindings %v, superseded %v without an entry", j.bindings, j.superseded)
		}
	}
}

// TestDroppedMachineLeavesEarlierAttempt drops the machine with the later of two attempts of a task, as when the
// cloud has deleted the machine: the task is bound by the earlier attempt, and is not placed.
func TestDroppedMachineLeavesEarlierAttempt(t *testing.T) {
	c, p := newTestPlan(t)
	j := acceptJob(c, schema.Job{ID: "j-000005", Tasks: 1})
	first := showMachine(c, 1, 10, schema.Task{Job: j.id, Attempt: 7})
	second := showMachine(c, 2, 11, schema.Task{Job: j.id, Attempt: 9})
	p.freeTasks(second)
	if bound := j.bindings[0]; bound.machine != first || j.nextUnbound(0) >= 0 {
		t.Errorf("bound to %+v", bound)
	}
	showMachine(c, 1, 20)
	if j.nextUnbound(0) != 0 {
		t.Error("not placed once the earlier attempt is gone too")
	}
}

// TestUnstoredBindingIsNotKept binds a task on a machine, as a plan does whose transaction then fails because
// another leader has bound the task elsewhere. The first binding has no entry, so once the other one's entry is
// gone the task waits to be placed.
func TestUnstoredBindingIsNotKept(t *testing.T) {
	c, _ := newTestAccepts()
	j := acceptJob(c, schema.Job{ID: "j-000005", Tasks: 1})
	j.addBinding(0, binding{showMachine(c, 1, 10), 7})
	showMachine(c, 2, 11, schema.Task{Job: j.id, Attempt: 9})
	showMachine(c, 2, 12)
	if j.nextUnbound(0) != 0 {
		t.Errorf("bound to %+v without an entry", j.bindings[0])
	}
}

// TestUnreadableProgressStaysUnreadable shows a replica a segment with progress that cannot be decoded, and then the segment
// with other progress beside it, as a process of another version may write it: the segment is still not readable. Once
// the progress can be decoded it is.
func TestUnreadableProgressStaysUnreadable(t *testing.T) {
	c, _ := newTestAccepts()
	key := schema.ProgressKey(0, 0)
	show := func(revision uint64, jobs map[string]schema.JobProgress) {
		c.replica.apply(key, encode(schema.ProgressSegment{Jobs: jobs}), revision, false)
	}
	broken := schema.JobProgress{DoneRanges: "3-x"}
	show(10, map[string]schema.JobProgress{"j-000005": broken})
	show(11, map[string]schema.JobProgress{"j-000005": broken, "j-000006": {DoneRanges: "0-1"}})
	if c.replica.allReadable() {
		t.Error("counts as readable although the progress of a job is not")
	}
	show(12, map[string]schema.JobProgress{"j-000005": {DoneRanges: "3-4"}, "j-000006": {DoneRanges: "0-1"}})
	if !c.replica.allReadable() || c.replica.jobs["j-000005"].done.Len() != 2 || c.replica.jobs["j-000006"].done.Len() != 2 {
		t.Error("not known once it can be decoded")
	}
}

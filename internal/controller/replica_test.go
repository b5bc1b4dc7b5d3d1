package controller

import (
	"encoding/json"
	"testing"

	"frostdock.example/frostdock/internal/config"
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

// TestManyGaps checks that a job with more gaps among its done tasks than may be stored goes on by
// filling them: otherwise it would wait forever.
func TestManyGaps(t *testing.T) {
	j := &job{id: "j-1", accepted: true, bindings: map[int]binding{}, activeCount: -1}
	j.spec.Tasks = 1000
	for n := 1; n < 900; n += 3 {
		j.done = j.done.With(n)
	}
	m := &machine{name: "n-1"}
	started := 0
	for n := j.nextUnbound(0); n >= 0; n = j.nextUnbound(n + 1) {
		if n >= j.done.End() {
			t.Fatalf("task %d would lengthen the stored ranges", n)
		}
		j.addBinding(n, binding{m, 1})
		started++
	}
	if started == 0 || started > maxProgressGaps {
		t.Errorf("%d tasks are started", started)
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

package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// TestMoved shows a split to a replica, with its documents in order and in reverse: the machines, what is
// known of them and the jobs stay, in one document each.
func TestMoved(t *testing.T) {
	for _, parentFirst := range []bool{true, false} {
		c, jobs := newSplitTestController(t)
		known := maps.Clone(c.replica.machines)
		shards := len(c.replica.machineShards.all())
		docs := splitDocuments(c)
		if !parentFirst {
			slices.Reverse(docs)
		}
		for _, d := range docs {
			c.replica.apply(d.key, d.value, 20, false)
		}
		if len(c.replica.machines) != 6 || len(c.replica.jobs["j-000001"].bindings) != 6 {
			t.Fatalf("%d machines, %d tasks bound", len(c.replica.machines), len(c.replica.jobs["j-000001"].bindings))
		}
		for name, m := range c.replica.machines {
			if m != known[name] || c.replica.machineShardOf(name) != m.shard || m.shard.shardCount != 3*shards {
				t.Errorf("%s is in machine shard %d of %d, or was recreated", name, m.shard.number, m.shard.shardCount)
			}
		}
		if total := machinesInShards(c); total != 6 {
			t.Errorf("machine shards have %d machines", total)
		}
		checkAccepted(t, c, jobs)
	}
}

func checkAccepted(t *testing.T, c *Controller, jobs []schema.Job) {
	t.Helper()
	for _, job := range jobs {
		if got := c.replica.jobs[job.ID]; got == nil || !got.accepted {
			t.Errorf("%s is lost", job.ID)
		}
	}
}

// machinesInShards counts the machines of all machine shards.
func machinesInShards(c *Controller) int {
	total := 0
	for _, shard := range c.replica.machineShards.all() {
		total += len(shard.machines)
	}
	return total
}

// newSplitTestController returns a controller whose replica has six machines in machine shard 3 and six
// jobs in job shard 5, and these jobs.
func newSplitTestController(t *testing.T) (*Controller, []schema.Job) {
	t.Helper()
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
	c := newTestController(cfg)
	machines, jobs := schema.MachineShard{}, schema.JobShard{}
	for i := range 6 {
		machines.Machines = append(machines.Machines, schema.Machine{
			Name: fmt.Sprintf("n-%06d", 3+i*len(c.replica.machineShards.all())), Addr: "x", Tasks: schema.Tasks{{Job: "j-000001", Index: i, Attempt: 7}},
		})
		jobs.Jobs = append(jobs.Jobs, schema.Job{ID: fmt.Sprintf("j-%06d", 5+i*len(c.replica.jobShards.all())), Tasks: 1})
	}
	c.replica.apply(schema.MachineShardKey(3), encode(machines), 10, false)
	c.replica.apply(schema.JobShardKey(5), encode(jobs), 11, false)
	return c, jobs.Jobs
}

// splitDocuments returns the documents of newSplitTestController's shards, split into three and two.
func splitDocuments(c *Controller) []splitDocument {
	shard := newStagedShard(c.planner, c.replica.machineShards.find(3), false, "")
	for _, m := range c.replica.machineShards.find(3).machines {
		shard.machines = append(shard.machines, &stagedMachine{machine: m, shard: shard, kept: m.doc.Tasks})
	}
	return append(shard.split(3), stagedJobShard{c.jobShardSplits, c.replica.jobShards.find(5), "mark"}.split(2)...)
}

// TestMovedTwice shows a replica two splits of one job shard together, in every order in which an answer of
// the key-value store may list their documents. A job that moves from the first document to a part, and
// from there to a part of that, is not over, even if the last two documents come before the first: its
// absence is no proof of an outcome.
//
// In the order [2 1 0] the job that moves twice was wrongly removed: its tasks were to be stopped and their
// entries released ("job is over"), and its user got 404, or "pending" after "cancelled". A shard that no
// longer listed a job was trusted unless the part that the job had moved to, by that shard's own count,
// was not shown or listed the job. That part was shown, was newer, and had been split itself.
// TestSmallShardHistories covers every order of such histories; in the scenario moved_twice the rules
// went_back and ran_cancelled were violated, for jobs whose removal was not logged.
func TestMovedTwice(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			cfg := &config.Config{Member: "a"}
			cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
			c := newTestController(cfg)
			shardCount := len(c.replica.jobShards.all())
			job := func(n int) schema.Job { return schema.Job{ID: fmt.Sprintf("j-%06d", n), Tasks: 1} }
			stays, moves, movesTwice := job(5), job(5+shardCount), job(5+3*shardCount)
			c.replica.apply(schema.JobShardKey(5), encode(schema.JobShard{Jobs: []schema.Job{stays, moves, movesTwice}}), 10, false)
			docs := []struct {
				key      string
				doc      schema.JobShard
				revision uint64
			}{
				{schema.JobShardKey(5), schema.JobShard{ShardCount: 2 * shardCount, Jobs: []schema.Job{stays}}, 20},
				{schema.JobShardKey(5 + shardCount), schema.JobShard{ShardCount: 4 * shardCount, Jobs: []schema.Job{moves}}, 30},
				{schema.JobShardKey(5 + 3*shardCount), schema.JobShard{ShardCount: 4 * shardCount, Jobs: []schema.Job{movesTwice}}, 30},
			}
			for _, i := range order {
				c.replica.apply(docs[i].key, encode(docs[i].doc), docs[i].revision, false)
			}
			for _, want := range []schema.Job{stays, moves, movesTwice} {
				if j := c.replica.jobs[want.ID]; j == nil || !j.accepted || j.dependency == nil {
					t.Errorf("%s is lost", want.ID)
				}
			}
		})
	}
}

// newSplitter returns a controller that may split shards, with values of up to 2 KiB.
func newSplitter(t *testing.T) *Controller {
	t.Helper()
	c, _ := newTestPlan(t)
	c.store.limits.ValueKB, c.store.limits.TxnOps = 2, 10
	c.cfg.Settings.Workers.HeartbeatS, c.cfg.Settings.Workers.LeaseS, c.cfg.Settings.Workers.CancelS = 6, 31, 56
	c.replica.format = schema.FormatDependencies
	return c
}

// TestSplitsEnd guards against shards that were split without end, because one machine or a group of jobs that
// no split divides was longer than the size at which shards are split (ran_twice in review/1, forgotten in
// the review's run "jobshard"). Shards are split until none is to be split any more: each split must divide
// the entries, and leave documents that every version can read.
func TestSplitsEnd(t *testing.T) {
	const entries = 24
	for name, number := range map[string]func(i int) int{
		"one machine holds nearly all tasks":  func(i int) int { return i },
		"numbers that no small split divides": func(i int) int { return i * 241920 },
		"numbers that an odd split divides":   func(i int) int { return i << 12 },
		"one number":                          func(int) int { return 7 },
	} {
		t.Run(name, func(t *testing.T) {
			c := newSplitter(t)
			machines, jobs := schema.MachineShard{}, schema.JobShard{}
			for i := range entries {
				tasks := 10
				if i == 0 {
					tasks = 200
				}
				machines.Machines = append(machines.Machines, busyMachine(fmt.Sprintf("n%02d-%d", i, 3+96*number(i)), tasks))
				jobs.Jobs = append(jobs.Jobs, schema.Job{ID: fmt.Sprintf("j%02d-%d", i, 5+48*number(i)), Class: fmt.Sprintf("class %d of many", i*i), Tasks: 1 + i*i*i})
			}
			c.replica.apply(schema.MachineShardKey(3), encode(machines), 10, false)
			c.replica.apply(schema.JobShardKey(5), encode(jobs), 11, false)
			splits := splitAll(t, c)
			if splits >= 2*entries {
				t.Errorf("%d splits of two shards with %d entries each", splits, entries)
			}
			if total := machinesInShards(c); total != entries {
				t.Errorf("machine shards have %d machines", total)
			}
			checkAccepted(t, c, jobs.Jobs)
		})
	}
}

// busyMachine returns a machine with the given number of tasks, each of another job.
func busyMachine(name string, tasks int) schema.Machine {
	machine := schema.Machine{Name: name, Addr: "10.0.0.1:9000", MachineKind: schema.MachineKind{Type: "big", Zone: "a"}}
	for i := range tasks {
		machine.Tasks = append(machine.Tasks, schema.Task{Job: fmt.Sprintf("j-%06d", i*48611%999983), Attempt: 3<<28 | uint64(i*7)})
	}
	return machine
}

// splitAll splits the controller's shards until none is to be split any more, and returns the number of splits.
func splitAll(t *testing.T, c *Controller) int {
	t.Helper()
	for splits := 0; ; splits++ {
		documents := nextSplit(c)
		if documents == nil {
			return splits
		}
		if splits > 100 {
			t.Fatal("shards are split without end")
		}
		for _, document := range documents {
			checkReadable(t, document)
			c.replica.apply(document.key, document.value, uint64(20+splits), false)
		}
	}
}

// nextSplit returns the documents of the next split, nil if no shard is to be split.
func nextSplit(c *Controller) []splitDocument {
	p := newPlan(c.planner, c.partitions.led[0])
	p.stageShards()
	for _, shard := range p.shardsToSplit() {
		if documents := c.splits.splitToFit(c.splits.partCount(shard.shard.size), shard); documents != nil {
			return documents
		}
	}
	for _, shard := range c.jobShardSplits.shardsToSplit() {
		if documents := c.splits.splitToFit(c.splits.partCount(shard.size), stagedJobShard{c.jobShardSplits, shard, "tag"}); documents != nil {
			return documents
		}
	}
	return nil
}

// maxReadableShardCount is the largest shard count that the versions before the fix of TestSplitsEnd read.
const maxReadableShardCount = 65536

// checkReadable checks that every version reads a shard.
func checkReadable(t *testing.T, document splitDocument) {
	t.Helper()
	var shard struct {
		ShardCount int `json:"of"`
	}
	if err := json.Unmarshal(schema.PlainJSON(document.value), &shard); err != nil || shard.ShardCount > maxReadableShardCount {
		t.Fatalf("%s: shard count %d, %v", document.key, shard.ShardCount, err)
	}
}

// TestSplitKeepsCountReadable has shards that every split divides, close to the largest shard count that every
// version reads: none is split beyond it.
func TestSplitKeepsCountReadable(t *testing.T) {
	for count, want := range map[int]int{32768: 2, 32769: 0, schema.MaxShardCount: 0, 4 * schema.MaxShardCount: 0} {
		c := newSplitter(t)
		document := schema.JobShard{ShardCount: count}
		for i := range 3 {
			document.Jobs = append(document.Jobs, schema.Job{ID: fmt.Sprintf("j-%d", 5+i*count), Tasks: 1})
		}
		c.replica.apply(schema.JobShardKey(5), encode(document), 10, false)
		documents := c.splits.splitToFit(2, stagedJobShard{c.jobShardSplits, c.replica.jobShards.find(5), "tag"})
		if len(documents) != want {
			t.Errorf("a shard of %d is split into %d, want %d", count, len(documents), want)
		}
	}
}

// TestUnsplittableShardHidesNoOther has two job shards that are too long, of which no split divides the longer
// one. Only the longest shard was considered, so the other was never split and took no more jobs.
func TestUnsplittableShardHidesNoOther(t *testing.T) {
	c := newSplitter(t)
	for shard, jobs := range map[int]int{5: 120, 6: 90} {
		var document schema.JobShard
		for i := range jobs {
			id := fmt.Sprintf("j%02d-%d", i, shard)
			if shard == 6 {
				id = fmt.Sprintf("j-%d", shard+i*len(c.replica.jobShards.all()))
			}
			document.Jobs = append(document.Jobs, schema.Job{ID: id, Class: fmt.Sprintf("class %d of many", i*i), Tasks: 1 + i*i*i})
		}
		c.replica.apply(schema.JobShardKey(shard), encode(document), 10, false)
	}
	oversized := c.jobShardSplits.shardsToSplit()
	if len(oversized) != 2 || oversized[0].number != 5 {
		t.Fatalf("%d shards are too long", len(oversized))
	}
	c.membership.registered, c.freshness.provenAt = true, c.now
	c.replica.beginSync(20)
	c.replica.unreadable[schema.JobShardKey(7)] = true
	if c.jobShardSplits.run(); c.jobShardSplits.inFlight {
		t.Error("a shard is split while a document is unreadable")
	}
	clear(c.replica.unreadable)
	c.jobShardSplits.run()
	if !c.jobShardSplits.inFlight || !c.commits.isInFlight(schema.JobShardKey(6)) {
		t.Error("the shorter shard is not split")
	}
}

// TestLongEntry guards against a machine whose entry alone is longer than a stored value may be: its document was
// neither split nor changed, so that entries of ended tasks stayed for ever, or it was written again and again
// although the store refused it. It is written while the store accepts its length, and otherwise once what
// stays of it is short enough.
func TestLongEntry(t *testing.T) {
	for name, tc := range map[string]struct {
		tasks, kept     int
		nextInEffect    bool
		written, marked bool
	}{
		"too long, store accepts it":              {300, 299, false, true, true},
		"too long, store would refuse it":         {300, 299, true, false, false},
		"what stays is short enough":              {300, 100, true, true, true},
		"short enough":                            {100, 99, true, true, true},
		"lengthened by marks, within the margin":  {201, 200, true, true, false},
		"too long with marks, which are left out": {196, 195, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSplitter(t)
			c.store.limits.sizesLowered = tc.nextInEffect
			staged := stageLongEntry(c, tc.tasks, tc.kept)
			documents := staged.documents()
			if written := len(documents) == 1; written != tc.written {
				t.Fatalf("written: %v, of %d bytes", written, staged.shard.size)
			}
			if !tc.written {
				return
			}
			var stored schema.MachineShard
			if err := json.Unmarshal(documents[0].value, &stored); err != nil || len(stored.Machines[0].Tasks) != tc.kept {
				t.Fatalf("%d tasks stored, %v", len(stored.Machines[0].Tasks), err)
			}
			if marked := stored.Machines[0].Tasks[0].StopMode > 0; marked != tc.marked {
				t.Errorf("marked: %v, in %d bytes", marked, len(documents[0].value))
			}
			if limit := 2048; tc.nextInEffect && len(documents[0].value) > limit {
				t.Errorf("%d bytes are written, more than %d", len(documents[0].value), limit)
			}
		})
	}
}

// stageLongEntry stages a machine of which the given number of tasks are kept, most of them to be stopped.
func stageLongEntry(c *Controller, tasks, kept int) *stagedShard {
	machine := busyMachine("n-000003", tasks)
	c.replica.apply(schema.MachineShardKey(3), encode(schema.MachineShard{Machines: []schema.Machine{machine}}), 10, false)
	staged := newStagedShard(c.planner, c.replica.machineShards.find(3), true, "tag")
	m := &stagedMachine{machine: c.replica.machines[machine.Name], shard: staged, kept: machine.Tasks[:kept]}
	staged.machines = append(staged.machines, m)
	random := rand.New(rand.NewPCG(1, 2)) // modes in an order that does not compress
	m.requestStop(keyOf(m.kept[0]), schema.StopImmediately)
	for _, task := range m.kept[1:] {
		m.requestStop(keyOf(task), schema.StopMode(random.IntN(3)))
	}
	return staged
}

// TestLongShardIsNotTransferred checks that a shard that is too long to be written is not transferred to another
// partition, which would be tried again every half second, in place of other transfers.
func TestLongShardIsNotTransferred(t *testing.T) {
	for tasks, want := range map[int]bool{100: true, 300: false} {
		c := newSplitter(t)
		c.now += shardTransferCooldown
		staged := stageLongEntry(c, tasks, 1)
		staged.machines[0].kept, staged.machines[0].usable = nil, true
		if got := newPlan(c.planner, c.partitions.led[0]).transferable(staged); got != want {
			t.Errorf("transferable with %d bytes: %v", staged.shard.size, got)
		}
	}
}

// TestRefusedSize checks that a controller keeps to the announced sizes once the store has refused a transaction
// as malformed: it repeated one that was within the present limits only, and its partition stored nothing more.
func TestRefusedSize(t *testing.T) {
	c := newSplitter(t)
	c.store.limits.next = config.KVLimits{RPS: 350, WriteRPS: 35, ValueKB: 2, TxnOps: 10}
	refuse := func() {
		c.store.call(kv.Request{Kind: kv.Transact, Txn: &kv.Txn{}}, func(kv.Response) {})
		c.handleStoreResult(StoreResult{CallID: c.lastCallID, Response: kv.Response{Status: kv.StatusMalformed}})
	}
	if present := maxValueBytes(4); c.store.limits.acceptedValueBytes() != present {
		t.Errorf("%d bytes accepted before a refusal, want %d", c.store.limits.acceptedValueBytes(), present)
	}
	refuse()
	if next := maxValueBytes(2); c.store.limits.acceptedValueBytes() != next {
		t.Errorf("%d bytes accepted after a refusal, want %d", c.store.limits.acceptedValueBytes(), next)
	}
}

// TestLongJobShard guards against a job whose entry alone is longer than a stored value may be, as one accepted
// before smaller limits were announced: neither that job nor any other of its shard could ever be removed, so
// their users were never told that they are done. They are removed while the store accepts what stays, and
// the long job also afterwards.
func TestLongJobShard(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	class := make([]byte, 3000)
	for i := range class {
		class[i] = byte('a' + random.IntN(26))
	}
	for _, nextInEffect := range []bool{false, true} {
		c := newSplitter(t)
		c.store.limits.sizesLowered = nextInEffect
		document := schema.JobShard{Jobs: []schema.Job{{ID: "j1-5", Class: string(class), Tasks: 1}, {ID: "j2-5", Tasks: 1}}}
		c.replica.apply(schema.JobShardKey(5), encode(document), 10, false)
		if size := c.replica.jobShards.find(5).size; size <= maxValueBytes(2) || size > maxValueBytes(4) {
			t.Fatalf("the shard has %d bytes", size)
		}
		for id, want := range map[string]bool{"j1-5": true, "j2-5": !nextInEffect} {
			p := newPlan(c.planner, c.partitions.led[0])
			if got := p.canRemoveJob(c.replica.jobs[id]); got != want {
				t.Errorf("%s removable: %v, limits fallen: %v", id, got, nextInEffect)
			}
		}
	}
}

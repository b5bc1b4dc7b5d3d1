package controller

import (
	"fmt"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
)

// TestRegistrations raises the format only when every configured member is registered with it
// and no process with an earlier one is.
func TestRegistrations(t *testing.T) {
	const now, before = schema.FormatDependencies, schema.FormatInitial
	for name, tc := range map[string]struct {
		formats map[string]int // by member and incarnation
		want    bool
	}{
		"all new":                       {map[string]int{"a/1": now, "b/1": now, "c/1": now}, true},
		"one is missing":                {map[string]int{"a/1": now, "b/1": now}, false},
		"one is old":                    {map[string]int{"a/1": now, "b/1": before, "c/1": now}, false},
		"an old self is registered yet": {map[string]int{"a/1": now, "b/1": before, "b/2": now, "c/1": now}, false},
		"one is registered twice":       {map[string]int{"a/1": now, "a/2": now, "b/1": now}, false},
		"a stranger is old":             {map[string]int{"a/1": now, "b/1": now, "c/1": now, "d/1": before}, false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := &config.Config{Member: "a", Peers: []config.Peer{{Member: "b"}, {Member: "c"}}}
			cfg.Settings.Size, cfg.Settings.KVStore.ValueKB, cfg.Settings.KVStore.TxnOps = 3, 4, 12
			c := quietController(cfg)
			revision := uint64(10)
			for process, format := range tc.formats {
				revision++
				c.replica.apply(schema.RegistrationPrefix+process, encode(schema.Registration{Incarnation: "x", Format: format}), revision, false)
			}
			conditions, ok := c.gate.memberRegistrations()
			if ok != tc.want || ok && len(conditions) != len(tc.formats) {
				t.Errorf("%v, %v", ok, conditions)
			}
			for _, condition := range conditions {
				if condition.ModRevision == 0 {
					t.Errorf("the condition on %s is that it is absent", condition.Key)
				}
			}
		})
	}
}

// TestMoved shows a split to a copy in every order in which its documents may come: the
// machines, what is known of them and the jobs stay, in one document each.
func TestMoved(t *testing.T) {
	for _, parentFirst := range []bool{true, false} {
		cfg := &config.Config{Member: "a"}
		cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
		c := quietController(cfg)
		of := len(c.replica.machineShards)
		whole := schema.MachineShard{}
		shelf := schema.JobShard{}
		for i := range 6 {
			whole.Machines = append(whole.Machines, schema.Machine{Name: fmt.Sprintf("n-%06d", 3+i*of), Addr: "x", Tasks: schema.Tasks{{Job: "j-000001", Index: i, Attempt: 7}}})
			shelf.Jobs = append(shelf.Jobs, schema.Job{ID: fmt.Sprintf("j-%06d", 5+i*len(c.replica.jobShards)), Tasks: 1})
		}
		c.replica.apply(schema.MachineShardKey(3), encode(whole), 10, false)
		c.replica.apply(schema.JobShardKey(5), encode(shelf), 11, false)
		known := map[string]*machine{}
		for name, m := range c.replica.machines {
			known[name] = m
		}
		var docs []splitDocument
		shard := newStagedShard(c.planner, c.replica.machineShards[3], false, "")
		for _, m := range c.replica.machineShards[3].machines {
			shard.machines = append(shard.machines, &stagedMachine{machine: m, shard: shard, kept: m.doc.Tasks})
		}
		docs = append(docs, shard.split(3)...)
		docs = append(docs, c.jobShardSplits.split(c.replica.jobShards[5], 2, "mark")...)
		for i := range docs {
			d := docs[i]
			if !parentFirst {
				d = docs[len(docs)-1-i]
			}
			c.replica.apply(d.key, d.value, 20, false)
		}
		if len(c.replica.machines) != 6 || len(c.replica.jobs["j-000001"].bindings) != 6 {
			t.Fatalf("%d machines, %d tasks bound", len(c.replica.machines), len(c.replica.jobs["j-000001"].bindings))
		}
		for name, m := range c.replica.machines {
			if m != known[name] || c.replica.machineShardOf(name) != m.shard || m.shard.spread != 3*of {
				t.Errorf("%s is in group %d of %d, or made anew", name, m.shard.number, m.shard.spread)
			}
		}
		total := 0
		for _, g := range c.replica.machineShards {
			total += len(g.machines)
		}
		if total != 6 {
			t.Errorf("groups have %d members", total)
		}
		for _, j := range shelf.Jobs {
			if got := c.replica.jobs[j.ID]; got == nil || !got.accepted {
				t.Errorf("%s is lost", j.ID)
			}
		}
	}
}

// TestMovedTwice shows a copy two splits of one job shard at once, in every order in which an
// answer of the state service may tell of their documents. A job that went from the first
// document to a piece, and from there to a piece of that, was taken for one that is over when
// the last two came before the first: its absence was read as its end.
func TestMovedTwice(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			cfg := &config.Config{Member: "a"}
			cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
			c := quietController(cfg)
			of := len(c.replica.jobShards)
			job := func(n int) schema.Job { return schema.Job{ID: fmt.Sprintf("j-%06d", n), Tasks: 1} }
			stays, moves, movesTwice := job(5), job(5+of), job(5+3*of)
			c.replica.apply(schema.JobShardKey(5), encode(schema.JobShard{Jobs: []schema.Job{stays, moves, movesTwice}}), 10, false)
			docs := []struct {
				key   string
				doc   schema.JobShard
				stamp uint64
			}{
				{schema.JobShardKey(5), schema.JobShard{ShardCount: 2 * of, Jobs: []schema.Job{stays}}, 20},
				{schema.JobShardKey(5 + of), schema.JobShard{ShardCount: 4 * of, Jobs: []schema.Job{moves}}, 30},
				{schema.JobShardKey(5 + 3*of), schema.JobShard{ShardCount: 4 * of, Jobs: []schema.Job{movesTwice}}, 30},
			}
			for _, i := range order {
				c.replica.apply(docs[i].key, encode(docs[i].doc), docs[i].stamp, false)
			}
			for _, want := range []schema.Job{stays, moves, movesTwice} {
				if j := c.replica.jobs[want.ID]; j == nil || !j.accepted || j.dependency == nil {
					t.Errorf("%s is lost", want.ID)
				}
			}
		})
	}
}

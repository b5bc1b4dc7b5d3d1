package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// controllerWithForeignJob returns a controller that commands n-000001, with its store and a function that
// runs one step. Another controller leads the partition of j-000001, a job that is accepted and has no
// entry yet.
func controllerWithForeignJob(t *testing.T) (*Controller, *fakeStore, func(extra ...Message) []Effect) {
	t.Helper()
	cfg := &config.Config{Member: "a", Peers: []config.Peer{{Member: "b"}}}
	s := &cfg.Settings
	s.Size, s.Teams = 2, []config.Team{{Name: "red"}, {Name: "blue"}}
	s.KVStore.KVLimits = config.KVLimits{RPS: 350, WriteRPS: 35, ValueKB: 4, TxnOps: 12}
	s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
	c := newTestController(cfg)
	o := &fakeStore{keys: map[string]kv.KeyValue{}, requestCounts: map[kv.RequestKind]int{}}
	layout := c.replica.layout
	layout.Format = schema.FormatDependencies
	o.put(schema.LayoutKey, layout)
	o.put(schema.RegistrationKey("b", "1"), schema.Registration{Incarnation: "1", Format: schema.FormatDependencies})
	o.put(schema.PartitionKey(1), schema.Partition{Term: 1, Member: "b", Incarnation: "1"})
	job := schema.Job{ID: "j-000001", Team: "blue", Tasks: 1, CPUs: 1, MemGB: 1}
	o.put(schema.JobShardKey(schema.ShardIndex(job.ID, layout.JobShards)), schema.JobShard{Jobs: []schema.Job{job}})
	o.put(shardOfMachine(layout), machineWith())
	now := units.Second
	var msgs []Message
	step := func(extra ...Message) []Effect {
		now += 25 * units.Millisecond
		effects := c.Step(now, now+units.Micros(1e15), append(msgs, extra...))
		msgs = nil
		for _, e := range effects {
			msgs = append(msgs, o.answer(e)...)
		}
		return effects
	}
	for range 200 {
		step()
	}
	if m := c.replica.machines["n-000001"]; m == nil || m.agent == nil || !c.facts.quiesced(m) {
		t.Fatal("n-000001 is not commanded, or a command may still arrive there")
	}
	return c, o, step
}

func shardOfMachine(layout schema.Layout) string {
	return schema.MachineShardKey(schema.ShardIndex("n-000001", layout.MachineShards))
}

// machineWith returns the machine shard document with n-000001 and the given tasks.
func machineWith(tasks ...schema.Task) schema.MachineShard {
	m := schema.Machine{Name: "n-000001", Addr: "n-000001", MachineKind: schema.MachineKind{Type: "big", Zone: "a"}, Tasks: tasks}
	return schema.MachineShard{Machines: []schema.Machine{m}}
}

// countStarts counts the start commands among effects.
func countStarts(effects []Effect) int {
	n := 0
	for _, e := range effects {
		var commands []agent.Command
		switch e := e.(type) {
		case AgentCall:
			if e.Commands != nil {
				commands = e.Commands.Commands
			}
		case Reply:
			if a, ok := e.Body.(agent.HeartbeatResponse); ok {
				commands = a.Commands
			}
		case StoreCall, CloudCall, BroadcastHeartbeat: // carry no commands
		}
		for _, command := range commands {
			if command.Action == agent.Start {
				n++
			}
		}
	}
	return n
}

// watchEvents returns the answer to the open watch, with some events.
func (o *fakeStore) watchEvents(events ...kv.Event) Message {
	watch := o.openWatches[len(o.openWatches)-1]
	o.openWatches = o.openWatches[:len(o.openWatches)-1]
	for _, e := range events {
		o.revision = max(o.revision, e.ModRevision)
		if e.Set != "" {
			o.keys[e.Set] = kv.KeyValue{Key: e.Set, Value: e.Value, ModRevision: e.ModRevision}
		}
	}
	return StoreResult{CallID: watch.CallID, Response: kv.Response{Status: kv.StatusOK, Revision: o.revision, Events: events}}
}

// TestNoStartOfWhatTheSameAnswerCancels shows a controller, in one answer of the store, that a task was
// entered on its machine and that the task's job is cancelled. A start would be sent if the controller sent
// commands after reading only the first of the two events.
func TestNoStartOfWhatTheSameAnswerCancels(t *testing.T) {
	for name, cancelled := range map[string]bool{"accepted": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			c, o, step := controllerWithForeignJob(t)
			entry := schema.Task{Job: "j-000001", Index: 0, Attempt: 1<<28 | 1}
			events := []kv.Event{{Set: shardOfMachine(c.replica.layout), Value: encode(machineWith(entry)), ModRevision: o.revision + 1}}
			if cancelled {
				events = append(events,
					kv.Event{Set: schema.CancellationPrefix + entry.Job, Value: encode(map[string]string{"w": "x"}), ModRevision: o.revision + 2},
					kv.Event{Set: schema.OutcomePrefix + entry.Job, Value: encode(schema.Outcome{State: StageCancelled}), ModRevision: o.revision + 2})
			}
			got := countStarts(step(o.watchEvents(events...)))
			for range 40 {
				got += countStarts(step())
			}
			if cancelled && got > 0 || !cancelled && got == 0 {
				t.Errorf("%d starts commanded", got)
			}
		})
	}
}

package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// foreignJob is a controller that commands n-000001, beside another that owns the partition of
// j-000001, which is accepted and nowhere yet.
func foreignJob(t *testing.T) (*Core, *outside, func(extra ...Msg) []Effect) {
	t.Helper()
	cfg := &config.Config{Member: "a", Others: []config.Peer{{Member: "b"}}}
	s := &cfg.Settings
	s.Size, s.Teams = 2, []config.Team{{Name: "red"}, {Name: "blue"}}
	s.State.StateLimits = config.StateLimits{RPS: 350, WriteRPS: 35, ValueKB: 4, TxnOps: 12}
	s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
	c := quietCore(cfg)
	o := &outside{keys: map[string]kv.Item{}, asked: map[kv.Kind]int{}}
	layout := c.replica.layout
	layout.Format = schema.FormatChains
	o.put(schema.LayoutOf, layout)
	o.put(schema.NodeKey("b", "1"), schema.Registration{Incarnation: "1", Format: schema.FormatChains})
	o.put(schema.PartKey(1), schema.Part{Epoch: 1, Member: "b", Inc: "1"})
	job := schema.Job{ID: "j-000001", Team: "blue", Tasks: 1, CPUs: 1, MemGB: 1}
	o.put(schema.JobShardKey(schema.JobShardOf(job.ID, layout.Shelves)), schema.JobShard{Jobs: []schema.Job{job}})
	o.put(shardOfMachine(layout), machineWith())
	now := units.Second
	var msgs []Msg
	step := func(extra ...Msg) []Effect {
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
	if m := c.replica.machines["n-000001"]; m == nil || m.rt == nil || !c.settled(m) {
		t.Fatal("the machine is not commanded")
	}
	return c, o, step
}

func shardOfMachine(layout schema.Layout) string {
	return schema.MachineShardKey(schema.MachineShardOf("n-000001", layout.Groups))
}

// machineWith is the document of n-000001 with some tasks.
func machineWith(tasks ...schema.Task) schema.MachineShard {
	m := schema.Machine{Name: "n-000001", Addr: "n-000001", MachineKind: schema.MachineKind{Type: "big", Zone: "a"}, Tasks: tasks}
	return schema.MachineShard{Machines: []schema.Machine{m}}
}

// launches counts the starts that are ordered by effects.
func launches(effects []Effect) int {
	n := 0
	for _, e := range effects {
		var orders []agent.Order
		switch e := e.(type) {
		case WorkerCall:
			if e.Cmd != nil {
				orders = e.Cmd.Orders
			}
		case Reply:
			if a, ok := e.Body.(agent.Answer); ok {
				orders = a.Orders
			}
		}
		for _, order := range orders {
			if order.Op == agent.Launch {
				n++
			}
		}
	}
	return n
}

// news is the answer to the open watch.
func (o *outside) news(events ...kv.Event) Msg {
	watch := o.waits[len(o.waits)-1]
	o.waits = o.waits[:len(o.waits)-1]
	for _, e := range events {
		o.rev = max(o.rev, e.Stamp)
		if e.Set != "" {
			o.keys[e.Set] = kv.Item{Key: e.Set, Value: e.Value, Stamp: e.Stamp}
		}
	}
	return StateDone{ID: watch.ID, Resp: kv.Response{Status: 200, Rev: o.rev, News: events}}
}

// TestNoStartOfWhatTheSameAnswerCancels tells a commander in one answer that a task was entered
// on its machine and that its job is cancelled. The command went out when the first of the two
// had been read.
func TestNoStartOfWhatTheSameAnswerCancels(t *testing.T) {
	for name, cancelled := range map[string]bool{"accepted": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			c, o, step := foreignJob(t)
			entry := schema.Task{Job: "j-000001", Num: 0, Attempt: 1<<28 | 1}
			events := []kv.Event{{Set: shardOfMachine(c.replica.layout), Value: encode(machineWith(entry)), Stamp: o.rev + 1}}
			if cancelled {
				events = append(events,
					kv.Event{Set: schema.Cancels + entry.Job, Value: encode(map[string]string{"w": "x"}), Stamp: o.rev + 2},
					kv.Event{Set: schema.Finals + entry.Job, Value: encode(schema.Final{Stage: Cancelled}), Stamp: o.rev + 2})
			}
			got := launches(step(o.news(events...)))
			for range 40 {
				got += launches(step())
			}
			if cancelled && got > 0 || !cancelled && got == 0 {
				t.Errorf("%d starts are ordered", got)
			}
		})
	}
}

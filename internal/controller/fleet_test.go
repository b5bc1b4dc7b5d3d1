package controller

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fakeStore answers what a core asks, at once and without a fault, and counts it.
type fakeStore struct {
	keys    map[string]kv.KeyValue
	rev     uint64
	waits   []StoreCall // open watches
	seq     uint64
	asked   map[kv.RequestKind]int
	workers int

	guarded bool // conditions of transactions are checked

	most, mostOps int      // longest value and most changes of a transaction; 0: any
	refused       []string // what was larger
	changes       int
}

// tooLarge notes a transaction that the state service would not take.
func (o *fakeStore) tooLarge(txn *kv.Txn) {
	if o.mostOps == 0 {
		return
	}
	if len(txn.Operations) > o.mostOps || len(txn.Conditions) > 4*o.mostOps {
		o.refused = append(o.refused, fmt.Sprintf("%d changes, %d conditions", len(txn.Operations), len(txn.Conditions)))
	}
	for _, op := range txn.Operations {
		if len(op.Value) > o.most {
			o.refused = append(o.refused, fmt.Sprintf("%s: %d bytes", op.Set, len(op.Value)))
		}
	}
}

// failedGuards lists the conditions of a transaction that do not hold.
func (o *fakeStore) failedGuards(txn *kv.Txn) []string {
	var failed []string
	for _, g := range txn.Conditions {
		if o.guarded && o.keys[g.Key].ModRevision != g.ModRevision {
			failed = append(failed, g.Key)
		}
	}
	return failed
}

// quietController is a controller with the default policy that logs nothing.
func quietController(cfg *config.Config) *Controller {
	return New(cfg, policy.Default(), slog.New(slog.NewTextHandler(io.Discard, nil)), "test")
}

// stepper drives a controller whose effects are answered from outside: each call is one
// step, 25 ms after the one before.
func (o *fakeStore) stepper(c *Controller) func() {
	now := units.Second
	var msgs []Message
	return func() {
		now += 25 * units.Millisecond
		var next []Message
		for _, e := range c.Step(now, now+units.Micros(1e15), msgs) {
			next = append(next, o.answer(e)...)
		}
		msgs = next
	}
}

// pageBytes is how much one answer of the state service may hold.
const pageBytes = 512 << 10

func (o *fakeStore) put(key string, doc any) {
	o.rev++
	o.keys[key] = kv.KeyValue{Key: key, Value: encode(doc), ModRevision: o.rev}
}

func (o *fakeStore) list(q kv.Request) kv.Response {
	r := kv.Response{Status: kv.StatusOK, Revision: o.rev}
	var names []string
	for k := range o.keys {
		if strings.HasPrefix(k, q.Key) && k > q.After {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	size := 0
	for _, k := range names {
		size += len(o.keys[k].Value) + len(k) + 40
		if size > pageBytes || len(r.Items) == 1000 {
			r.Truncated = true
			break
		}
		r.Items = append(r.Items, o.keys[k])
	}
	return r
}

// answer gives the messages that an effect brings back.
func (o *fakeStore) answer(e Effect) []Message {
	switch e := e.(type) {
	case StoreCall:
		o.asked[e.Request.Kind]++
		r := kv.Response{Status: kv.StatusOK, Revision: o.rev}
		switch e.Request.Kind {
		case kv.Get:
			it, ok := o.keys[e.Request.Key]
			r.Status, r.Key, r.Value, r.ModRevision = kv.StatusOK, it.Key, it.Value, it.ModRevision
			if !ok {
				r.Status = kv.StatusNotFound
			}
		case kv.List:
			r = o.list(e.Request)
		case kv.GrantLease:
			r.LeaseID = 1
		case kv.Watch:
			if e.Request.Revision >= o.rev {
				o.waits = append(o.waits, e)
				return nil
			}
		case kv.Transact:
			o.tooLarge(e.Request.Txn)
			if failed := o.failedGuards(e.Request.Txn); len(failed) > 0 {
				return []Message{StoreResult{CallID: e.CallID, Response: kv.Response{Status: kv.StatusConflict, Revision: o.rev, FailedKeys: failed}}}
			}
			o.changes += len(e.Request.Txn.Operations)
			o.rev++
			r.Revision = o.rev
			for _, op := range e.Request.Txn.Operations {
				if op.Set != "" {
					o.keys[op.Set] = kv.KeyValue{Key: op.Set, Value: op.Value, ModRevision: o.rev}
				} else {
					delete(o.keys, op.Delete)
				}
			}
			out := []Message{StoreResult{CallID: e.CallID, Response: r}}
			for _, w := range o.waits { // the core has applied its own commit already
				out = append(out, StoreResult{CallID: w.CallID, Response: kv.Response{Status: kv.StatusOK, Revision: o.rev}})
			}
			o.waits = nil
			return out
		}
		return []Message{StoreResult{CallID: e.CallID, Response: r}}
	case CloudCall:
		d := CloudResult{CallID: e.CallID, Status: cloud.StatusRefused}
		if e.Op == CloudCatalog {
			d.Status = cloud.StatusOK
			d.Catalog.Types = []cloud.MachineType{{Name: "big", CPUs: 32, MemGB: 256, FetchGBPerSecond: 1, HourlyPrice: 1, BootSeconds: 30, Zones: []string{"a"}}}
		}
		return []Message{d}
	case AgentCall:
		o.workers++
		o.seq++
		r := &agent.Heartbeat{Machine: e.Address, Addr: e.Address, Type: "big", Zone: "a", Epoch: 1, Sequence: o.seq}
		if e.Commands != nil {
			r.FencingToken = e.Commands.FencingToken
		}
		return []Message{AgentResult{CallID: e.CallID, Heartbeat: r}}
	case Reply, BroadcastHeartbeat: // bring nothing back
	}
	return nil
}

// TestFleetWork starts a controller on a fleet half as large again as the largest
// that is known, and bounds what that costs in counted work: bytes of documents,
// requests until it commands, questions to workers, and how much of what it knows is
// looked at again after one report.
func TestFleetWork(t *testing.T) {
	for _, tc := range []struct {
		valueKB               float64
		ops                   int
		machines, tasks, jobs int // tasks on each machine
	}{
		{4, 12, 2031, 10, 1700},
		{16, 32, 2736, 5, 1200},
	} {
		t.Run(fmt.Sprint(tc.valueKB), func(t *testing.T) {
			cfg := &config.Config{Member: "a"}
			s := &cfg.Settings
			s.Size, s.Teams = 1, []config.Team{{Name: "red"}}
			s.KVStore.ValueKB, s.KVStore.TxnOps, s.KVStore.RPS, s.KVStore.WriteRPS = tc.valueKB, tc.ops, 350, 35
			s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
			s.Cloud.RPS, s.Cloud.ListLagS = 10, 8
			c := quietController(cfg)
			o := &fakeStore{keys: map[string]kv.KeyValue{}, asked: map[kv.RequestKind]int{}}
			fill(o, c, tc.machines, tc.tasks, tc.jobs, 400)

			bytes := 0
			for k, it := range o.keys {
				bytes += len(it.Value)
				if len(it.Value) > c.maxValueBytes()*9/10 {
					t.Errorf("%s: %d bytes of %d", k, len(it.Value), c.maxValueBytes())
				}
			}
			step := o.stepper(c)
			for range 400 { // until it owns the partition
				step()
				if c.leads(0) {
					break
				}
			}
			if !c.leads(0) || len(c.replica.machines) != tc.machines {
				t.Fatalf("owns %v, knows %d machines", c.partitions.ledPartitions(), len(c.replica.machines))
			}
			if most := bytes/pageBytes + 1; o.asked[kv.List] > most {
				t.Errorf("%d pages of %d KB", o.asked[kv.List], bytes>>10)
			}
			asked := 0
			for _, n := range o.asked {
				asked += n
			}
			if asked > o.asked[kv.List]+10 {
				t.Errorf("%d requests before it commands: %v", asked, o.asked)
			}
			for range 80 { // two seconds: every machine is asked, and told the new token
				step()
			}
			if o.workers < tc.machines || o.workers > tc.machines*5/2 {
				t.Errorf("%d calls of workers for %d machines", o.workers, tc.machines)
			}
			kept := func() (n int) {
				for _, m := range c.replica.machines {
					if m.occupancies[1].validUntil > c.now {
						n++
					}
				}
				return n
			}
			before := kept()
			if before < tc.machines*9/10 {
				t.Errorf("views of %d machines are kept", before)
			}
			m := c.replica.sortedMachines()[7]
			o.seq++
			c.handle(HeartbeatRequest{Heartbeat: agent.Heartbeat{Machine: m.name, Addr: m.name, Type: "big", Zone: "a", Epoch: 1, Sequence: o.seq, FencingToken: c.replica.fencingToken(m)}})
			if after := kept(); after < before-1 {
				t.Errorf("one report dropped the views of %d machines", before-after)
			}
		})
	}
}

// longRanges is the progress of a job with many gaps.
var longRanges = func() string {
	var ranges []string
	for n := range 40 {
		ranges = append(ranges, fmt.Sprint(n*2+500))
	}
	return strings.Join(ranges, ",")
}()

// TestFleetSplits raises the format over the documents of 4,000 machines that are several times
// as long as the announced limits allow, so that they are split in more than one step. It bounds
// the changes that this takes, and nothing may be written that is too long or lost on the way.
func TestFleetSplits(t *testing.T) {
	const machines, jobs = 4000, 2500
	cfg := &config.Config{Member: "a"}
	s := &cfg.Settings
	s.Size, s.Teams = 1, []config.Team{{Name: "red"}}
	s.KVStore.KVLimits = config.KVLimits{RPS: 3500, WriteRPS: 400, ValueKB: 16, TxnOps: 32}
	valueKB, ops := 2.0, 4
	s.KVStore.Next = &config.KVLimitsOverride{ValueKB: &valueKB, TxnOps: &ops}
	s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
	s.Cloud.RPS, s.Cloud.ListLagS = 10, 8
	c := quietController(cfg)
	o := &fakeStore{keys: map[string]kv.KeyValue{}, asked: map[kv.RequestKind]int{}}
	layout := schema.Layout{MachineShards: 48, JobShards: 24}
	o.put(schema.LayoutKey, layout)
	c.replica.useLayout(layout)
	fill(o, c, machines, 8, jobs, 1) // no task waits
	pack := schema.ProgressSegment{Jobs: map[string]schema.JobProgress{}}
	for j := range 40 {
		pack.Jobs[fmt.Sprintf("j-%06d", j*577)] = schema.JobProgress{DoneRanges: longRanges, AverageSeconds: 7, Samples: 40}
	}
	o.put(schema.ProgressKey(0, 0), pack)
	o.most, o.mostOps = int(s.KVStore.ValueKB*1024), s.KVStore.TxnOps
	step := o.stepper(c)
	long := func() (n int) {
		for key, it := range o.keys {
			if strings.HasPrefix(key, schema.ActivePrefix) && len(it.Value) > int(valueKB*1024) {
				n++
			}
		}
		return n
	}
	if long() < 72 {
		t.Fatalf("%d documents are too long to begin with", long())
	}
	steps := 0
	for ; steps < 4000 && (steps < 100 || long() > 0); steps++ {
		step()
	}
	if n := long(); n > 0 {
		t.Fatalf("%d documents are still too long", n)
	}
	if len(c.replica.machines) != machines || len(c.replica.sortedJobs()) != jobs {
		t.Errorf("%d machines, %d jobs", len(c.replica.machines), len(c.replica.sortedJobs()))
	}
	if len(o.refused) > 0 {
		t.Errorf("%d transactions were too large: %v", len(o.refused), o.refused[0])
	}
	t.Logf("%d changes, %.1f s", o.changes, float64(steps)/40)
	if o.changes > 2500 {
		t.Errorf("%d changes", o.changes)
	}
	for id := range pack.Jobs {
		if j := c.replica.jobs[id]; j == nil || j.done.String() != longRanges || j.progressSegment == nil || j.storedAverageCount != 40 {
			t.Fatalf("the progress of %s is lost", id)
		}
	}
	for _, m := range c.replica.machines {
		if c.replica.machineShardOf(m.name) != m.shard || !slices.Contains(m.shard.machines, m) {
			t.Fatalf("%s is in group %d", m.name, m.shard.number)
		}
	}
}

// fill stores a fleet in use: tasks spread as they are after a while, neighbours
// seldom together.
func fill(o *fakeStore, c *Controller, machines, tasks, jobs, tasksOfJob int) {
	rng := rand.New(rand.NewPCG(5, 6))
	groups := make([]schema.MachineShard, len(c.replica.machineShards))
	for i := range machines {
		name := fmt.Sprintf("n-%06d", i)
		m := schema.Machine{Name: name, Addr: name, MachineKind: schema.MachineKind{Type: "big", Zone: "a", Spot: i%4 == 0}}
		for range tasks {
			j := rng.IntN(jobs)
			m.Tasks = append(m.Tasks, schema.Task{Job: fmt.Sprintf("j-%06d", j*577), Index: rng.IntN(400), Attempt: 3<<28 | uint64(rng.IntN(9000))})
		}
		g := c.replica.machineShardOf(name)
		groups[g.number].Machines = append(groups[g.number].Machines, m)
	}
	for n, g := range groups {
		o.put(schema.MachineShardKey(n), g)
	}
	shelves := make([]schema.JobShard, len(c.replica.jobShards))
	for j := range jobs {
		id := fmt.Sprintf("j-%06d", j*577)
		n := schema.JobShardIndex(id, len(shelves))
		shelves[n].Jobs = append(shelves[n].Jobs, schema.Job{ID: id, Class: "some-class", Team: "red", Tasks: tasksOfJob, CPUs: 2, MemGB: 7.4, Spot: true,
			Image: fmt.Sprintf("img-%02d", rng.IntN(18)), ImageGB: float64(rng.IntN(300)) / 100, EstimatedSeconds: float64(rng.IntN(90000)) / 1000, AcceptedAt: 1e15 + rng.Int64N(5e8)})
	}
	for n, s := range shelves {
		o.put(schema.JobShardKey(n), s)
	}
}

// TestFleetWorkMeasures shows that the bounds on documents are real: plain ones of
// the same fleet would not fit.
func TestFleetWorkMeasures(t *testing.T) {
	var m []schema.Machine
	for i := range 21 {
		m = append(m, schema.Machine{Name: fmt.Sprintf("n-%06d", i), Addr: "10.1.2.3:9000"})
		for k := range 10 {
			m[i].Tasks = append(m[i].Tasks, schema.Task{Job: fmt.Sprintf("j-%06d", i*k*31), Index: k * 7, Attempt: 3<<28 | uint64(i*k)})
		}
	}
	raw, err := json.Marshal(schema.MachineShard{Machines: m})
	if err != nil {
		t.Fatal(err)
	}
	if plain := schema.PlainJSON(raw); len(plain) < 4096 || len(raw) > 3600 {
		t.Errorf("%d bytes, plain %d", len(raw), len(plain))
	}
}

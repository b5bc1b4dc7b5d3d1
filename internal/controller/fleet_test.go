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

// outside answers what a core asks, at once and without a fault, and counts it.
type outside struct {
	keys    map[string]kv.Item
	rev     uint64
	waits   []StateCall // open watches
	seq     uint64
	asked   map[kv.Kind]int
	workers int

	guarded bool // conditions of transactions are checked

	most, mostOps int      // longest value and most changes of a transaction; 0: any
	refused       []string // what was larger
	changes       int
}

// tooLarge notes a transaction that the state service would not take.
func (o *outside) tooLarge(txn *kv.Txn) {
	if o.mostOps == 0 {
		return
	}
	if len(txn.Apply) > o.mostOps || len(txn.Guards) > 4*o.mostOps {
		o.refused = append(o.refused, fmt.Sprintf("%d changes, %d conditions", len(txn.Apply), len(txn.Guards)))
	}
	for _, op := range txn.Apply {
		if len(op.Value) > o.most {
			o.refused = append(o.refused, fmt.Sprintf("%s: %d bytes", op.Set, len(op.Value)))
		}
	}
}

// failedGuards lists the conditions of a transaction that do not hold.
func (o *outside) failedGuards(txn *kv.Txn) []string {
	var failed []string
	for _, g := range txn.Guards {
		if o.guarded && o.keys[g.Key].Stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	return failed
}

// quietCore is a controller with the default policy that logs nothing.
func quietCore(cfg *config.Config) *Core {
	return New(cfg, policy.Default(), slog.New(slog.NewTextHandler(io.Discard, nil)), "test")
}

// stepper drives a controller whose effects are answered from outside: each call is one
// step, 25 ms after the one before.
func (o *outside) stepper(c *Core) func() {
	now := units.Second
	var msgs []Msg
	return func() {
		now += 25 * units.Millisecond
		var next []Msg
		for _, e := range c.Step(now, now+units.Micros(1e15), msgs) {
			next = append(next, o.answer(e)...)
		}
		msgs = next
	}
}

// pageBytes is how much one answer of the state service may hold.
const pageBytes = 512 << 10

func (o *outside) put(key string, doc any) {
	o.rev++
	o.keys[key] = kv.Item{Key: key, Value: encode(doc), Stamp: o.rev}
}

func (o *outside) list(q kv.Request) kv.Response {
	r := kv.Response{Status: 200, Rev: o.rev}
	var names []string
	for k := range o.keys {
		if strings.HasPrefix(k, q.Key) && k > q.Since {
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
func (o *outside) answer(e Effect) []Msg {
	switch e := e.(type) {
	case StateCall:
		o.asked[e.Req.Kind]++
		r := kv.Response{Status: 200, Rev: o.rev}
		switch e.Req.Kind {
		case kv.Get:
			it, ok := o.keys[e.Req.Key]
			r.Status, r.Key, r.Value, r.Stamp = 200, it.Key, it.Value, it.Stamp
			if !ok {
				r.Status = 404
			}
		case kv.List:
			r = o.list(e.Req)
		case kv.Grant:
			r.Permit = 1
		case kv.Watch:
			if e.Req.Rev >= o.rev {
				o.waits = append(o.waits, e)
				return nil
			}
		case kv.Commit:
			o.tooLarge(e.Req.Txn)
			if failed := o.failedGuards(e.Req.Txn); len(failed) > 0 {
				return []Msg{StateDone{ID: e.ID, Resp: kv.Response{Status: 409, Rev: o.rev, Failed: failed}}}
			}
			o.changes += len(e.Req.Txn.Apply)
			o.rev++
			r.Rev = o.rev
			for _, op := range e.Req.Txn.Apply {
				if op.Set != "" {
					o.keys[op.Set] = kv.Item{Key: op.Set, Value: op.Value, Stamp: o.rev}
				} else {
					delete(o.keys, op.Delete)
				}
			}
			out := []Msg{StateDone{ID: e.ID, Resp: r}}
			for _, w := range o.waits { // the core has applied its own commit already
				out = append(out, StateDone{ID: w.ID, Resp: kv.Response{Status: 200, Rev: o.rev}})
			}
			o.waits = nil
			return out
		}
		return []Msg{StateDone{ID: e.ID, Resp: r}}
	case CloudCall:
		d := CloudDone{ID: e.ID, Status: 503}
		if e.Op == CloudCatalog {
			d.Status = 200
			d.Catalog.Types = []cloud.Type{{Name: "big", CPUs: 32, MemGB: 256, FetchGBs: 1, Price: 1, BootS: 30, Zones: []string{"a"}}}
		}
		return []Msg{d}
	case WorkerCall:
		o.workers++
		o.seq++
		r := &agent.Report{Machine: e.Addr, Addr: e.Addr, Type: "big", Zone: "a", Session: 1, Seq: o.seq}
		if e.Cmd != nil {
			r.Token = e.Cmd.Token
		}
		return []Msg{WorkerDone{ID: e.ID, Status: 200, Report: r}}
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
			s.State.ValueKB, s.State.TxnOps, s.State.RPS, s.State.WriteRPS = tc.valueKB, tc.ops, 350, 35
			s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
			s.Cloud.RPS, s.Cloud.ListLagS = 10, 8
			c := quietCore(cfg)
			o := &outside{keys: map[string]kv.Item{}, asked: map[kv.Kind]int{}}
			fill(o, c, tc.machines, tc.tasks, tc.jobs, 400)

			bytes := 0
			for k, it := range o.keys {
				bytes += len(it.Value)
				if len(it.Value) > c.valueMax()*9/10 {
					t.Errorf("%s: %d bytes of %d", k, len(it.Value), c.valueMax())
				}
			}
			step := o.stepper(c)
			for range 400 { // until it owns the partition
				step()
				if c.usable(0) {
					break
				}
			}
			if !c.usable(0) || len(c.replica.machines) != tc.machines {
				t.Fatalf("owns %v, knows %d machines", c.ownedParts(), len(c.replica.machines))
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
					if m.views[1].until > c.now {
						n++
					}
				}
				return n
			}
			before := kept()
			if before < tc.machines*9/10 {
				t.Errorf("views of %d machines are kept", before)
			}
			m := c.sortedMachines()[7]
			o.seq++
			c.handle(ReportReq{Report: agent.Report{Machine: m.name, Addr: m.name, Type: "big", Zone: "a", Session: 1, Seq: o.seq, Token: c.token(m)}})
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
	s.State.StateLimits = config.StateLimits{RPS: 3500, WriteRPS: 400, ValueKB: 16, TxnOps: 32}
	valueKB, ops := 2.0, 4
	s.State.Next = &config.NextLimits{ValueKB: &valueKB, TxnOps: &ops}
	s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
	s.Cloud.RPS, s.Cloud.ListLagS = 10, 8
	c := quietCore(cfg)
	o := &outside{keys: map[string]kv.Item{}, asked: map[kv.Kind]int{}}
	layout := schema.Layout{Groups: 48, Shelves: 24}
	o.put(schema.LayoutOf, layout)
	c.replica.layOut(layout)
	fill(o, c, machines, 8, jobs, 1) // no task waits
	pack := schema.Pack{Jobs: map[string]schema.Done{}}
	for j := range 40 {
		pack.Jobs[fmt.Sprintf("j-%06d", j*577)] = schema.Done{Ranges: longRanges, AvgS: 7, Of: 40}
	}
	o.put(schema.ProgressKey(0, 0), pack)
	o.most, o.mostOps = int(s.State.ValueKB*1024), s.State.TxnOps
	step := o.stepper(c)
	long := func() (n int) {
		for key, it := range o.keys {
			if strings.HasPrefix(key, schema.Active) && len(it.Value) > int(valueKB*1024) {
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
	if len(c.replica.machines) != machines || len(c.sortedJobs()) != jobs {
		t.Errorf("%d machines, %d jobs", len(c.replica.machines), len(c.sortedJobs()))
	}
	if len(o.refused) > 0 {
		t.Errorf("%d transactions were too large: %v", len(o.refused), o.refused[0])
	}
	t.Logf("%d changes, %.1f s", o.changes, float64(steps)/40)
	if o.changes > 2500 {
		t.Errorf("%d changes", o.changes)
	}
	for id := range pack.Jobs {
		if j := c.replica.jobs[id]; j == nil || j.done.String() != longRanges || j.pack == nil || j.avgOf != 40 {
			t.Fatalf("the progress of %s is lost", id)
		}
	}
	for _, m := range c.replica.machines {
		if c.replica.machineShardOf(m.name) != m.g || !slices.Contains(m.g.members, m) {
			t.Fatalf("%s is in group %d", m.name, m.g.n)
		}
	}
}

// fill stores a fleet in use: tasks spread as they are after a while, neighbours
// seldom together.
func fill(o *outside, c *Core, machines, tasks, jobs, tasksOfJob int) {
	rng := rand.New(rand.NewPCG(5, 6))
	groups := make([]schema.MachineShard, len(c.replica.machineShards))
	for i := range machines {
		name := fmt.Sprintf("n-%06d", i)
		m := schema.Machine{Name: name, Addr: name, MachineKind: schema.MachineKind{Type: "big", Zone: "a", Spot: i%4 == 0}}
		for range tasks {
			j := rng.IntN(jobs)
			m.Tasks = append(m.Tasks, schema.Task{Job: fmt.Sprintf("j-%06d", j*577), Num: rng.IntN(400), Attempt: 3<<28 | uint64(rng.IntN(9000))})
		}
		g := c.replica.machineShardOf(name)
		groups[g.n].Machines = append(groups[g.n].Machines, m)
	}
	for n, g := range groups {
		o.put(schema.MachineShardKey(n), g)
	}
	shelves := make([]schema.JobShard, len(c.replica.jobShards))
	for j := range jobs {
		id := fmt.Sprintf("j-%06d", j*577)
		n := schema.JobShardOf(id, len(shelves))
		shelves[n].Jobs = append(shelves[n].Jobs, schema.Job{ID: id, Class: "some-class", Team: "red", Tasks: tasksOfJob, CPUs: 2, MemGB: 7.4, Spot: true,
			Image: fmt.Sprintf("img-%02d", rng.IntN(18)), ImageGB: float64(rng.IntN(300)) / 100, EstS: float64(rng.IntN(90000)) / 1000, At: 1e15 + rng.Int64N(5e8)})
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
			m[i].Tasks = append(m[i].Tasks, schema.Task{Job: fmt.Sprintf("j-%06d", i*k*31), Num: k * 7, Attempt: 3<<28 | uint64(i*k)})
		}
	}
	raw, err := json.Marshal(schema.MachineShard{Machines: m})
	if err != nil {
		t.Fatal(err)
	}
	if plain := schema.Plain(raw); len(plain) < 4096 || len(raw) > 3600 {
		t.Errorf("%d bytes, plain %d", len(raw), len(plain))
	}
}

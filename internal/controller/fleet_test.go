package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// TestFleetWork starts a controller on a fleet half as large again as the largest known one. It bounds
// the work that this takes, in counts: bytes of documents, requests until the controller leads its
// partition, probes of agents, and cached occupancies that one heartbeat invalidates.
func TestFleetWork(t *testing.T) {
	for _, tc := range []struct {
		valueKB               float64
		ops                   int
		machines, tasks, jobs int // tasks: number on each machine
	}{
		{4, 12, 2031, 10, 1700},
		{16, 32, 2736, 5, 1200},
	} {
		t.Run(fmt.Sprint(tc.valueKB), func(t *testing.T) {
			cfg := fleetConfig()
			cfg.Settings.KVStore.KVLimits = config.KVLimits{ValueKB: tc.valueKB, TxnOps: tc.ops, RPS: 350, WriteRPS: 35}
			f := &fleetWork{T: t, c: newTestController(cfg), machines: tc.machines}
			f.store = &fakeStore{keys: map[string]kv.KeyValue{}, requestCounts: map[kv.RequestKind]int{}}
			f.step = f.store.stepper(f.c)
			fillStore(f.store, f.c, tc.machines, tc.tasks, tc.jobs, 400)
			bytes := f.checkDocuments()
			f.checkLoad(bytes)
			f.checkAgents()
			f.checkOccupancies()
		})
	}
}

// fleetConfig returns a configuration with one controller and one team.
func fleetConfig() *config.Config {
	cfg := &config.Config{Member: "a"}
	s := &cfg.Settings
	s.Size, s.Teams = 1, []config.Team{{Name: "red"}}
	s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
	s.Cloud.RPS, s.Cloud.ListLagS = 10, 8
	return cfg
}

// fleetWork is a controller that starts on a fleet in use, with the store that holds the fleet.
type fleetWork struct {
	*testing.T
	c        *Controller
	store    *fakeStore
	step     func()
	machines int
}

// checkDocuments bounds the length of each document, and returns the sum of the lengths.
func (f *fleetWork) checkDocuments() int {
	bytes := 0
	for k, stored := range f.store.keys {
		bytes += len(stored.Value)
		if len(stored.Value) > f.c.store.limits.maxValueBytes()*9/10 {
			f.Errorf("%s: %d bytes, too close to the value limit of %d", k, len(stored.Value), f.c.store.limits.maxValueBytes())
		}
	}
	return bytes
}

// checkLoad bounds the requests until the controller leads its partition.
func (f *fleetWork) checkLoad(bytes int) {
	for range 400 {
		f.step()
		if f.c.authority.leads(0) {
			break
		}
	}
	if !f.c.authority.leads(0) || len(f.c.replica.machines) != f.machines {
		f.Fatalf("leads partitions %v, replica has %d machines", f.c.partitions.ledPartitions(), len(f.c.replica.machines))
	}
	if maxPages := bytes/pageBytes + 1; f.store.requestCounts[kv.List] > maxPages {
		f.Errorf("%d pages read for %d KB of documents", f.store.requestCounts[kv.List], bytes>>10)
	}
	requests := 0
	for _, n := range f.store.requestCounts {
		requests += n
	}
	if requests > f.store.requestCounts[kv.List]+10 {
		f.Errorf("%d requests until the controller leads its partition: %v", requests, f.store.requestCounts)
	}
}

// checkAgents bounds the agent calls in two seconds, in which every machine is probed and receives the
// new fencing token.
func (f *fleetWork) checkAgents() {
	for range 80 {
		f.step()
	}
	if f.store.agentCalls < f.machines || f.store.agentCalls > f.machines*5/2 {
		f.Errorf("%d agent calls for %d machines", f.store.agentCalls, f.machines)
	}
}

// checkOccupancies checks that one heartbeat leaves the cached occupancies of the other machines valid.
func (f *fleetWork) checkOccupancies() {
	before := f.occupanciesKept()
	if before < f.machines*9/10 {
		f.Errorf("occupancies of only %d machines are cached", before)
	}
	m := f.c.replica.sortedMachines()[7]
	f.store.heartbeatSequence++
	f.c.handle(HeartbeatRequest{Heartbeat: agent.Heartbeat{
		Machine: m.name, Addr: m.name, Type: "big", Zone: "a", Epoch: 1, Sequence: f.store.heartbeatSequence, FencingToken: f.c.replica.fencingToken(m),
	}})
	if after := f.occupanciesKept(); after < before-1 {
		f.Errorf("one heartbeat invalidated the occupancies of %d machines", before-after)
	}
}

func (f *fleetWork) occupanciesKept() int {
	kept := 0
	for _, m := range f.c.replica.machines {
		if m.occupancies[1].validUntil > f.c.now {
			kept++
		}
	}
	return kept
}

// longRanges is the stored progress of a job with many gaps.
var longRanges = func() string {
	var ranges []string
	for n := range 40 {
		ranges = append(ranges, strconv.Itoa(n*2+500))
	}
	return strings.Join(ranges, ",")
}()

// TestFleetSplits raises the store's format version when the documents of 4,000 machines are several
// times as long as the announced limits allow, so that they are split in more than one step. It bounds
// the changes that this takes; no document may be written that is too long, and nothing may be lost.
func TestFleetSplits(t *testing.T) {
	const machines, jobs = 4000, 2500
	valueKB, ops := 2.0, 4
	cfg := fleetConfig()
	cfg.Settings.KVStore.KVLimits = config.KVLimits{RPS: 3500, WriteRPS: 400, ValueKB: 16, TxnOps: 32}
	cfg.Settings.KVStore.Next = &config.KVLimitsOverride{ValueKB: &valueKB, TxnOps: &ops}
	c := newTestController(cfg)
	o := &fakeStore{keys: map[string]kv.KeyValue{}, requestCounts: map[kv.RequestKind]int{}}
	layout := schema.Layout{MachineShards: 48, JobShards: 24}
	o.put(schema.LayoutKey, layout)
	c.replica.useLayout(layout)
	fillStore(o, c, machines, 8, jobs, 1) // no task waits
	segment := schema.ProgressSegment{Jobs: map[string]schema.JobProgress{}}
	for j := range 40 {
		segment.Jobs[fmt.Sprintf("j-%06d", j*577)] = schema.JobProgress{DoneRanges: longRanges, AverageSeconds: 7, Samples: 40}
	}
	o.put(schema.ProgressKey(0, 0), segment)
	o.maxValueBytes, o.maxTxnOps = int(cfg.Settings.KVStore.ValueKB*1024), cfg.Settings.KVStore.TxnOps
	if n := o.longerThan(int(valueKB * 1024)); n < 72 {
		t.Fatalf("only %d documents are too long at the start", n)
	}
	step, steps := o.stepper(c), 0
	for ; steps < 4000 && (steps < 100 || o.longerThan(int(valueKB*1024)) > 0); steps++ {
		step()
	}
	if n := o.longerThan(int(valueKB * 1024)); n > 0 {
		t.Fatalf("%d documents are still too long after all steps", n)
	}
	if len(o.oversized) > 0 {
		t.Errorf("%d writes exceeded the store limits, first: %v", len(o.oversized), o.oversized[0])
	}
	t.Logf("%d changes, %.1f s", o.operationCount, float64(steps)/40)
	if o.operationCount > 2500 {
		t.Errorf("%d changes written, too many", o.operationCount)
	}
	if len(c.replica.machines) != machines || len(c.replica.sortedJobs()) != jobs {
		t.Errorf("replica has %d machines, %d jobs", len(c.replica.machines), len(c.replica.sortedJobs()))
	}
	checkNothingLost(t, c, segment)
}

// longerThan counts the documents that are longer than the given number of bytes.
func (o *fakeStore) longerThan(bytes int) int {
	count := 0
	for key, it := range o.keys {
		if strings.HasPrefix(key, schema.ActivePrefix) && len(it.Value) > bytes {
			count++
		}
	}
	return count
}

// checkNothingLost checks that the progress of a segment is still there and that each machine is in its
// shard.
func checkNothingLost(t *testing.T, c *Controller, segment schema.ProgressSegment) {
	t.Helper()
	for id := range segment.Jobs {
		if j := c.replica.jobs[id]; j == nil || j.done.String() != longRanges || len(j.progressSegments) != 1 || j.storedAverageCount != 40 {
			t.Fatalf("the progress of %s is lost", id)
		}
	}
	for _, m := range c.replica.machines {
		if c.replica.machineShardOf(m.name) != m.shard || !slices.Contains(m.shard.machines, m) {
			t.Fatalf("%s is in the wrong machine shard, %d", m.name, m.shard.number)
		}
	}
}

// fillStore stores a fleet in use: the tasks of each job are spread over the machines as after a while of
// operation, with consecutive tasks seldom on the same machine.
func fillStore(o *fakeStore, c *Controller, machines, tasks, jobs, tasksOfJob int) {
	rng := rand.New(rand.NewPCG(5, 6))
	machineShards := make([]schema.MachineShard, len(c.replica.machineShards.all()))
	for i := range machines {
		name := fmt.Sprintf("n-%06d", i)
		m := schema.Machine{Name: name, Addr: name, MachineKind: schema.MachineKind{Type: "big", Zone: "a", Spot: i%4 == 0}}
		for range tasks {
			j := rng.IntN(jobs)
			m.Tasks = append(m.Tasks, schema.Task{Job: fmt.Sprintf("j-%06d", j*577), Index: rng.IntN(400), Attempt: 3<<28 | uint64(rng.IntN(9000))})
		}
		shard := c.replica.machineShardOf(name)
		machineShards[shard.number].Machines = append(machineShards[shard.number].Machines, m)
	}
	for n, shard := range machineShards {
		o.put(schema.MachineShardKey(n), shard)
	}
	jobShards := make([]schema.JobShard, len(c.replica.jobShards.all()))
	for j := range jobs {
		id := fmt.Sprintf("j-%06d", j*577)
		n := schema.ShardIndex(id, len(jobShards))
		jobShards[n].Jobs = append(jobShards[n].Jobs, schema.Job{ID: id, Class: "some-class", Team: "red", Tasks: tasksOfJob, CPUs: 2, MemGB: 7.4, Spot: true,
			Image: fmt.Sprintf("img-%02d", rng.IntN(18)), ImageGB: float64(rng.IntN(300)) / 100, EstimatedSeconds: float64(rng.IntN(90000)) / 1000, AcceptedAt: 1e15 + rng.Int64N(5e8)})
	}
	for n, s := range jobShards {
		o.put(schema.JobShardKey(n), s)
	}
}

// TestFleetWorkMeasures checks that the bounds on documents are not met trivially: as plain JSON,
// documents of the same fleet would not fit.
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
		t.Errorf("%d bytes as stored, %d as plain JSON", len(raw), len(plain))
	}
}

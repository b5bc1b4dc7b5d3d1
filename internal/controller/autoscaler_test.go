package controller

import (
	"io"
	"log/slog"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fakeCluster fakes the autoscaler's dependencies other than the replica, the cloud client, the catalog
// and the decommissioner.
type fakeCluster struct {
	led            map[int]bool
	unmet          []unmetDemand
	suspectedZones map[string]bool
	heardHere      map[string]bool
	heardByPeers   map[string]bool
	silence        bool
	firstRented    []string // documents written for the first rented machine
}

func (f *fakeCluster) leads(partition int) bool   { return f.led[partition] }
func (f *fakeCluster) leadsAny() bool             { return len(f.led) > 0 }
func (f *fakeCluster) currentIncarnation() string { return "process" }

func (f *fakeCluster) unmetDemands(bool) []unmetDemand { return f.unmet }
func (f *fakeCluster) starvingJobs() []*job            { return nil }
func (f *fakeCluster) usedCPUs() float64               { return 0 }
func (f *fakeCluster) unplacedCPUs() float64           { return 0 }
func (f *fakeCluster) changesPlentiful() bool          { return true }

func (f *fakeCluster) acceptsTasks(m *machine) bool                         { return m.agent != nil && !m.agent.draining }
func (f *fakeCluster) foreignMachineAcceptsTasks(*machine) ([]string, bool) { return nil, true }
func (f *fakeCluster) hasCapacityForAny(*machine, *resources, []*job) bool  { return false }

func (f *fakeCluster) freeCapacity(m *machine, t *cloud.MachineType) *resources {
	return &resources{t.CPUs - float64(len(m.doc.Tasks)), t.GPUs, t.MemGB} // each task takes one CPU
}

func (f *fakeCluster) silenceSuspectedWithin(units.Micros) bool           { return f.silence }
func (f *fakeCluster) suspects(zone string) bool                          { return f.suspectedZones[zone] }
func (f *fakeCluster) heardWithin(name string, _ units.Micros) bool       { return f.heardHere[name] }
func (f *fakeCluster) anyHeardWithin(name string, _ units.Micros) bool    { return f.heardByPeers[name] }
func (f *fakeCluster) newWriteTag() string                                { return "tag" }
func (f *fakeCluster) commit(txn *kv.Txn, _ string, _ commitContinuation) { f.recordFirstRented(txn) }

// commitContinuation receives the outcome of a commit.
type commitContinuation = func(commitResult)

func (f *fakeCluster) recordFirstRented(txn *kv.Txn) {
	f.firstRented = append(f.firstRented, string(txn.Operations[0].Value))
}

// autoscalerRig is an autoscaler among fakes that leads partition 0 from the start.
type autoscalerRig struct {
	*autoscaler
	t       *testing.T
	cluster *fakeCluster
}

func newAutoscalerRig(t *testing.T) *autoscalerRig {
	t.Helper()
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.Teams = 1, []config.Team{{Name: "red"}}
	cfg.Settings.Workers.HeartbeatS = 2
	cfg.Settings.Cloud.RPS, cfg.Settings.Cloud.ListLagS = 10, 8
	env := &environment{cfg: cfg, policy: policy.Default(), log: slog.New(slog.NewTextHandler(io.Discard, nil)), now: units.Second}
	cluster := &fakeCluster{led: map[int]bool{scalingPartition: true}}
	client := newCloudClient(env)
	types := newCatalog(env, client)
	types.types = []cloud.MachineType{
		{Name: "big", CPUs: 32, MemGB: 256, HourlyPrice: 3.2, SpotHourlyPrice: 1.6, BootSeconds: 30, Zones: []string{"a", "b"}},
		{Name: "slow", CPUs: 32, MemGB: 256, HourlyPrice: 3.1, SpotHourlyPrice: 3.1, BootSeconds: 60, Zones: []string{"a"}},
	}
	types.readAt = env.now
	localReplica := &replica{env: env, machines: map[string]*machine{}, everSeen: map[string]bool{}, jobs: map[string]*job{}}
	return &autoscalerRig{t: t, cluster: cluster, autoscaler: newAutoscaler(env, autoscalerDependencies{
		replica: localReplica, cloud: client, catalog: types,
		decommission: &decommissioner{environment: env, replica: localReplica},
		leadership:   cluster, demand: cluster, capacity: cluster, acceptance: cluster, fleet: cluster, agents: cluster, peers: cluster, commits: cluster,
	})}
}

// addMachine adds a machine of type big whose agent has just sent a heartbeat.
func (r *autoscalerRig) addMachine(name string, partition int) *machine {
	m := &machine{
		name: name, shard: &machineShard{partition: partition},
		doc:   schema.Machine{Name: name, MachineKind: schema.MachineKind{Type: "big", Zone: "a"}},
		agent: &agentState{since: r.now, heardAt: r.now, idleSince: r.now},
	}
	r.replica.machines[name], r.replica.machinesByName = m, nil
	return m
}

// sent returns the requests to the cloud since its last call, and fails the test on any other effect.
func (r *autoscalerRig) sent(op CloudOp) []CloudCall {
	r.t.Helper()
	var calls []CloudCall
	for _, effect := range r.effects {
		call, ok := effect.(CloudCall)
		if !ok || call.Op != op {
			r.t.Fatalf("unexpected effect %+v", effect)
		}
		calls = append(calls, call)
	}
	r.effects = nil
	return calls
}

// sentOne returns the only request since the last call of sent.
func (r *autoscalerRig) sentOne(op CloudOp) CloudCall {
	r.t.Helper()
	calls := r.sent(op)
	if len(calls) != 1 {
		r.t.Fatalf("%d requests, want 1", len(calls))
	}
	return calls[0]
}

func (r *autoscalerRig) answer(call CloudCall, result CloudResult) {
	result.CallID = call.CallID
	r.cloud.handleResult(result)
}

// waitingJob returns a job with tasks of one CPU, adjusted by change.
func waitingJob(change func(*schema.Job)) *job {
	j := &job{spec: schema.Job{Tasks: 100, CPUs: 1}}
	if change != nil {
		change(&j.spec)
	}
	return j
}

// TestOnlyScalingLeaderRents checks that an autoscaler rents only if it leads partition 0, not if it
// leads no partition or another one, nor while a document is unreadable.
func TestOnlyScalingLeaderRents(t *testing.T) {
	for name, tc := range map[string]struct {
		led        map[int]bool
		rents      bool
		unreadable bool
	}{
		"unreadable":        {led: map[int]bool{scalingPartition: true}, unreadable: true},
		"leads nothing":     {},
		"leads partition 1": {led: map[int]bool{1: true}},
		"leads partition 0": {led: map[int]bool{scalingPartition: true}, rents: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.cluster.led = tc.led
			if tc.unreadable {
				rig.replica.unreadable = map[string]bool{schema.MachineShardKey(7): true}
			}
			rig.cluster.unmet = []unmetDemand{{waitingJob(nil), 64}}
			rented := false
			for range 10 {
				rig.now += units.Second
				rig.run()
				for _, effect := range rig.effects {
					switch call, _ := effect.(CloudCall); call.Op {
					case CloudList:
						rig.answer(call, CloudResult{Status: cloud.StatusOK})
					case CloudRent:
						rented = true
					case CloudCatalog, CloudDelete:
						t.Errorf("unexpected request %+v", call)
					}
				}
				rig.effects = nil
			}
			if rented != tc.rents {
				t.Errorf("rents %v, want %v", rented, tc.rents)
			}
		})
	}
}

package controller

import (
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/policy"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fakeCluster answers what an autoscaler asks of the other duties.
type fakeCluster struct {
	led            map[int]bool
	unmet          []unmetDemand
	suspectedZones map[string]bool
	heard          map[string]bool
	silence        bool
	steady         bool
	placed         map[schema.Task]*job
	firstRented    []string // documents written of the first rented machine
}

func (f *fakeCluster) leads(partition int) bool   { return f.led[partition] }
func (f *fakeCluster) leadsAny() bool             { return len(f.led) > 0 }
func (f *fakeCluster) currentIncarnation() string { return "process" }

func (f *fakeCluster) unmetDemands(bool) []unmetDemand { return f.unmet }
func (f *fakeCluster) starvingJobs() []*job            { return nil }
func (f *fakeCluster) usedCPUs() float64               { return 0 }
func (f *fakeCluster) unplacedCPUs() float64           { return 0 }
func (f *fakeCluster) changesPlentiful() bool          { return true }

func (f *fakeCluster) acceptsTasks(m *machine) bool                    { return m.agent != nil && !m.agent.draining }
func (f *fakeCluster) foreignMachineOpen(*machine) ([]string, bool)    { return nil, true }
func (f *fakeCluster) hasRoomForAny(*machine, *resources, []*job) bool { return false }
func (f *fakeCluster) unstoredJobOf(task schema.Task) *job             { return f.placed[task] }
func (f *fakeCluster) unfinishedJobOf(task schema.Task) *job           { return f.placed[task] }

func (f *fakeCluster) freeCapacity(m *machine, t *cloud.MachineType) *resources {
	free := &resources{t.CPUs, t.GPUs, t.MemGB}
	for _, task := range m.doc.Tasks {
		if j := f.placed[task]; j != nil {
			free.reserve(&j.spec, 1)
		}
	}
	return free
}

func (f *fakeCluster) silenceSuspectedWithin(units.Micros) bool           { return f.silence }
func (f *fakeCluster) zoneSuspected(zone string) bool                     { return f.suspectedZones[zone] }
func (f *fakeCluster) heardRecently(name string) bool                     { return f.heard[name] }
func (f *fakeCluster) answeredSteadily(_ *machine, _ units.Micros) bool   { return f.steady }
func (f *fakeCluster) newWriteTag() string                                { return "tag" }
func (f *fakeCluster) commit(txn *kv.Txn, _ string, _ commitContinuation) { f.noteFirst(txn) }

// commitContinuation takes the outcome of a commit.
type commitContinuation = func(outcome commitOutcome, revision uint64, failedKeys []string)

func (f *fakeCluster) noteFirst(txn *kv.Txn) {
	f.firstRented = append(f.firstRented, string(txn.Operations[0].Value))
}

// autoscalerRig is an autoscaler among fakes, that leads partition 0 from the start.
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
	cluster := &fakeCluster{led: map[int]bool{scalingPartition: true}, steady: true}
	client := newCloudClient(env)
	types := newCatalog(env, client)
	types.types = []cloud.MachineType{
		{Name: "big", CPUs: 32, MemGB: 256, HourlyPrice: 3.2, SpotHourlyPrice: 1.6, BootSeconds: 30, Zones: []string{"a", "b"}},
		{Name: "slow", CPUs: 32, MemGB: 256, HourlyPrice: 3.1, SpotHourlyPrice: 3.1, BootSeconds: 60, Zones: []string{"a"}},
	}
	types.readAt = env.now
	copied := &replica{env: env, machines: map[string]*machine{}, everSeen: map[string]bool{}, jobs: map[string]*job{}}
	return &autoscalerRig{t: t, cluster: cluster, autoscaler: newAutoscaler(env, autoscalerDependencies{
		replica: copied, cloud: client, catalog: types,
		decommission: &decommissioner{environment: env, tasks: cluster},
		leadership:   cluster, demand: cluster, capacity: cluster, fleet: cluster, commits: cluster,
	})}
}

// addMachine enters a machine of type big that has been heard just now.
func (r *autoscalerRig) addMachine(name string, partition int) *machine {
	m := &machine{
		name: name, shard: &machineShard{partition: partition},
		doc:   schema.Machine{Name: name, MachineKind: schema.MachineKind{Type: "big", Zone: "a"}},
		agent: &agentState{since: r.now, heardAt: r.now, idleSince: r.now},
	}
	r.replica.machines[name], r.replica.machinesByName = m, nil
	return m
}

// sent takes the requests to the cloud that were sent since it was last called.
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

// sentOne takes the only request that was sent.
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

// waitingJob is a job with tasks of one CPU.
func waitingJob(change func(*schema.Job)) *job {
	j := &job{spec: schema.Job{Tasks: 100, CPUs: 1}}
	if change != nil {
		change(&j.spec)
	}
	return j
}

// TestRentalIsIdempotent follows a rental without a clear answer: it is repeated unchanged, under its own
// name, which no later rental takes.
func TestRentalIsIdempotent(t *testing.T) {
	rig := newAutoscalerRig(t)
	rig.rent(offer{"big", "a", false}, new(64.0), 5)
	first := rig.sentOne(CloudRent)
	rig.rentals.settle(rig.replica, rig.catalog)
	if calls := rig.sent(CloudRent); len(calls) != 0 {
		t.Errorf("repeated while in flight: %+v", calls)
	}
	rig.answer(first, CloudResult{Status: cloud.StatusUnknown})
	rig.rentals.settle(rig.replica, rig.catalog)
	repeated := rig.sentOne(CloudRent)
	if repeated.Rental != first.Rental || repeated.CallID == first.CallID {
		t.Errorf("repeated as %+v, first %+v", repeated, first)
	}
	rig.answer(repeated, CloudResult{Status: cloud.StatusOK, Machines: cloud.MachineNames{Names: []string{"m-2", "m-1"}}})
	if want := []string{`{"n":"m-1","w":"tag"}`}; !slices.Equal(rig.cluster.firstRented, want) {
		t.Errorf("first rented %v, want %v", rig.cluster.firstRented, want)
	}
	if !rig.rentals.pending("m-1") || !rig.rentals.pending("m-2") {
		t.Error("granted machines are not expected")
	}
	rig.rentals.forgetAll()
	rig.rent(offer{"big", "a", false}, new(64.0), 5)
	if next := rig.sentOne(CloudRent); next.Rental.Name == first.Rental.Name {
		t.Errorf("name %s is used again", next.Rental.Name)
	}
}

// TestRentalEnds lists when a granted or refused rental is no longer under way.
func TestRentalEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		status     cloud.Status
		granted    []string
		registered []string
		later      units.Micros
		underWay   bool
		available  bool // the offer may be asked for again
	}{
		"refused":               {status: cloud.StatusRefused, later: units.Second},
		"refused long ago":      {status: cloud.StatusRefused, later: refusedOfferPause, available: true},
		"fewer than asked for":  {status: cloud.StatusOK, granted: []string{"m-1"}, later: units.Second, underWay: true},
		"all granted":           {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: units.Second, underWay: true, available: true},
		"one registered":        {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, registered: []string{"m-1"}, later: units.Second, underWay: true, available: true},
		"all registered":        {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, registered: []string{"m-1", "m-2"}, available: true},
		"not yet overdue":       {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: 85 * units.Second, underWay: true, available: true},
		"overdue":               {status: cloud.StatusOK, granted: []string{"m-1", "m-2"}, later: 86 * units.Second, available: true},
		"no answer, asked anew": {status: cloud.StatusUnknown, later: 86 * units.Second, underWay: true, available: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			wanted := offer{"big", "a", false}
			rig.rent(wanted, new(64.0), 5)
			rig.answer(rig.sentOne(CloudRent), CloudResult{Status: tc.status, Machines: cloud.MachineNames{Names: tc.granted}})
			for _, machine := range tc.registered {
				rig.addMachine(machine, 0)
			}
			rig.now += tc.later
			rig.rentals.settle(rig.replica, rig.catalog)
			if underWay := len(rig.rentals.underWay) > 0; underWay != tc.underWay {
				t.Errorf("under way %v, want %v", underWay, tc.underWay)
			}
			if available := rig.rentals.available(wanted); available != tc.available {
				t.Errorf("available %v, want %v", available, tc.available)
			}
		})
	}
}

// TestNewLeaderWaits lists when a process that has begun to lead may rent.
func TestNewLeaderWaits(t *testing.T) {
	const settled = 18 * units.Second // twice the list's lag of 8 s, and 2 s
	for name, tc := range map[string]struct {
		since, after units.Micros
		listRead     bool
		fleet        bool
		rents        bool
	}{
		"first leader":                       {since: 2 * units.Second, listRead: true, fleet: true, rents: true},
		"first leader, no list":              {since: 2 * units.Second, fleet: true},
		"later leader":                       {since: 9 * units.Second, after: settled - 1, listRead: true, fleet: true},
		"later leader, settled":              {since: 9 * units.Second, after: settled, listRead: true, fleet: true, rents: true},
		"later leader, settled, no list":     {since: 9 * units.Second, after: settled, fleet: true},
		"later leader, no machine registers": {since: 9 * units.Second, listRead: true, rents: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.now = tc.since
			if tc.fleet {
				rig.addMachine("m-1", 0)
			}
			rig.noteRole(true)
			if tc.listRead {
				rig.machineList.askedAt = tc.since
			}
			rig.now += tc.after
			rig.scaleOut([]unmetDemand{{waitingJob(nil), 64}})
			if rents := len(rig.sent(CloudRent)) > 0; rents != tc.rents {
				t.Errorf("rents %v, want %v", rents, tc.rents)
			}
		})
	}
}

// TestBestOffer lists what the choice of an offer goes by.
func TestBestOffer(t *testing.T) {
	spot := func(s *schema.Job) { s.Spot = true }
	for name, tc := range map[string]struct {
		job       func(*schema.Job)
		spotJobs  bool
		suspected string
		refused   []offer
		want      offer // none: the zero value
	}{
		"price and boot time": {want: offer{"big", "a", false}},
		"zone of the job":     {job: func(s *schema.Job) { s.Zone = "b" }, want: offer{"big", "b", false}},
		"zone suspected":      {suspected: "a", want: offer{"big", "b", false}},
		"refused":             {refused: []offer{{"big", "a", false}, {"big", "b", false}}, want: offer{"slow", "a", false}},
		"spot":                {job: spot, spotJobs: true, want: offer{"big", "a", true}},
		"spot refused":        {job: spot, spotJobs: true, refused: []offer{{"big", "a", true}, {"big", "b", true}}, want: offer{"big", "a", false}},
		"spot job, on demand": {job: spot},
		"too large":           {job: func(s *schema.Job) { s.CPUs = 33 }},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.cluster.suspectedZones = map[string]bool{tc.suspected: true}
			for _, refused := range tc.refused {
				rig.rentals.pauseOffer(refused)
			}
			var got offer
			if best := rig.bestOffer([]unmetDemand{{waitingJob(tc.job), 10}}, tc.spotJobs); best != nil {
				got = *best
			}
			if got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestMachineListPages reads lists of several pages. What is known stays until a list is read to its end.
func TestMachineListPages(t *testing.T) {
	page := func(truncated bool, names ...string) CloudResult {
		result := CloudResult{Status: cloud.StatusOK, Page: cloud.MachinePage{Truncated: truncated}}
		for _, name := range names {
			result.Page.Machines = append(result.Page.Machines, cloud.ListedMachine{Name: name, Type: "big"})
		}
		return result
	}
	for name, tc := range map[string]struct {
		pages  []CloudResult
		afters []string // where each page was asked for
		want   []string
	}{
		"one page":          {[]CloudResult{page(false, "m-1")}, []string{""}, []string{"m-1"}},
		"two pages":         {[]CloudResult{page(true, "m-1", "m-2"), page(false, "m-3")}, []string{"", "m-2"}, []string{"m-1", "m-2", "m-3"}},
		"empty":             {[]CloudResult{page(false)}, []string{""}, nil},
		"no progress":       {[]CloudResult{page(true)}, []string{""}, nil},
		"first page fails":  {[]CloudResult{{Status: cloud.StatusUnknown}}, []string{""}, []string{"old"}},
		"second page fails": {[]CloudResult{page(true, "m-1"), {Status: cloud.StatusRefused}}, []string{"", "m-1"}, []string{"old"}},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.machineList.machines = map[string]cloud.ListedMachine{"old": {Name: "old"}}
			rig.readMachineListWhenDue(true)
			for i, result := range tc.pages {
				call := rig.sentOne(CloudList)
				if call.After != tc.afters[i] {
					t.Errorf("page %d asked for after %q, want %q", i, call.After, tc.afters[i])
				}
				rig.readMachineListWhenDue(true) // one read at a time
				rig.answer(call, result)
			}
			if got := slices.Sorted(maps.Keys(rig.machineList.machines)); !slices.Equal(got, tc.want) {
				t.Errorf("listed %v, want %v", got, tc.want)
			}
			if calls := rig.sent(CloudList); len(calls) > 0 || rig.machineList.reading {
				t.Errorf("still reads: %+v", calls)
			}
		})
	}
}

// TestStrays lists which listed machines without an entry are deleted, when the list is seen now and again
// after a while.
func TestStrays(t *testing.T) {
	const overdue = 106 // three boot times of 30 s, 15 s, and one more
	for name, tc := range map[string]struct {
		listed  cloud.ListedMachine
		heard   bool
		follows bool // this process does not rent
		again   units.Micros
		deleted bool
	}{
		"booting":                 {listed: cloud.ListedMachine{Type: "big", AgeSeconds: 20}, again: 17 * units.Second},
		"never up":                {listed: cloud.ListedMachine{Type: "big", AgeSeconds: overdue}, again: 17 * units.Second, deleted: true},
		"never up, seen once":     {listed: cloud.ListedMachine{Type: "big", AgeSeconds: overdue}, again: 16 * units.Second},
		"up, not registered":      {listed: cloud.ListedMachine{Type: "big", AgeSeconds: overdue}, heard: true, again: 17 * units.Second},
		"unknown type, booting":   {listed: cloud.ListedMachine{Type: "new", AgeSeconds: overdue}, again: 17 * units.Second},
		"unknown type, never up":  {listed: cloud.ListedMachine{Type: "new", AgeSeconds: 196}, again: 17 * units.Second, deleted: true},
		"failed":                  {listed: cloud.ListedMachine{Type: "big", State: cloud.Failed}, deleted: true},
		"failed, another's to do": {listed: cloud.ListedMachine{Type: "big", State: cloud.Failed}, follows: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.noteRole(!tc.follows)
			tc.listed.Name = "m-1"
			rig.cluster.heard = map[string]bool{"m-1": tc.heard}
			for _, at := range []units.Micros{rig.now, rig.now + tc.again} {
				rig.now, rig.effects = at, nil
				rig.applyMachineList(&machineListRead{askedAt: at, machines: map[string]cloud.ListedMachine{"m-1": tc.listed}})
			}
			if deleted := len(rig.sent(CloudDelete)) > 0; deleted != tc.deleted {
				t.Errorf("deleted %v, want %v", deleted, tc.deleted)
			}
		})
	}
}

// TestDeletionIsConfirmed deletes a decommissioned machine: it counts as deleted only when the cloud says
// so, and until then the request is repeated.
func TestDeletionIsConfirmed(t *testing.T) {
	rig := newAutoscalerRig(t)
	mine, other := rig.addMachine("m-1", 0), rig.addMachine("m-2", 1)
	rig.addMachine("m-3", 0)
	rig.decommission.mark("idle", mine)
	rig.deleteDecommissioned()
	if calls := rig.sent(CloudDelete); len(calls) != 0 {
		t.Fatalf("deleted before the mark is stored: %+v", calls)
	}
	mine.doc.Decommissioned, other.doc.Decommissioned = true, true
	for _, status := range []cloud.Status{cloud.StatusUnknown, cloud.StatusRefused} {
		rig.deleteDecommissioned()
		call := rig.sentOne(CloudDelete)
		if !slices.Equal(call.Machines.Names, []string{"m-1"}) {
			t.Errorf("deleted %v", call.Machines.Names)
		}
		rig.deleteDecommissioned() // one request at a time
		rig.answer(call, CloudResult{Status: status})
		if rig.deleteDecommissioned(); len(rig.effects) > 0 || mine.deleted {
			t.Errorf("status %d: repeated at once, or deleted %v", status, mine.deleted)
		}
		rig.now += deletionRetryDelay
		rig.runTimers()
	}
	rig.deleteDecommissioned()
	rig.answer(rig.sentOne(CloudDelete), CloudResult{Status: cloud.StatusOK})
	if !mine.deleted || other.deleted {
		t.Errorf("deleted %v, another leader's %v", mine.deleted, other.deleted)
	}
}

// TestGivenUpAtOnce deletes a machine that was given up without waiting for the stored mark; the first
// reason stays.
func TestGivenUpAtOnce(t *testing.T) {
	rig := newAutoscalerRig(t)
	m := rig.addMachine("m-1", 0)
	rig.decommission.giveUp("silent", m)
	rig.decommission.mark("idle", m)
	if rig.deleteDecommissioned(); !slices.Equal(rig.sentOne(CloudDelete).Machines.Names, []string{"m-1"}) || !rig.planNeeded {
		t.Errorf("not deleted, or no plan asked for: %v", rig.planNeeded)
	}
}

// TestReturnIdle lists which machines are returned for having nothing to do.
func TestReturnIdle(t *testing.T) {
	task := schema.Task{Job: "j", Index: 1}
	for name, tc := range map[string]struct {
		change   func(*autoscalerRig, *machine)
		waiting  bool
		after    units.Micros
		returned bool
	}{
		"idle":             {after: 120 * units.Second, returned: true},
		"idle for a while": {after: units.Second},
		"drained":          {after: units.Second, change: func(_ *autoscalerRig, m *machine) { m.agent.draining = true }, returned: true},
		"demand waits":     {after: 120 * units.Second, waiting: true},
		"not heard":        {after: 120 * units.Second, change: func(_ *autoscalerRig, m *machine) { m.agent.heardAt = 0 }},
		"has a task": {after: 120 * units.Second, change: func(r *autoscalerRig, m *machine) {
			m.doc.Tasks, r.cluster.placed = schema.Tasks{task}, map[schema.Task]*job{task: waitingJob(nil)}
		}},
		"command in flight": {after: 120 * units.Second, change: func(_ *autoscalerRig, m *machine) { m.agent.commandsInFlight = 1 }},
		"another's machine": {after: 120 * units.Second, change: func(_ *autoscalerRig, m *machine) { m.agent = nil }},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			m := rig.addMachine("m-1", 0)
			rig.now += tc.after
			m.agent.heardAt = rig.now
			if tc.change != nil {
				tc.change(rig, m)
			}
			rig.returnIdle(tc.waiting, nil)
			if returned := m.agent != nil && m.agent.decommissionReason == "idle"; returned != tc.returned {
				t.Errorf("returned %v, want %v", returned, tc.returned)
			}
		})
	}
}

// TestDrainUnderused drains few machines at once, those with the least use first, while enough stays free.
func TestDrainUnderused(t *testing.T) {
	task := schema.Task{Job: "j", Index: 1}
	for name, tc := range map[string]struct {
		machines int
		change   func(*autoscalerRig)
		want     []string
	}{
		"one machine, nothing free elsewhere": {machines: 1},
		"two of four":                         {machines: 4, want: []string{"m-1", "m-2"}},
		"the used one last": {machines: 3, want: []string{"m-2", "m-3"}, change: func(r *autoscalerRig) {
			r.replica.machines["m-1"].doc.Tasks = schema.Tasks{task}
			r.cluster.placed = map[schema.Task]*job{task: waitingJob(nil)}
		}},
		"not steadily within reach": {machines: 4, change: func(r *autoscalerRig) { r.cluster.steady = false }},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			for i := range tc.machines {
				rig.addMachine("m-"+string(rune('1'+i)), 0)
			}
			if tc.change != nil {
				tc.change(rig)
			}
			rig.now += steadyBeforeDrain + 1
			rig.drainUnderused(false, nil)
			var draining []string
			for _, m := range rig.replica.sortedMachines() {
				if m.agent.draining {
					draining = append(draining, m.name)
				}
			}
			if !slices.Equal(draining, tc.want) {
				t.Errorf("draining %v, want %v", draining, tc.want)
			}
			rig.drainUnderused(true, nil) // demand waits again
			for _, m := range rig.replica.sortedMachines() {
				if m.agent.draining {
					t.Errorf("%s is still drained", m.name)
				}
			}
		})
	}
}

// TestCatalogStaysKnown reads the catalog: until one is known soon again, then now and then, and a failed
// or empty read takes nothing away.
func TestCatalogStaysKnown(t *testing.T) {
	rig := newAutoscalerRig(t)
	types := rig.catalog.types
	rig.catalog.types = nil
	steps := []struct {
		name   string
		wait   units.Micros
		asks   bool
		result CloudResult
		known  bool
	}{
		{name: "first read fails", asks: true, result: CloudResult{Status: cloud.StatusUnknown}},
		{name: "retry too early", wait: catalogRetryPeriod - 1},
		{name: "empty catalog", wait: 1, asks: true, result: CloudResult{Status: cloud.StatusOK}},
		{name: "catalog", wait: catalogRetryPeriod, asks: true, result: CloudResult{Status: cloud.StatusOK, Catalog: cloud.Catalog{Types: types}}, known: true},
		{name: "refresh too early", wait: catalogRefreshPeriod, known: true},
		{name: "refresh fails", wait: 1, asks: true, result: CloudResult{Status: cloud.StatusRefused}, known: true},
		{name: "no retry at once", wait: catalogRetryPeriod, known: true},
		{name: "refresh is empty", wait: catalogRefreshPeriod, asks: true, result: CloudResult{Status: cloud.StatusOK}, known: true},
	}
	for _, step := range steps {
		rig.now += step.wait
		rig.catalog.refreshWhenDue()
		calls := rig.sent(CloudCatalog)
		if asks := len(calls) == 1; asks != step.asks {
			t.Errorf("%s: asks %v, want %v", step.name, asks, step.asks)
		}
		rig.catalog.refreshWhenDue() // one read at a time
		for _, call := range calls {
			rig.answer(call, step.result)
		}
		rig.effects = nil
		if rig.catalog.known() != step.known || step.known && rig.catalog.machineType("slow") == nil {
			t.Errorf("%s: known %v, want %v", step.name, rig.catalog.known(), step.known)
		}
	}
}

// TestOnlyScalingLeaderRents runs autoscalers that lead no partition, another one, and partition 0.
func TestOnlyScalingLeaderRents(t *testing.T) {
	for name, tc := range map[string]struct {
		led   map[int]bool
		rents bool
	}{
		"leads nothing":     {},
		"leads partition 1": {led: map[int]bool{1: true}},
		"leads partition 0": {led: map[int]bool{scalingPartition: true}, rents: true},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.cluster.led = tc.led
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

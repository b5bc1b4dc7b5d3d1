package controller

import (
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// newTestPlan returns a plan of a controller that leads the only partition, with nothing staged.
func newTestPlan(t *testing.T) (*Controller, *plan) {
	t.Helper()
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size = 1
	cfg.Settings.Teams = []config.Team{{Name: "red", QuotaCPUs: 16, GuaranteedCPUs: 8}, {Name: "blue"}}
	cfg.Settings.KVStore.KVLimits = config.KVLimits{RPS: 350, WriteRPS: 35, ValueKB: 4, TxnOps: 12}
	c := newTestController(cfg)
	c.now = 1000 * units.Second
	c.budget.credit = 30
	led := &leadership{term: 3, planning: planningState{reservations: newReservationTable()}}
	c.partitions.led[0] = led
	return c, newPlan(c.planner, led)
}

// acceptJob adds a job to the replica as if it had been accepted.
func acceptJob(c *Controller, spec schema.Job) *job {
	j := c.replica.job(spec.ID)
	j.accepted, j.spec = true, spec
	c.replica.jobsByAge = nil
	return j
}

func TestPlanBudget(t *testing.T) {
	for name, tc := range map[string]struct {
		ops              int
		credit           float64
		changes, jointly int
	}{
		"one is kept back":                    {32, 10.9, 9, 9},
		"many changes, few in a transaction":  {4, 100, minPlanChanges, 4},
		"as many as one transaction may have": {32, 100, 32, 32},
	} {
		budget := newPlanBudget(tc.ops, tc.credit)
		if budget.changes != tc.changes || budget.jointLeft() != tc.jointly {
			t.Errorf("%s: %d changes, %d of them jointly, want %d, %d", name, budget.changes, budget.jointLeft(), tc.changes, tc.jointly)
		}
		budget.takeJoint()
		budget.takeChanges(2)
		if budget.changes != tc.changes-3 || budget.jointChanges != tc.ops-1 {
			t.Errorf("%s: %d changes, %d joint ones are left", name, budget.changes, budget.jointChanges)
		}
		budget.limitChanges(1)
		if budget.changes != 1 || budget.jointLeft() != 1 {
			t.Errorf("%s: limited to %d changes", name, budget.changes)
		}
	}
}

func TestNextAttemptGrows(t *testing.T) {
	led := &leadership{term: 2}
	first, second := led.nextAttempt(), led.nextAttempt()
	next := (&leadership{term: 3}).nextAttempt()
	if first >= second || second >= next {
		t.Errorf("attempts %d, %d, then %d in the next term", first, second, next)
	}
}

// TestProgressWriter checks that progress of a job is put into its segment, into another segment when
// that is full, and refused when the plan's budget is used up.
func TestProgressWriter(t *testing.T) {
	c, p := newTestPlan(t)
	j := acceptJob(c, schema.Job{ID: "j-000001", Tasks: 100})
	short := schema.JobProgress{DoneRanges: "0-3", Samples: 4}
	if !p.progress.put(j, short, nil) || len(p.progress.changedKeys()) != 1 {
		t.Fatalf("first progress is in %v", p.progress.changedKeys())
	}
	key := p.progress.changedKeys()[0]
	if got := p.progress.document(key); got.Jobs[j.id] != short || got.WriteTag != p.writeTag {
		t.Errorf("written: %+v", got)
	}
	if p.budget.jointChanges != 11 {
		t.Errorf("%d joint changes are left of 12", p.budget.jointChanges)
	}
	longer := schema.JobProgress{DoneRanges: "0-3,9", Samples: 5}
	j.progressSegments = []*progressSegment{{key: key, size: 90, jobs: map[string]schema.JobProgress{j.id: short}}}
	if !p.progress.put(j, longer, j.progressSegments[0]) || p.progress.document(key).Jobs[j.id] != longer || p.budget.jointChanges != 11 {
		t.Error("newer progress of the same job is not written in its place")
	}
	tooLong := schema.JobProgress{DoneRanges: strings.Repeat("1,", c.store.limits.maxValueBytes())}
	if p.progress.put(j, tooLong, j.progressSegments[0]) || p.progress.document(key).Jobs[j.id] != longer {
		t.Error("progress that makes the segment too long is written")
	}

	full := &progressSegment{key: schema.ProgressKey(0, 7), size: c.store.limits.maxValueBytes() - 20, jobs: map[string]schema.JobProgress{"j-000002": short}}
	c.replica.progressSegments[full.key] = full
	other := acceptJob(c, schema.Job{ID: "j-000002", Tasks: 100})
	other.progressSegments = []*progressSegment{full}
	if !p.progress.put(other, longer, full) || p.progress.document(key).Jobs[other.id] != longer {
		t.Error("progress does not leave a full segment for one that is written anyway")
	}
	if _, left := p.progress.document(full.key).Jobs[other.id]; left {
		t.Error("progress is left in the full segment as well")
	}

	p.budget.jointChanges = 0
	third := acceptJob(c, schema.Job{ID: "j-000003", Tasks: 100})
	if p.progress.put(third, short, &progressSegment{key: schema.ProgressKey(0, 8), jobs: map[string]schema.JobProgress{}}) {
		t.Error("a segment is written without a change left for it")
	}
}

// TestPreemption checks that the cheapest tasks are stopped, and none that the rule excludes.
func TestPreemption(t *testing.T) {
	c, p := newTestPlan(t)
	began := map[string]units.Micros{"j-000001": 50 * units.Second, "j-000002": 5 * units.Second, "j-000003": 20 * units.Second}
	m := &machine{name: "n-000001", agent: &agentState{runningSince: map[taskKey]runStart{}, images: map[string]units.Micros{"image": 1}}}
	for id, ago := range began {
		acceptJob(c, schema.Job{ID: id, Team: "blue", Tasks: 1, CPUs: 4, MemGB: 1}).bindings[0] = binding{m, 1}
		m.agent.runningSince[taskKey{id, 0, 1}] = runStart{at: c.now - ago}
	}
	staged := &stagedMachine{machine: m, shard: &stagedShard{ownShard: true, changed: true, bytesLeft: 1000}, usable: true}
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		staged.kept = append(staged.kept, schema.Task{Job: id, Index: 0, Attempt: 1})
	}
	staged.resources = resources{cpus: 0, memoryGB: 100}
	wants := func(cpus float64) *job {
		return &job{id: "j-000009", spec: schema.Job{ID: "j-000009", Team: "red", CPUs: cpus, MemGB: 1, Image: "image"}}
	}
	anyTask := func(*job) bool { return true }
	for name, tc := range map[string]struct {
		cpus    float64
		rule    preemptionRule
		victims []string // nil: stopping tasks does not free enough
	}{
		"one that has just begun":           {4, preemptionRule{eligible: anyTask}, []string{"j-000002"}},
		"two, the cheapest first":           {8, preemptionRule{eligible: anyTask}, []string{"j-000002", "j-000003"}},
		"not those that lose too much":      {8, preemptionRule{eligible: anyTask, maxLoss: 10 * units.Second}, nil},
		"not those that are not eligible":   {4, preemptionRule{eligible: func(j *job) bool { return j.id == "j-000001" }}, []string{"j-000001"}},
		"not more than the machine can run": {16, preemptionRule{eligible: anyTask}, nil},
	} {
		found := p.preemptionOn(staged, wants(tc.cpus), tc.rule)
		if enough := found.cost < 1e9; enough != (tc.victims != nil) {
			t.Errorf("%s: cost %v", name, found.cost)
			continue
		}
		for i, id := range tc.victims {
			if i >= len(found.victims) || found.victims[i].job != id || len(found.victims) != len(tc.victims) {
				t.Errorf("%s: stops %v, want %v", name, found.victims, tc.victims)
				break
			}
		}
	}
}

func TestQuotaAndGuarantee(t *testing.T) {
	c, p := newTestPlan(t)
	j := acceptJob(c, schema.Job{ID: "j-000001", Team: "red", Tasks: 10, CPUs: 4})
	for _, tc := range []struct {
		tasks                       int // of the team, that may be running
		underQuota, withinGuarantee bool
		allowed                     int
	}{
		{0, true, true, 4},
		{1, true, true, 3},
		{2, true, false, 2},
		{3, true, false, 1},
		{4, false, false, 0},
	} {
		p.usage = usageByTeam{}
		p.usage.add(&j.spec, tc.tasks)
		if got := p.underQuota(j); got != tc.underQuota {
			t.Errorf("%d tasks: under quota: %v", tc.tasks, got)
		}
		if got := p.withinGuarantee("red", j.spec.CPUs, 0); got != tc.withinGuarantee {
			t.Errorf("%d tasks: within guarantee: %v", tc.tasks, got)
		}
		if got := p.tasksWithinQuota(j, p.usage); got != tc.allowed {
			t.Errorf("%d tasks: %d more are allowed, want %d", tc.tasks, got, tc.allowed)
		}
	}
	if p.underQuota(&job{spec: schema.Job{Team: "gone"}}) {
		t.Error("a team that is not in the settings may run tasks")
	}
}

func TestOccupancy(t *testing.T) {
	c, p := newTestPlan(t)
	m := &machine{name: "n-000001", shard: c.replica.machineShards.find(0)}
	stored := acceptJob(c, schema.Job{ID: "j-000001", Team: "red", Tasks: 4, CPUs: 2, MemGB: 1})
	stored.done = schema.NewTaskSet([]int{0})
	m.doc.Tasks = schema.Tasks{
		{Job: stored.id, Index: 0, Attempt: 1},                // its completion is stored
		{Job: stored.id, Index: 1, Attempt: 1},                // may be active
		{Job: stored.id, Index: 2, Attempt: 1, DoneTenths: 7}, // the machine's controller has seen it complete
		{Job: "j-000002", Index: 0, Attempt: 1},               // its job is over
	}
	o := p.occupancyOf(m, false)
	if len(o.kept) != 4 || o.active != 1 || o.used != (resources{2, 0, 1}) {
		t.Errorf("of another controller's machine: %d kept, %d active, %+v used", len(o.kept), o.active, o.used)
	}
	m.agent = &agentState{leaseEnd: c.now + units.Second}
	if o = p.occupancyOf(m, true); len(o.kept) != 3 { // nothing proves yet that the second job is over
		t.Errorf("of an own machine, a job not shown: %d kept", len(o.kept))
	}
	c.replica.outcomes.put("j-000002", schema.Outcome{State: StageDone})
	o = p.occupancyOf(m, true)
	if len(o.kept) != 2 || o.active != 2 || o.used != (resources{4, 0, 2}) {
		t.Errorf("of an own machine: %d kept, %d active, %+v used", len(o.kept), o.active, o.used)
	}
	if o.validUntil != m.agent.leaseEnd+1 {
		t.Errorf("valid until %v, lease ends %v", o.validUntil, m.agent.leaseEnd)
	}
}

// TestTinyTasks has a job whose tasks take so few CPUs that more of them would fit a machine than an integer can hold.
func TestTinyTasks(t *testing.T) {
	free := freeMachine{resources: resources{cpus: 64, gpus: 8, memoryGB: 512}}
	j := &job{spec: schema.Job{Tasks: 7, CPUs: 1e-300, GPUs: 1e-300, MemGB: 1e-300}}
	if got := free.tasksThatFit(j, 7); got != 7 {
		t.Errorf("%d tasks fit, want 7", got)
	}
}

// TestProgressMoveWithinBudget guards against transactions that are too large for the store: progress moves out of a full
// segment only if the plan has bytes for that segment and for the one that it moves to.
func TestProgressMoveWithinBudget(t *testing.T) {
	for name, tc := range map[string]struct {
		bytesForTarget int // bytes that the plan has left beside those for the full segment
		want           bool
	}{
		"enough for both segments": {1000, true},
		"enough for one":           {100, false},
	} {
		c, p := newTestPlan(t)
		j := acceptJob(c, schema.Job{ID: "j-000002", Tasks: 100})
		short := schema.JobProgress{DoneRanges: "0-3", Samples: 4}
		full := &progressSegment{key: schema.ProgressKey(0, 7), size: c.store.limits.maxValueBytes() - 20, jobs: map[string]schema.JobProgress{j.id: short}}
		c.replica.progressSegments[full.key] = full
		j.progressSegments = []*progressSegment{full}
		longer := schema.JobProgress{DoneRanges: "0-3,9", Samples: 5}
		p.budget.bytes = full.size + documentOverheadBytes + growthOf(j, longer, full) + tc.bytesForTarget
		if got := p.progress.put(j, longer, full); got != tc.want || got != (len(p.progress.changedKeys()) == 2) || p.budget.bytes < 0 {
			t.Errorf("%s: moved %v, segments %v, %d bytes left", name, got, p.progress.changedKeys(), p.budget.bytes)
		}
	}
}

// TestDeletedSegmentTakesNoProgress guards against a transaction that deletes a segment and sets it: a segment that is too
// long for the limits and has only jobs that are over counts as empty, and is deleted by the same plan. A segment that is
// not too long takes progress in the place of such jobs.
func TestDeletedSegmentTakesNoProgress(t *testing.T) {
	for name, tc := range map[string]struct {
		excess int // bytes by which the segment is longer than a value
		want   bool
	}{
		"too long":  {1, false},
		"just fits": {0, true},
	} {
		c, p := newTestPlan(t)
		c.replica.format = schema.FormatDependencies
		j := acceptJob(c, schema.Job{ID: "j-000002", Tasks: 100})
		size := c.store.limits.maxValueBytes() + tc.excess
		over := schema.JobProgress{DoneRanges: strings.Repeat("1", size)}
		segment := &progressSegment{key: schema.ProgressKey(0, 0), size: size, jobs: map[string]schema.JobProgress{"j-000009": over}}
		c.replica.progressSegments[segment.key] = segment
		p.emptyOversizedSegments()
		p.progress.put(j, schema.JobProgress{DoneRanges: "0-3"}, nil)
		_, used := p.progress.segments[segment.key]
		if deleted := len(p.joint.operations) == 1; used != tc.want || deleted == used || len(p.progress.changedKeys()) != 1 {
			t.Errorf("%s: takes progress: %v, deleted: %v, staged %v", name, used, deleted, p.progress.changedKeys())
		}
	}
}

package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/guard"
	"frostdock.example/frostdock/internal/schema"
)

// The tests in this file apply small histories of job shards and machine shards to a store: jobs are
// accepted, bound and removed, machines are registered and deleted, shards are split, and their parts
// again. Each history is shown to a replica in many orders: revisions of one key only rise, and some are
// left out, as in an answer that has only the newest state of each key.
//
// They guard against a replica that lost accepted jobs when it was shown the documents of two splits, the
// later ones first: their tasks were to be stopped and their entries released. It lost machines in the
// same way, or recreated them without the state of their agents. It looked for a name in one part only,
// by the count of the document that had listed the name, and took a part that was newer than that
// document for proof that the job was over. Failures name the history, the order and the step.

// historyEvent is the state of a document as of a revision.
type historyEvent struct {
	key      string
	revision uint64
	value    []byte
}

// historyStore models the store: whole documents, and what has happened to each name.
type historyStore struct {
	revision   uint64
	events     []historyEvent
	jobs       map[int]*schema.JobShard
	machines   map[int]*schema.MachineShard
	acceptedAt map[string]uint64 // by job: the revision that accepted it
	removedAt  map[string]uint64 // by job: the revision at which it was over, with an outcome
	deletedAt  map[string]uint64 // by machine: the revision that deleted it
	base       int               // number of shards of each kind before any split
	script     []string          // operations, for failure messages
}

// baseShard is the shard of each kind that owns all names of a history at first.
const baseShard = 5

func newHistoryStore(base int) *historyStore {
	return &historyStore{
		jobs: map[int]*schema.JobShard{baseShard: {}}, machines: map[int]*schema.MachineShard{baseShard: {}},
		acceptedAt: map[string]uint64{}, removedAt: map[string]uint64{}, deletedAt: map[string]uint64{}, base: base,
	}
}

// jobName and machineName return names that the base shard owns.
func (s *historyStore) jobName(n int) string     { return fmt.Sprintf("j-%06d", baseShard+n*s.base) }
func (s *historyStore) machineName(n int) string { return fmt.Sprintf("n-%06d", baseShard+n*s.base) }

// begin starts a transaction and adds it to the script.
func (s *historyStore) begin(format string, args ...any) {
	s.revision++
	s.script = append(s.script, fmt.Sprintf("%d: ", s.revision)+fmt.Sprintf(format, args...))
}

func (s *historyStore) emitJobShard(n int) {
	s.events = append(s.events, historyEvent{schema.JobShardKey(n), s.revision, encode(s.jobs[n])})
}

func (s *historyStore) emitMachineShard(n int) {
	s.events = append(s.events, historyEvent{schema.MachineShardKey(n), s.revision, encode(s.machines[n])})
}

// ownerOf finds the shard that owns a number, by the shard counts that the documents state.
func ownerOf[D any](documents map[int]D, number, base int, count func(D) int) int {
	for n, document := range documents {
		shardCount := count(document)
		if shardCount == 0 {
			shardCount = base
		}
		if number%shardCount == n {
			return n
		}
	}
	panic(fmt.Sprintf("no shard owns %d", number)) // a bug in the test
}

func jobShardCount(d *schema.JobShard) int         { return d.ShardCount }
func machineShardCount(d *schema.MachineShard) int { return d.ShardCount }

func (s *historyStore) jobOwner(n int) int {
	return ownerOf(s.jobs, baseShard+n*s.base, s.base, jobShardCount)
}

func (s *historyStore) machineOwner(n int) int {
	return ownerOf(s.machines, baseShard+n*s.base, s.base, machineShardCount)
}

func (s *historyStore) accept(n int) {
	if s.acceptedAt[s.jobName(n)] > 0 {
		return
	}
	s.begin("accept %s", s.jobName(n))
	owner := s.jobOwner(n)
	s.jobs[owner].Jobs = append(s.jobs[owner].Jobs, schema.Job{ID: s.jobName(n), Tasks: 4})
	s.acceptedAt[s.jobName(n)] = s.revision
	s.emitJobShard(owner)
}

func (s *historyStore) finish(n int) {
	name := s.jobName(n)
	if s.acceptedAt[name] == 0 || s.removedAt[name] > 0 {
		return
	}
	s.begin("finish %s", name)
	owner := s.jobOwner(n)
	s.jobs[owner].Jobs = slices.DeleteFunc(s.jobs[owner].Jobs, func(j schema.Job) bool { return j.ID == name })
	s.removedAt[name] = s.revision
	s.emitJobShard(owner)
}

// splitJobs splits the job shard that owns a number.
func (s *historyStore) splitJobs(n, parts int) {
	owner := s.jobOwner(n)
	s.begin("split job shard %d into %d", owner, parts)
	whole := s.jobs[owner]
	count := max(whole.ShardCount, s.base)
	for i := range parts {
		s.jobs[owner+i*count] = &schema.JobShard{ShardCount: count * parts}
	}
	for _, job := range whole.Jobs {
		part := s.jobs[schema.ShardIndex(job.ID, count*parts)]
		part.Jobs = append(part.Jobs, job)
	}
	for i := range parts {
		s.emitJobShard(owner + i*count)
	}
}

func (s *historyStore) register(n int) {
	name, owner := s.machineName(n), s.machineOwner(n)
	if slices.ContainsFunc(s.machines[owner].Machines, func(m schema.Machine) bool { return m.Name == name }) || s.deletedAt[name] > 0 {
		return
	}
	s.begin("register %s", name)
	s.machines[owner].Machines = append(s.machines[owner].Machines, schema.Machine{Name: name, Addr: "x"})
	s.emitMachineShard(owner)
}

func (s *historyStore) deleteMachine(n int) {
	name, owner := s.machineName(n), s.machineOwner(n)
	before := len(s.machines[owner].Machines)
	s.machines[owner].Machines = slices.DeleteFunc(slices.Clone(s.machines[owner].Machines), func(m schema.Machine) bool { return m.Name == name })
	if len(s.machines[owner].Machines) == before {
		return
	}
	s.begin("delete %s", name)
	s.deletedAt[name] = s.revision
	s.emitMachineShard(owner)
}

// bind enters a task of a job on a machine, if the job is accepted and the machine exists.
func (s *historyStore) bind(job, machine, index int) {
	id, name, owner := s.jobName(job), s.machineName(machine), s.machineOwner(machine)
	if s.acceptedAt[id] == 0 || s.removedAt[id] > 0 {
		return
	}
	for i := range s.machines[owner].Machines {
		m := &s.machines[owner].Machines[i]
		task := schema.Task{Job: id, Index: index, Attempt: 7}
		if m.Name == name && !slices.Contains(m.Tasks, task) {
			s.begin("bind %s/%d to %s", id, index, name)
			m.Tasks = append(slices.Clone(m.Tasks), task)
			slices.SortFunc(m.Tasks, func(a, b schema.Task) int { return strings.Compare(keyOf(a).task(), keyOf(b).task()) })
			s.emitMachineShard(owner)
		}
	}
}

func (s *historyStore) splitMachines(n, parts int) {
	owner := s.machineOwner(n)
	s.begin("split machine shard %d into %d", owner, parts)
	whole := s.machines[owner]
	count := max(whole.ShardCount, s.base)
	for i := range parts {
		s.machines[owner+i*count] = &schema.MachineShard{ShardCount: count * parts}
	}
	for _, machine := range whole.Machines {
		part := s.machines[schema.ShardIndex(machine.Name, count*parts)]
		part.Machines = append(part.Machines, machine)
	}
	for i := range parts {
		s.emitMachineShard(owner + i*count)
	}
}

// historyReplica is a replica that is shown a history, with a record of what it was shown.
type historyReplica struct {
	t             *testing.T
	name          string
	store         *historyStore
	c             *Controller
	shown         map[string]uint64 // last shown revision by key
	seenJobs      map[string]bool   // jobs that the replica has shown as accepted
	knownMachines map[string]*machine
	agents        map[string]*agentState // by machine: its agent state when it was first shown
	steps         []string
}

func newHistoryReplica(t *testing.T, name string, store *historyStore) *historyReplica {
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
	c := newTestController(cfg)
	c.partitions.led[0] = &leadership{} // so that it commands the machines
	return &historyReplica{
		t: t, name: name, store: store, c: c,
		shown: map[string]uint64{}, seenJobs: map[string]bool{}, knownMachines: map[string]*machine{}, agents: map[string]*agentState{},
	}
}

// show applies one state of a document, advances the replica to the last revision up to which it was shown
// every change, and checks all names.
func (r *historyReplica) show(event historyEvent) {
	r.steps = append(r.steps, fmt.Sprintf("%s@%d", event.key, event.revision))
	r.shown[event.key] = event.revision
	r.c.replica.apply(event.key, event.value, event.revision, false)
	if !r.c.replica.synced {
		r.c.replica.beginSync(0)
	}
	r.c.replica.advance(r.completeRevision())
	for name, m := range r.c.replica.machines {
		if r.knownMachines[name] != nil && r.knownMachines[name] != m {
			r.fail("%s was recreated", name)
		}
		if r.knownMachines[name] == nil {
			r.knownMachines[name], r.agents[name] = m, m.agent
		}
	}
	r.check()
}

// completeRevision returns the last revision up to which the replica was shown every change.
func (r *historyReplica) completeRevision() uint64 {
	revision := r.store.revision
	for _, event := range r.store.events {
		if r.shown[event.key] < event.revision {
			revision = min(revision, event.revision-1)
		}
	}
	return revision
}

func (r *historyReplica) fail(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("%s: %s\nhistory %q\nshown %q", r.name, fmt.Sprintf(format, args...), r.store.script, r.steps)
}

// check verifies what must hold after every step: a job that was shown as accepted stays until the
// replica has been shown a document of a revision at which it was over; the same holds for machines and
// the state of their agents; and no task of a job that is not over is released or stopped.
func (r *historyReplica) check() {
	r.t.Helper()
	latest := slices.Max(slices.Collect(maps.Values(r.shown)))
	for id := range r.store.acceptedAt {
		r.checkJob(id, latest)
	}
	for name, m := range r.knownMachines {
		deleted := r.store.deletedAt[name] > 0 && r.store.deletedAt[name] <= latest
		if !deleted && (r.c.replica.machines[name] != m || m.agent == nil || m.agent != r.agents[name]) {
			r.fail("machine %s is lost", name)
		}
	}
	for _, m := range r.c.replica.machines {
		for _, task := range m.doc.Tasks {
			if !r.finished(task.Job, latest) {
				r.checkEntry(m, task)
			}
		}
	}
}

// finished reports whether a job is over as of a revision.
func (r *historyReplica) finished(id string, revision uint64) bool {
	return r.store.removedAt[id] > 0 && r.store.removedAt[id] <= revision
}

// checkJob checks one job after documents up to the latest revision were shown.
func (r *historyReplica) checkJob(id string, latest uint64) {
	r.t.Helper()
	accepted, finished := r.c.replica.acceptedJob(id) != nil, r.finished(id, latest)
	if r.seenJobs[id] && !accepted && !finished {
		r.fail("%s is lost", id)
	}
	r.seenJobs[id] = r.seenJobs[id] || accepted
	if latest > r.completeRevision() {
		return // the replica is incomplete, as within an answer: the job may wait for its shard
	}
	if r.store.acceptedAt[id] <= latest && !accepted && !finished {
		r.fail("%s is not shown", id)
	}
	if finished && accepted {
		r.fail("%s is kept though it is over", id)
	}
}

// checkEntry checks what may be done with an entry whose job is not over.
func (r *historyReplica) checkEntry(m *machine, task schema.Task) {
	r.t.Helper()
	facts, name := r.c.facts.ofTask(m, task), keyOf(task).task()
	if stop := facts.MustStop(); stop != guard.KeepRunning {
		r.fail("%s on %s must stop: %s", name, m.name, stop)
	}
	if release := facts.MayRelease(guard.MachineFacts{Quiesced: true}); release != guard.KeepEntry {
		r.fail("%s on %s may be released: %s", name, m.name, release)
	}
	start := facts.MayStart(guard.Permissions{MayCommand: true, MayStart: true})
	if r.c.replica.acceptedJob(task.Job) == nil && start == guard.StartAllowed {
		r.fail("%s on %s may start before its job is shown", name, m.name)
	}
}

// checkEqual compares the replica, after the whole history was shown, with the store.
func (r *historyReplica) checkEqual() {
	r.t.Helper()
	for n, document := range r.store.jobs {
		r.checkJobShard(n, document)
	}
	for id := range r.store.removedAt {
		if r.c.replica.acceptedJob(id) != nil {
			r.fail("%s is over and still accepted", id)
		}
	}
	machines := 0
	for n, document := range r.store.machines {
		machines += len(document.Machines)
		r.checkMachineShard(n, document)
	}
	if len(r.c.replica.machines) != machines {
		r.fail("%d machines, want %d", len(r.c.replica.machines), machines)
	}
	for _, m := range r.c.replica.machines { // the entries of a job that is over may be released
		for _, task := range m.doc.Tasks {
			if r.store.removedAt[task.Job] > 0 && r.c.facts.ofTask(m, task).MayRelease(guard.MachineFacts{}) != guard.ReleaseJobOver {
				r.fail("%s on %s is never released", keyOf(task).task(), m.name)
			}
		}
	}
}

func (r *historyReplica) checkJobShard(n int, document *schema.JobShard) {
	r.t.Helper()
	listed := slices.Clone(r.c.replica.jobShards.find(n).jobIDs)
	slices.Sort(listed)
	var want []string
	for _, job := range document.Jobs {
		want = append(want, job.ID)
		if r.c.replica.acceptedJob(job.ID) == nil || r.c.replica.jobShardOf(job.ID).number != n {
			r.fail("%s is not accepted, or not found in job shard %d", job.ID, n)
		}
	}
	slices.Sort(want)
	if !slices.Equal(listed, want) {
		r.fail("job shard %d lists %v, want %v", n, listed, want)
	}
}

func (r *historyReplica) checkMachineShard(n int, document *schema.MachineShard) {
	r.t.Helper()
	shard := r.c.replica.machineShards.find(n)
	if len(shard.machines) != len(document.Machines) {
		r.fail("machine shard %d has %d machines, want %d", n, len(shard.machines), len(document.Machines))
	}
	for _, machine := range document.Machines {
		m := r.c.replica.machines[machine.Name]
		if m == nil || m.shard != shard || !slices.Equal(m.doc.Tasks, machine.Tasks) {
			r.fail("%s is not in machine shard %d, or has other tasks", machine.Name, n)
		}
	}
}

// eventsByKey returns a history's events grouped by key, in the order of their revisions.
func (s *historyStore) eventsByKey() [][]historyEvent {
	var keys []string
	byKey := map[string][]historyEvent{}
	for _, event := range s.events {
		if byKey[event.key] == nil {
			keys = append(keys, event.key)
		}
		byKey[event.key] = append(byKey[event.key], event)
	}
	var all [][]historyEvent
	for _, key := range keys {
		all = append(all, byKey[key])
	}
	return all
}

// everyOrder calls show with every order of the events that keeps the order within each key; any
// event but the last of its key may be left out. It returns the number of orders.
func everyOrder(rest [][]historyEvent, order []historyEvent, show func([]historyEvent)) int {
	count, remaining := 0, false
	for i, events := range rest {
		for skipped := range events {
			remaining = true
			next := slices.Clone(rest)
			next[i] = events[skipped+1:]
			count += everyOrder(next, append(slices.Clone(order), events[skipped]), show)
		}
	}
	if !remaining {
		show(order)
		return 1
	}
	return count
}

// smallHistories are histories that are shown in every order.
var smallHistories = []struct {
	name string
	play func(s *historyStore)
}{
	{"jobs, a part split again", func(s *historyStore) {
		s.accept(0)
		s.accept(1)
		s.accept(3)
		s.splitJobs(0, 2)
		s.splitJobs(1, 2)
	}},
	{"jobs, split twice and into other counts", func(s *historyStore) {
		s.accept(5)
		s.splitJobs(0, 2)
		s.splitJobs(1, 3)
		s.splitJobs(0, 2)
	}},
	{"jobs, over between the splits", func(s *historyStore) {
		s.accept(3)
		s.splitJobs(0, 2)
		s.finish(3)
		s.splitJobs(1, 2)
	}},
	{"jobs, over after the splits", func(s *historyStore) {
		s.accept(3)
		s.splitJobs(0, 2)
		s.splitJobs(3, 2)
		s.finish(3)
	}},
	{"jobs, accepted between the splits", func(s *historyStore) {
		s.accept(1)
		s.splitJobs(0, 2)
		s.accept(3)
		s.splitJobs(3, 2)
	}},
	{"machines, a part split again", func(s *historyStore) {
		s.register(0)
		s.register(1)
		s.register(3)
		s.splitMachines(0, 2)
		s.splitMachines(1, 2)
	}},
	{"machines, split twice and into other counts", func(s *historyStore) {
		s.register(5)
		s.splitMachines(0, 2)
		s.splitMachines(1, 3)
		s.splitMachines(0, 2)
	}},
	{"machines, dropped between the splits", func(s *historyStore) {
		s.register(3)
		s.splitMachines(0, 2)
		s.deleteMachine(3)
		s.splitMachines(1, 2)
	}},
	{"a task bound before and after a split of both", func(s *historyStore) {
		s.accept(1)
		s.register(1)
		s.bind(1, 1, 0)
		s.splitJobs(0, 2)
		s.splitMachines(0, 2)
		s.bind(1, 1, 1)
	}},
	{"a job over whose entry stays", func(s *historyStore) {
		s.accept(3)
		s.register(1)
		s.bind(3, 1, 0)
		s.splitJobs(0, 2)
		s.splitJobs(1, 2)
		s.finish(3)
	}},
}

// historyBase returns the number of shards of each kind that a history begins with: the number of job
// shards of a new replica, which must be a multiple of its number of machine shards.
func historyBase(t *testing.T) int {
	t.Helper()
	c := newHistoryReplica(t, "", nil).c
	if len(c.replica.jobShards.all())%len(c.replica.machineShards.all()) != 0 {
		t.Fatalf("%d job shards, %d machine shards", len(c.replica.jobShards.all()), len(c.replica.machineShards.all()))
	}
	return len(c.replica.jobShards.all())
}

// TestSmallShardHistories shows each small history in every order.
func TestSmallShardHistories(t *testing.T) {
	for _, history := range smallHistories {
		t.Run(history.name, func(t *testing.T) {
			store := newHistoryStore(historyBase(t))
			history.play(store)
			orders := everyOrder(store.eventsByKey(), nil, func(order []historyEvent) {
				replica := newHistoryReplica(t, history.name, store)
				for _, event := range order {
					replica.show(event)
				}
				replica.checkEqual()
			})
			t.Logf("%d orders", orders)
		})
	}
}

// TestRandomShardHistories shows random histories in random orders; a failure names the seed and order.
func TestRandomShardHistories(t *testing.T) {
	const histories, orders, operations = 120, 12, 14
	base := historyBase(t)
	for seed := range uint64(histories) {
		random := rand.New(rand.NewPCG(seed, 31))
		store := newHistoryStore(base)
		store.accept(0)
		store.register(0)
		for range operations {
			n := random.IntN(12)
			[]func(){
				func() { store.accept(n) }, func() { store.accept(n) }, func() { store.finish(n) },
				func() { store.register(n) }, func() { store.register(n) }, func() { store.deleteMachine(n) },
				func() { store.bind(n, random.IntN(12), random.IntN(4)) }, func() { store.bind(0, 0, random.IntN(4)) },
				func() { store.splitJobs(n, 2+random.IntN(2)) }, func() { store.splitMachines(n, 2+random.IntN(2)) },
			}[random.IntN(10)]()
		}
		for order := range orders {
			showInRandomOrder(t, fmt.Sprintf("seed %d, order %d", seed, order), store, random)
		}
	}
}

// showInRandomOrder shows a history's states in a random order across keys, with some left out.
func showInRandomOrder(t *testing.T, name string, store *historyStore, random *rand.Rand) {
	t.Helper()
	replica := newHistoryReplica(t, name, store)
	rest := store.eventsByKey()
	for len(rest) > 0 {
		i := random.IntN(len(rest))
		events := rest[i]
		skipped := 0
		if random.IntN(3) == 0 {
			skipped = random.IntN(len(events))
		}
		replica.show(events[skipped])
		if rest[i] = events[skipped+1:]; len(rest[i]) == 0 {
			rest = slices.Delete(rest, i, i+1)
		}
	}
	replica.checkEqual()
}

// TestAcceptWaitsForOwner submits a job whose job shard was split off from one that is shown already, as
// between the pages of a reload. A name without a shown owner was assumed to be in the shard of the first
// layout, so the job was written into the shown shard, which does not own it, and the condition on that
// shard's revision held. The submission must wait for the part; if its user gives up first, nothing is
// written.
func TestAcceptWaitsForOwner(t *testing.T) {
	c, writer := newTestAccepts()
	base := len(c.replica.jobShards.all())
	id := fmt.Sprintf("j-%06d", baseShard+base)
	c.replica.apply(schema.JobShardKey(baseShard), encode(schema.JobShard{ShardCount: 2 * base}), 20, false)
	submit(c, 1, id)
	if writer.commits != 0 {
		t.Fatalf("written to %s", writer.txn.Operations[0].Set)
	}
	c.replica.apply(schema.JobShardKey(baseShard+base), encode(schema.JobShard{ShardCount: 2 * base}), 20, false)
	c.accepts.storePending()
	if writer.commits != 1 || writer.txn.Operations[0].Set != schema.JobShardKey(baseShard+base) {
		t.Fatalf("%d transactions", writer.commits)
	}
}

// TestProofWaitsForReload has a user wait for a proof while the replica is reloaded. The wait ended once
// the replica was loaded, not once it was complete, so the proof was taken from the first page though
// later pages are of later revisions: an entry that moved between two documents during the reload was in neither,
// and the user got 404.
func TestProofWaitsForReload(t *testing.T) {
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
	c := newTestController(cfg)
	proven := false
	c.freshness.awaitingRevision = []revisionWaiter{{revision: 12, done: func(current bool) { proven = current }}}
	c.replica.notePage(15)
	c.replica.notePage(25)
	c.replica.beginSync(15)
	c.freshness.releaseWaiters()
	if proven {
		t.Error("proven by a replica that is not complete")
	}
	c.replica.advance(25)
	c.freshness.releaseWaiters()
	if !proven {
		t.Error("not proven by a complete replica")
	}
}

// TestMisplacedJob shows a job in a shard that does not own it, as an earlier version may have written it
// (see TestAcceptWaitsForOwner). It stays accepted, also when shards are split, including its own.
func TestMisplacedJob(t *testing.T) {
	c, _ := newTestAccepts()
	base := len(c.replica.jobShards.all())
	job := schema.Job{ID: fmt.Sprintf("j-%06d", baseShard+base), Tasks: 1}
	misplaced := schema.JobShard{ShardCount: 2 * base, Jobs: []schema.Job{job}}
	c.replica.apply(schema.JobShardKey(baseShard), encode(misplaced), 25, false)
	c.replica.apply(schema.JobShardKey(baseShard+base), encode(schema.JobShard{ShardCount: 2 * base}), 20, false)
	checkAccepted(t, c, []schema.Job{job})
	for _, n := range []int{baseShard + base, baseShard + 3*base} {
		c.replica.apply(schema.JobShardKey(n), encode(schema.JobShard{ShardCount: 4 * base}), 30, false)
	}
	checkAccepted(t, c, []schema.Job{job})
	for _, document := range (stagedJobShard{c.jobShardSplits, c.replica.jobShards.find(baseShard), "tag"}).split(2) {
		c.replica.apply(document.key, document.value, 40, false)
	}
	checkAccepted(t, c, []schema.Job{job})
}

// TestProvenOver asks whether a job that is not among the accepted jobs is over. The replica is loaded up
// to revision 10, and a task of the job was entered at the given revision.
func TestProvenOver(t *testing.T) {
	const id = "j-000005"
	for _, tc := range []struct {
		name    string
		prepare func(c *Controller)
		entered uint64
		want    bool
	}{
		{"replica whole", func(*Controller) {}, 10, true},
		{"entered later than the replica shows", func(*Controller) {}, 11, false},
		{"replica not loaded", func(c *Controller) { c.replica.beginLoad() }, 10, false},
		{"pages of later revisions", func(c *Controller) { c.replica.notePage(11) }, 10, false},
		{"its shard not shown since a split", func(c *Controller) {
			base := len(c.replica.jobShards.all())
			c.replica.apply(schema.JobShardKey(baseShard+base), encode(schema.JobShard{ShardCount: 2 * base}), 9, false)
		}, 10, false},
		{"done", func(c *Controller) {
			c.replica.beginLoad()
			c.replica.outcomes.put(id, schema.Outcome{State: StageDone})
		}, 11, true},
		{"cancelled, its entries may stand", func(c *Controller) {
			c.replica.beginLoad()
			c.replica.outcomes.put(id, schema.Outcome{State: StageCancelled})
		}, 11, false},
		{"accepted", func(c *Controller) {
			c.replica.apply(schema.JobShardKey(5), encode(schema.JobShard{Jobs: []schema.Job{{ID: id, Tasks: 1}}}), 9, false)
		}, 10, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, _ := newTestAccepts()
			c.replica.beginSync(10)
			tc.prepare(c)
			if got := c.replica.provenOver(id, tc.entered); got != tc.want {
				t.Errorf("proven over: %v", got)
			}
		})
	}
}

// TestDeletedJobShard deletes a job shard, as an operator may by hand: its jobs are gone, and none waits
// for its owner.
func TestDeletedJobShard(t *testing.T) {
	c, _ := newTestAccepts()
	base := len(c.replica.jobShards.all())
	id := fmt.Sprintf("j-%06d", baseShard+base)
	for _, n := range []int{baseShard, baseShard + base} {
		doc := schema.JobShard{ShardCount: 2 * base}
		if n != baseShard {
			doc.Jobs = []schema.Job{{ID: id, Tasks: 1}}
		}
		c.replica.apply(schema.JobShardKey(n), encode(doc), 20, false)
	}
	c.replica.apply(schema.JobShardKey(baseShard+base), nil, 30, true)
	if c.replica.acceptedJob(id) != nil || len(c.replica.unlocatedJobs) > 0 {
		t.Errorf("accepted %v, waiting %v", c.replica.acceptedJob(id), c.replica.unlocatedJobs)
	}
}

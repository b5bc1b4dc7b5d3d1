package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// progressStore stores the progress of one job by the transactions of its leader's plans, with the store's limits.
type progressStore struct {
	t        *testing.T
	c        *Controller
	job      *job
	fake     *fakeStore
	plans    int
	txnBytes int // of the largest transaction
	bytes    int // of all transactions
}

// maxStoreTxnBytes is the store's limit on a transaction.
const maxStoreTxnBytes = 64 << 10

// newProgressStore returns a store with a job of the given number of tasks.
func newProgressStore(t *testing.T, limits config.KVLimits, tasks int) *progressStore {
	t.Helper()
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.Teams, cfg.Settings.KVStore.KVLimits = 1, []config.Team{{Name: "red"}}, limits
	s := &progressStore{t: t, c: newTestController(cfg), fake: &fakeStore{
		keys: map[string]kv.KeyValue{}, requestCounts: map[kv.RequestKind]int{}, checkConditions: true,
		maxValueBytes: int(limits.ValueKB * 1024), maxTxnOps: limits.TxnOps,
	}}
	s.c.replica.format = schema.FormatDependencies
	s.lead(tasks)
	return s
}

// lead has a controller lead the job's partition.
func (s *progressStore) lead(tasks int) {
	s.c.now = 1000 * units.Second
	s.c.partitions.led[0] = &leadership{term: 3, planning: planningState{reservations: newReservationTable()}}
	s.job = acceptJob(s.c, schema.Job{ID: "j-000001", Team: "red", Tasks: tasks, CPUs: 0.01})
	s.job.progressWrittenAt = s.c.now
}

// flush has plans store the job's progress until nothing is left to store, and returns how long that took.
func (s *progressStore) flush() units.Micros {
	s.t.Helper()
	const planInterval, maxPlans = 200 * units.Millisecond, 20_000
	begin := s.c.now
	s.c.now += progressFlushPeriod
	for plans := 0; len(s.job.unstoredCompletions) > 0; plans++ {
		if plans == maxPlans {
			s.t.Fatalf("%d completions are not stored after %d plans", len(s.job.unstoredCompletions), maxPlans)
		}
		s.plan()
		s.c.now += planInterval
	}
	return s.c.now - begin
}

// plan makes one plan and answers its transaction.
func (s *progressStore) plan() {
	s.t.Helper()
	s.c.budget.credit = s.c.store.limits.WriteRPS
	p := newPlan(s.c.planner, s.c.partitions.led[0])
	p.storeProgressOf([]*job{s.job}, p.budget.jointLeft()/2)
	s.c.effects = nil
	p.commit()
	for _, effect := range s.c.effects {
		call, ok := effect.(StoreCall)
		if !ok {
			s.t.Fatalf("%T, want a transaction", effect)
		}
		s.plans++
		bytes := 0
		for _, op := range call.Request.Txn.Operations {
			bytes += len(op.Set) + len(op.Value)
		}
		s.txnBytes, s.bytes = max(s.txnBytes, bytes), s.bytes+bytes
		for _, message := range s.fake.transact(call) {
			if result, ok := message.(StoreResult); ok {
				s.c.handleStoreResult(result)
			}
		}
	}
}

// check checks that the store has accepted all documents and that a controller that starts now knows each completion.
func (s *progressStore) check(want schema.TaskSet) {
	s.t.Helper()
	if len(s.fake.oversized) > 0 || s.txnBytes > maxStoreTxnBytes {
		s.t.Errorf("too large for the store: %v, largest transaction %d bytes", s.fake.oversized, s.txnBytes)
	}
	successor := newTestController(s.c.cfg)
	for key, item := range s.fake.keys {
		successor.replica.apply(key, item.Value, item.ModRevision, false)
	}
	if got := successor.replica.job(s.job.id).done; got.String() != want.String() {
		s.t.Errorf("a new leader knows %d completions, want %d", got.Len(), want.Len())
	}
}

// completionPatterns are orders in which the tasks of an array may complete; a share of them completes in each round.
var completionPatterns = map[string]func(rng *rand.Rand, tasks int) []int{
	"in order": func(_ *rand.Rand, tasks int) []int {
		order := make([]int, tasks)
		for i := range order {
			order[i] = i
		}
		return order
	},
	"last first": func(_ *rand.Rand, tasks int) []int {
		order := make([]int, tasks)
		for i := range order {
			order[i] = tasks - 1 - i
		}
		return order
	},
	"every second, then the others": func(_ *rand.Rand, tasks int) []int {
		var order []int
		for remainder := range 2 {
			for n := remainder; n < tasks; n += 2 {
				order = append(order, n)
			}
		}
		return order
	},
	"every third last": func(_ *rand.Rand, tasks int) []int {
		var order []int
		for _, remainder := range []int{1, 2, 0} {
			for n := remainder; n < tasks; n += 3 {
				order = append(order, n)
			}
		}
		return order
	},
	"any order": func(rng *rand.Rand, tasks int) []int { return rng.Perm(tasks) },
}

// TestLongProgress guards against an array that never goes on because its progress is not stored (review/4): whatever the
// pattern of completions, the size of a value and the rate of changes, all completions are stored, within the store's
// limits, and a new leader knows them.
func TestLongProgress(t *testing.T) {
	const tasks = 20_000
	for name, pattern := range completionPatterns {
		for _, limits := range []config.KVLimits{
			{RPS: 350, WriteRPS: 5, ValueKB: 1, TxnOps: 3}, {RPS: 350, WriteRPS: 25, ValueKB: 4, TxnOps: 12},
			{RPS: 350, WriteRPS: 40, ValueKB: 16, TxnOps: 32}, {RPS: 350, WriteRPS: 30, ValueKB: 64, TxnOps: 10},
		} {
			t.Run(fmt.Sprintf("%s, %v KiB", name, limits.ValueKB), func(t *testing.T) {
				t.Parallel()
				newProgressStore(t, limits, tasks).complete(pattern(rand.New(rand.NewPCG(5, 6)), tasks))
			})
		}
	}
}

// TestLongestProgress stores the progress of the largest array that a user may submit.
func TestLongestProgress(t *testing.T) {
	for _, name := range []string{"every second, then the others", "any order"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newProgressStore(t, config.KVLimits{RPS: 250, WriteRPS: 25, ValueKB: 4, TxnOps: 12}, schema.MaxTasks)
			s.complete(completionPatterns[name](rand.New(rand.NewPCG(7, 8)), schema.MaxTasks))
		})
	}
}

// TestLongProgressBeforeUpgrade guards against tasks that a leader of the version in production does again although their
// completion was stored: that version takes the last segment that it is shown for all of a job's progress. Until all
// members know better, the progress is in one segment, with as many completions as fit; then all are stored.
func TestLongProgressBeforeUpgrade(t *testing.T) {
	const tasks = 6_000
	s := newProgressStore(t, config.KVLimits{RPS: 250, WriteRPS: 25, ValueKB: 4, TxnOps: 12}, tasks)
	s.c.replica.format = schema.FormatInitial
	var done []int
	for n := 0; n < tasks; n += 2 {
		s.job.noteCompletion(n, units.Second)
		done = append(done, n)
	}
	for range 100 {
		s.c.now += progressFlushPeriod
		s.plan()
	}
	s.check(s.job.done)
	if stored := s.job.done.Len(); len(s.fake.keys) != 1 || stored < 500 || s.bytes > 100<<10 {
		t.Errorf("%d completions in %d segments, %d KB written", stored, len(s.fake.keys), s.bytes>>10)
	}
	s.c.replica.format = schema.FormatDependencies
	s.flush()
	s.check(schema.NewTaskSet(done))
}

// complete has the job's tasks complete in an order, in several rounds of which each ends with a flush.
func (s *progressStore) complete(order []int) {
	s.t.Helper()
	const rounds = 5
	inOrder := slices.Clone(order)
	for round := range rounds {
		first, end := round*len(order)/rounds, (round+1)*len(order)/rounds
		if end == len(order) {
			end-- // a job whose tasks are all done stores its outcome instead
		}
		for _, n := range order[first:end] {
			s.job.noteCompletion(n, units.Second)
		}
		took := s.flush()
		slices.Sort(inOrder[:end])
		s.check(schema.NewTaskSet(inOrder[:end]))
		s.t.Logf("%d tasks done: %d segments, %d plans, %d changes, %d KB, %.1f s", end, len(s.fake.keys), s.plans, s.fake.operationCount, s.bytes>>10, took.Seconds())
	}
}

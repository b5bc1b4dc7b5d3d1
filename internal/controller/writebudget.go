package controller

import (
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Parts of the store's permitted changes. Not all controllers are busy at once, so the parts add up to
// a little more than the whole; the store's 429 corrects what is too much.
const (
	baseWriteShare    = 0.2  // of each controller, for accepts and cancellations
	leadersWriteShare = 0.88 // of the leaders of teams' partitions together
	targetWriteUse    = 0.92 // that all controllers together aim at
)

// minSavedChanges is how many changes may be saved up on a slow store, as far as it permits so many a
// second. A job's outcome is several changes in one transaction: kept below that, no job would ever be
// over.
const minSavedChanges = 8

// changeRateWeight is how much the last second counts in the moving average of changes.
const changeRateWeight = 0.4

// heartbeatSource gives the latest heartbeat of a process, if it is recent.
type heartbeatSource interface {
	heartbeatOf(member, incarnation string) (peer.Heartbeat, bool)
}

// writeBudget is this controller's part of the changes that the store permits: credit that grows with
// time and that each change takes from. It counts what is written. It refuses nothing itself: who
// writes asks it first.
type writeBudget struct {
	*environment

	store      *storeClient
	replica    *replica
	partitions *partitionTable
	heartbeats heartbeatSource

	credit                float64 // changes that may still be made now
	maxCredit             float64 // that may be saved up
	refilledAt            units.Micros
	changesByKind         map[string]int // since the last summary, by what they changed
	changesSinceHeartbeat int
	averageRate           float64 // changes a second, a moving average
}

// start begins to give credit.
func (b *writeBudget) start() { b.refilledAt = b.now }

// refill gives this controller the changes that it may make since the last time.
func (b *writeBudget) refill() {
	rate := b.rate()
	b.credit += rate * (b.now - b.refilledAt).Seconds()
	b.maxCredit = max(rate, min(b.store.limits.WriteRPS, minSavedChanges))
	b.credit = min(b.credit, b.maxCredit)
	b.refilledAt = b.now
}

// rate is this controller's part of the permitted changes, per second: most of them go to the leaders
// of teams' partitions, the rest to all.
func (b *writeBudget) rate() float64 {
	whole := b.store.limits.WriteRPS
	leaders := map[string]bool{}
	leading := false
	for _, n := range b.partitions.withTeams {
		if p := b.replica.partitions[n]; p != nil {
			leaders[p.doc.Member] = true
		}
		leading = leading || b.partitions.led[n] != nil
	}
	rate := baseWriteShare * whole
	if leading {
		rate = max(rate, leadersWriteShare*whole/float64(max(1, len(leaders))), b.unusedRate())
	}
	return rate
}

// unusedRate is what the others have left of the permitted changes in the last seconds; 0 while that
// is not known of each of them. One that wants more takes its own part at once.
func (b *writeBudget) unusedRate() float64 {
	if !b.replica.dependenciesEnabled() {
		return 0
	}
	used := 0.0
	for _, process := range b.replica.registeredProcesses() {
		if process.member() == b.cfg.Member {
			continue
		}
		heartbeat, ok := b.heartbeats.heartbeatOf(process.member(), process.incarnation())
		if !ok {
			return 0
		}
		used += heartbeat.Writes
	}
	return targetWriteUse*b.store.limits.WriteRPS - used
}

// hasCredit reports whether what goes before the rest may still be written. Accepts and leadership may
// run up a debt of one second's changes, which everything else has to wait for.
func (b *writeBudget) hasCredit() bool { return b.credit >= -b.store.limits.WriteRPS }

// charge takes the changes of a transaction from the credit. Repeats of a transaction are not charged.
func (b *writeBudget) charge(operations []kv.Operation) {
	b.credit -= float64(len(operations))
	b.changesSinceHeartbeat += len(operations)
	for _, op := range operations {
		b.changesByKind[documentKind(changedKey(op))]++
	}
}

// noteThrottled takes all credit: the store has refused a transaction for its rate.
func (b *writeBudget) noteThrottled() { b.credit = min(b.credit, -1) }

// updateAverageRate takes the changes since the last heartbeat into the moving average and returns it.
func (b *writeBudget) updateAverageRate() float64 {
	b.averageRate += (float64(b.changesSinceHeartbeat) - b.averageRate) * changeRateWeight
	b.changesSinceHeartbeat = 0
	return b.averageRate
}

// takeChangesByKind returns the changes since it was last called, by what they changed.
func (b *writeBudget) takeChangesByKind() map[string]int {
	changes := b.changesByKind
	b.changesByKind = map[string]int{}
	return changes
}

// documentKind is what a key stores, as the log calls it.
func documentKind(key string) string {
	switch {
	case strings.HasPrefix(key, schema.MachineShardPrefix):
		return "machine_shards"
	case strings.HasPrefix(key, schema.JobShardPrefix):
		return "job_shards"
	case strings.HasPrefix(key, schema.ProgressPrefix):
		return "progress"
	case strings.HasPrefix(key, schema.OutcomePrefix):
		return "ends"
	default:
		return "other"
	}
}

package controller

import (
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Shares of the changes per second that the store permits. Not all controllers are busy at the same time,
// so the shares add up to a little more than the whole; if the controllers exceed the permitted rate, the
// store answers 429 and noteThrottled removes the credit.
const (
	baseWriteShare    = 0.2  // guaranteed to each controller, for accepts and cancellations
	leadersWriteShare = 0.88 // divided among the leaders of partitions with teams
	targetWriteUse    = 0.92 // used by all controllers together, as a target
)

// minCreditCap is the lower bound of maxCredit, in changes, unless the store permits fewer changes a
// second. A job's outcome takes several changes in one transaction: with a lower cap on a slow store, no
// job would ever finish.
const minCreditCap = 8

// maxReservedChanges is the upper bound of reservedChanges.
const maxReservedChanges = 4

// changeRateWeight is the weight of the last second in the moving average of changes.
const changeRateWeight = 0.4

// heartbeatSource provides the latest heartbeat of a process, if it is recent.
type heartbeatSource interface {
	heartbeatOf(member, incarnation string) (peer.Heartbeat, bool)
}

// writeBudget is this controller's share of the changes that the store permits: credit that grows with
// time and is reduced by each change. It also counts the changes. It refuses nothing itself: a component
// must check the credit before it writes.
type writeBudget struct {
	*environment

	store      *storeClient
	replica    *replica
	partitions *partitionTable
	heartbeats heartbeatSource

	credit                float64 // changes that may be made now
	maxCredit             float64 // cap of credit
	refilledAt            units.Micros
	changesByKind         map[string]int // changes since the last summary, by document kind
	changesSinceHeartbeat int
	averageRate           float64 // moving average of changes per second
}

// start starts the accrual of credit.
func (b *writeBudget) start() { b.refilledAt = b.now }

// refill adds the credit earned since the last refill, up to maxCredit.
func (b *writeBudget) refill() {
	rate := b.rate()
	b.credit += rate * (b.now - b.refilledAt).Seconds()
	b.maxCredit = max(rate, min(b.store.limits.WriteRPS, minCreditCap))
	b.credit = min(b.credit, b.maxCredit)
	b.refilledAt = b.now
}

// rate returns this controller's share of the permitted changes, per second: most of them go to the
// leaders of partitions with teams, the rest to all controllers.
func (b *writeBudget) rate() float64 {
	permittedRate := b.store.limits.WriteRPS
	leaders := map[string]bool{}
	leading := false
	for _, n := range b.partitions.withTeams {
		if p := b.replica.partitions[n]; p != nil {
			leaders[p.doc.Member] = true
		}
		leading = leading || b.partitions.led[n] != nil
	}
	rate := baseWriteShare * permittedRate
	if leading {
		rate = max(rate, leadersWriteShare*permittedRate/float64(max(1, len(leaders))), b.unusedRate())
	}
	return rate
}

// unusedRate returns how many of the permitted changes per second the other controllers have left unused
// in the last seconds; 0 while the rate of any of them is unknown. A controller that needs more than it
// has used can use its own share immediately.
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

// hasCredit reports whether a prioritized change may still be written. Accepts and leadership changes
// may overdraw the credit by one second's changes; all other writes wait until that is repaid.
func (b *writeBudget) hasCredit() bool { return b.credit >= -b.store.limits.WriteRPS }

// reservedChanges returns the credit that arrays leave for accepts, cancellations and services: at most half of all that
// may accrue, as arrays would never be placed otherwise where the store permits few changes a second.
func (b *writeBudget) reservedChanges() float64 { return min(maxReservedChanges, b.maxCredit/2) }

// charge deducts the changes of a transaction from the credit. Repeats of a transaction are not charged.
func (b *writeBudget) charge(operations []kv.Operation) {
	b.credit -= float64(len(operations))
	b.changesSinceHeartbeat += len(operations)
	for _, op := range operations {
		b.changesByKind[documentKind(changedKey(op))]++
	}
}

// noteThrottled removes all credit, since the store has refused a transaction for exceeding its rate.
func (b *writeBudget) noteThrottled() { b.credit = min(b.credit, -1) }

// updateAverageRate adds the changes since the last heartbeat to the moving average and returns it.
func (b *writeBudget) updateAverageRate() float64 {
	b.averageRate += (float64(b.changesSinceHeartbeat) - b.averageRate) * changeRateWeight
	b.changesSinceHeartbeat = 0
	return b.averageRate
}

// takeChangesByKind returns the changes since the last call, by document kind, and resets the counts.
func (b *writeBudget) takeChangesByKind() map[string]int {
	changes := b.changesByKind
	b.changesByKind = map[string]int{}
	return changes
}

// documentKind returns the kind of document that a key stores, as named in the log.
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

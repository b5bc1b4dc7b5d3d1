package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// This file deals with machine shards that are too long for a stored value although no split makes them
// shorter: nearly all of the length is the entry of one machine.

// warnUnwritable logs, once in a while, that a machine shard cannot be written now.
func (p *planner) warnUnwritable(shard *stagedShard, bytes int) {
	if p.unwritableLog.due(p.now, unsplittableLogPeriod) {
		p.log.Warn("machine shard too long to be written", "shard", shard.shard.number, "bytes", shard.shard.size, "changed_bytes", bytes)
	}
}

// stopSurplusTasks stops tasks on the busiest machine of a shard that is too long and cannot be split, the
// cheapest first, until the document of those that stay may be written. It does so only while the store accepts
// the document: after the limits have fallen the document can be written again only when as many tasks have
// ended by themselves, which services never do.
func (p *plan) stopSurplusTasks(shard *stagedShard) {
	stillAccepted := shard.oversized && shard.shard.size < shard.acceptedBytes()
	if !stillAccepted || len(shard.machines) == 0 || !p.fitsShard(shard) {
		return
	}
	busiest := slices.MaxFunc(shard.machines, func(a, b *stagedMachine) int { return cmp.Compare(len(a.kept), len(b.kept)) })
	if busiest.machine.agent == nil || busiest.machine.deleted {
		return
	}
	surplus := p.surplusTasks(shard, busiest)
	for ; surplus > 0; surplus-- {
		victim, _, found := p.cheapestVictim(busiest, preemptionRule{eligible: func(*job) bool { return true }}, nil)
		if !found {
			break
		}
		busiest.requestStop(victim, schema.StopGracefully)
	}
	if len(busiest.stops) > 0 {
		p.writeShard(shard)
		p.log.Info("stopping tasks of a machine whose entry is too long", "machine", busiest.machine.name, "bytes", shard.shard.size, "tasks", len(busiest.stops))
	}
}

// surplusTasks returns how many tasks of a machine must be stopped, besides those that end anyway, so that the
// shard's document becomes short enough.
func (p *plan) surplusTasks(shard *stagedShard, m *stagedMachine) int {
	running := 0
	for _, task := range m.kept {
		if p.facts.shouldRun(m.machine, task) {
			running++
		}
	}
	return running - len(m.machine.doc.Tasks)*p.store.limits.maxValueBytes()/shard.shard.size
}

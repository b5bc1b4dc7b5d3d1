package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// splitMachineShards splits machine shards of this partition that have become too long, the longest
// first. A split may take more changes than there is credit for; the credit is earned back before the
// next split, at a rate that leaves half of the changes to other work.
func (p *plan) splitMachineShards() {
	if p.now < p.leadership.planning.splitNotBefore {
		return
	}
	changes := 0
	for _, shard := range p.shardsToSplit() {
		documents := p.splits.splitToFit(p.splits.partCount(shard.shard.size), shard)
		if len(documents) == 0 {
			p.warnUnsplittable(shard)
			p.stopSurplusTasks(shard)
			continue
		}
		if changes > 0 && changes+len(documents) > p.budget.changes {
			break
		}
		p.log.Info("splitting machine shard", "shard", shard.shard.number, "bytes", shard.shard.size, "pieces", len(documents), "longest", longestDocument(documents))
		changes += len(documents)
		p.splitShard(shard, len(documents))
	}
	if changes > 0 {
		p.leadership.planning.splitNotBefore = p.now + p.splits.creditPeriod(changes, machineShardSplitShare)
	}
}

// shardsToSplit returns this partition's machine shards that have become too long, the longest first.
func (p *plan) shardsToSplit() []*stagedShard {
	var oversized []*stagedShard
	for _, shard := range p.shards {
		if shard.ownShard && !shard.changed && p.splits.partCount(shard.shard.size) > 1 {
			oversized = append(oversized, shard)
		}
	}
	slices.SortStableFunc(oversized, func(a, b *stagedShard) int { return cmp.Compare(b.shard.size, a.shard.size) })
	return oversized
}

func (p *plan) warnUnsplittable(shard *stagedShard) {
	if p.unsplittableLog.due(p.now, unsplittableLogPeriod) {
		p.log.Warn("cannot split machine shard yet", "shard", shard.shard.number, "bytes", shard.shard.size, "machines", len(shard.machines))
	}
}

// splitShard stages a machine shard to be written as several documents.
func (p *plan) splitShard(shard *stagedShard, documents int) {
	shard.markSplit(documents)
	p.budget.takeChanges(documents)
	p.budget.takeBytes(documents*documentOverheadBytes + shard.shard.size)
}

// nameSet returns the names of the staged machines.
func (s *stagedShard) nameSet() nameSet {
	set := nameSet{shard: s.shard.number, shardCount: s.planner.replica.machineDirectory.countOf(s.shard.number)}
	for _, machine := range s.document().Machines {
		set.names = append(set.names, machine.Name)
	}
	return set
}

// split returns the machine shard's document in the given number of parts.
func (s *stagedShard) split(parts int) []splitDocument {
	whole, names := s.document(), s.nameSet()
	shards := make([]schema.MachineShard, parts)
	for i := range shards {
		shards[i] = schema.MachineShard{Partition: whole.Partition, Handovers: whole.Handovers, ShardCount: names.shardCount * parts, WriteTag: whole.WriteTag}
	}
	for _, machine := range whole.Machines {
		part := &shards[names.part(machine.Name, parts)]
		part.Machines = append(part.Machines, machine)
	}
	return encodeParts(shards, names, schema.MachineShardKey)
}

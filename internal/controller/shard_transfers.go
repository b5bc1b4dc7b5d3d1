package controller

import "frostdock.example/frostdock/internal/units"

const (
	// shardTransferPeriod is how long a machine shard stays where it was transferred to. Two leaders
	// may each think that the other lacks machines, since only the leader knows which jobs back off;
	// they must not hand the same machine shards to and fro without end.
	shardTransferPeriod = 30 * units.Second

	// maxShardsTransferred is how many machine shards are transferred together: their machines take no
	// new work until the new leader has heard their agents.
	maxShardsTransferred = 2
)

// transferUnusedShards hands machine shards that are of no use here to the partition that lacks
// machines most.
func (p *plan) transferUnusedShards() {
	if !periodOf(p.transferPeriods, p.leadership.partition).due(p.now, rebalancePeriod) {
		return
	}
	lackingCPUs := p.lackingCPUs()
	if lackingCPUs[p.leadership.partition] > 0 {
		return
	}
	to := p.partitionThatLacksMost(lackingCPUs)
	if to < 0 {
		return
	}
	lacking, transferred := lackingCPUs[to], 0
	for _, shard := range p.shards {
		if lacking <= 0 || transferred >= maxShardsTransferred {
			return
		}
		if p.transferable(shard) {
			transferred++
			p.transferShard(shard, to)
			for _, m := range shard.machines {
				if machineType := p.catalog.machineType(m.machine.doc.Type); machineType != nil {
					lacking -= machineType.CPUs
				}
			}
		}
	}
}

// lackingCPUs is what the jobs of each partition want and its machines cannot give.
func (p *plan) lackingCPUs() map[int]float64 {
	lacking := map[int]float64{}
	for _, unmet := range p.demand.unmetDemands(false) {
		lacking[unmet.job.partition] += float64(unmet.tasks) * unmet.job.spec.CPUs
	}
	return lacking
}

// partitionThatLacksMost is -1 if none lacks anything.
func (p *plan) partitionThatLacksMost(lackingCPUs map[int]float64) int {
	most := -1
	for _, partition := range p.partitions.withTeams {
		if lackingCPUs[partition] > 0 && (most < 0 || lackingCPUs[partition] > lackingCPUs[most]) {
			most = partition
		}
	}
	return most
}

// transferable reports whether a machine shard may be handed over by this plan.
func (p *plan) transferable(shard *stagedShard) bool {
	return shard.ownShard && !shard.changed && p.now-shard.shard.movedAt >= shardTransferPeriod && p.fitsShard(shard) && p.shardUnused(shard)
}

func (p *plan) transferShard(shard *stagedShard, to int) {
	shard.markTransferred(to)
	p.writeShard(shard)
	p.log.Info("transferring machine shard", "shard", shard.shard.number, "machines", len(shard.machines), "from", p.leadership.partition, "to", to)
}

// shardUnused reports whether a machine shard has machines, and none of this partition's jobs has a
// task there. Others' tasks may: who leads a machine's partition need not place its tasks.
func (p *plan) shardUnused(shard *stagedShard) bool {
	for _, m := range shard.machines {
		if !m.usable || len(m.added) > 0 {
			return false
		}
		for _, task := range m.kept {
			if j := p.replica.acceptedJob(task.Job); j != nil && j.partition == shard.shard.partition {
				return false
			}
		}
	}
	return len(shard.machines) > 0
}

package controller

import "frostdock.example/frostdock/internal/units"

const (
	// shardTransferCooldown is how long a machine shard stays in the partition that it was transferred
	// to. Two leaders may each conclude that the other lacks machines, since only the leader of a job's
	// partition knows whether the job backs off; without a cooldown, they could transfer the same machine
	// shards back and forth endlessly.
	shardTransferCooldown = 30 * units.Second

	// maxShardsPerTransfer bounds how many machine shards are transferred together: their machines take
	// no new work until the new leader has received heartbeats of their agents.
	maxShardsPerTransfer = 2
)

// transferUnusedShards transfers machine shards that this partition's jobs do not use to the partition
// whose jobs lack the most CPUs.
func (p *plan) transferUnusedShards() {
	if !periodOf(p.transferPeriods, p.leadership.partition).due(p.now, rebalancePeriod) {
		return
	}
	unmetCPUs := p.unmetCPUs()
	if unmetCPUs[p.leadership.partition] > 0 {
		return
	}
	to := p.partitionWithMostUnmetCPUs(unmetCPUs)
	if to < 0 {
		return
	}
	remainingCPUs, transferred := unmetCPUs[to], 0
	for _, shard := range p.shards {
		if remainingCPUs <= 0 || transferred >= maxShardsPerTransfer {
			return
		}
		if p.transferable(shard) {
			transferred++
			p.transferShard(shard, to)
			for _, m := range shard.machines {
				if machineType := p.catalog.machineType(m.machine.doc.Type); machineType != nil {
					remainingCPUs -= machineType.CPUs
				}
			}
		}
	}
}

// unmetCPUs returns for each partition the CPUs that its jobs want and its machines cannot provide.
func (p *plan) unmetCPUs() map[int]float64 {
	unmetCPUs := map[int]float64{}
	for _, unmet := range p.demand.unmetDemands(false) {
		unmetCPUs[unmet.job.partition] += float64(unmet.tasks) * unmet.job.spec.CPUs
	}
	return unmetCPUs
}

// partitionWithMostUnmetCPUs returns the partition whose jobs lack the most CPUs, or -1 if none
// lack any.
func (p *plan) partitionWithMostUnmetCPUs(unmetCPUs map[int]float64) int {
	most := -1
	for _, partition := range p.partitions.withTeams {
		if unmetCPUs[partition] > 0 && (most < 0 || unmetCPUs[partition] > unmetCPUs[most]) {
			most = partition
		}
	}
	return most
}

// transferable reports whether this plan may transfer a machine shard.
func (p *plan) transferable(shard *stagedShard) bool {
	return shard.ownShard && !shard.changed && !shard.oversized && p.now-shard.shard.movedAt >= shardTransferCooldown && p.fitsShard(shard) && p.shardUnused(shard)
}

func (p *plan) transferShard(shard *stagedShard, to int) {
	shard.markTransferred(to)
	p.writeShard(shard)
	p.log.Info("transferring machine shard", "shard", shard.shard.number, "machines", len(shard.machines), "from", p.leadership.partition, "to", to)
}

// shardUnused reports whether a machine shard has machines, and none of this partition's jobs has a task
// on them. Tasks of other partitions' jobs may be there: tasks are also placed on machines that another
// partition's leader commands.
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

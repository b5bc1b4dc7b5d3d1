package controller

// stageShards stages the present state of the machine shards that have no commit in flight: all shards of
// this partition, and those of other partitions that have a machine that accepts tasks. A partition
// places tasks of its own teams on any machine by writing them into the machine's shard; the leader of
// the machine's partition sees that and commands the agent. So a team's quota is enforced in one place,
// and each machine is commanded by one controller only.
func (p *plan) stageShards() {
	for _, shard := range p.replica.machineShards.all() {
		if p.commits.isInFlight(shard.key) {
			continue
		}
		staged := newStagedShard(p.planner, shard, shard.partition == p.leadership.partition, p.writeTag)
		usable := false
		for _, machine := range shard.machines {
			m := p.stageMachine(staged, machine)
			usable = usable || m.usable
		}
		if !staged.ownShard && !usable {
			continue
		}
		p.shards = append(p.shards, staged)
		for _, m := range staged.machines {
			if m.usable {
				p.machines = append(p.machines, m)
			}
		}
	}
}

// stageMachine stages a machine of a shard: whether it takes tasks, and its free capacity.
func (p *plan) stageMachine(shard *stagedShard, machine *machine) *stagedMachine {
	m := &stagedMachine{machine: machine, shard: shard}
	shard.machines = append(shard.machines, m)
	machineType := p.catalog.machineType(machine.doc.Type)
	if machine.doc.Decommissioned || machineType == nil || shard.ownShard && machine.agent == nil {
		m.keepAll()
		return m
	}
	switch {
	case shard.ownShard:
		m.usable = p.machineView.acceptsTasks(machine)
	case machine.agent != nil: // this controller leads that partition as well
		m.usable = p.authority.leads(shard.shard.partition) && p.machineView.acceptsTasks(machine)
	default:
		m.images, m.usable = p.machineView.foreignMachineAcceptsTasks(machine)
	}
	if !shard.ownShard && !m.usable {
		m.keepAll()
		return m
	}
	m.occupy(resources{machineType.CPUs, machineType.GPUs, machineType.MemGB}, p.currentOccupancy(machine, shard.ownShard))
	return m
}

// currentOccupancy returns the occupancy of a machine, recomputed only when it may have changed.
func (p *plan) currentOccupancy(m *machine, ownShard bool) *occupancy {
	known := &m.occupancies[0]
	if ownShard {
		known = &m.occupancies[1]
	}
	if p.now >= known.validUntil {
		*known = p.occupancyOf(m, ownShard)
	}
	return known
}

// fitsShard reports whether the plan can still write the shard. To one that is too long nothing can be added
// (bytesLeft), but entries can be released and tasks be stopped.
func (p *plan) fitsShard(shard *stagedShard) bool {
	return shard.changed || p.budget.changes > 0 && p.budget.hasBytesFor(shard.shard.size)
}

// writeShard marks the shard to be written by this plan and deducts it from the plan's budget.
func (p *plan) writeShard(shard *stagedShard) {
	if shard.markChanged() {
		p.budget.takeChanges(1)
		p.budget.takeBytes(shard.shard.size + documentOverheadBytes)
	}
}

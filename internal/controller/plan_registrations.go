package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// registerAgents adds the machines of agents that have proven to be reachable to their machine shards,
// the shards with the most such machines first.
func (p *plan) registerAgents() {
	namesByShard := p.unregisteredByShard()
	if len(namesByShard) == 0 {
		return
	}
	var shards []*stagedShard
	for _, shard := range p.shards {
		if shard.ownShard && len(namesByShard[shard.shard]) > 0 {
			shards = append(shards, shard)
		}
	}
	slices.SortStableFunc(shards, func(a, b *stagedShard) int {
		return cmp.Compare(len(namesByShard[b.shard]), len(namesByShard[a.shard]))
	})
	for _, shard := range shards {
		for _, name := range namesByShard[shard.shard] {
			if !p.fitsShard(shard) || shard.bytesLeft < documentOverheadBytes {
				break
			}
			p.registerAgent(shard, name)
		}
	}
}

// unregisteredByShard lists, by shard, the names of confirmed agents whose machines are in no document yet.
func (p *plan) unregisteredByShard() map[*machineShard][]string {
	namesByShard := map[*machineShard][]string{}
	for _, name := range p.agents.confirmedRegistrations() {
		owner, shown := p.replica.machineDirectory.owner(name)
		if shown {
			shard := p.replica.machineShards.find(owner)
			namesByShard[shard] = append(namesByShard[shard], name)
		}
	}
	return namesByShard
}

// registerAgent adds the machine of one agent to its shard.
func (p *plan) registerAgent(shard *stagedShard, name string) {
	registration := p.agents.registrations[name]
	heartbeat := &registration.request.Heartbeat
	document := schema.Machine{
		Name: name, Addr: heartbeat.Addr,
		MachineKind: schema.MachineKind{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot},
	}
	// A machine that was registered before may have seen higher fencing tokens.
	if seen := registration.token >> termBits; seen >= shard.shard.handovers {
		document.TokenIncrements = seen - shard.shard.handovers + 1
	}
	shard.addMachine(document)
	p.writeShard(shard)
	p.log.Info("registering machine", "machine", name, "type", heartbeat.Type, "spot", heartbeat.Spot, "partition", shard.shard.partition)
}

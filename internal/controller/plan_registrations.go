package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// registerAgents enters the machines of agents that have proven to be reachable, into the shards
// with the most of them first.
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

// unregisteredByShard lists the confirmed agents that no document has yet, by name.
func (p *plan) unregisteredByShard() map[*machineShard][]string {
	namesByShard := map[*machineShard][]string{}
	for _, name := range p.agents.confirmedRegistrations() {
		owner, shown := p.replica.machineDirectory.owner(name)
		if shown {
			shard := p.replica.machineShards[owner]
			namesByShard[shard] = append(namesByShard[shard], name)
		}
	}
	return namesByShard
}

// registerAgent enters the machine of one agent into its shard.
func (p *plan) registerAgent(shard *stagedShard, name string) {
	registration := p.agents.registrations[name]
	heartbeat := &registration.request.Heartbeat
	document := schema.Machine{
		Name: name, Addr: heartbeat.Addr,
		MachineKind: schema.MachineKind{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot},
	}
	// A machine that had an entry before may have seen higher tokens.
	if seen := registration.token >> termBits; seen >= shard.shard.handovers {
		document.TokenIncrements = seen - shard.shard.handovers + 1
	}
	shard.addMachine(document)
	p.writeShard(shard)
	p.log.Info("registering machine", "machine", name, "type", heartbeat.Type, "spot", heartbeat.Spot, "partition", shard.shard.partition)
}

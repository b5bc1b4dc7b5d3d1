package controller

import (
	"encoding/json"
	"slices"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// applyMachineShard takes a machine shard's new contents.
func (r *replica) applyMachineShard(s *machineShard, value json.RawMessage, revision uint64) {
	var doc schema.MachineShard
	if !r.env.decode(s.key, value, &doc) {
		return
	}
	previousPartition, previousMachines := s.partition, s.machines
	s.changedAt = r.env.now
	if s.partition != doc.Partition {
		s.movedAt = r.env.now
	}
	s.revision, s.size, s.partition, s.handovers, s.splitCount = revision, len(value), doc.Partition, doc.Handovers, doc.ShardCount
	r.growMachineShards(doc.ShardCount)
	r.machineShardCounts = withShardCount(r.machineShardCounts, doc.ShardCount)
	s.machines = make([]*machine, 0, len(doc.Machines))
	for i := range doc.Machines {
		entry := &doc.Machines[i]
		m, partition := r.placeInShard(entry.Name, s, previousPartition)
		r.applyMachine(m, entry, partition != doc.Partition)
	}
	for _, m := range previousMachines {
		if m.shard == s && !slices.Contains(s.machines, m) && !r.machineMovedToSplit(m) {
			r.unbind(m)
			delete(r.machines, m.name)
			r.machinesByName = nil
		}
	}
}

// placeInShard puts a machine that a machine shard lists there, and returns the partition in which it
// was before: its former shard's, if it was split off from another.
func (r *replica) placeInShard(name string, s *machineShard, previousPartition int) (*machine, int) {
	m := r.machines[name]
	if m == nil {
		m = &machine{name: name, shard: s}
		r.machines[name] = m
		r.everSeen[name] = true
		r.machinesByName = nil
	}
	if m.shard != s {
		previousPartition = m.shard.partition
		m.shard.machines = slices.DeleteFunc(m.shard.machines, func(other *machine) bool { return other == m })
		m.shard = s
	}
	s.machines = append(s.machines, m)
	return m, previousPartition
}

// machineMovedToSplit reports whether a machine that its machine shard lists no more went with a part
// that was split off and is shown next. What is known of the machine stays.
func (r *replica) machineMovedToSplit(m *machine) bool {
	from := m.shard
	if from.splitCount == 0 || schema.MachineShardIndex(m.name, from.splitCount) == from.number {
		return false
	}
	to := r.machineShards[schema.MachineShardIndex(m.name, from.splitCount)]
	if to.revision >= from.revision {
		return false
	}
	if to.revision == 0 {
		to.partition, to.handovers = from.partition, from.handovers
	}
	to.machines = append(to.machines, m)
	m.shard = to
	return true
}

// applyMachine takes a machine's entry.
func (r *replica) applyMachine(m *machine, entry *schema.Machine, moved bool) {
	previous := m.doc
	changed := previous.Name == "" || !slices.Equal(previous.Tasks, entry.Tasks) ||
		previous.TokenIncrements != entry.TokenIncrements || previous.Decommissioned != entry.Decommissioned
	if changed {
		r.unbind(m)
		m.doc = *entry
		m.forgetOccupancy()
		m.noteEntries(r.env.now)
		for _, task := range entry.Tasks {
			r.bind(m, task)
		}
	}
	r.observer.machineChanged(m, machineChange{previousTasks: previous.Tasks, entryChanged: changed, moved: moved})
}

// bind enters with its job what a machine's entry says of a task.
func (r *replica) bind(m *machine, task schema.Task) {
	j := r.job(task.Job)
	j.addBinding(task.Index, binding{m, task.Attempt})
	if task.DoneTenths == 0 {
		return
	}
	if !j.isDone(task.Index) {
		j.noteCompletion(task.Index, units.Micros(task.DoneTenths-1)*runTimeUnit)
	}
	if b := j.bindings[task.Index]; b.machine == m && b.attempt == task.Attempt {
		if j.recordedInEntry == nil {
			j.recordedInEntry = map[int]bool{}
		}
		j.recordedInEntry[task.Index], j.activeCount = true, -1
	}
}

// unbind takes what a machine's entry lists off the jobs.
func (r *replica) unbind(m *machine) {
	for _, task := range m.doc.Tasks {
		j := r.job(task.Job)
		if b, ok := j.bindings[task.Index]; ok && b.machine == m && b.attempt == task.Attempt {
			j.removeBinding(task.Index)
		}
		r.dropIfUnused(j)
	}
}

// noteEntries keeps when each task of the machine's entry was first seen.
func (m *machine) noteEntries(now units.Micros) {
	before := m.entrySeenAt
	m.entrySeenAt = make(map[taskKey]units.Micros, len(m.doc.Tasks))
	for _, task := range m.doc.Tasks {
		key := keyOf(task)
		seenAt, ok := before[key]
		if !ok {
			seenAt = now
		}
		m.entrySeenAt[key] = seenAt
	}
}

// rented reports whether the machine was rented by this service.
func (r *replica) rented(name string) bool {
	return r.firstRented != nil && name >= r.firstRented.Name
}

package controller

import (
	"encoding/json"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// applyMachineShard applies a machine shard's new contents, and reports whether they are readable.
func (r *replica) applyMachineShard(s *machineShard, value json.RawMessage, revision uint64) bool {
	var doc schema.MachineShard
	if !r.env.decode(s.key, value, &doc) {
		return false
	}
	delete(r.unreadable, s.key) // before the machines that wait for the shard are located
	previousPartition, previousMachines := s.partition, s.machines
	s.changedAt = r.env.now
	if s.partition != doc.Partition {
		s.movedAt = r.env.now
	}
	s.revision, s.size, s.partition, s.handovers, s.shardCount = revision, len(value), doc.Partition, doc.Handovers, doc.ShardCount
	r.machineDirectory.noteCount(s.number, doc.ShardCount)
	s.machines = make([]*machine, 0, len(doc.Machines))
	for i := range doc.Machines {
		entry := &doc.Machines[i]
		if r.machineDirectory.isStale(entry.Name, s.number, revision) {
			continue // the replica already shows a later state of the machine
		}
		m, partition := r.placeInShard(entry.Name, s, previousPartition)
		r.applyMachine(m, entry, entrySource{revision: revision, writeTag: doc.WriteTag, moved: partition != doc.Partition})
	}
	r.locateMachines(previousMachines)
	if len(r.unlocatedMachines) > 0 {
		r.locateUnlocatedMachines()
	}
	return true
}

// placeInShard attaches a machine to the machine shard that lists it, and returns the partition that the
// machine was in before: that of its former shard if it comes from another shard, else previousPartition.
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
	delete(r.unlocatedMachines, name)
	s.machines = append(s.machines, m)
	return m, previousPartition
}

// locateMachines handles machines that a shard listed before: a machine that no shard lists any more is
// removed if the shard that owns its name has been shown, and waits for that shard if not.
func (r *replica) locateMachines(machines []*machine) {
	for _, m := range machines {
		if r.machines[m.name] != m || slices.Contains(m.shard.machines, m) {
			continue
		}
		if owner, shown := r.machineDirectory.owner(m.name); shown {
			r.machineDirectory.noteRemoved(m.name, r.machineShards.find(owner).revision)
			r.removeMachine(m)
		} else {
			r.awaitOwner(m)
		}
	}
}

// locateUnlocatedMachines retries the machines that wait for the shards that own their names.
func (r *replica) locateUnlocatedMachines() {
	var waiting []*machine
	for _, name := range slices.Sorted(maps.Keys(r.unlocatedMachines)) {
		waiting = append(waiting, r.machines[name])
	}
	r.locateMachines(waiting)
}

// awaitOwner keeps a machine, and what is known of it, while the part of a split shard that owns its name
// has not been shown. Until then the machine is commanded as before, by the last known state of its
// former shard. It gets a private copy of that shard, which no plan sees, so that nothing is written for
// the machine while its document is unknown.
func (r *replica) awaitOwner(m *machine) {
	if r.unlocatedMachines[m.name] {
		return
	}
	r.unlocatedMachines[m.name] = true
	former := *m.shard
	former.machines = nil
	m.shard = &former
}

// removeMachine removes a machine that its shard no longer lists.
func (r *replica) removeMachine(m *machine) {
	r.unbind(m)
	delete(r.unlocatedMachines, m.name)
	delete(r.machines, m.name)
	r.machinesByName = nil
}

// entrySource is where a machine's entry comes from.
type entrySource struct {
	revision uint64 // of its document
	writeTag string // of the transaction that wrote the document
	moved    bool   // the machine was in another partition before
}

// applyMachine applies a machine's entry.
func (r *replica) applyMachine(m *machine, entry *schema.Machine, source entrySource) {
	previous := m.doc
	tokenChanged := m.noteIncrements(entry.TokenIncrements, source.writeTag)
	changed := previous.Name == "" || !slices.Equal(previous.Tasks, entry.Tasks) || tokenChanged ||
		previous.Decommissioned != entry.Decommissioned
	if changed {
		r.unbind(m)
		m.doc = *entry
		m.invalidateOccupancy()
		m.noteEntries(entrySeen{at: r.env.now, revision: source.revision})
		for _, task := range entry.Tasks {
			r.bind(m, task)
		}
	}
	r.observer.machineChanged(m, machineChange{previousTasks: previous.Tasks, entryChanged: changed, moved: source.moved})
}

// noteIncrements records the machine's stored token increments, and reports whether its fencing token changes or
// commands have waited for the increments.
func (m *machine) noteIncrements(increments uint64, writeTag string) bool {
	change := tokenRange{from: m.doc.TokenIncrements, to: increments, writeTag: writeTag}
	m.doc.TokenIncrements = increments
	if change.from == change.to || m.agent == nil {
		return change.from != change.to
	}
	return !m.agent.fencing.entryShown(change)
}

// bind records a task of a machine's entry with the task's job.
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

// unbind removes the tasks of a machine's entry from their jobs.
func (r *replica) unbind(m *machine) {
	for _, task := range m.doc.Tasks {
		j := r.job(task.Job)
		j.removeEntry(task.Index, binding{m, task.Attempt})
		r.dropIfUnused(j)
	}
}

// noteEntries records when each task of the machine's entry was first seen.
func (m *machine) noteEntries(now entrySeen) {
	before := m.entriesSeen
	m.entriesSeen = make(map[taskKey]entrySeen, len(m.doc.Tasks))
	for _, task := range m.doc.Tasks {
		key := keyOf(task)
		seen, ok := before[key]
		if !ok {
			seen = now
		}
		m.entriesSeen[key] = seen
	}
}

// rented reports whether the machine was rented by this service.
func (r *replica) rented(name string) bool {
	return r.firstRented != nil && name >= r.firstRented.Name
}

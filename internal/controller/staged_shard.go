package controller

import (
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/schema"
)

// stagedShard is a machine shard's document as a plan is going to write it. Only its methods and
// those of its machines write its fields. All changes of a plan to the shard's document go through it,
// so that the document is written whole, once, in one transaction.
type stagedShard struct {
	planner  *planner
	shard    *machineShard
	machines []*stagedMachine
	writeTag string
	ownShard bool // the shard belongs to the plan's own partition

	changed             bool             // the document is written by this plan
	picked              bool             // arrays may use the shard in this plan
	splitParts          int              // documents that the shard is split into; 0: it is not split
	transferTo          int              // partition that the shard is transferred to, or -1
	newMachines         []schema.Machine // machines that this plan registers
	oversized           bool             // longer than a stored value may be: nothing can be added
	withoutReservations bool             // tokens are reserved only where they are needed, as it would make the document too long
	withoutMarks        bool             // stops and completions are not entered, as they would make the document too long
	bytesLeft           int              // bytes by which the document may still grow
}

func newStagedShard(planner *planner, shard *machineShard, ownShard bool, writeTag string) *stagedShard {
	maxBytes := planner.store.limits.maxValueBytes()
	return &stagedShard{
		planner: planner, shard: shard, ownShard: ownShard, writeTag: writeTag, transferTo: -1,
		oversized: shard.size > maxBytes, bytesLeft: maxBytes - shard.size - documentOverheadBytes,
	}
}

// document returns the machine shard as it is to be stored.
func (s *stagedShard) document() *schema.MachineShard {
	document := &schema.MachineShard{
		Partition: s.shard.partition, Handovers: s.shard.handovers, ShardCount: s.shard.shardCount, WriteTag: s.writeTag,
		Machines: slices.Clone(s.newMachines),
	}
	if s.transferTo >= 0 {
		document.Partition = s.transferTo
		document.Handovers++
	}
	for _, m := range s.machines {
		if s.ownShard && m.machine.deleted {
			continue
		}
		document.Machines = append(document.Machines, m.document())
	}
	slices.SortFunc(document.Machines, func(a, b schema.Machine) int { return strings.Compare(a.Name, b.Name) })
	return document
}

// documents returns the machine shard as it is to be stored, as several documents if it is split; none if it
// cannot be stored now, because even without anything that lengthens it the document would be too long.
func (s *stagedShard) documents() []splitDocument {
	if s.splitParts > 1 {
		return s.split(s.splitParts)
	}
	limits := &s.planner.store.limits
	value := encode(s.document())
	if len(value) > limits.maxValueBytes() {
		s.withoutReservations = true
		value = encode(s.document())
	}
	if len(value) > limits.maxValueBytes() && s.addsTasks() {
		// The size estimate was too low: leave out the added tasks.
		s.planner.log.Error("machine shard exceeds value limit", "shard", s.shard.number, "bytes", len(value))
		s.withdrawAdded()
		value = encode(s.document())
	}
	if len(value) > s.acceptedBytes() {
		s.withoutMarks = true
		value = encode(s.document())
	}
	if len(value) > s.acceptedBytes() {
		s.planner.warnUnwritable(s, len(value))
		return nil
	}
	return []splitDocument{{s.shard.key, value}}
}

// acceptedBytes returns the length of the longest document to which nothing is added. Marks on its entries may
// take the margin that is left within the store's limit, and one that is too long already may be written as long
// as the store accepts it.
func (s *stagedShard) acceptedBytes() int {
	limits := &s.planner.store.limits
	if s.oversized {
		return limits.acceptedValueBytes() + valueMarginBytes
	}
	return limits.maxValueBytes() + valueMarginBytes
}

func (s *stagedShard) addsTasks() bool {
	return slices.ContainsFunc(s.machines, func(m *stagedMachine) bool { return len(m.added) > 0 })
}

// withdrawAdded withdraws the tasks that were added to the shard's machines.
func (s *stagedShard) withdrawAdded() {
	for _, m := range s.machines {
		m.withdrawAdded()
	}
}

// pick lets arrays use the shard in this plan.
func (s *stagedShard) pick() { s.picked = true }

// markChanged marks the shard to be written. It reports whether the shard was not marked before.
func (s *stagedShard) markChanged() bool {
	first := !s.changed
	s.changed = true
	return first
}

// markSplit marks the shard to be written in several documents; nothing more can be added to it then.
func (s *stagedShard) markSplit(documents int) {
	s.changed, s.splitParts, s.bytesLeft = true, documents, 0
}

// markTransferred marks the shard to be transferred to another partition.
func (s *stagedShard) markTransferred(to int) { s.transferTo = to }

// addMachine adds the entry of a machine whose agent has registered.
func (s *stagedShard) addMachine(document schema.Machine) {
	s.bytesLeft -= schema.MaxStoredGrowth(len(encode(document)))
	s.newMachines = append(s.newMachines, document)
}

// noteEntriesBeingRemoved records the entries that a commit in flight removes from the document: their
// tasks must not be started until its result is known.
func (s *stagedShard) noteEntriesBeingRemoved() {
	s.clearEntriesBeingRemoved()
	if !s.ownShard {
		return
	}
	for _, m := range s.machines {
		if m.machine.agent == nil || !m.releasesEntries() {
			continue
		}
		beingRemoved := map[taskKey]bool{}
		for _, task := range m.machine.doc.Tasks {
			beingRemoved[keyOf(task)] = true
		}
		for _, task := range m.kept {
			delete(beingRemoved, keyOf(task))
		}
		m.machine.agent.entriesBeingRemoved = beingRemoved
	}
}

// clearEntriesBeingRemoved clears the record of noteEntriesBeingRemoved when the commit's result is known.
func (s *stagedShard) clearEntriesBeingRemoved() {
	if !s.ownShard {
		return
	}
	for _, m := range s.machines {
		if m.machine.agent != nil {
			m.machine.agent.entriesBeingRemoved = nil
		}
	}
}

// noteReservations records the fencing tokens that a commit in flight reserves.
func (s *stagedShard) noteReservations() {
	for _, m := range s.machines {
		if m.reservesTokens() {
			m.machine.agent.fencing.reserve(m.machine.doc.TokenIncrements, s.writeTag)
		}
	}
}

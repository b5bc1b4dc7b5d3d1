package controller

import (
	"cmp"
	"encoding/json"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Documents that are long, or longer than a coming limit of the key-value store allows, are split online.
// One transaction, conditional on the document's mod revision, writes all the parts; the first part
// replaces the document. So no entry is ever in two documents or in none, and a crash, a change of
// leadership or a change of the limits leaves either the one document or all the parts.

const (
	splitThreshold = 0.70 // share of the maximum value size above which a document is split
	splitTarget    = 0.45 // share of the maximum value size that each part may take

	machineShardSplitShare = 0.5                     // share of this controller's change rate for splits of machine shards
	jobShardSplitShare     = 0.25                    // share of this controller's change rate for splits of job shards
	jobShardSplitPeriod    = 100 * units.Millisecond // minimum time between two checks for a job shard to split
	oversizedLogPeriod     = 10 * units.Second       // minimum time between warnings about machine shards that cannot be split
)

// documentSplitter decides when documents are split, and into how many parts. It keeps no state and
// writes nothing.
type documentSplitter struct {
	*environment
	store   *storeClient
	replica *replica
	writes  *writeBudget
}

// partCount returns how many parts a document of size bytes is to be split into; 1 if it is not to be split.
func (d *documentSplitter) partCount(size int) int {
	maxBytes := float64(d.store.limits.maxValueBytes())
	if !d.replica.dependenciesEnabled() || float64(size) <= splitThreshold*maxBytes {
		return 1
	}
	return max(2, int(float64(size)/(splitTarget*maxBytes)+0.999))
}

// splitDocument is one of the documents that result from a split.
type splitDocument struct {
	key   string
	value json.RawMessage
}

// splitToFit splits a document into the fewest parts, from minParts to maxParts, that all fit the limits
// that this controller applies; split returns the document in the given number of parts. If even maxParts
// parts are too long, splitToFit returns them as a first step, provided that the store still accepts them
// under its present limits. If not, it returns nil.
func (d *documentSplitter) splitToFit(minParts, maxParts int, split func(parts int) []splitDocument) []splitDocument {
	for parts := minParts; parts <= maxParts; parts++ {
		if documents := split(parts); longestDocument(documents) <= d.store.limits.maxValueBytes() {
			return documents
		}
	}
	if maxParts < 2 || d.store.limits.ratesLowered {
		return nil
	}
	if documents := split(maxParts); longestDocument(documents) <= maxValueBytes(d.cfg.Settings.KVStore.ValueKB) {
		return documents
	}
	return nil
}

// longestDocument returns the length of the longest value, in bytes.
func longestDocument(documents []splitDocument) int {
	longest := 0
	for _, document := range documents {
		longest = max(longest, len(document.value))
	}
	return longest
}

// creditPeriod returns how long it takes to earn the credit for changes with the given share of this
// controller's change rate.
func (d *documentSplitter) creditPeriod(changes int, share float64) units.Micros {
	return units.FromSeconds(float64(changes) / (d.writes.rate() * share))
}

// splitMachineShards splits machine shards of this partition that have become too long, the longest
// first. A split may take more changes than there is credit for; the credit is earned back before the
// next split, at a rate that leaves half of the changes to other work.
func (p *plan) splitMachineShards() {
	if p.now < p.leadership.planning.splitNotBefore {
		return
	}
	changes := 0
	for _, shard := range p.shardsToSplit() {
		documents := p.splits.splitToFit(p.splits.partCount(shard.shard.size), p.store.limits.TxnOps, shard.split)
		if len(documents) < 2 {
			p.warnUnsplittable(shard)
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
	if p.oversizedLog.due(p.now, oversizedLogPeriod) {
		p.log.Warn("cannot split machine shard yet", "shard", shard.shard.number, "bytes", shard.shard.size)
	}
}

// splitShard stages a machine shard to be written as several documents.
func (p *plan) splitShard(shard *stagedShard, documents int) {
	shard.markSplit(documents)
	p.budget.takeChanges(documents)
	p.budget.takeBytes(documents*documentOverheadBytes + shard.shard.size)
}

// split returns the machine shard's document in the given number of parts.
func (s *stagedShard) split(parts int) []splitDocument {
	whole := s.document()
	shardCount := max(s.shard.shardCount, s.planner.replica.layout.MachineShards)
	shards := make([]schema.MachineShard, parts)
	for i := range shards {
		shards[i] = schema.MachineShard{Partition: whole.Partition, Handovers: whole.Handovers, ShardCount: shardCount * parts, WriteTag: whole.WriteTag}
	}
	for _, machine := range whole.Machines {
		part := &shards[(schema.MachineShardIndex(machine.Name, shardCount*parts)-s.shard.number)/shardCount]
		part.Machines = append(part.Machines, machine)
	}
	documents := make([]splitDocument, parts)
	for i := range shards {
		documents[i] = splitDocument{schema.MachineShardKey(s.shard.number + i*shardCount), encode(shards[i])}
	}
	return documents
}

// jobShardSplitter splits job shards that have become too long, one at a time, and paces the splits. Only
// the leader of partition 0 splits them, so that two controllers seldom try to split the same shard; if
// two do, the conditions on mod revisions let only one of the splits succeed.
type jobShardSplitter struct {
	*documentSplitter
	authority *authority
	commits   *committer

	inFlight  bool
	notBefore units.Micros
}

// run starts a split if a job shard is too long and there is credit for it.
func (d *jobShardSplitter) run() {
	if !d.maySplit() {
		return
	}
	d.notBefore = d.now + jobShardSplitPeriod
	shard := d.longest()
	if shard == nil {
		return
	}
	writeTag := d.commits.newWriteTag()
	documents := d.splitToFit(d.partCount(shard.size), d.store.limits.TxnOps, func(parts int) []splitDocument {
		return d.split(shard, parts, writeTag)
	})
	if len(documents) < 2 {
		return
	}
	d.log.Info("splitting job shard", "shard", shard.key, "bytes", shard.size, "pieces", len(documents), "longest", longestDocument(documents))
	d.commit(documents, writeTag)
}

// maySplit reports whether this controller may split a job shard now.
func (d *jobShardSplitter) maySplit() bool {
	return d.replica.dependenciesEnabled() && d.authority.leads(0) && !d.store.failing && !d.inFlight &&
		d.writes.credit >= minPlanCredit && d.now >= d.notBefore
}

// longest returns the longest of the job shards that are to be split, or nil if there is none.
func (d *jobShardSplitter) longest() *jobShard {
	var longest *jobShard
	for _, shard := range d.replica.jobShards {
		if d.partCount(shard.size) > 1 && !d.commits.isInFlight(shard.key) && (longest == nil || shard.size > longest.size) {
			longest = shard
		}
	}
	return longest
}

// commit writes the documents of a split in one transaction.
func (d *jobShardSplitter) commit(documents []splitDocument, writeTag string) {
	txn := &kv.Txn{}
	for _, document := range documents {
		d.replica.addSet(txn, document.key, document.value)
	}
	d.inFlight = true
	d.notBefore = d.now + d.creditPeriod(len(documents), jobShardSplitShare)
	d.commits.markInFlight(txn)
	d.commits.commit(txn, writeTag, func(commitResult) {
		d.inFlight = false
		d.commits.clearInFlight(txn)
	})
}

// split returns the job shard's document in the given number of parts.
func (d *jobShardSplitter) split(shard *jobShard, parts int, writeTag string) []splitDocument {
	shardCount := max(shard.shardCount, d.replica.layout.JobShards)
	shards := make([]schema.JobShard, parts)
	for i := range shards {
		shards[i] = schema.JobShard{ShardCount: shardCount * parts, WriteTag: writeTag}
	}
	for _, job := range d.replica.jobShardDocument(shard, nil).Jobs {
		part := &shards[(schema.JobShardIndex(job.ID, shardCount*parts)-shard.number)/shardCount]
		part.Jobs = append(part.Jobs, job)
	}
	documents := make([]splitDocument, parts)
	for i := range shards {
		documents[i] = splitDocument{schema.JobShardKey(shard.number + i*shardCount), encode(shards[i])}
	}
	return documents
}

package controller

import (
	"cmp"
	"encoding/json"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Documents that have become long, or too long for what the key-value store will allow, are split
// online. One transaction writes all the parts, of which the first takes the place of the document, on
// the condition of its mod revision: there is no moment at which an entry stands in two documents or in
// none, and a crash, a change of leadership or a change of the limits finds either the one document or
// all the parts.

const (
	splitAbove  = 0.70 // part of the longest value above which a document is split
	splitTarget = 0.45 // part of it that each of the parts may take

	machineShardSplitShare = 0.5  // part of this controller's changes that splits of machine shards use
	jobShardSplitShare     = 0.25 // part of them that splits of job shards use
	jobShardSplitPeriod    = 100 * units.Millisecond
	oversizedLogPeriod     = 10 * units.Second
)

// documentSplitter says when documents are to be split, and into how many parts. It keeps and writes
// nothing.
type documentSplitter struct {
	*environment
	store   *storeClient
	replica *replica
	writes  *writeBudget
}

// countFor is into how many documents one of that length is to be split; 1: it is not.
func (d *documentSplitter) countFor(size int) int {
	most := float64(d.store.limits.maxValueBytes())
	if !d.replica.dependenciesEnabled() || float64(size) <= splitAbove*most {
		return 1
	}
	return max(2, int(float64(size)/(splitTarget*most)+0.999))
}

// splitDocument is one of the documents that a split gives.
type splitDocument struct {
	key   string
	value json.RawMessage
}

// fit cuts a document into as few parts as are short enough, from least on and at most so many;
// cut makes so many parts. If none are short enough for the limits to come, parts that the store may
// still take at present are a first step. It gives nothing if that is not possible either.
func (d *documentSplitter) fit(least, most int, cut func(parts int) []splitDocument) []splitDocument {
	for parts := least; parts <= most; parts++ {
		if documents := cut(parts); longestDocument(documents) <= d.store.limits.maxValueBytes() {
			return documents
		}
	}
	if most < 2 || d.store.limits.lowered {
		return nil
	}
	if documents := cut(most); longestDocument(documents) <= maxValueBytes(d.cfg.Settings.KVStore.ValueKB) {
		return documents
	}
	return nil
}

// longestDocument is the length of the longest.
func longestDocument(documents []splitDocument) int {
	longest := 0
	for _, document := range documents {
		longest = max(longest, len(document.value))
	}
	return longest
}

// creditPeriod is how long so many changes take when they may use that part of this controller's.
func (d *documentSplitter) creditPeriod(changes int, part float64) units.Micros {
	return units.FromSeconds(float64(changes) / (d.writes.rate() * part))
}

// splitMachineShards splits machine shards of this partition that have become too long, the longest
// first. That may take more changes than are saved up; what it takes is paid back before the next
// split, and half of the changes are left to other work.
func (p *plan) splitMachineShards() {
	if p.now < p.leadership.planning.splitNotBefore {
		return
	}
	changes := 0
	for _, shard := range p.shardsToSplit() {
		documents := p.splits.fit(p.splits.countFor(shard.shard.size), p.store.limits.TxnOps, shard.split)
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

// shardsToSplit lists this partition's machine shards that have become too long, the longest first.
func (p *plan) shardsToSplit() []*stagedShard {
	var long []*stagedShard
	for _, shard := range p.shards {
		if shard.ownShard && !shard.changed && p.splits.countFor(shard.shard.size) > 1 {
			long = append(long, shard)
		}
	}
	slices.SortStableFunc(long, func(a, b *stagedShard) int { return cmp.Compare(b.shard.size, a.shard.size) })
	return long
}

func (p *plan) warnUnsplittable(shard *stagedShard) {
	if p.oversizedLog.due(p.now, oversizedLogPeriod) {
		p.log.Warn("cannot split machine shard yet", "shard", shard.shard.number, "bytes", shard.shard.size)
	}
}

// splitShard has a machine shard written in so many documents.
func (p *plan) splitShard(shard *stagedShard, documents int) {
	shard.markSplit(documents)
	p.budget.takeChanges(documents)
	p.budget.takeBytes(documents*documentOverheadBytes + shard.shard.size)
}

// split gives the machine shard's document in so many parts.
func (s *stagedShard) split(parts int) []splitDocument {
	whole := s.document()
	splitCount := max(s.shard.splitCount, s.planner.replica.layout.MachineShards)
	shards := make([]schema.MachineShard, parts)
	for i := range shards {
		shards[i] = schema.MachineShard{Partition: whole.Partition, Handovers: whole.Handovers, ShardCount: splitCount * parts, WriteTag: whole.WriteTag}
	}
	for _, machine := range whole.Machines {
		part := &shards[(schema.MachineShardIndex(machine.Name, splitCount*parts)-s.shard.number)/splitCount]
		part.Machines = append(part.Machines, machine)
	}
	documents := make([]splitDocument, parts)
	for i := range shards {
		documents[i] = splitDocument{schema.MachineShardKey(s.shard.number + i*splitCount), encode(shards[i])}
	}
	return documents
}

// jobShardSplitter splits job shards that have become too long, one at a time. It owns the pace of that.
// It is done by one controller, the leader of partition 0, so that two seldom try the same; the
// conditions on mod revisions keep it safe if two do.
type jobShardSplitter struct {
	*documentSplitter
	authority *authority
	commits   *committer

	inFlight  bool
	notBefore units.Micros
}

// run begins a split if there is one to make and changes are left for it.
func (d *jobShardSplitter) run() {
	if !d.maySplit() {
		return
	}
	d.notBefore = d.now + jobShardSplitPeriod
	long := d.longest()
	if long == nil {
		return
	}
	writeTag := d.commits.newWriteTag()
	documents := d.fit(d.countFor(long.size), d.store.limits.TxnOps, func(parts int) []splitDocument {
		return d.split(long, parts, writeTag)
	})
	if len(documents) < 2 {
		return
	}
	d.log.Info("splitting job shard", "shard", long.key, "bytes", long.size, "pieces", len(documents), "longest", longestDocument(documents))
	d.commit(documents, writeTag)
}

// maySplit reports whether this controller may split a job shard now.
func (d *jobShardSplitter) maySplit() bool {
	return d.replica.dependenciesEnabled() && d.authority.leads(0) && !d.store.failing && !d.inFlight &&
		d.writes.credit >= minPlanCredit && d.now >= d.notBefore
}

// longest finds the longest of the job shards that are to be split, nil if there is none.
func (d *jobShardSplitter) longest() *jobShard {
	var longest *jobShard
	for _, shard := range d.replica.jobShards {
		if d.countFor(shard.size) > 1 && !d.commits.isInFlight(shard.key) && (longest == nil || shard.size > longest.size) {
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

// split gives the job shard's document in so many parts.
func (d *jobShardSplitter) split(shard *jobShard, parts int, writeTag string) []splitDocument {
	splitCount := max(shard.splitCount, d.replica.layout.JobShards)
	shards := make([]schema.JobShard, parts)
	for i := range shards {
		shards[i] = schema.JobShard{ShardCount: splitCount * parts, WriteTag: writeTag}
	}
	for _, job := range d.replica.jobShardDocument(shard, nil).Jobs {
		part := &shards[(schema.JobShardIndex(job.ID, splitCount*parts)-shard.number)/splitCount]
		part.Jobs = append(part.Jobs, job)
	}
	documents := make([]splitDocument, parts)
	for i := range shards {
		documents[i] = splitDocument{schema.JobShardKey(shard.number + i*splitCount), encode(shards[i])}
	}
	return documents
}

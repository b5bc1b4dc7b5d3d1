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
	unsplittableLogPeriod  = 10 * units.Second       // minimum time between warnings about shards that cannot be split
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

// splittableShard is a shard that can be split: a machine shard that a plan has staged, or a job shard.
type splittableShard interface {
	// nameSet returns the names that the shard lists, and the set of names that it owns.
	nameSet() nameSet
	// split returns the shard's document in the given number of parts.
	split(parts int) []splitDocument
}

// nameSet is the names of a shard's entries, with the number of the shard and its shard count.
type nameSet struct {
	names             []string
	shard, shardCount int
}

// part returns which of the given number of parts a name falls into, from 0.
func (s nameSet) part(name string, parts int) int {
	return (schema.ShardIndex(name, s.shardCount*parts) - s.shard) / s.shardCount
}

// isDividedInto reports whether a split into that many parts leaves less than all entries in each part. One
// that does not divide them would be as long as before, and would be split again without end.
func (s nameSet) isDividedInto(parts int) bool {
	return slices.ContainsFunc(s.names, func(name string) bool { return s.part(name, parts) != s.part(s.names[0], parts) })
}

// maxParts returns into how many parts a shard may be split: as many as one transaction can write, and not
// so many that their shard count would be above the one that every version of this program can read.
func (d *documentSplitter) maxParts(shardCount int) int {
	return min(d.store.limits.TxnOps, schema.MaxShardCount/shardCount)
}

// partCounts returns the numbers of parts into which a split divides the entries, in the order in which they
// are to be tried: from minParts up, then the smaller ones.
func (d *documentSplitter) partCounts(minParts int, names nameSet) []int {
	var larger, smaller []int
	for parts := d.maxParts(names.shardCount); parts >= 2; parts-- {
		switch {
		case !names.isDividedInto(parts):
		case parts >= minParts:
			larger = append(larger, parts)
		default:
			smaller = append(smaller, parts)
		}
	}
	slices.Reverse(larger)
	return append(larger, smaller...)
}

// splitToFit splits a shard into the fewest parts, but at least minParts if possible, that all fit the limits
// that this controller applies. If no split makes them fit, it returns the one into most parts as a first
// step, provided that the store still accepts it under its present limits. If not, or if no split divides
// the shard's entries, it returns nil.
func (d *documentSplitter) splitToFit(minParts int, shard splittableShard) []splitDocument {
	var firstStep []splitDocument
	for _, parts := range d.partCounts(minParts, shard.nameSet()) {
		documents := shard.split(parts)
		if longestDocument(documents) <= d.store.limits.maxValueBytes() {
			return documents
		}
		if len(documents) > len(firstStep) {
			firstStep = documents
		}
	}
	if longestDocument(firstStep) > d.store.limits.acceptedValueBytes() {
		return nil
	}
	return firstStep
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
		documents := p.splits.splitToFit(p.splits.partCount(shard.shard.size), shard)
		if len(documents) == 0 {
			p.warnUnsplittable(shard)
			p.stopSurplusTasks(shard)
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
	if p.unsplittableLog.due(p.now, unsplittableLogPeriod) {
		p.log.Warn("cannot split machine shard yet", "shard", shard.shard.number, "bytes", shard.shard.size, "machines", len(shard.machines))
	}
}

func (p *planner) warnUnwritable(shard *stagedShard, bytes int) {
	if p.unwritableLog.due(p.now, unsplittableLogPeriod) {
		p.log.Warn("machine shard too long to be written", "shard", shard.shard.number, "bytes", shard.shard.size, "changed_bytes", bytes)
	}
}

// stopSurplusTasks stops tasks on the busiest machine of a shard that is too long and cannot be split, the
// cheapest first, until the document of those that stay may be written. After the limits have fallen the
// document could not be changed before as many tasks have ended by themselves, which services never do.
func (p *plan) stopSurplusTasks(shard *stagedShard) {
	if !shard.oversized || len(shard.machines) == 0 || !p.fitsShard(shard) {
		return
	}
	busiest := slices.MaxFunc(shard.machines, func(a, b *stagedMachine) int { return cmp.Compare(len(a.kept), len(b.kept)) })
	if busiest.machine.agent == nil || busiest.machine.deleted {
		return
	}
	surplus := p.surplusTasks(shard, busiest)
	for ; surplus > 0; surplus-- {
		victim, _, found := p.cheapestVictim(busiest, preemptionRule{eligible: func(*job) bool { return true }}, nil)
		if !found {
			break
		}
		busiest.requestStop(victim, schema.StopGracefully)
	}
	if len(busiest.stops) > 0 {
		p.writeShard(shard)
		p.log.Info("stopping tasks of a machine whose entry is too long", "machine", busiest.machine.name, "bytes", shard.shard.size, "tasks", len(busiest.stops))
	}
}

// surplusTasks returns how many tasks of a machine must be stopped, besides those that end anyway, so that the
// shard's document becomes short enough.
func (p *plan) surplusTasks(shard *stagedShard, m *stagedMachine) int {
	running := 0
	for _, task := range m.kept {
		if p.facts.shouldRun(m.machine, task) {
			running++
		}
	}
	return running - len(m.machine.doc.Tasks)*p.store.limits.maxValueBytes()/shard.shard.size
}

// splitShard stages a machine shard to be written as several documents.
func (p *plan) splitShard(shard *stagedShard, documents int) {
	shard.markSplit(documents)
	p.budget.takeChanges(documents)
	p.budget.takeBytes(documents*documentOverheadBytes + shard.shard.size)
}

// nameSet returns the names of the staged machines.
func (s *stagedShard) nameSet() nameSet {
	set := nameSet{shard: s.shard.number, shardCount: s.planner.replica.machineDirectory.countOf(s.shard.number)}
	for _, machine := range s.document().Machines {
		set.names = append(set.names, machine.Name)
	}
	return set
}

// split returns the machine shard's document in the given number of parts.
func (s *stagedShard) split(parts int) []splitDocument {
	whole, names := s.document(), s.nameSet()
	shards := make([]schema.MachineShard, parts)
	for i := range shards {
		shards[i] = schema.MachineShard{Partition: whole.Partition, Handovers: whole.Handovers, ShardCount: names.shardCount * parts, WriteTag: whole.WriteTag}
	}
	for _, machine := range whole.Machines {
		part := &shards[names.part(machine.Name, parts)]
		part.Machines = append(part.Machines, machine)
	}
	documents := make([]splitDocument, parts)
	for i := range shards {
		documents[i] = splitDocument{schema.MachineShardKey(s.shard.number + i*names.shardCount), encode(shards[i])}
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

	inFlight        bool
	notBefore       units.Micros
	unsplittableLog period
}

// run starts a split if a job shard is too long and there is credit for it.
func (d *jobShardSplitter) run() {
	if !d.maySplit() {
		return
	}
	d.notBefore = d.now + jobShardSplitPeriod
	for _, shard := range d.shardsToSplit() {
		staged := stagedJobShard{d, shard, d.commits.newWriteTag()}
		if documents := d.splitToFit(d.partCount(shard.size), staged); len(documents) > 0 {
			d.log.Info("splitting job shard", "shard", shard.key, "bytes", shard.size, "pieces", len(documents), "longest", longestDocument(documents))
			d.commit(documents, staged.writeTag)
			return
		}
		if d.unsplittableLog.due(d.now, unsplittableLogPeriod) {
			d.log.Warn("cannot split job shard yet", "shard", shard.key, "bytes", shard.size, "jobs", len(shard.jobIDs))
		}
	}
}

// maySplit reports whether this controller may split a job shard now.
func (d *jobShardSplitter) maySplit() bool {
	return d.replica.dependenciesEnabled() && d.authority.leads(0) && d.replica.allReadable() && !d.store.failing && !d.inFlight &&
		d.writes.credit >= minPlanCredit && d.now >= d.notBefore
}

// shardsToSplit returns the job shards that have become too long, the longest first.
func (d *jobShardSplitter) shardsToSplit() []*jobShard {
	var oversized []*jobShard
	for _, shard := range d.replica.jobShards.all() {
		if d.partCount(shard.size) > 1 && !d.commits.isInFlight(shard.key) {
			oversized = append(oversized, shard)
		}
	}
	slices.SortStableFunc(oversized, func(a, b *jobShard) int { return cmp.Compare(b.size, a.size) })
	return oversized
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

// stagedJobShard is a job shard's document as a splitter is going to write it.
type stagedJobShard struct {
	splitter *jobShardSplitter
	shard    *jobShard
	writeTag string
}

// nameSet returns the ids of the jobs.
func (s stagedJobShard) nameSet() nameSet {
	return nameSet{s.shard.jobIDs, s.shard.number, s.splitter.replica.jobDirectory.countOf(s.shard.number)}
}

// split returns the job shard's document in the given number of parts.
func (s stagedJobShard) split(parts int) []splitDocument {
	names := s.nameSet()
	shards := make([]schema.JobShard, parts)
	for i := range shards {
		shards[i] = schema.JobShard{ShardCount: names.shardCount * parts, WriteTag: s.writeTag}
	}
	for _, job := range s.splitter.replica.jobShardDocument(s.shard, nil).Jobs {
		part := &shards[names.part(job.ID, parts)]
		part.Jobs = append(part.Jobs, job)
	}
	documents := make([]splitDocument, parts)
	for i := range shards {
		documents[i] = splitDocument{schema.JobShardKey(s.shard.number + i*names.shardCount), encode(shards[i])}
	}
	return documents
}

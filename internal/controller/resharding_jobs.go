package controller

import (
	"cmp"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

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
	return encodeParts(shards, names, schema.JobShardKey)
}

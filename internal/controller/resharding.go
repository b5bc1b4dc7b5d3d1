package controller

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Documents that have become long, or too long for what the state service will allow, are
// split online. One transaction writes all the pieces, of which the first takes the place of
// the document, under its stamp: there is no moment at which an entry stands in two documents
// or in none, and a crash, a change of owner or a change of the limits finds either the one
// document or all the pieces.

const (
	splitAbove  = 0.70 // part of the longest value above which a document is split
	splitTarget = 0.45 // part of it that each piece may take
)

// splitCountFor is into how many pieces a document of that length is to be split; 1: it is not.
func (c *Controller) splitCountFor(size int) int {
	most := float64(c.maxValueBytes())
	if !c.chainsEnabled() || float64(size) <= splitAbove*most {
		return 1
	}
	return max(2, int(float64(size)/(splitTarget*most)+0.999))
}

// splitDocument is one of the documents that come of a split.
type splitDocument struct {
	key   string
	value json.RawMessage
}

// splitToFit cuts a document into as few pieces as are short enough, from least on and at most
// so many; cut makes the pieces. If none are short enough for the limits to come, pieces that
// the service may still take at present are a first step.
func (c *Controller) splitToFit(least, most int, cut func(pieces int) []splitDocument) []splitDocument {
	for pieces := least; pieces <= most; pieces++ {
		if out := cut(pieces); longestDocument(out) <= c.maxValueBytes() {
			return out
		}
	}
	if most < 2 || c.store.limits.lowered {
		return nil
	}
	if out := cut(most); longestDocument(out) <= maxValueBytes(c.cfg.Settings.KVStore.ValueKB) {
		return out
	}
	return nil
}

func longestDocument(pieces []splitDocument) int {
	most := 0
	for _, p := range pieces {
		most = max(most, len(p.value))
	}
	return most
}

// splitMachineShards splits machine shards of this partition that have become too long, the longest first. That may take more changes than are saved up; what it takes is paid back before the
// next split, and half of the changes are left to other work.
func (b *plan) splitMachineShards() {
	c := b.c
	if c.now < b.leadership.splitNotBefore {
		return
	}
	var long []*stagedShard
	for _, gd := range b.shards {
		if gd.ownShard && !gd.changed && c.splitCountFor(gd.shard.size) > 1 {
			long = append(long, gd)
		}
	}
	slices.SortStableFunc(long, func(x, y *stagedShard) int { return cmp.Compare(y.shard.size, x.shard.size) })
	changes := 0
	for _, gd := range long {
		pieces := c.splitToFit(c.splitCountFor(gd.shard.size), c.store.limits.TxnOps, gd.split)
		if len(pieces) < 2 {
			if c.scheduling.oversizedLogPeriod.due(c.now, 10*units.Second) {
				c.log.Warn("cannot split machine shard yet", "shard", gd.shard.number, "bytes", gd.shard.size)
			}
			continue
		}
		if changes > 0 && changes+len(pieces) > b.changesLeft {
			break
		}
		c.log.Info("splitting machine shard", "shard", gd.shard.number, "bytes", gd.shard.size, "pieces", len(pieces), "longest", longestDocument(pieces))
		changes += len(pieces)
		gd.changed, gd.splitCount, gd.bytesLeft = true, len(pieces), 0
		b.changesLeft -= len(pieces)
		b.bytesLeft -= len(pieces)*documentOverheadBytes + gd.shard.size
	}
	if changes > 0 {
		b.leadership.splitNotBefore = c.now + c.creditPeriod(changes, 0.5)
	}
}

// creditPeriod is how long so many changes take when they may use that part of this controller's.
func (c *Controller) creditPeriod(changes int, part float64) units.Micros {
	return units.FromSeconds(float64(changes) / (c.budget.rate() * part))
}

// split gives the machine shard's document in so many pieces.
func (gd *stagedShard) split(pieces int) []splitDocument {
	whole := gd.document()
	of := max(gd.shard.spread, gd.c.replica.layout.MachineShards)
	docs := make([]schema.MachineShard, pieces)
	for i := range docs {
		docs[i] = schema.MachineShard{Partition: whole.Partition, Handovers: whole.Handovers, ShardCount: of * pieces, WriteTag: whole.WriteTag}
	}
	for _, m := range whole.Machines {
		doc := &docs[(schema.MachineShardIndex(m.Name, of*pieces)-gd.shard.number)/of]
		doc.Machines = append(doc.Machines, m)
	}
	out := make([]splitDocument, pieces)
	for i := range docs {
		out[i] = splitDocument{schema.MachineShardKey(gd.shard.number + i*of), encode(docs[i])}
	}
	return out
}

// splitJobShards splits job shards that have become too long, one at a time. It is done by one
// controller, so that two seldom try the same; the stamps keep it safe if two do.
func (c *Controller) splitJobShards() {
	if !c.chainsEnabled() || !c.leads(0) || c.store.failing || c.jobShardSplits.inFlight || c.budget.credit < 2 || c.now < c.jobShardSplits.notBefore {
		return
	}
	c.jobShardSplits.notBefore = c.now + 100*units.Millisecond
	var long *jobShard
	for _, s := range c.replica.jobShards {
		if c.splitCountFor(s.size) > 1 && !c.commits.keysInFlight[s.key] && (long == nil || s.size > long.size) {
			long = s
		}
	}
	if long == nil {
		return
	}
	mark := c.commits.newWriteTag()
	pieces := c.splitToFit(c.splitCountFor(long.size), c.store.limits.TxnOps, func(n int) []splitDocument { return c.splitJobShard(long, n, mark) })
	if len(pieces) < 2 {
		return
	}
	txn := &kv.Txn{}
	for _, p := range pieces {
		c.addSet(txn, p.key, p.value)
	}
	c.log.Info("splitting job shard", "shard", long.key, "bytes", long.size, "pieces", len(pieces), "longest", longestDocument(pieces))
	c.jobShardSplits.inFlight = true
	c.jobShardSplits.notBefore = c.now + c.creditPeriod(len(pieces), 0.25)
	c.commits.markInFlight(txn)
	c.commits.commit(txn, mark, func(commitOutcome, uint64, []string) {
		c.jobShardSplits.inFlight = false
		c.commits.clearInFlight(txn)
	})
}

// splitJobShard gives the job shard's document in so many pieces.
func (c *Controller) splitJobShard(s *jobShard, pieces int, mark string) []splitDocument {
	of := max(s.spread, c.replica.layout.JobShards)
	docs := make([]schema.JobShard, pieces)
	for i := range docs {
		docs[i] = schema.JobShard{ShardCount: of * pieces, WriteTag: mark}
	}
	for _, job := range c.replica.jobShardDocument(s, nil).Jobs {
		doc := &docs[(schema.JobShardIndex(job.ID, of*pieces)-s.number)/of]
		doc.Jobs = append(doc.Jobs, job)
	}
	out := make([]splitDocument, pieces)
	for i := range docs {
		out[i] = splitDocument{schema.JobShardKey(s.number + i*of), encode(docs[i])}
	}
	return out
}

// emptyOversizedSegments moves the progress of jobs out of documents that are too long to be written any
// more, and then deletes those, which is possible at any length. A job may stand in two
// documents meanwhile: what either says is true.
func (b *plan) emptyOversizedSegments() {
	c := b.c
	if !c.chainsEnabled() {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(c.replica.progressSegments)) {
		p := c.replica.progressSegments[key]
		if p.partition != b.leadership.partition || !c.oversized(p) || c.commits.keysInFlight[key] {
			continue
		}
		left := false
		for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
			if j := c.replica.jobs[id]; j != nil && j.accepted && j.progressSegment == p && !b.progress.put(j, p.jobs[id]) {
				left = true
				break
			}
		}
		if left || b.jointRoom() < 1 {
			return
		}
		c.log.Info("progress segment emptied", "segment", key, "bytes", p.size)
		b.addJoint(kv.Operation{Delete: key}, c.replica.revisions[key])
	}
}

// oversized reports whether a document of progress is longer than what may be written.
func (c *Controller) oversized(p *progressSegment) bool {
	return p != nil && p.size > c.maxValueBytes()
}

// jobShardSplits paces the splits of job shards.
type jobShardSplits struct {
	inFlight  bool
	notBefore units.Micros
}

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
	splitAbove = 0.70 // part of the longest value above which a document is split
	splitInto  = 0.45 // part of it that each piece may take
)

// piecesFor is into how many pieces a document of that length is to be split; 1: it is not.
func (c *Core) piecesFor(size int) int {
	most := float64(c.valueMax())
	if !c.chainsEnabled() || float64(size) <= splitAbove*most {
		return 1
	}
	return max(2, int(float64(size)/(splitInto*most)+0.999))
}

// piece is one of the documents that come of a split.
type piece struct {
	key   string
	value json.RawMessage
}

// fitting cuts a document into as few pieces as are short enough, from least on and at most
// so many; cut makes the pieces. If none are short enough for the limits to come, pieces that
// the service may still take at present are a first step.
func (c *Core) fitting(least, most int, cut func(pieces int) []piece) []piece {
	for pieces := least; pieces <= most; pieces++ {
		if out := cut(pieces); longest(out) <= c.valueMax() {
			return out
		}
	}
	if most < 2 || c.limits.fallen {
		return nil
	}
	if out := cut(most); longest(out) <= valueMax(c.cfg.Settings.State.ValueKB) {
		return out
	}
	return nil
}

func longest(pieces []piece) int {
	most := 0
	for _, p := range pieces {
		most = max(most, len(p.value))
	}
	return most
}

// splitMachineShards splits machine shards of this partition that have become too long, the longest first. That may take more changes than are saved up; what it takes is paid back before the
// next split, and half of the changes are left to other work.
func (b *batch) splitMachineShards() {
	c := b.c
	if c.now < b.o.splitAt {
		return
	}
	var long []*shardDraft
	for _, gd := range b.shards {
		if gd.own && !gd.changed && c.piecesFor(gd.g.size) > 1 {
			long = append(long, gd)
		}
	}
	slices.SortStableFunc(long, func(x, y *shardDraft) int { return cmp.Compare(y.g.size, x.g.size) })
	changes := 0
	for _, gd := range long {
		pieces := c.fitting(c.piecesFor(gd.g.size), c.limits.TxnOps, gd.cut)
		if len(pieces) < 2 {
			if c.every("oversized", 10*units.Second) {
				c.log.Warn("a machine shard can't be split yet", "shard", gd.g.n, "bytes", gd.g.size)
			}
			continue
		}
		if changes > 0 && changes+len(pieces) > b.ops {
			break
		}
		c.log.Info("split a machine shard", "shard", gd.g.n, "bytes", gd.g.size, "pieces", len(pieces), "longest", longest(pieces))
		changes += len(pieces)
		gd.changed, gd.pieces, gd.bytes = true, len(pieces), 0
		b.ops -= len(pieces)
		b.size -= len(pieces)*headBytes + gd.g.size
	}
	if changes > 0 {
		b.o.splitAt = c.now + c.payBack(changes, 0.5)
	}
}

// payBack is how long so many changes take when they may use that part of this controller's.
func (c *Core) payBack(changes int, part float64) units.Micros {
	return units.FromSeconds(float64(changes) / (c.writeRate() * part))
}

// cut gives the machine shard's document in so many pieces.
func (gd *shardDraft) cut(pieces int) []piece {
	whole := gd.doc()
	of := max(gd.g.spread, gd.c.replica.layout.Groups)
	docs := make([]schema.MachineShard, pieces)
	for i := range docs {
		docs[i] = schema.MachineShard{Part: whole.Part, Handover: whole.Handover, Spread: of * pieces, Mark: whole.Mark}
	}
	for _, m := range whole.Machines {
		doc := &docs[(schema.MachineShardOf(m.Name, of*pieces)-gd.g.n)/of]
		doc.Machines = append(doc.Machines, m)
	}
	out := make([]piece, pieces)
	for i := range docs {
		out[i] = piece{schema.MachineShardKey(gd.g.n + i*of), encode(docs[i])}
	}
	return out
}

// splitJobShards splits job shards that have become too long, one at a time. It is done by one
// controller, so that two seldom try the same; the stamps keep it safe if two do.
func (c *Core) splitJobShards() {
	if !c.chainsEnabled() || !c.usable(0) || c.stateBad || c.splittingJobShard || c.tokens < 2 || c.now < c.jobShardSplitAt {
		return
	}
	c.jobShardSplitAt = c.now + 100*units.Millisecond
	var long *jobShard
	for _, s := range c.replica.jobShards {
		if c.piecesFor(s.size) > 1 && !c.writing[s.key] && (long == nil || s.size > long.size) {
			long = s
		}
	}
	if long == nil {
		return
	}
	mark := c.mark()
	pieces := c.fitting(c.piecesFor(long.size), c.limits.TxnOps, func(n int) []piece { return c.cutJobShard(long, n, mark) })
	if len(pieces) < 2 {
		return
	}
	txn := &kv.Txn{}
	for _, p := range pieces {
		c.addSet(txn, p.key, p.value)
	}
	c.log.Info("split a job shard", "shard", long.key, "bytes", long.size, "pieces", len(pieces), "longest", longest(pieces))
	c.splittingJobShard = true
	c.jobShardSplitAt = c.now + c.payBack(len(pieces), 0.25)
	c.writeKeys(txn, true)
	c.commit(txn, mark, func(outcome, uint64, []string) {
		c.splittingJobShard = false
		c.writeKeys(txn, false)
	})
}

// cutJobShard gives the job shard's document in so many pieces.
func (c *Core) cutJobShard(s *jobShard, pieces int, mark string) []piece {
	of := max(s.spread, c.replica.layout.Shelves)
	docs := make([]schema.JobShard, pieces)
	for i := range docs {
		docs[i] = schema.JobShard{Spread: of * pieces, Mark: mark}
	}
	for _, job := range c.jobShardDoc(s, nil).Jobs {
		doc := &docs[(schema.JobShardOf(job.ID, of*pieces)-s.n)/of]
		doc.Jobs = append(doc.Jobs, job)
	}
	out := make([]piece, pieces)
	for i := range docs {
		out[i] = piece{schema.JobShardKey(s.n + i*of), encode(docs[i])}
	}
	return out
}

// emptyPacks moves the progress of jobs out of documents that are too long to be written any
// more, and then deletes those, which is possible at any length. A job may stand in two
// documents meanwhile: what either says is true.
func (b *batch) emptyPacks() {
	c := b.c
	if !c.chainsEnabled() {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(c.replica.packs)) {
		p := c.replica.packs[key]
		if p.part != b.o.n || !c.oversized(p) || c.writing[key] {
			continue
		}
		left := false
		for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
			if j := c.replica.jobs[id]; j != nil && j.known && j.pack == p && !b.packs.put(j, p.jobs[id]) {
				left = true
				break
			}
		}
		if left || b.joint() < 1 {
			return
		}
		c.log.Info("progress moved to shorter documents", "pack", key, "bytes", p.size)
		b.op(kv.Op{Delete: key}, c.replica.stamps[key])
	}
}

// oversized reports whether a document of progress is longer than what may be written.
func (c *Core) oversized(p *progressPack) bool { return p != nil && p.size > c.valueMax() }

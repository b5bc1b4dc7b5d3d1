package controller

import (
	"cmp"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// shardDirectory determines which of the shards that a replica was shown owns a name. The replica has one
// for machines and one for jobs; it alone decides in which shard a name is listed.
//
// Every shard states its shard count, the number of shards that it is one of (schema.FindShard). At any
// revision of the store exactly one shard owns a name. A split writes all parts in one transaction, each
// with a larger shard count than the shard had, and a name never moves back. So in whatever order documents
// are shown:
//   - Of two shards that own a name by their last shown counts, the one with the larger count is newer.
//   - Once a part of a shard was shown, the contents of the shard from before the split are superseded.
//   - A shard that owns a name, is not superseded and does not list the name proves that the name was
//     removed.
//   - A shard whose latest document is not readable proves nothing, neither by its count nor by its names.
//   - If a shard no longer owns a name, the absence of the name from that shard proves nothing. What is
//     known of the name is kept until the shard that owns it is shown. The wait is bounded: the owning shard
//     was written in the transaction of the split, or of a later split, so it has been shown once the watch
//     has reached the revision of that transaction.
type shardDirectory struct {
	initialCount int                        // number of shards in the layout
	stateOf      func(shard int) shardState // returns the state of a shard; zero: it was not shown

	splitCounts      []int               // all shard counts that shards have stated, the largest first
	splitShards      map[int]bool        // shards that have stated a shard count
	supersededRanges map[shardRange]bool // shards as they were before a split of which a part was shown
	removedAt        map[string]uint64   // by removed name: revision of the proof, until the watch reaches it
}

// shardRange is the set of names that a shard owns under a shard count.
type shardRange struct{ shard, count int }

// shardState is what the last shown document of a shard says of the shard.
type shardState struct {
	splitCount int  // shard count that it states; 0: it was never split, or was not shown
	unreadable bool // a later document was shown that could not be decoded
}

func newShardDirectory(stateOf func(shard int) shardState) shardDirectory {
	return shardDirectory{
		stateOf:     stateOf,
		splitShards: map[int]bool{}, supersededRanges: map[shardRange]bool{}, removedAt: map[string]uint64{},
	}
}

// noteCount records the shard count that a shard states.
func (d *shardDirectory) noteCount(shard, count int) {
	if count <= 0 {
		return
	}
	if !slices.Contains(d.splitCounts, count) {
		d.splitCounts = append(d.splitCounts, count)
		slices.SortFunc(d.splitCounts, func(a, b int) int { return cmp.Compare(b, a) })
		for other := range d.splitShards {
			d.noteSupersededRanges(other, d.splitCountOf(other))
		}
	}
	d.splitShards[shard] = true
	d.noteSupersededRanges(shard, count)
}

// noteSupersededRanges records as superseded all ranges that a shard with the given shard count may have
// been split from.
func (d *shardDirectory) noteSupersededRanges(shard, count int) {
	for _, former := range d.smallerCounts(count) {
		d.supersededRanges[shardRange{shard % former, former}] = true
	}
}

// smallerCounts returns the shard counts that a shard with the given count may have been split from.
func (d *shardDirectory) smallerCounts(count int) []int {
	var smaller []int
	for _, other := range d.splitCounts {
		if other < count {
			smaller = append(smaller, other)
		}
	}
	return append(smaller, d.initialCount)
}

// owner returns the shard that owns a name. shown is false if that shard was not shown yet, or its document is
// not readable; shard then is the one that owned the name before.
func (d *shardDirectory) owner(name string) (shard int, shown bool) {
	shard, shown = schema.OwnerShard(name, d.initialCount, d.splitCounts, d.splitCountOf)
	return shard, shown && !d.stateOf(shard).unreadable && !d.supersededRanges[shardRange{shard, d.countOf(shard)}]
}

// splitCountOf returns the last shown shard count of a shard; 0: it was never split, or was not shown.
func (d *shardDirectory) splitCountOf(shard int) int { return d.stateOf(shard).splitCount }

// countOf returns the shard count of a shard, which is the layout's if it was never split.
func (d *shardDirectory) countOf(shard int) int {
	return max(d.splitCountOf(shard), d.initialCount)
}

// superseded reports whether another shard shows a later state of a name than the given shard. A name that
// was written into a shard that does not own it is not superseded: it is in no other shard, and no split has
// moved it.
func (d *shardDirectory) superseded(name string, shard int) bool {
	owner, shown := d.owner(name)
	owned := schema.ShardIndex(name, d.countOf(shard)) == shard
	return shown && owned && owner != shard && d.countOf(owner) > d.countOf(shard)
}

// isStale reports whether a name's entry in a shard as of a revision is older than what is known of it.
func (d *shardDirectory) isStale(name string, shard int, revision uint64) bool {
	return revision < d.removedAt[name] || d.superseded(name, shard)
}

// noteRemoved records that a name was removed, as proven by a document of that revision. Until the watch
// has reached the revision, older documents may still be shown.
func (d *shardDirectory) noteRemoved(name string, revision uint64) { d.removedAt[name] = revision }

// advance forgets the removals whose revision the watch has reached.
func (d *shardDirectory) advance(revision uint64) {
	maps.DeleteFunc(d.removedAt, func(_ string, revisionOfRemoval uint64) bool { return revisionOfRemoval <= revision })
}

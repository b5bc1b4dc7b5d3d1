package controller

import (
	"cmp"
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/schema"
)

// shardDirectory knows, of the shards that a replica was shown, which one owns a name. The replica has one
// for machines and one for jobs; where a name is listed is decided by it alone.
//
// Every shard says of how many it is one (schema.FindShard), and at any revision of the store exactly one
// shard owns a name. A split writes all parts at once, each with a larger count than the shard had, and a
// name never moves back. So whatever the order in which documents are shown:
//   - Of two shards that own a name by what they last said, the one with the larger count is the later.
//   - Once a part of a shard was shown, what the shard said before its split is out of date.
//   - A shard that owns a name, is not out of date and does not list the name proves that the name has left.
//   - That a shard no longer lists a name which it does not own any more proves nothing. The name stays as
//     it was until the shard that owns it is shown. That ends the wait: it was written in the same
//     transaction or later, so it has been shown once the watch has reached that revision.
type shardDirectory struct {
	initialCount int           // shards in the layout
	splitCountOf func(int) int // of how many a shard was last shown to say that it is one; 0: it was never split, or was not shown

	splitCounts []int               // that were ever said, the largest first
	splitShards map[int]bool        // shards that have said one
	outOfDate   map[shardClaim]bool // what shards said before a split of which a part was shown
	left        map[string]uint64   // names that have left, by the revision that proves it, until the watch has passed that
}

// shardClaim is what a shard says when it says that it is one of so many.
type shardClaim struct{ shard, count int }

func newShardDirectory(splitCountOf func(int) int) shardDirectory {
	return shardDirectory{
		splitCountOf: splitCountOf,
		splitShards:  map[int]bool{}, outOfDate: map[shardClaim]bool{}, left: map[string]uint64{},
	}
}

// note enters that a shard says that it is one of so many.
func (d *shardDirectory) note(shard, count int) {
	if count <= 0 {
		return
	}
	if !slices.Contains(d.splitCounts, count) {
		d.splitCounts = append(d.splitCounts, count)
		slices.SortFunc(d.splitCounts, func(a, b int) int { return cmp.Compare(b, a) })
		for other := range d.splitShards {
			d.noteSplit(other, d.splitCountOf(other))
		}
	}
	d.splitShards[shard] = true
	d.noteSplit(shard, count)
}

// noteSplit enters what is out of date since a shard is one of so many.
func (d *shardDirectory) noteSplit(shard, count int) {
	for _, former := range d.smallerCounts(count) {
		d.outOfDate[shardClaim{shard % former, former}] = true
	}
}

// smallerCounts are the counts that a shard of so many may have been split from.
func (d *shardDirectory) smallerCounts(count int) []int {
	var smaller []int
	for _, other := range d.splitCounts {
		if other < count {
			smaller = append(smaller, other)
		}
	}
	return append(smaller, d.initialCount)
}

// owner is the shard that owns a name. shown is false if that shard was not shown yet; the number then
// is where the name was before.
func (d *shardDirectory) owner(name string) (shard int, shown bool) {
	shard, shown = schema.OwnerShard(name, d.initialCount, d.splitCounts, d.splitCountOf)
	return shard, shown && !d.outOfDate[shardClaim{shard, d.countOf(shard)}]
}

// countOf is of how many shards a shard is one.
func (d *shardDirectory) countOf(shard int) int {
	return max(d.splitCountOf(shard), d.initialCount)
}

// superseded reports whether what a shard says of a name is older than what another one says. A name that
// was written into a shard that does not own it is nowhere else, and no split has moved it.
func (d *shardDirectory) superseded(name string, shard int) bool {
	owner, shown := d.owner(name)
	owned := schema.MachineShardIndex(name, d.countOf(shard)) == shard
	return shown && owned && owner != shard && d.countOf(owner) > d.countOf(shard)
}

// isOld reports whether what a shard lists as of a revision is older than what is known of the name.
func (d *shardDirectory) isOld(name string, shard int, revision uint64) bool {
	return revision < d.left[name] || d.superseded(name, shard)
}

// noteLeft enters that a name has left, as a document of that revision proves. Until the watch has
// passed the revision, older documents may still be shown.
func (d *shardDirectory) noteLeft(name string, revision uint64) { d.left[name] = revision }

// advance forgets what the watch has passed.
func (d *shardDirectory) advance(revision uint64) {
	maps.DeleteFunc(d.left, func(_ string, leftAt uint64) bool { return leftAt <= revision })
}

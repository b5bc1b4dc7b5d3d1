package controller

import (
	"encoding/json"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// machineShard is a stored document of machines; its revision is 0 while there is none.
type machineShard struct {
	number     int
	key        string
	shardCount int // number of machine shards that it became one of when it was split; 0: never split
	revision   uint64
	size       int // of the stored value, in bytes
	partition  int
	handovers  uint64
	machines   []*machine   // in the order of their names
	movedAt    units.Micros // when it was last seen to change partitions
	changedAt  units.Micros // when any change of it was last seen
}

// jobShard is a stored document of accepted jobs.
type jobShard struct {
	number     int
	key        string
	shardCount int // number of job shards that it became one of when it was split; 0: never split
	revision   uint64
	size       int // of the stored value, in bytes
	jobIDs     []string
}

// applyLayout applies the store's layout, once, and its format, which may be raised later.
func (r *replica) applyLayout(key string, value json.RawMessage, deleted bool) bool {
	if deleted {
		return true
	}
	var doc schema.Layout
	if !r.env.decode(key, value, &doc) {
		return false
	}
	if doc.MachineShards <= 0 || doc.JobShards <= 0 { // of a version that this one must not work beside
		return !r.layoutKnown
	}
	if !r.layoutKnown {
		r.useLayout(doc)
		r.layoutKnown = true
	}
	if doc.Format > r.format {
		r.format = doc.Format
		r.env.log.Info("store format version", "format", doc.Format)
		r.observer.formatRaised()
	}
	return true
}

// useLayout sets the numbers of machine shards and job shards. Known shards within these numbers stay.
func (r *replica) useLayout(layout schema.Layout) {
	r.layout = layout
	r.machineDirectory.initialCount, r.jobDirectory.initialCount = layout.MachineShards, layout.JobShards
	r.machineShards.useLayout(layout.MachineShards)
	r.jobShards.useLayout(layout.JobShards)
	for key := range r.revisions { // documents that were read under another layout must be read again
		if strings.HasPrefix(key, schema.MachineShardPrefix) || strings.HasPrefix(key, schema.JobShardPrefix) {
			delete(r.revisions, key)
		}
	}
}

// applyMachineShardKey applies a new document of machines. A deleted one keeps its contents.
func (r *replica) applyMachineShardKey(key string, value json.RawMessage, revision uint64, deleted bool) bool {
	n, ok := numberAfterPrefix(key, schema.MachineShardPrefix, schema.MaxReadableShardCount)
	if !ok || deleted {
		return deleted
	}
	return r.applyMachineShard(r.machineShards.findOrAdd(n), value, revision)
}

// applyJobShardKey applies a new document of jobs, or its deletion.
func (r *replica) applyJobShardKey(key string, value json.RawMessage, revision uint64) bool {
	n, ok := numberAfterPrefix(key, schema.JobShardPrefix, schema.MaxReadableShardCount)
	if !ok {
		return len(value) == 0
	}
	return r.applyJobShard(r.jobShards.findOrAdd(n), value, revision)
}

// machineShardState returns what the last shown document of a machine shard says of the shard.
func (r *replica) machineShardState(n int) shardState {
	if shard := r.machineShards.find(n); shard != nil {
		return shardState{shard.shardCount, r.unreadable[shard.key]}
	}
	return shardState{}
}

// jobShardState returns what the last shown document of a job shard says of the shard.
func (r *replica) jobShardState(n int) shardState {
	if shard := r.jobShards.find(n); shard != nil {
		return shardState{shard.shardCount, r.unreadable[shard.key]}
	}
	return shardState{}
}

// machineShardOf returns the machine shard that owns a machine's name. If that shard has not been shown
// since the last split, it returns the shard that owned the name before: callers may use it to find the
// leader, but must not write it.
func (r *replica) machineShardOf(machine string) *machineShard {
	shard, _ := r.machineDirectory.owner(machine)
	return r.machineShards.find(shard)
}

// jobShardOf returns the job shard that owns a job's id, with the same restriction as machineShardOf.
func (r *replica) jobShardOf(job string) *jobShard {
	shard, _ := r.jobDirectory.owner(job)
	return r.jobShards.find(shard)
}

// jobShardDocument returns a job shard's current document, without the given jobs.
func (r *replica) jobShardDocument(shard *jobShard, without map[string]bool) *schema.JobShard {
	document := &schema.JobShard{ShardCount: shard.shardCount}
	for _, id := range shard.jobIDs {
		if !without[id] {
			document.Jobs = append(document.Jobs, r.jobs[id].spec)
		}
	}
	return document
}

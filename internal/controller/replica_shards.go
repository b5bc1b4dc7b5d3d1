package controller

import (
	"encoding/json"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// machineShard is a document of machines; its revision is 0 while there is none.
type machineShard struct {
	number     int
	key        string
	splitCount int // into how many machine shards it was split, this being one; 0: it never was
	revision   uint64
	size       int // of the stored value
	partition  int
	handovers  uint64
	machines   []*machine   // in the order of their names
	movedAt    units.Micros // when it was last seen to change partitions
	changedAt  units.Micros // when it was last seen to change at all
}

// jobShard is a document of accepted jobs.
type jobShard struct {
	number     int
	key        string
	splitCount int // into how many job shards it was split, this being one; 0: it never was
	revision   uint64
	size       int // of the stored value
	jobIDs     []string
}

// applyLayout takes the store's layout, once, and its format, which may be raised.
func (r *replica) applyLayout(key string, value json.RawMessage, deleted bool) {
	var doc schema.Layout
	if deleted || !r.env.decode(key, value, &doc) || doc.MachineShards <= 0 || doc.JobShards <= 0 {
		return
	}
	if !r.layoutKnown {
		r.useLayout(doc)
		r.layoutKnown = true
	}
	if doc.Format > r.format {
		r.format = doc.Format
		r.env.log.Info("store format version", "format", doc.Format)
		r.maxProgressGaps = r.observer.formatRaised()
	}
}

// useLayout spreads machines and jobs over so many documents. Documents that are known already stay.
func (r *replica) useLayout(layout schema.Layout) {
	r.layout = layout
	r.growMachineShards(layout.MachineShards)
	r.growJobShards(layout.JobShards)
	r.machineDirectory.initialCount, r.jobDirectory.initialCount = layout.MachineShards, layout.JobShards
	r.machineShards, r.jobShards = r.machineShards[:layout.MachineShards], r.jobShards[:layout.JobShards]
	for key := range r.revisions { // what was read by another layout is to be read again
		if strings.HasPrefix(key, schema.MachineShardPrefix) || strings.HasPrefix(key, schema.JobShardPrefix) {
			delete(r.revisions, key)
		}
	}
}

// growMachineShards has at least count machine shards; those that have no document are empty.
func (r *replica) growMachineShards(count int) {
	for n := len(r.machineShards); n < count; n++ {
		r.machineShards = append(r.machineShards, &machineShard{number: n, key: schema.MachineShardKey(n), partition: r.defaultPartition(n)})
	}
}

// growJobShards has at least count job shards; those that have no document are empty.
func (r *replica) growJobShards(count int) {
	for n := len(r.jobShards); n < count; n++ {
		r.jobShards = append(r.jobShards, &jobShard{number: n, key: schema.JobShardKey(n)})
	}
}

// machineShardOf is the machine shard that owns a machine's name, or where it was before the last split
// if its owner was not shown yet: good for asking who leads it, not for writing.
func (r *replica) machineShardOf(machine string) *machineShard {
	shard, _ := r.machineDirectory.owner(machine)
	return r.machineShards[shard]
}

// jobShardOf is the job shard that owns a job's id, as machineShardOf.
func (r *replica) jobShardOf(job string) *jobShard {
	shard, _ := r.jobDirectory.owner(job)
	return r.jobShards[shard]
}

// jobShardDocument is a job shard as it stands, without the given jobs.
func (r *replica) jobShardDocument(shard *jobShard, without map[string]bool) *schema.JobShard {
	document := &schema.JobShard{ShardCount: shard.splitCount}
	for _, id := range shard.jobIDs {
		if !without[id] {
			document.Jobs = append(document.Jobs, r.jobs[id].spec)
		}
	}
	return document
}

package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// StoredState lists what the controller knows of the stored documents, one sorted line for each fact, and the
// revision that it knows them at; 0 if its replica is not complete or one of its writes is in flight. Two
// controllers with the same revision list the same lines: one that differs from a newly loaded controller knows
// something that only a restart would correct. Facts that a controller reads only when it needs them, such as
// outcomes, are not listed.
func (c *Controller) StoredState() (revision uint64, facts []string) {
	r := c.replica
	if !r.complete() || len(c.commits.keysInFlight) > 0 {
		return 0, nil
	}
	facts = append(facts, fmt.Sprintf("layout %d %d format %d", r.layout.MachineShards, r.layout.JobShards, r.format))
	for n, p := range r.partitions {
		facts = append(facts, fmt.Sprintf("partition %d leader %s/%s term %d", n, p.doc.Member, p.doc.Incarnation, p.doc.Term))
	}
	for key := range r.registeredSince {
		facts = append(facts, fmt.Sprintf("registration %s format %d", key, r.registeredFormats[key]))
	}
	for key := range r.unreadable {
		facts = append(facts, "unreadable "+key)
	}
	for _, m := range r.machines {
		facts = append(facts, r.describeMachine(m))
	}
	for _, j := range r.jobs {
		facts = append(facts, r.describeJob(j))
	}
	slices.Sort(facts)
	return r.watchRevision, facts
}

// describeMachine returns a line with a machine's entry and the shard that it is in.
func (r *replica) describeMachine(m *machine) string {
	owner, shown := r.machineDirectory.owner(m.name)
	entry := m.doc
	entry.KindIndex = 0 // set anew whenever a shard is encoded
	return fmt.Sprintf("machine %s shard %d owner %d shown %v partition %d handovers %d unlocated %v entry %+v",
		m.name, m.shard.number, owner, shown, m.shard.partition, m.shard.handovers, r.unlocatedMachines[m.name], entry)
}

// describeJob returns a line with what is known of a job: its shard, the entries of its tasks and, if it is accepted,
// its stored progress and how many of its tasks count for its team.
func (r *replica) describeJob(j *job) string {
	owner, shown := r.jobDirectory.owner(j.id)
	shard := -1
	if j.shard != nil {
		shard = j.shard.number
	}
	var line strings.Builder
	fmt.Fprintf(&line, "job %s accepted %v shard %d owner %d shown %v cancelled %v", j.id, j.accepted, shard, owner, shown, j.cancellationShown)
	if j.accepted {
		fmt.Fprintf(&line, " done %q counted %d", j.done.String(), j.countedForQuota())
	}
	for _, index := range slices.Sorted(maps.Keys(j.bindings)) {
		bound := j.bindings[index]
		fmt.Fprintf(&line, " task %d on %s attempt %d stored %v earlier %d",
			index, bound.machine.name, bound.attempt, j.hasEntry(index, bound), len(j.superseded[index]))
	}
	return line.String()
}

package controller

import (
	"cmp"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/schema"
)

// stagedShard is a machine shard's document in the making.
type stagedShard struct {
	c          *Controller
	shard      *machineShard
	ownShard   bool
	changed    bool
	picked     bool // arrays may go here in this batch
	splitCount int  // that it is split into; 0: it is not

	oversized   bool // longer than what may be written: it must be split first
	bytesLeft   int  // that the value may still grow
	writeTag    string
	transferTo  int // partition that it is handed to, or -1
	machines    []*stagedMachine
	newMachines []schema.Machine // newcomers
}

// stagedMachine is a machine's entry in the making.
type stagedMachine struct {
	machine      *machine
	shard        *stagedShard
	resources    // free room
	kept         []schema.Task
	added        []schema.Task
	usable       bool
	fence        bool
	decommission bool
	active       int                         // tasks that may be active
	endingSoon   resources                   // room of array tasks that are about to end
	images       []string                    // what a foreign machine's commander says of its images
	stops        map[taskKey]schema.StopMode // tasks that are to be stopped, and how
}

// hasImage reports whether the image is on the machine, as far as is known.
func (d *stagedMachine) hasImage(image string) bool {
	if d.machine.agent != nil {
		_, ok := d.machine.agent.images[image]
		return ok
	}
	return slices.Contains(d.images, image)
}

func (d *stagedMachine) requestStop(k taskKey, how schema.StopMode) {
	if d.stops == nil {
		d.stops = map[taskKey]schema.StopMode{}
	}
	d.stops[k] = how
}

// document is the machine shard as it is to be stored.
func (gd *stagedShard) document() *schema.MachineShard {
	doc := &schema.MachineShard{Partition: gd.shard.partition, Handovers: gd.shard.handover, ShardCount: gd.shard.spread, WriteTag: gd.writeTag, Machines: slices.Clone(gd.newMachines)}
	if gd.transferTo >= 0 {
		doc.Partition = gd.transferTo
		doc.Handovers++
	}
	for _, d := range gd.machines {
		if gd.ownShard && d.machine.deleted {
			continue
		}
		m := d.machine.doc
		m.Tasks = append(slices.Clone(d.kept), d.added...)
		for i := range m.Tasks {
			t := &m.Tasks[i]
			t.StopMode = max(t.StopMode, d.stops[keyOf(*t)])
			if gd.ownShard && t.DoneTenths == 0 {
				t.DoneTenths = gd.c.recordedRunTenths(d.machine, t)
			}
		}
		if d.fence {
			m.TokenIncrements++
		}
		if d.decommission {
			m.TokenIncrements++
			m.Decommissioned = true
		}
		doc.Machines = append(doc.Machines, m)
	}
	slices.SortFunc(doc.Machines, func(a, b schema.Machine) int { return strings.Compare(a.Name, b.Name) })
	return doc
}

// recordedRunTenths is how the end of a task that its commander saw complete is written down
// beside it; zero if there is nothing to tell. It frees the task's part of its team's
// limit, and tells the job's owner if that is another.
func (c *Controller) recordedRunTenths(m *machine, t *schema.Task) int {
	j := c.replica.jobs[t.Job]
	if j == nil || !j.accepted || m.agent == nil || !j.unstoredCompletions[t.Index] {
		return 0
	}
	if c.partitions.led[j.partition] != nil {
		return 1 // how long it ran goes with the progress; alike, neighbours stay one range
	}
	return max(1, m.agent.completions[keyOf(*t)].tenths)
}

// mustRecordCompletion reports whether the end of a task must be written down for another
// controller, which owns its job, or since its team is at its limit.
func (c *Controller) mustRecordCompletion(m *machine, t *schema.Task, using map[string]*usage) bool {
	if t.DoneTenths > 0 || c.recordedRunTenths(m, t) == 0 {
		return false
	}
	j := c.replica.jobs[t.Job]
	if j.waiting() > 0 && c.quotaRoom(j, using) == 0 {
		return true
	}
	return c.partitions.led[j.partition] == nil && !c.completions.leaderStores(j, m.agent.completions[keyOf(*t)].seenAt)
}

func (gd *stagedShard) addsTasks() bool {
	return slices.ContainsFunc(gd.machines, func(d *stagedMachine) bool { return len(d.added) > 0 })
}

// withdrawAdded undoes what was added: it has not been stored, unless the replica
// shows it.
func (gd *stagedShard) withdrawAdded() {
	for _, d := range gd.machines {
		for _, t := range d.added {
			if j := gd.c.replica.jobs[t.Job]; j != nil {
				if x, ok := j.bindings[t.Index]; ok && x.machine == d.machine && x.attempt == t.Attempt && !d.machine.lists(keyOf(t)) {
					j.removeBinding(t.Index)
				}
			}
		}
		d.added = nil
	}
}

// noteEntriesLeaving marks the entries that a write under way takes off the document: they
// must not be launched again meanwhile.
func (gd *stagedShard) noteEntriesLeaving(on bool) {
	if !gd.ownShard {
		return
	}
	for _, d := range gd.machines {
		rt := d.machine.agent
		if rt == nil {
			continue
		}
		rt.entriesLeaving = nil
		if !on || len(d.kept) == len(d.machine.doc.Tasks) {
			continue
		}
		rt.entriesLeaving = map[taskKey]bool{}
		for _, t := range d.machine.doc.Tasks {
			rt.entriesLeaving[keyOf(t)] = true
		}
		for _, t := range d.kept {
			delete(rt.entriesLeaving, keyOf(t))
		}
	}
}

// acceptsTasks reports whether a machine of this node may be given tasks.
func (c *Controller) acceptsTasks(m *machine) bool {
	rt := m.agent
	return rt.heardAt > 0 && c.now-rt.heardAt < silenceAfter(c.cfg.Settings.HeartbeatPeriod()) && rt.takesNewTasks() && rt.responses.lost < maxLostResponses &&
		rt.tokenSeen == c.replica.fencingToken(m) && !rt.command.unclear() && !c.fleet.unreachableInbound(m)
}

// foreignMachineOpen reports whether the owner of another partition's machine says
// that it takes work, and which images are there.
func (c *Controller) foreignMachineOpen(m *machine) ([]string, bool) {
	p := c.replica.partitions[m.shard.partition]
	if p == nil {
		return nil, false
	}
	heartbeat, ok := c.peers.heartbeatOf(p.doc.Member, p.doc.Incarnation)
	if !ok {
		return nil, false
	}
	images, ok := heartbeat.Open[m.name]
	return images, ok
}

// stageMachines drafts every machine shard as it stands. A partition puts tasks of its own teams
// on any machine, by writing them into the machine's machine shard; the machine's owner
// sees that and gives the commands. So a team's limit is still kept in one
// place, and each machine still has one commander.
func (b *plan) stageMachines() {
	c := b.c
	for _, g := range c.replica.machineShards {
		if c.commits.keysInFlight[g.key] {
			continue
		}
		gd := &stagedShard{c: c, shard: g, ownShard: g.partition == b.leadership.partition, bytesLeft: c.maxValueBytes() - g.size - documentOverheadBytes, writeTag: b.writeTag, transferTo: -1, oversized: g.size > c.maxValueBytes()}
		usable := false
		for _, m := range g.machines {
			d := &stagedMachine{machine: m, shard: gd}
			gd.machines = append(gd.machines, d)
			t := c.machineType(m.doc.Type)
			switch {
			case m.doc.Decommissioned || t == nil || gd.ownShard && m.agent == nil:
				d.kept = m.doc.Tasks
				continue
			case gd.ownShard:
				d.usable = c.acceptsTasks(m)
			case m.agent != nil: // this node owns that partition as well
				d.usable = c.leads(g.partition) && c.acceptsTasks(m)
			default:
				d.images, d.usable = c.foreignMachineOpen(m)
			}
			usable = usable || d.usable
			if !gd.ownShard && !d.usable {
				d.kept = m.doc.Tasks
				continue
			}
			d.resources = resources{t.CPUs, t.GPUs, t.MemGB}
			b.stageOccupancy(d)
		}
		if !gd.ownShard && !usable {
			continue
		}
		b.shards = append(b.shards, gd)
		for _, d := range gd.machines {
			if d.usable {
				b.machines = append(b.machines, d)
			}
		}
	}
	b.enterAgents()
}

// enterAgents writes down newcomers that have answered, into the machine shards with the most
// of them first.
func (b *plan) enterAgents() {
	c := b.c
	wait := map[*machineShard][]string{}
	for _, name := range c.agents.confirmedRegistrations() {
		g := c.replica.machineShardOf(name)
		wait[g] = append(wait[g], name)
	}
	if len(wait) == 0 {
		return
	}
	var groups []*stagedShard
	for _, gd := range b.shards {
		if gd.ownShard && len(wait[gd.shard]) > 0 {
			groups = append(groups, gd)
		}
	}
	slices.SortStableFunc(groups, func(x, y *stagedShard) int { return cmp.Compare(len(wait[y.shard]), len(wait[x.shard])) })
	for _, gd := range groups {
		for _, name := range wait[gd.shard] {
			if !b.fitsShard(gd) || gd.bytesLeft < documentOverheadBytes {
				break
			}
			e := c.agents.registrations[name]
			r := &e.request.Heartbeat
			doc := schema.Machine{Name: name, Addr: r.Addr, MachineKind: schema.MachineKind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}}
			// A machine that had an entry before may have seen higher tokens.
			if seen := e.token >> termBits; seen >= gd.shard.handover {
				doc.TokenIncrements = seen - gd.shard.handover + 1
			}
			gd.bytesLeft -= schema.MaxStoredSize(len(encode(doc)))
			gd.newMachines = append(gd.newMachines, doc)
			b.writeShard(gd)
			c.log.Info("registering machine", "machine", name, "type", r.Type, "spot", r.Spot, "partition", gd.shard.partition)
		}
	}
}

// stageOccupancy takes from a draft's room what may be on the machine.
func (b *plan) stageOccupancy(d *stagedMachine) {
	v := &d.machine.occupancies[0]
	if d.shard.ownShard {
		v = &d.machine.occupancies[1]
	}
	if b.c.now >= v.validUntil {
		*v = b.c.occupancyOf(d.machine, d.shard.ownShard)
	}
	d.kept, d.active, d.endingSoon = v.kept, v.active, v.endingSoon
	d.resources = resources{d.resources.cpus - v.used.cpus, d.resources.gpus - v.used.gpus, d.resources.memoryGB - v.used.memoryGB}
}

// fitsShard reports whether another changed machine shard still fits into the batch.
func (b *plan) fitsShard(gd *stagedShard) bool {
	return gd.changed || !gd.oversized && b.changesLeft > 0 && b.bytesLeft > gd.shard.size+documentOverheadBytes
}

func (b *plan) writeShard(gd *stagedShard) {
	if !gd.changed {
		gd.changed = true
		b.changesLeft--
		b.bytesLeft -= gd.shard.size + documentOverheadBytes
	}
}

// dropDeleted drops machines whose deletion the cloud has confirmed, and frees the
// tasks of this partition's jobs that were there, so that the same change that
// drops them can start them on other machines of the machine shard. With a change for each
// it took twice as long until the services of many lost machines ran again.
func (b *plan) dropDeleted() {
	for _, gd := range b.shards {
		if !gd.ownShard {
			continue
		}
		for _, d := range gd.machines {
			if !d.machine.deleted || !b.fitsShard(gd) {
				continue
			}
			b.writeShard(gd)
			for _, t := range d.machine.doc.Tasks {
				j := b.c.replica.unfinishedJobOf(t)
				if j == nil || j.partition != b.leadership.partition {
					continue
				}
				if was, ok := j.bindings[t.Index]; ok && was.machine == d.machine && was.attempt == t.Attempt {
					b.freedTasks = append(b.freedTasks, freedTask{j, t.Index, was})
					j.removeBinding(t.Index)
				}
			}
		}
	}
}

// restoreBindings undoes dropGone when the batch was not stored: until the entries are
// off the document, who takes over would find them.
func (b *plan) restoreBindings() {
	for _, f := range b.freedTasks {
		if _, ok := f.job.bindings[f.task]; !ok && b.c.replica.machines[f.binding.machine.name] == f.binding.machine && f.binding.machine.lists(taskKey{f.job.id, f.task, f.binding.attempt}) {
			f.job.addBinding(f.task, f.binding)
		}
	}
}

// writeDecommissions writes down which machines are to be given back.
func (b *plan) writeDecommissions() {
	for _, gd := range b.shards {
		for _, d := range gd.machines {
			if !gd.ownShard || !b.fitsShard(gd) {
				continue
			}
			if !d.machine.deleted && d.machine.agent != nil && d.machine.agent.decommission.decided() && !d.machine.agent.decommission.atOnce && !d.machine.doc.Decommissioned {
				b.writeShard(gd)
				d.decommission, d.usable = true, false
			}
		}
	}
}

// writeReleases writes machines whose entries stand in the way: tasks to be placed
// anew, ends that the owner of another partition's job must learn, and unclear
// commands to be fenced.
func (b *plan) writeReleases() {
	c := b.c
	for _, gd := range b.shards {
		if !gd.ownShard {
			continue
		}
		for _, d := range gd.machines {
			rt := d.machine.agent
			if rt == nil || !b.fitsShard(gd) {
				continue
			}
			if rt.command.unclear() && rt.heardAt > 0 && c.now-rt.heardAt < c.cfg.Settings.HeartbeatPeriod()*2 && rt.command.token == c.replica.fencingToken(d.machine) {
				d.fence = true
				b.writeShard(gd)
			}
			if gd.changed {
				continue
			}
			for i := range d.kept {
				if c.mustRecordCompletion(d.machine, &d.kept[i], b.usage) {
					b.writeShard(gd)
					break
				}
			}
			if len(d.kept) == len(d.machine.doc.Tasks) || gd.changed {
				continue
			}
			kept := make(map[taskKey]bool, len(d.kept))
			for _, t := range d.kept {
				kept[keyOf(t)] = true
			}
			for _, t := range d.machine.doc.Tasks {
				if j := c.replica.jobs[t.Job]; !kept[keyOf(t)] && j != nil && j.accepted && !j.done.Contains(t.Index) {
					b.writeShard(gd)
					break
				}
			}
			if !gd.changed && gd.bytesLeft < 2*taskEntryBytes {
				b.writeShard(gd)
			}
		}
	}
}

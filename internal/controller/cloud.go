package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// cloudState is what this node knows of the cloud. One node at a time rents and
// returns: the owner of partition 0.
type cloudState struct {
	types    []cloud.Type
	typesAt  units.Micros
	asking   bool
	listing  bool
	listed   map[string]cloud.Listed
	listAt   units.Micros // when the last complete list was asked for
	hires    map[string]*rental
	hireN    int
	cool     map[string]units.Micros // offers that were refused: not before
	deleting bool
	doubtAt  units.Micros // when most machines were last silent: the list may tell why
	calmAt   units.Micros // since when next to nothing waits for room
	chargeAt units.Micros // since when this node has this duty; 0: not
	strayAt  map[string]units.Micros
}

func newCloudState() cloudState {
	return cloudState{listed: map[string]cloud.Listed{}, hires: map[string]*rental{}, cool: map[string]units.Micros{},
		strayAt: map[string]units.Micros{}}
}

func (c *Core) callCloud(call CloudCall, done func(CloudDone)) {
	call.ID = c.id()
	c.cloudCalls[call.ID] = done
	c.out = append(c.out, call)
}

func (c *Core) provision() {
	k := &c.cloud
	if !k.asking && (len(k.types) == 0 && c.every("catalog", 500*units.Millisecond) || c.now-k.typesAt > 60*units.Second && len(k.types) > 0) {
		k.asking = true
		c.callCloud(CloudCall{Op: CloudCatalog}, func(d CloudDone) {
			k.asking = false
			if d.Status == 200 && len(d.Catalog.Types) > 0 {
				k.types = d.Catalog.Types
				c.dirty = true
			}
			if len(k.types) > 0 {
				k.typesAt = c.now
			}
		})
	}
	look := len(c.owned) > 0 && c.every("idle", units.Second)
	var lacking []shortfall
	if look {
		short, bound := 0.0, 0.0
		lacking = c.shortfalls(true)
		for _, s := range lacking {
			short += float64(s.n) * s.j.spec.CPUs
		}
		for _, u := range c.teamUsage() {
			bound += u.cpus
		}
		// A few tasks that wait for a place of their own are no reason for a large
		// fleet to keep all that it has.
		waiting := short > bound/50 || !c.changesPlentiful() && c.unplaced() > bound/20
		if waiting || k.calmAt == 0 {
			k.calmAt = c.now
		}
		// A lull shorter than it takes to rent a machine again is no reason to empty one.
		starvingJobs := c.starvingJobs()
		c.consolidate(waiting || c.now-k.calmAt < c.slowestReturn(), starvingJobs)
		c.returnIdle(waiting, starvingJobs)
	}
	if c.every("delete", 200*units.Millisecond) {
		c.deleteRetired()
	}
	keeper := c.owned[0] != nil && c.usable(0) && len(k.types) > 0
	if !k.listing && (keeper || c.now-k.doubtAt < 10*units.Second && k.doubtAt > 0) && c.every("list", 4*units.Second) {
		c.list("", map[string]cloud.Listed{}, c.now)
	}
	if !keeper {
		k.chargeAt = 0
		return
	}
	if k.chargeAt == 0 {
		k.chargeAt = c.now
		k.hires = map[string]*rental{}
		k.listed, k.listAt = map[string]cloud.Listed{}, 0
	}
	if look {
		c.settleHires()
		c.rent(lacking)
	}
}

// unplaced is what tasks take that wait for a place, found or not, in CPUs. While changes are
// scarce there may be room for them that is not used yet, and a machine with much of it starts
// more tasks with one change.
func (c *Core) unplaced() float64 {
	sum := 0.0
	using := c.teamUsage()
	for _, j := range c.sortedJobs() {
		if !j.cancelled() && c.now >= j.retryAt {
			sum += float64(min(j.waiting(), c.quotaRoom(j, using))) * j.spec.CPUs
		}
	}
	return sum
}

// list reads the cloud's machines, page by page.
func (c *Core) list(since string, got map[string]cloud.Listed, started units.Micros) {
	k := &c.cloud
	k.listing = true
	c.callCloud(CloudCall{Op: CloudList, Since: since}, func(d CloudDone) {
		k.listing = false
		if d.Status != 200 {
			return
		}
		last := since
		for _, m := range d.Page.Machines {
			got[m.Name] = m
			last = m.Name
		}
		if d.Page.Truncated && last != since {
			c.list(last, got, started)
			return
		}
		k.listed, k.listAt = got, started
		c.readList()
	})
}

// readList acts on what the list shows: failed machines are surely gone, and
// machines that never come up are returned.
func (c *Core) readList() {
	k := &c.cloud
	c.unlisted()
	var stray []string
	for _, name := range slices.Sorted(maps.Keys(k.listed)) {
		l, m := k.listed[name], c.replica.machines[name]
		if m != nil {
			delete(k.strayAt, name)
			if l.State == cloud.Failed && m.rt != nil && c.now-m.rt.heardAt > c.cfg.Settings.Report()*2 {
				c.giveUp("failed in the list", m)
			}
			continue
		}
		if k.chargeAt == 0 {
			continue // another rents and returns
		}
		boot := 60.0
		if t := c.machineType(l.Type); t != nil {
			boot = t.BootS
		}
		if l.State == cloud.Failed || l.AgeS > 3*boot+15 && !c.heardLately(name) {
			if _, ok := k.strayAt[name]; !ok {
				k.strayAt[name] = c.now
			}
			// Up and silent, or never up. The list lags, so look twice.
			if l.State == cloud.Failed || c.now-k.strayAt[name] > units.FromSeconds(2*c.cfg.Settings.Cloud.ListLagS) {
				stray = append(stray, name)
			}
		}
	}
	for name := range k.strayAt {
		if _, ok := k.listed[name]; !ok {
			delete(k.strayAt, name)
		}
	}
	if len(stray) == 0 {
		return
	}
	if len(stray) > mostDeletes {
		stray = stray[:mostDeletes]
	}
	c.log.Info("return machines that never reported", "machines", stray)
	c.callCloud(CloudCall{Op: CloudDelete, Names: cloud.Names{Machines: stray}}, func(d CloudDone) {
		if d.Status == 200 {
			for _, n := range stray {
				delete(k.listed, n)
			}
		}
	})
}

// unlisted retires silent machines that a complete list no longer has, though
// they have been up for longer than a list can lag: that is the cloud's word. An
// owner none of whose machines it hears has no other way to tell whether they,
// or its own network, are gone.
func (c *Core) unlisted() {
	settle := units.FromSeconds(4*c.cfg.Settings.Cloud.ListLagS) + 5*units.Second
	for _, m := range c.sortedMachines() {
		if _, ok := c.cloud.listed[m.name]; ok || m.rt == nil || c.now-m.rt.since < settle || c.now-max(m.rt.heardAt, m.rt.since) < settle {
			continue
		}
		c.giveUp("not in the list", m)
	}
}

// heardLately reports whether a machine that is not entered yet reports here or
// to another controller: it is not silent, only the store is slow.
func (c *Core) heardLately(name string) bool {
	lately := 3 * c.cfg.Settings.Report()
	if at, ok := c.heard[name]; ok && c.now-at < lately {
		return true
	}
	// Who cannot be asked is no witness here: nothing runs on such a machine, and
	// one that never comes up would be paid for as long as one heartbeat stays away.
	for _, p := range c.peers {
		if ago, ok := p.heartbeat.Heard[name]; ok && c.now-p.at+units.Micros(ago) < lately {
			return true
		}
	}
	return false
}

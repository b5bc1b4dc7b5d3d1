package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// cloudView is what this node knows of the cloud. One node at a time rents and
// returns: the owner of partition 0.
type cloudView struct {
	calls map[uint64]func(CloudResult) // continuations of calls that are not answered yet

	catalogPeriod period
	scalingPeriod period
	deletePeriod  period
	listPeriod    period

	types            []cloud.MachineType
	typesReadAt      units.Micros
	catalogInFlight  bool
	listInFlight     bool
	listed           map[string]cloud.ListedMachine
	listedAt         units.Micros // when the last complete list was asked for
	rentals          map[string]*rentalRequest
	rentalsSent      int
	offerNotBefore   map[string]units.Micros // offers that were refused: not before
	deletionInFlight bool
	noDemandSince    units.Micros // since when next to nothing waits for room
	autoscalerSince  units.Micros // since when this node has this duty; 0: not
	strayingSince    map[string]units.Micros
}

func newCloudView() cloudView {
	return cloudView{calls: map[uint64]func(CloudResult){}, listed: map[string]cloud.ListedMachine{}, rentals: map[string]*rentalRequest{}, offerNotBefore: map[string]units.Micros{},
		strayingSince: map[string]units.Micros{}}
}

func (c *Controller) callCloud(call CloudCall, done func(CloudResult)) {
	call.CallID = c.newCallID()
	c.cloud.calls[call.CallID] = done
	c.emit(call)
}

func (c *Controller) runAutoscaler() {
	k := &c.cloud
	if !k.catalogInFlight && (len(k.types) == 0 && k.catalogPeriod.due(c.now, catalogRetryPeriod) || c.now-k.typesReadAt > 60*units.Second && len(k.types) > 0) {
		k.catalogInFlight = true
		c.callCloud(CloudCall{Op: CloudCatalog}, func(d CloudResult) {
			k.catalogInFlight = false
			if d.Status == cloud.StatusOK && len(d.Catalog.Types) > 0 {
				k.types = d.Catalog.Types
				c.planNeeded = true
			}
			if len(k.types) > 0 {
				k.typesReadAt = c.now
			}
		})
	}
	look := len(c.partitions.led) > 0 && k.scalingPeriod.due(c.now, scalingPeriod)
	var lacking []unmetDemand
	if look {
		short, bound := 0.0, 0.0
		lacking = c.unmetDemands(true)
		for _, s := range lacking {
			short += float64(s.tasks) * s.job.spec.CPUs
		}
		for _, u := range c.teamUsage() {
			bound += u.cpus
		}
		// A few tasks that wait for a place of their own are no reason for a large
		// fleet to keep all that it has.
		waiting := short > bound/50 || !c.changesPlentiful() && c.unplacedCPUs() > bound/20
		if waiting || k.noDemandSince == 0 {
			k.noDemandSince = c.now
		}
		// A lull shorter than it takes to rent a machine again is no reason to empty one.
		starvingJobs := c.starvingJobs()
		c.drainUnderused(waiting || c.now-k.noDemandSince < c.longestIdlePeriod(), starvingJobs)
		c.scaleInIdle(waiting, starvingJobs)
	}
	if k.deletePeriod.due(c.now, deletePeriod) {
		c.deleteDecommissioned()
	}
	keeper := c.partitions.led[0] != nil && c.leads(0) && len(k.types) > 0
	if !k.listInFlight && (keeper || c.fleet.silenceSuspectedWithin(10*units.Second)) && k.listPeriod.due(c.now, listPeriod) {
		c.listMachines("", map[string]cloud.ListedMachine{}, c.now)
	}
	if !keeper {
		k.autoscalerSince = 0
		return
	}
	if k.autoscalerSince == 0 {
		k.autoscalerSince = c.now
		k.rentals = map[string]*rentalRequest{}
		k.listed, k.listedAt = map[string]cloud.ListedMachine{}, 0
	}
	if look {
		c.settleRentals()
		c.scaleOut(lacking)
	}
}

// unplacedCPUs is what tasks take that wait for a place, found or not, in CPUs. While changes are
// scarce there may be room for them that is not used yet, and a machine with much of it starts
// more tasks with one change.
func (c *Controller) unplacedCPUs() float64 {
	sum := 0.0
	using := c.teamUsage()
	for _, j := range c.replica.sortedJobs() {
		if !j.cancelled() && c.now >= j.retryAt {
			sum += float64(min(j.waiting(), c.quotaRoom(j, using))) * j.spec.CPUs
		}
	}
	return sum
}

// listMachines reads the cloud's machines, page by page.
func (c *Controller) listMachines(since string, got map[string]cloud.ListedMachine, started units.Micros) {
	k := &c.cloud
	k.listInFlight = true
	c.callCloud(CloudCall{Op: CloudList, After: since}, func(d CloudResult) {
		k.listInFlight = false
		if d.Status != cloud.StatusOK {
			return
		}
		last := since
		for _, m := range d.Page.Machines {
			got[m.Name] = m
			last = m.Name
		}
		if d.Page.Truncated && last != since {
			c.listMachines(last, got, started)
			return
		}
		k.listed, k.listedAt = got, started
		c.applyMachineList()
	})
}

// applyMachineList acts on what the list shows: failed machines are surely gone, and
// machines that never come up are returned.
func (c *Controller) applyMachineList() {
	k := &c.cloud
	c.decommissionUnlisted()
	var stray []string
	for _, name := range slices.Sorted(maps.Keys(k.listed)) {
		l, m := k.listed[name], c.replica.machines[name]
		if m != nil {
			delete(k.strayingSince, name)
			if l.State == cloud.Failed && m.agent != nil && c.now-m.agent.heardAt > c.cfg.Settings.HeartbeatPeriod()*2 {
				c.giveUp("listed as failed", m)
			}
			continue
		}
		if k.autoscalerSince == 0 {
			continue // another rents and returns
		}
		boot := 60.0
		if t := c.machineType(l.Type); t != nil {
			boot = t.BootSeconds
		}
		if l.State == cloud.Failed || l.AgeSeconds > 3*boot+15 && !c.heardRecently(name) {
			if _, ok := k.strayingSince[name]; !ok {
				k.strayingSince[name] = c.now
			}
			// Up and silent, or never up. The list lags, so look twice.
			if l.State == cloud.Failed || c.now-k.strayingSince[name] > units.FromSeconds(2*c.cfg.Settings.Cloud.ListLagS) {
				stray = append(stray, name)
			}
		}
	}
	for name := range k.strayingSince {
		if _, ok := k.listed[name]; !ok {
			delete(k.strayingSince, name)
		}
	}
	if len(stray) == 0 {
		return
	}
	if len(stray) > maxDeletions {
		stray = stray[:maxDeletions]
	}
	c.log.Info("deleting machines that never reported", "machines", stray)
	c.callCloud(CloudCall{Op: CloudDelete, Machines: cloud.MachineNames{Names: stray}}, func(d CloudResult) {
		if d.Status == cloud.StatusOK {
			for _, n := range stray {
				delete(k.listed, n)
			}
		}
	})
}

// decommissionUnlisted retires silent machines that a complete list no longer has, though
// they have been up for longer than a list can lag: that is the cloud's word. An
// owner none of whose machines it hears has no other way to tell whether they,
// or its own network, are gone.
func (c *Controller) decommissionUnlisted() {
	settle := units.FromSeconds(4*c.cfg.Settings.Cloud.ListLagS) + 5*units.Second
	for _, m := range c.replica.sortedMachines() {
		if _, ok := c.cloud.listed[m.name]; ok || m.agent == nil || c.now-m.agent.since < settle || c.now-max(m.agent.heardAt, m.agent.since) < settle {
			continue
		}
		c.giveUp("not listed", m)
	}
}

// heardRecently reports whether a machine that is not entered yet reports here or
// to another controller: it is not silent, only the store is slow.
func (c *Controller) heardRecently(name string) bool {
	lately := 3 * c.cfg.Settings.HeartbeatPeriod()
	if c.agents.heardWithin(name, lately) {
		return true
	}
	// Who cannot be asked is no witness here: nothing runs on such a machine, and
	// one that never comes up would be paid for as long as one heartbeat stays away.
	return c.peers.anyHeardWithin(name, lately)
}

func (c *Controller) machineType(name string) *cloud.MachineType {
	for i := range c.cloud.types {
		if c.cloud.types[i].Name == name {
			return &c.cloud.types[i]
		}
	}
	return nil
}

func (c *Controller) handleCloudResult(result CloudResult) {
	if done, ok := c.cloud.calls[result.CallID]; ok {
		delete(c.cloud.calls, result.CallID)
		done(result)
	}
}

// Periods of the autoscaler's work.
const (
	catalogRetryPeriod = 500 * units.Millisecond
	scalingPeriod      = units.Second
	deletePeriod       = 200 * units.Millisecond
	listPeriod         = 4 * units.Second
)

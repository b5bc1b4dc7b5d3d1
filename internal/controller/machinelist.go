package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// machineList is the cloud's list of machines as last read completely.
type machineList struct {
	machines map[string]cloud.ListedMachine
	names    []string     // sorted; of machines, and of some that were deleted since
	askedAt  units.Micros // when its first page was asked for; 0: none has been read
	reading  bool
}

func (l *machineList) forget() { *l = machineList{reading: l.reading} }

// remove takes out machines whose deletion the cloud has confirmed.
func (l *machineList) remove(names []string) {
	for _, name := range names {
		delete(l.machines, name)
	}
}

// machineListRead is a read of the machine list under way. The list that is known is replaced only when
// the last page is there; a page that fails ends the read.
type machineListRead struct {
	autoscaler *autoscaler
	askedAt    units.Micros
	machines   map[string]cloud.ListedMachine // of the pages read so far
	after      string                         // the last name of those pages
}

// readMachineListWhenDue begins to read the list. A process that does not rent reads it only while silent
// machines need an explanation.
func (a *autoscaler) readMachineListWhenDue(rents bool) {
	if a.machineList.reading || !rents && !a.fleet.silenceSuspectedWithin(silenceListPeriod) || !a.machineListPeriod.due(a.now, machineListPeriod) {
		return
	}
	read := &machineListRead{autoscaler: a, askedAt: a.now, machines: map[string]cloud.ListedMachine{}}
	read.askForPage()
}

func (r *machineListRead) askForPage() {
	r.autoscaler.machineList.reading = true
	r.autoscaler.cloud.call(CloudCall{Op: CloudList, After: r.after}, r.handlePage)
}

func (r *machineListRead) handlePage(result CloudResult) {
	r.autoscaler.machineList.reading = false
	if result.Status != cloud.StatusOK {
		return
	}
	previous := r.after
	for _, listed := range result.Page.Machines {
		r.machines[listed.Name] = listed
		r.after = listed.Name
	}
	if result.Page.Truncated && r.after != previous {
		r.askForPage()
		return
	}
	r.autoscaler.applyMachineList(r)
}

// applyMachineList acts on what a complete list shows: failed machines are surely gone, and machines that
// never register are deleted.
func (a *autoscaler) applyMachineList(read *machineListRead) {
	a.machineList.machines, a.machineList.askedAt = read.machines, read.askedAt
	a.machineList.names = slices.Sorted(maps.Keys(read.machines))
	a.giveUpUnlisted()
	var overdue []string
	for _, name := range a.machineList.names {
		listed := a.machineList.machines[name]
		if m := a.replica.machines[name]; m != nil {
			a.strays.clear(name)
			a.giveUpIfFailed(m, listed)
		} else if a.rentsSince > 0 && a.strayOverdue(listed) {
			overdue = append(overdue, name)
		}
	}
	a.strays.keepListed(a.machineList.machines)
	a.deleteStrays(overdue)
}

// giveUpUnlisted gives up silent machines that a complete list no longer has, though they have been up
// for longer than a list can lag: that is the cloud's word. A leader that hears none of its machines has no
// other way to tell whether they, or its own network, are gone.
func (a *autoscaler) giveUpUnlisted() {
	settled := units.FromSeconds(unlistedLagFactor*a.cfg.Settings.Cloud.ListLagS) + unlistedMargin
	for _, m := range a.replica.sortedMachines() {
		_, listed := a.machineList.machines[m.name]
		if listed || m.agent == nil || a.now-m.agent.since < settled || a.now-max(m.agent.heardAt, m.agent.since) < settled {
			continue
		}
		a.decommission.giveUp("not listed", m)
	}
}

// A machine that is missing from a complete list is given up when it has been silent for so many times
// the lag of the list, and a margin.
const (
	unlistedLagFactor = 4
	unlistedMargin    = 5 * units.Second
)

// giveUpIfFailed gives up a machine that the cloud lists as failed and that is not heard either.
func (a *autoscaler) giveUpIfFailed(m *machine, listed cloud.ListedMachine) {
	if listed.State == cloud.Failed && m.agent != nil && a.now-m.agent.heardAt > a.cfg.Settings.HeartbeatPeriod()*2 {
		a.decommission.giveUp("listed as failed", m)
	}
}

// strays remembers since when a listed machine without an entry has failed, or has been up and silent for
// too long.
type strays map[string]units.Micros

// note begins to count a machine as a stray, unless it is one already, and returns since when it is.
func (s strays) note(name string, now units.Micros) units.Micros {
	if _, ok := s[name]; !ok {
		s[name] = now
	}
	return s[name]
}

func (s strays) clear(name string) { delete(s, name) }

func (s strays) has(name string) bool {
	_, ok := s[name]
	return ok
}

// keepListed forgets strays that are not listed any more.
func (s strays) keepListed(listed map[string]cloud.ListedMachine) {
	for name := range s {
		if _, ok := listed[name]; !ok {
			delete(s, name)
		}
	}
}

// A machine without an entry is a stray when it has been listed for longer than this many boot times and a
// margin.
const (
	strayBootFactor     = 3
	strayMarginSeconds  = 15
	unknownBootSeconds  = 60 // of a type that the catalog does not have
	strayListLagsFactor = 2  // and is deleted when it has been one for so many times the list's lag
)

// strayOverdue reports whether a listed machine without an entry should be deleted: it has failed, or
// never came up, or is up and silent. The list lags, so it is looked at twice.
func (a *autoscaler) strayOverdue(listed cloud.ListedMachine) bool {
	boot := float64(unknownBootSeconds)
	if machineType := a.catalog.machineType(listed.Type); machineType != nil {
		boot = machineType.BootSeconds
	}
	failed := listed.State == cloud.Failed
	if !failed && (listed.AgeSeconds <= strayBootFactor*boot+strayMarginSeconds || a.heardRecently(listed.Name)) {
		return false
	}
	since := a.strays.note(listed.Name, a.now)
	return failed || a.now-since > units.FromSeconds(strayListLagsFactor*a.cfg.Settings.Cloud.ListLagS)
}

// heardWithinPeriods is for how many heartbeat periods after a heartbeat a machine counts as heard.
const heardWithinPeriods = 3

// heardRecently reports whether a machine that is not entered yet sends heartbeats here or to another
// controller: it is not silent, only the store is slow. A controller that does not answer proves nothing
// here: nothing runs on such a machine, and one that never comes up would be paid for as long as one peer
// heartbeat stays away.
func (a *autoscaler) heardRecently(name string) bool {
	recent := heardWithinPeriods * a.cfg.Settings.HeartbeatPeriod()
	return a.agents.heardWithin(name, recent) || a.peers.anyHeardWithin(name, recent)
}

// deleteStrays deletes machines that have no entry. The cloud's list shows what became of a deletion that
// fails, and the next list repeats it.
func (a *autoscaler) deleteStrays(names []string) {
	if len(names) == 0 {
		return
	}
	names = names[:min(len(names), maxDeletions)]
	a.log.Info("deleting machines that never reported", "machines", names)
	a.cloud.call(CloudCall{Op: CloudDelete, Machines: cloud.MachineNames{Names: names}}, func(result CloudResult) {
		if result.Status == cloud.StatusOK {
			a.machineList.remove(names)
		}
	})
}

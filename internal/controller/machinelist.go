package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// machineList is the cloud's list of machines as last read in full.
type machineList struct {
	machines    map[string]cloud.ListedMachine
	names       []string     // sorted names of the listed machines, including some that were deleted since
	requestedAt units.Micros // when its first page was requested; 0: no list has been read
	reading     bool
}

func (l *machineList) forget() { *l = machineList{reading: l.reading} }

// remove removes machines whose deletion the cloud has confirmed.
func (l *machineList) remove(names []string) {
	for _, name := range names {
		delete(l.machines, name)
	}
}

// machineListRead is a read of the machine list in progress. The known list is replaced only after the
// last page has arrived; a failed page ends the read.
type machineListRead struct {
	autoscaler  *autoscaler
	requestedAt units.Micros
	machines    map[string]cloud.ListedMachine // of the pages read so far
	after       string                         // last name on those pages
}

// readMachineListWhenDue starts to read the list when that is due. A process that does not rent reads it
// only after machines fell silent, to learn whether they still exist.
func (a *autoscaler) readMachineListWhenDue(rents bool) {
	if a.machineList.reading || !rents && !a.fleet.silenceSuspectedWithin(silenceListPeriod) || !a.machineListPeriod.due(a.now, machineListPeriod) {
		return
	}
	read := &machineListRead{autoscaler: a, requestedAt: a.now, machines: map[string]cloud.ListedMachine{}}
	read.requestPage()
}

func (r *machineListRead) requestPage() {
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
		r.requestPage()
		return
	}
	r.autoscaler.applyMachineList(r)
}

// applyMachineList acts on a complete list. It decommissions silent machines that are missing from it or
// listed as failed, since the cloud thereby reports them as gone, and deletes machines that never register.
func (a *autoscaler) applyMachineList(read *machineListRead) {
	a.machineList.machines, a.machineList.requestedAt = read.machines, read.requestedAt
	a.machineList.names = slices.Sorted(maps.Keys(read.machines))
	a.decommissionUnlisted()
	var overdue []string
	for _, name := range a.machineList.names {
		listed := a.machineList.machines[name]
		if m := a.replica.machines[name]; m != nil {
			a.unregisteredMachines.clear(name)
			a.decommissionIfFailed(m, listed)
		} else if a.rentsSince > 0 && a.unregisteredOverdue(listed) {
			overdue = append(overdue, name)
		}
	}
	a.unregisteredMachines.keepListed(a.machineList.machines)
	a.deleteUnregistered(overdue)
}

// decommissionUnlisted decommissions silent machines that are missing from a complete list although they
// have been up for longer than the list can lag: by omitting them, the cloud reports them as gone. A
// leader that receives no heartbeats from any of its machines has no other way to tell whether the
// machines or its own network failed.
func (a *autoscaler) decommissionUnlisted() {
	minSilence := units.FromSeconds(unlistedLagFactor*a.cfg.Settings.Cloud.ListLagS) + unlistedMargin
	for _, m := range a.replica.sortedMachines() {
		_, listed := a.machineList.machines[m.name]
		if listed || m.agent == nil || a.now-m.agent.since < minSilence || a.now-max(m.agent.heardAt, m.agent.since) < minSilence {
			continue
		}
		a.decommission.giveUp("not listed", m)
	}
}

// A machine that is missing from a complete list is decommissioned when it has been silent for this
// multiple of the list's lag plus a margin.
const (
	unlistedLagFactor = 4
	unlistedMargin    = 5 * units.Second
)

// decommissionIfFailed decommissions a machine that the cloud lists as failed and that sends no
// heartbeats either.
func (a *autoscaler) decommissionIfFailed(m *machine, listed cloud.ListedMachine) {
	if listed.State == cloud.Failed && m.agent != nil && a.now-m.agent.heardAt > a.cfg.Settings.HeartbeatPeriod()*2 {
		a.decommission.giveUp("listed as failed", m)
	}
}

// unregisteredMachines maps the name of each unregistered machine to the time since when it has been one.
// An unregistered machine is a listed machine without an entry that has failed, or has been silent for too
// long.
type unregisteredMachines map[string]units.Micros

// add records a machine as unregistered, unless it is recorded already, and returns since when it has been.
func (u unregisteredMachines) add(name string, now units.Micros) units.Micros {
	if _, ok := u[name]; !ok {
		u[name] = now
	}
	return u[name]
}

func (u unregisteredMachines) clear(name string) { delete(u, name) }

func (u unregisteredMachines) has(name string) bool {
	_, ok := u[name]
	return ok
}

// keepListed removes the unregistered machines that are no longer listed.
func (u unregisteredMachines) keepListed(listed map[string]cloud.ListedMachine) {
	for name := range u {
		if _, ok := listed[name]; !ok {
			delete(u, name)
		}
	}
}

// A machine without an entry is an unregistered machine when its age exceeds this multiple of its boot
// time plus a margin.
const (
	unregisteredBootFactor    = 3
	unregisteredMarginSeconds = 15
	unknownTypeBootSeconds    = 60 // boot time assumed for a type that is not in the catalog
	unregisteredListLagFactor = 2  // one that has not failed is deleted after this multiple of the list's lag
)

// unregisteredOverdue reports whether a listed machine without an entry should be deleted: it has failed,
// or never came up, or is up and silent. Because the list lags, a machine that has not failed must be
// found unregistered twice.
func (a *autoscaler) unregisteredOverdue(listed cloud.ListedMachine) bool {
	boot := float64(unknownTypeBootSeconds)
	if machineType := a.catalog.machineType(listed.Type); machineType != nil {
		boot = machineType.BootSeconds
	}
	failed := listed.State == cloud.Failed
	if !failed && (listed.AgeSeconds <= unregisteredBootFactor*boot+unregisteredMarginSeconds || a.heardRecently(listed.Name)) {
		return false
	}
	since := a.unregisteredMachines.add(listed.Name, a.now)
	return failed || a.now-since > units.FromSeconds(unregisteredListLagFactor*a.cfg.Settings.Cloud.ListLagS)
}

// heardWithinPeriods is the number of heartbeat periods after its last heartbeat in which a machine does
// not count as silent.
const heardWithinPeriods = 3

// heardRecently reports whether a machine without an entry sends heartbeats to this or another
// controller: then it is not silent, only the store is slow to register it. A controller that does not
// answer is not assumed to hear the machine. Deleting it is safe, since nothing runs on a machine without
// an entry, and one that never comes up would be paid for as long as one peer's heartbeat is missing.
func (a *autoscaler) heardRecently(name string) bool {
	recent := heardWithinPeriods * a.cfg.Settings.HeartbeatPeriod()
	return a.agents.heardWithin(name, recent) || a.peers.anyHeardWithin(name, recent)
}

// deleteUnregistered deletes machines that have no entry. A failed deletion is not retried here: the
// cloud's list still shows the machine, and the next list that is read leads to another deletion.
func (a *autoscaler) deleteUnregistered(names []string) {
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

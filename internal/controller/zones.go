package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// zoneSuspicion is the state of the checks on a zone that may be cut off.
type zoneSuspicion struct {
	probedAt  units.Micros // when all machines of the zone were probed
	suspected bool         // the zone may still be cut off
}

// zoneHealth is the state of the machines in one zone, as the controller that commands them observes it.
type zoneHealth struct {
	machines []*machine
	heard    int // machines whose heartbeats arrive
	failing  int // machines that did not answer a probe
}

// Periods of the probes and log lines of suspected zones.
const (
	zoneProbeWait   = 1800 * units.Millisecond // how long the machines have to answer a probe
	zoneProbePeriod = 10 * units.Second        // after which all machines of the zone are probed again
	zoneLogPeriod   = 10 * units.Second        // at most one log line for each zone in that time
)

// recentlyHeardPeriod is how long after a heartbeat a machine needs no probe, and counts as having
// answered one.
const recentlyHeardPeriod = units.Second

// Thresholds for conclusions from a zone's machines about the whole zone.
const (
	minFailingInZone        = 3  // a zone may be cut off if at least 3 of its machines fail at the same time,
	failingZoneDivisor      = 20 // and these are at least 1/20 of its machines
	answeringZoneDivisor    = 4  // a zone counts as cut off if fewer than 1/4 of its machines answer
	minMachinesForReachable = 4  // in a smaller zone, heard machines do not show that the zone can be reached
)

// zone returns the health of a zone, and adds the zone if it is new.
func (h *fleetHealth) zone(name string) *zoneHealth {
	zone := h.zones[name]
	if zone == nil {
		zone = &zoneHealth{}
		h.zones[name] = zone
	}
	return zone
}

// severalFailing reports whether enough of a zone's machines fail at the same time to indicate that the zone
// may be cut off.
func (z *zoneHealth) severalFailing() bool {
	return z != nil && z.failing >= max(minFailingInZone, len(z.machines)/failingZoneDivisor)
}

// reachable reports whether the zone can be reached from here: it has enough machines to tell, and at least
// half of them are heard.
func (z *zoneHealth) reachable() bool {
	return len(z.machines) >= minMachinesForReachable && z.heard*2 >= len(z.machines)
}

// heardSince counts the zone's machines that were heard at or after a moment.
func (z *zoneHealth) heardSince(at units.Micros) int {
	heard := 0
	for _, m := range z.machines {
		if m.agent.heardAt >= at {
			heard++
		}
	}
	return heard
}

// clearSuspicion resets the failed probes and the draining of a zone's machines if the zone was suspected
// until now. Probes that failed during the outage say nothing about the machines, and none of the machines
// was idle. Without the reset, the last machines to be heard again would be given up as silent, and those
// that were being drained would be deleted as idle.
func (z *zoneHealth) clearSuspicion(wasSuspected bool) {
	if z == nil || !wasSuspected {
		return
	}
	for _, m := range z.machines {
		m.agent.resetAfterZoneOutage()
	}
}

// judgeZones detects zones that may be cut off. When several machines of a zone fall silent at the same
// time, all machines of the zone are probed, so that those that died with them are known before their
// heartbeats are overdue. If almost no machine answers, the network path to the zone is lost: the machines
// keep running, their tasks run until the leases expire, and all machines are heard again once the path is
// restored. Deleting them would remove a large part of the fleet for minutes. The cloud's machine list will
// show which of them no longer exist.
func (f *fleetMonitor) judgeZones(zones map[string]*zoneHealth) {
	for name, suspicion := range f.suspectZones {
		if !zones[name].severalFailing() {
			delete(f.suspectZones, name)
			zones[name].clearSuspicion(suspicion.suspected)
		}
	}
	otherZones := len(zones) > 1 // with only one zone, check disregards a silent majority anyway
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		zone := zones[name]
		suspicion, known := f.suspectZones[name]
		switch {
		case !zone.severalFailing():
		case !known || f.now-suspicion.probedAt > zoneProbePeriod:
			suspectedAtFirst := otherZones && (!known || suspicion.suspected) // until the first answers are judged
			f.suspectZones[name] = zoneSuspicion{probedAt: f.now, suspected: suspectedAtFirst}
			f.probeZone(zone)
		case f.now-suspicion.probedAt > zoneProbeWait:
			f.judgeAnswers(name, zone, suspicion, otherZones)
		}
	}
}

// probeZone probes all machines of a zone that were not heard within recentlyHeardPeriod.
func (f *fleetMonitor) probeZone(zone *zoneHealth) {
	for _, m := range zone.machines {
		if f.now-m.agent.heardAt > recentlyHeardPeriod {
			f.probe(m)
		}
	}
}

// judgeAnswers judges a zone by how many of its machines have answered.
func (f *fleetMonitor) judgeAnswers(name string, zone *zoneHealth, suspicion zoneSuspicion, otherZones bool) {
	wasSuspected := suspicion.suspected
	answered := zone.heardSince(suspicion.probedAt - recentlyHeardPeriod)
	suspicion.suspected = otherZones && answered*answeringZoneDivisor < len(zone.machines)
	f.suspectZones[name] = suspicion
	if !suspicion.suspected {
		zone.clearSuspicion(wasSuspected)
		return
	}
	f.silenceSuspectedAt = f.now
	if periodOf(f.zoneLogPeriods, name).due(f.now, zoneLogPeriod) {
		f.log.Warn("zone suspected partitioned", "zone", name, "machines", len(zone.machines), "answer", answered)
	}
}

// suspects reports whether a zone may be cut off.
func (f *fleetMonitor) suspects(zone string) bool { return f.suspectZones[zone].suspected }

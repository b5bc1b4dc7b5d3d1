package controller

import (
	"maps"
	"slices"

	"frostdock.example/frostdock/internal/units"
)

// zoneSuspicion is what is remembered of a zone that may be cut off.
type zoneSuspicion struct {
	probedAt  units.Micros // when all machines there were probed
	suspected bool         // it still may be
}

// zoneHealth is what a controller sees of its machines in one zone.
type zoneHealth struct {
	machines []*machine
	hearing  int // whose heartbeats come
	failing  int // that did not answer a probe
}

// The machines of a suspected zone have so long to answer, and are probed again after a while.
const (
	zoneProbeWait   = 1800 * units.Millisecond
	zoneProbePeriod = 10 * units.Second
	zoneLogPeriod   = 10 * units.Second
)

// recentlyHeardPeriod is how long after a heartbeat a machine needs no probe, and counts as having
// answered one.
const recentlyHeardPeriod = units.Second

// How many of a zone's machines say something of the zone.
const (
	minFailingInZone   = 3  // so many that fail at once make a zone suspect,
	failingShareInZone = 20 // or one of so many, where that is more
	answeringShare     = 4  // a zone is cut off if fewer than one of so many answers
	minMachinesToVouch = 4  // in a smaller zone, heard machines say nothing of the way to it
)

// zone is the view of a zone.
func (h *fleetHealth) zone(name string) *zoneHealth {
	zone := h.zones[name]
	if zone == nil {
		zone = &zoneHealth{}
		h.zones[name] = zone
	}
	return zone
}

// severalFailing reports whether so many of a zone's machines fail at once that the zone may be cut off.
func (z *zoneHealth) severalFailing() bool {
	return z != nil && z.failing >= max(minFailingInZone, len(z.machines)/failingShareInZone)
}

// reachable reports whether the way to the zone is open: most machines there are heard.
func (z *zoneHealth) reachable() bool {
	return len(z.machines) >= minMachinesToVouch && z.hearing*2 >= len(z.machines)
}

// heardSince counts the zone's machines that were heard since then.
func (z *zoneHealth) heardSince(at units.Micros) int {
	heard := 0
	for _, m := range z.machines {
		if m.agent.heardAt >= at {
			heard++
		}
	}
	return heard
}

// clearSuspicion is called when a zone is no longer suspected. What its machines did not answer before
// says nothing about them, and none was idle: without this the last to be heard again would be given
// up as silent, and those that were to be emptied would be as idle.
func (z *zoneHealth) clearSuspicion(wasSuspected bool) {
	if z == nil || !wasSuspected {
		return
	}
	for _, m := range z.machines {
		m.agent.forgiveSilence()
	}
}

// judgeZones notices zones that may be cut off. When several machines of a zone fall silent at once, all
// of them there are probed, so that those that have died with them are known before their heartbeats
// are overdue. If next to none answers, it is the way to the zone that is lost: the machines run on
// behind the cut, their tasks until their leases expire, and all of them are back after it. Deleting
// them would take a large part of the fleet away for minutes. Of those that are really gone the
// cloud's list will tell.
func (f *fleetMonitor) judgeZones(zones map[string]*zoneHealth) {
	for name, suspicion := range f.suspectZones {
		if !zones[name].severalFailing() {
			delete(f.suspectZones, name)
			zones[name].clearSuspicion(suspicion.suspected)
		}
	}
	others := len(zones) > 1 // with one zone alone, a silent majority is doubted anyway
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		zone := zones[name]
		suspicion, open := f.suspectZones[name]
		switch {
		case !zone.severalFailing():
		case !open || f.now-suspicion.probedAt > zoneProbePeriod:
			suspectedYet := others && (!open || suspicion.suspected) // until the first answers
			f.suspectZones[name] = zoneSuspicion{probedAt: f.now, suspected: suspectedYet}
			f.probeZone(zone)
		case f.now-suspicion.probedAt > zoneProbeWait:
			f.judgeAnswers(name, zone, suspicion, others)
		}
	}
}

// probeZone probes all machines of a zone that were not heard just now.
func (f *fleetMonitor) probeZone(zone *zoneHealth) {
	for _, m := range zone.machines {
		if f.now-m.agent.heardAt > recentlyHeardPeriod {
			f.probe(m)
		}
	}
}

// judgeAnswers judges a zone by how many of its machines have answered.
func (f *fleetMonitor) judgeAnswers(name string, zone *zoneHealth, suspicion zoneSuspicion, others bool) {
	wasSuspected := suspicion.suspected
	answered := zone.heardSince(suspicion.probedAt - recentlyHeardPeriod)
	suspicion.suspected = others && answered*answeringShare < len(zone.machines)
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

package controller

import (
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fleetMonitor watches the machines that this controller commands: it probes those whose heartbeat is
// overdue, detects those that cannot be reached, and gives up those that are presumed lost. It also keeps
// track of zones that may be cut off (zones.go).
//
// A machine's silence counts as evidence only if this controller's own network cannot be the cause: this
// controller hears most machines, no other live controller hears the silent one, and its zone is not
// suspected of being cut off.
// The monitor never releases a task's entry: a machine that is given up keeps its entries until the cloud
// confirms that the machine is deleted.
type fleetMonitor struct {
	*environment
	replica          *replica
	authority        *authority
	agents           *agentGateway
	peers            *peerTable
	quarantine       *quarantineMonitor
	decommissioner   machineDecommissioner
	silentPartitions *silentPartitions

	suspectZones       map[string]zoneSuspicion // by zone: zones that may be cut off
	zoneLogPeriods     map[string]*period
	decommissionings   period
	silenceSuspectedAt units.Micros // when most machines, or those of one zone, were last found silent
}

// machineDecommissioner decommissions machines.
type machineDecommissioner interface {
	giveUp(reason string, machines ...*machine)
}

// Periods and thresholds by which machines are judged.
const (
	// Times since the latest heartbeat, in tenths of the heartbeat period.
	overdueTenths = 13 // after this time, the next heartbeat is overdue
	heardTenths   = 15 // until this time, the machine counts as heard

	probePeriod        = units.Second
	reclaimProbePeriod = units.Second / 2
	giveUpPeriod       = units.Second
	minFailedProbes    = 2 // consecutive failed probes required; fewer may be due to random packet loss
	silentFleetDivisor = 8 // at most 1/8 of the machines, plus one, are given up as silent in one survey
)

// fleetHealth is the result of one survey of the machines that a controller commands.
type fleetHealth struct {
	total     int // machines commanded
	heard     int // machines whose heartbeats arrive
	reporting int // machines other than those in unreachableInbound
	zones     map[string]*zoneHealth

	silent              []*machine // neither heartbeats nor answers arrive
	unreachableOutbound []*machine // heartbeats arrive, but responses and commands do not reach the machine
	unreachableInbound  []*machine // answers to calls arrive, but heartbeats reach no controller
}

// check surveys all machines and acts on the result.
func (f *fleetMonitor) check() {
	if !f.replica.synced {
		return
	}
	health := f.survey()
	f.judgeZones(health.zones)
	f.giveUpReclaimed()
	if health.heard == 0 && health.total > 0 {
		f.silentPartitions.transfer()
	}
	mostSilent := health.heard*2 < health.total
	if len(health.silent) > 0 && mostSilent {
		f.silenceSuspectedAt = f.now
	}
	unreachable := len(health.silent) + len(health.unreachableOutbound) + len(health.unreachableInbound)
	if unreachable == 0 || mostSilent || !f.decommissionings.due(f.now, giveUpPeriod) {
		return
	}
	f.giveUpUnreachable(health)
}

// silenceSuspectedWithin reports whether many machines were found silent together less than the given time
// ago; if so, the cloud's machine list may show why.
func (f *fleetMonitor) silenceSuspectedWithin(length units.Micros) bool {
	return f.silenceSuspectedAt > 0 && f.now-f.silenceSuspectedAt < length
}

// survey examines all machines that this controller commands.
func (f *fleetMonitor) survey() *fleetHealth {
	health := &fleetHealth{zones: map[string]*zoneHealth{}}
	for _, m := range f.replica.sortedMachines() {
		if m.agent != nil && f.authority.leads(m.commandingPartition()) {
			f.quarantine.expire(m)
			f.surveyMachine(health, m)
		}
	}
	return health
}

// surveyMachine adds one machine to the survey, and probes it if its heartbeat is overdue.
func (f *fleetMonitor) surveyMachine(health *fleetHealth, m *machine) {
	state := m.agent
	health.total++
	if f.unreachableInbound(m) {
		health.unreachableInbound = append(health.unreachableInbound, m)
	} else {
		health.reporting++
	}
	zone := health.zone(m.doc.Zone)
	zone.machines = append(zone.machines, m)
	if f.unreachableOutbound(m) {
		health.unreachableOutbound = append(health.unreachableOutbound, m)
		return
	}
	heartbeatPeriod := f.cfg.Settings.HeartbeatPeriod()
	// A new leader probes its machines immediately, and waits one heartbeat period less for their first
	// heartbeat.
	silentFor := f.now - max(state.heardAt, state.since-heartbeatPeriod)
	overdue := silentFor > heartbeatPeriod*overdueTenths/10
	if silentFor < heartbeatPeriod*heardTenths/10 {
		health.heard++
		zone.heard++
		if state.tokenSeen < f.replica.requiredToken(m) && state.heardAt > 0 {
			f.agents.push(m) // a task's absence proves nothing until the agent shows the current token
		}
	}
	// In a zone where many machines fall silent, all machines are probed; those that do not answer are probed
	// once more.
	probedWithZone := state.probe.failures > 0 && f.suspectZones[m.doc.Zone].probedAt > 0
	uncertain := state.command.unclear() || state.responses.startOverdue(f.now) || state.restart.suspected
	if (overdue || uncertain || probedWithZone) && f.now-state.probe.askedAt > probePeriod {
		f.probe(m)
	}
	if state.probe.failures > 0 {
		zone.failing++
	}
	if (overdue || probedWithZone) && state.probe.failures >= minFailedProbes {
		health.silent = append(health.silent, m)
	}
}

// probe asks a machine for its heartbeat, and records when.
func (f *fleetMonitor) probe(m *machine) {
	m.agent.probe.askedAt = f.now
	f.agents.probe(m)
}

// unreachableOutbound reports whether a machine's heartbeats arrive while responses and commands do not
// reach it.
func (f *fleetMonitor) unreachableOutbound(m *machine) bool {
	lost := m.agent.responses.lost
	return lost >= minLostResponses || lost > 0 && m.agent.probe.failures >= minFailedProbes
}

// unreachableInbound reports whether no heartbeat of a machine has arrived for longer than a lease, though
// the machine may still answer calls. Direct commands do not renew the lease, so the tasks on such a machine
// end with each epoch of its agent, that is, whenever the lease expires.
func (f *fleetMonitor) unreachableInbound(m *machine) bool {
	lastAnswered := max(m.agent.responses.givenAt, m.agent.heardSince, f.authority.gainedAt)
	return f.now-lastAnswered > f.cfg.Settings.Lease()+2*f.cfg.Settings.HeartbeatPeriod()
}

// giveUpReclaimed gives up machines whose announced reclaim time has passed and that do not answer any
// more, and probes the others.
func (f *fleetMonitor) giveUpReclaimed() {
	var reclaimed []*machine
	for _, m := range f.expiredNotices() {
		probe := &m.agent.probe
		if probe.failedAt > m.agent.notice.endsAt && probe.failedAt > m.agent.heardAt {
			reclaimed = append(reclaimed, m)
		} else if f.now-probe.askedAt > reclaimProbePeriod {
			f.probe(m)
		}
	}
	f.decommissioner.giveUp("reclaimed", reclaimed...)
}

// expiredNotices returns the machines whose announced reclaim time has passed.
func (f *fleetMonitor) expiredNotices() []*machine {
	var expired []*machine
	for _, m := range f.replica.sortedMachines() {
		if m.agent != nil && m.agent.notice.expired(f.now) && f.authority.leads(m.commandingPartition()) {
			expired = append(expired, m)
		}
	}
	return expired
}

// giveUpUnreachable gives up machines that are presumed lost. A machine that is silent or unreachable
// inbound is given up only if no other live controller hears it (see heardByOthers).
func (f *fleetMonitor) giveUpUnreachable(health *fleetHealth) {
	var lost []*machine
	for _, m := range health.silent {
		if len(lost) <= health.total/silentFleetDivisor && f.presumedLost(health, m) {
			lost = append(lost, m)
		}
	}
	f.decommissioner.giveUp("silent", lost...)
	f.decommissioner.giveUp("unreachable outbound", health.unreachableOutbound...)
	mostReport := health.reporting*2 >= health.total
	for _, m := range health.unreachableInbound {
		answers := f.now-m.agent.heardAt < f.cfg.Settings.HeartbeatPeriod()*heardTenths/10
		if mostReport && answers && !f.heardByOthers(m.name, true) {
			f.decommissioner.giveUp("unreachable inbound", m)
		}
	}
}

// presumedLost reports whether no evidence is left that a silent machine is alive.
func (f *fleetMonitor) presumedLost(health *fleetHealth, m *machine) bool {
	return m.agent.probe.failures >= minFailedProbes &&
		!f.suspectZones[m.doc.Zone].suspected &&
		f.zoneHeardSince(health, m) &&
		!f.heardByOthers(m.name, health.zones[m.doc.Zone].reachable())
}

// zoneHeardSince reports whether another machine of the same zone was heard after this one became overdue.
// Without this check, a controller that commands only a few machines in a zone that is cut off would delete
// the first overdue machine before it has probed the others.
func (f *fleetMonitor) zoneHeardSince(health *fleetHealth, m *machine) bool {
	zone := health.zones[m.doc.Zone]
	if len(health.zones) <= 1 || len(zone.machines) <= 1 {
		return true
	}
	overdueAt := m.agent.heardAt + f.cfg.Settings.HeartbeatPeriod()*overdueTenths/10
	return slices.ContainsFunc(zone.machines, func(other *machine) bool { return other != m && other.agent.heardAt > overdueAt })
}

// heardByOthers reports whether another live controller hears the machine. A controller from which no
// recent peer heartbeat has arrived counts as hearing it, unless the machine's zone can be reached from
// here: without this exception, no lost machine would be replaced while controllers refuse each other's
// connections.
func (f *fleetMonitor) heardByOthers(name string, zoneReachable bool) bool {
	for key := range f.replica.registeredSince {
		member, incarnation, _ := strings.Cut(strings.TrimPrefix(key, schema.RegistrationPrefix), "/")
		if member == f.cfg.Member {
			continue
		}
		heard, known := f.peers.hears(member, incarnation, name)
		if heard || !known && !zoneReachable {
			return true
		}
	}
	return false
}

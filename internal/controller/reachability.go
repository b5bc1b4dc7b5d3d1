package controller

import (
	"maps"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fleetHealth is what a controller sees of the machines that it commands.
type fleetHealth struct {
	total     int // machines
	hearing   int // that report
	reporting int // that are not mute
	zones     map[string]*zoneHealth

	silent              []*machine // neither report nor answer
	unreachableOutbound []*machine // report, but nothing reaches them
	unreachableInbound  []*machine // answer, but their reports reach nobody
}

// checkFleet looks after machines that have fallen silent.
func (c *Controller) checkFleet() {
	if !c.replica.synced {
		return
	}
	v := &fleetHealth{zones: map[string]*zoneHealth{}}
	for _, m := range c.replica.sortedMachines() {
		if m.agent != nil && c.leads(m.part()) {
			c.endQuarantine(m)
			c.checkMachine(v, m)
		}
	}
	c.judgeZones(v.zones)
	c.giveUpReclaimed()
	if v.hearing == 0 && v.total > 0 {
		c.transferUnheardPartitions()
	}
	if len(v.silent) > 0 && v.hearing*2 < v.total {
		c.cloud.silenceSuspectedAt = c.now
	}
	// This node's own silence is no evidence: most machines must be heard here.
	if len(v.silent)+len(v.unreachableOutbound)+len(v.unreachableInbound) == 0 || v.hearing*2 < v.total || !c.fleet.decommissionings.due(c.now, units.Second) {
		return
	}
	c.giveUpUnreachable(v)
}

// checkMachine enters one machine into the view, and asks it when its report is overdue.
func (c *Controller) checkMachine(v *fleetHealth, m *machine) {
	report := c.cfg.Settings.HeartbeatPeriod()
	v.total++
	if c.unreachableInbound(m) {
		v.unreachableInbound = append(v.unreachableInbound, m)
	} else {
		v.reporting++
	}
	z := v.zones[m.doc.Zone]
	if z == nil {
		z = &zoneHealth{}
		v.zones[m.doc.Zone] = z
	}
	z.machines = append(z.machines, m)
	if m.agent.unheardAnswers >= maxUnheardAnswers || m.agent.unheardAnswers > 0 && m.agent.failedProbes >= 2 {
		v.unreachableOutbound = append(v.unreachableOutbound, m)
		return
	}
	last := max(m.agent.heardAt, m.agent.since-report) // a new owner asks at once, and need not wait as long
	overdue := c.now-last > report*13/10
	if c.now-last < report*3/2 {
		v.hearing++
		z.hearing++
		if m.agent.tokenSeen < c.fencingToken(m) && m.agent.heardAt > 0 {
			c.push(m) // raise its token, so that absence can prove something
		}
	}
	// The report is overdue, or a command was not answered: ask the machine
	// itself, and again.
	// In a zone where many fall silent all are asked, and those that do not answer
	// once more.
	asked := m.agent.failedProbes > 0 && c.fleet.suspectZones[m.doc.Zone].probedAt > 0
	if (overdue || m.agent.commandUnclear || asked) && c.now-m.agent.probedAt > units.Second {
		m.agent.probedAt = c.now
		c.inspect(m)
	}
	if m.agent.failedProbes > 0 {
		z.failing++
	}
	if (overdue || asked) && m.agent.failedProbes >= 2 {
		v.silent = append(v.silent, m)
	}
}

// giveUpReclaimed returns machines whose announced end has come and that do not answer any
// more, and asks the others.
func (c *Controller) giveUpReclaimed() {
	var taken []*machine
	for _, m := range c.expiredNotices() {
		if m.agent.probeFailedAt > m.agent.noticeEnds && m.agent.probeFailedAt > m.agent.heardAt {
			taken = append(taken, m)
		} else if c.now-m.agent.probedAt > units.Second/2 {
			m.agent.probedAt = c.now
			c.inspect(m)
		}
	}
	c.giveUp("reclaimed", taken...)
}

// zoneHeardSince reports whether another machine of the same zone was heard after this one was
// overdue. Where an owner has but a few machines in a zone that is cut off, the first to be
// overdue was deleted before the others were asked.
func (c *Controller) zoneHeardSince(v *fleetHealth, m *machine) bool {
	z := v.zones[m.doc.Zone]
	if len(v.zones) <= 1 || len(z.machines) <= 1 {
		return true
	}
	overdue := m.agent.heardAt + c.cfg.Settings.HeartbeatPeriod()*13/10
	return slices.ContainsFunc(z.machines, func(o *machine) bool { return o != m && o.agent.heardAt > overdue })
}

// giveUpUnreachable returns machines that are gone for all that can be known. Every living
// controller must say that it does not hear the machine.
func (c *Controller) giveUpUnreachable(v *fleetHealth) {
	var gone []*machine
	for _, m := range v.silent {
		if len(gone) <= v.total/8 && m.agent.failedProbes >= 2 && !c.fleet.suspectZones[m.doc.Zone].suspected && c.zoneHeardSince(v, m) && !c.heardByOthers(m.name, v.zones[m.doc.Zone].reachable()) {
			gone = append(gone, m)
		}
	}
	c.giveUp("silent", gone...)
	c.giveUp("unreachable outbound", v.unreachableOutbound...)
	for _, m := range v.unreachableInbound {
		if v.reporting*2 >= v.total && c.now-m.agent.heardAt < c.cfg.Settings.HeartbeatPeriod()*3/2 && !c.heardByOthers(m.name, true) {
			c.giveUp("unreachable inbound", m)
		}
	}
}

// zoneSuspicion is what is remembered of a zone that may be cut off.
type zoneSuspicion struct {
	probedAt  units.Micros // when all machines there were asked
	suspected bool         // it still may be
}

// zoneHealth is what an owner sees of its machines in one zone.
type zoneHealth struct {
	machines []*machine
	hearing  int // that report
	failing  int // that did not answer a question
}

// judgeZones notices zones that may be cut off. When several machines of a zone
// fall silent at once, all of them there are asked, so that those that have died
// with them are known before their reports are overdue. If next to none answers, it
// is the way to the zone that is lost: the machines run on behind the cut, their
// tasks until their leases end, and all of them are back after it; deleting them
// once took half of a fleet's machines away for minutes. Of those that are really
// gone the cloud's list will tell.
func (c *Controller) judgeZones(zones map[string]*zoneHealth) {
	several := func(z *zoneHealth) bool { return z != nil && z.failing >= max(3, len(z.machines)/20) }
	for zone, s := range c.fleet.suspectZones {
		if !several(zones[zone]) {
			delete(c.fleet.suspectZones, zone)
			zones[zone].clearSuspicion(s.suspected)
		}
	}
	// With one zone alone, a silent majority is doubted anyway.
	others := len(zones) > 1
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		z := zones[zone]
		s, open := c.fleet.suspectZones[zone]
		switch {
		case !several(z):
		case !open || c.now-s.probedAt > zoneProbePeriod:
			c.fleet.suspectZones[zone] = zoneSuspicion{probedAt: c.now, suspected: others && (!open || s.suspected)} // until the first answers
			for _, m := range z.machines {
				if c.now-m.agent.heardAt > units.Second {
					m.agent.probedAt = c.now
					c.inspect(m)
				}
			}
		case c.now-s.probedAt > zoneProbeWait:
			answered := z.heardSince(s.probedAt - units.Second)
			was := s.suspected
			s.suspected = others && answered*4 < len(z.machines)
			c.fleet.suspectZones[zone] = s
			if !s.suspected {
				z.clearSuspicion(was)
				continue
			}
			c.cloud.silenceSuspectedAt = c.now
			if periodOf(c.fleet.zoneLogPeriods, zone).due(c.now, 10*units.Second) {
				c.log.Warn("zone suspected partitioned", "zone", zone, "machines", len(z.machines), "answer", answered)
			}
		}
	}
}

// clearSuspicion is called when a zone is no longer in doubt. What its machines did not answer
// before says nothing about them, and none was idle: the last to be heard again were
// once deleted as silent, and those that were to be emptied as idle.
func (z *zoneHealth) clearSuspicion(doubted bool) {
	if z == nil || !doubted {
		return
	}
	for _, m := range z.machines {
		m.agent.failedProbes, m.agent.draining = 0, false
	}
}

// heardSince counts the zone's machines that were heard since then.
func (z *zoneHealth) heardSince(at units.Micros) int {
	n := 0
	for _, m := range z.machines {
		if m.agent.heardAt >= at {
			n++
		}
	}
	return n
}

// The machines of a zone in doubt have so long to answer, and are asked again
// after a while.
const (
	zoneProbeWait   = 1800 * units.Millisecond
	zoneProbePeriod = 10 * units.Second
)

// transferUnheardPartitions gives a partition none of whose machines are heard here to a
// controller that hears most of them: this node's own network is what fails,
// and while it kept the partition the machines' leases would run out.
func (c *Controller) transferUnheardPartitions() {
	report := c.cfg.Settings.HeartbeatPeriod()
	for _, p := range c.partitions.ledPartitions() {
		o := c.partitions.led[p]
		if o.commitsInFlight > 0 || c.now-o.since < 3*report || !c.budget.hasCredit() || c.store.failing {
			continue
		}
		for _, l := range c.replica.registeredProcesses() {
			heartbeat, ok := c.heartbeatOf(l.member(), l.incarnation())
			if !ok || l.member() == c.cfg.Member {
				continue
			}
			mine, there := 0, 0
			for _, m := range c.replica.machines {
				if m.part() != p {
					continue
				}
				mine++
				if ago, ok := heartbeat.Heard[m.name]; ok && units.Micros(ago) < 2*report {
					there++
				}
			}
			if mine > 0 && there*2 > mine {
				c.log.Warn("transferring leadership, no machine heard", "partition", p, "to", l.member())
				c.leaderships.acquire(p, l)
				return
			}
		}
	}
}

// expiredNotices lists this node's machines whose announced end has come.
func (c *Controller) expiredNotices() []*machine {
	var out []*machine
	for _, m := range c.replica.sortedMachines() {
		if m.agent != nil && m.agent.hasNotice && c.now > m.agent.noticeEnds && c.leads(m.part()) {
			out = append(out, m)
		}
	}
	return out
}

// reachable reports whether the way to the zone is open: most machines there are heard.
func (z *zoneHealth) reachable() bool { return len(z.machines) >= 4 && z.hearing*2 >= len(z.machines) }

// heardByOthers reports whether a living controller hears the machine. One that cannot
// be asked might, unless the way to the machine's zone is open: while controllers
// refuse each other's connections, nothing that died would be replaced.
func (c *Controller) heardByOthers(name string, reached bool) bool {
	for key := range c.replica.registeredSince {
		member, incarnation, _ := strings.Cut(strings.TrimPrefix(key, schema.RegistrationPrefix), "/")
		if member == c.cfg.Member {
			continue
		}
		p, ok := c.peers.latest[member]
		if !ok || p.heartbeat.Inc != incarnation || c.now-p.receivedAt > 4*units.Second {
			if !reached {
				return true
			}
			continue
		}
		if ago, ok := p.heartbeat.Heard[name]; ok && units.Micros(ago) < 2*c.cfg.Settings.HeartbeatPeriod() {
			return true
		}
	}
	return false
}

// fleetMonitor remembers what was noticed of machines that cannot be reached.
type fleetMonitor struct {
	suspectZones     map[string]zoneSuspicion // that may be partitioned
	zoneLogPeriods   map[string]*period
	decommissionings period
}

func newFleetMonitor() fleetMonitor {
	return fleetMonitor{suspectZones: map[string]zoneSuspicion{}, zoneLogPeriods: map[string]*period{}}
}

package controller

import (
	"maps"
	"slices"
	"strings"

	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// fleetView is what a controller sees of the machines that it commands.
type fleetView struct {
	total     int // machines
	hearing   int // that report
	reporting int // that are not mute
	zones     map[string]*zoneView

	silent []*machine // neither report nor answer
	deaf   []*machine // report, but nothing reaches them
	mute   []*machine // answer, but their reports reach nobody
}

// watchMachines looks after machines that have fallen silent.
func (c *Core) watchMachines() {
	if !c.replica.synced {
		return
	}
	v := &fleetView{zones: map[string]*zoneView{}}
	for _, m := range c.sortedMachines() {
		if m.rt != nil && c.usable(m.part()) {
			c.recovered(m)
			c.watchMachine(v, m)
		}
	}
	c.judgeZones(v.zones)
	c.giveUpTaken()
	if v.hearing == 0 && v.total > 0 {
		c.handOverUnheard()
	}
	if len(v.silent) > 0 && v.hearing*2 < v.total {
		c.cloud.doubtAt = c.now
	}
	// This node's own silence is no evidence: most machines must be heard here.
	if len(v.silent)+len(v.deaf)+len(v.mute) == 0 || v.hearing*2 < v.total || !c.every("retire", units.Second) {
		return
	}
	c.giveUpUnreachable(v)
}

// watchMachine enters one machine into the view, and asks it when its report is overdue.
func (c *Core) watchMachine(v *fleetView, m *machine) {
	report := c.cfg.Settings.Report()
	v.total++
	if c.mute(m) {
		v.mute = append(v.mute, m)
	} else {
		v.reporting++
	}
	z := v.zones[m.doc.Zone]
	if z == nil {
		z = &zoneView{}
		v.zones[m.doc.Zone] = z
	}
	z.machines = append(z.machines, m)
	if m.rt.unheardAnswers >= deafAfter || m.rt.unheardAnswers > 0 && m.rt.failed >= 2 {
		v.deaf = append(v.deaf, m)
		return
	}
	last := max(m.rt.heardAt, m.rt.since-report) // a new owner asks at once, and need not wait as long
	overdue := c.now-last > report*13/10
	if c.now-last < report*3/2 {
		v.hearing++
		z.hearing++
		if m.rt.seen < c.token(m) && m.rt.heardAt > 0 {
			c.poke(m) // raise its token, so that absence can prove something
		}
	}
	// The report is overdue, or a command was not answered: ask the machine
	// itself, and again.
	// In a zone where many fall silent all are asked, and those that do not answer
	// once more.
	asked := m.rt.failed > 0 && c.zones[m.doc.Zone].asked > 0
	if (overdue || m.rt.unclear || asked) && c.now-m.rt.probeAt > units.Second {
		m.rt.probeAt = c.now
		c.inspect(m)
	}
	if m.rt.failed > 0 {
		z.failing++
	}
	if (overdue || asked) && m.rt.failed >= 2 {
		v.silent = append(v.silent, m)
	}
}

// giveUpTaken returns machines whose announced end has come and that do not answer any
// more, and asks the others.
func (c *Core) giveUpTaken() {
	var taken []*machine
	for _, m := range c.expiredNotices() {
		if m.rt.probeBad > m.rt.noticeEnds && m.rt.probeBad > m.rt.heardAt {
			taken = append(taken, m)
		} else if c.now-m.rt.probeAt > units.Second/2 {
			m.rt.probeAt = c.now
			c.inspect(m)
		}
	}
	c.giveUp("taken back", taken...)
}

// zoneHeardSince reports whether another machine of the same zone was heard after this one was
// overdue. Where an owner has but a few machines in a zone that is cut off, the first to be
// overdue was deleted before the others were asked.
func (c *Core) zoneHeardSince(v *fleetView, m *machine) bool {
	z := v.zones[m.doc.Zone]
	if len(v.zones) <= 1 || len(z.machines) <= 1 {
		return true
	}
	overdue := m.rt.heardAt + c.cfg.Settings.Report()*13/10
	return slices.ContainsFunc(z.machines, func(o *machine) bool { return o != m && o.rt.heardAt > overdue })
}

// giveUpUnreachable returns machines that are gone for all that can be known. Every living
// controller must say that it does not hear the machine.
func (c *Core) giveUpUnreachable(v *fleetView) {
	var gone []*machine
	for _, m := range v.silent {
		if len(gone) <= v.total/8 && m.rt.failed >= 2 && !c.zones[m.doc.Zone].doubt && c.zoneHeardSince(v, m) && !c.heardByOthers(m.name, v.zones[m.doc.Zone].reached()) {
			gone = append(gone, m)
		}
	}
	c.giveUp("silent", gone...)
	c.giveUp("nothing reaches it", v.deaf...)
	for _, m := range v.mute {
		if v.reporting*2 >= v.total && c.now-m.rt.heardAt < c.cfg.Settings.Report()*3/2 && !c.heardByOthers(m.name, true) {
			c.giveUp("it reaches nobody", m)
		}
	}
}

// zoneState is what is remembered of a zone that may be cut off.
type zoneState struct {
	asked units.Micros // when all machines there were asked
	doubt bool         // it still may be
}

// zoneView is what an owner sees of its machines in one zone.
type zoneView struct {
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
func (c *Core) judgeZones(zones map[string]*zoneView) {
	several := func(z *zoneView) bool { return z != nil && z.failing >= max(3, len(z.machines)/20) }
	for zone, s := range c.zones {
		if !several(zones[zone]) {
			delete(c.zones, zone)
			zones[zone].back(s.doubt)
		}
	}
	// With one zone alone, a silent majority is doubted anyway.
	others := len(zones) > 1
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		z := zones[zone]
		s, open := c.zones[zone]
		switch {
		case !several(z):
		case !open || c.now-s.asked > zoneAgain:
			c.zones[zone] = zoneState{asked: c.now, doubt: others && (!open || s.doubt)} // until the first answers
			for _, m := range z.machines {
				if c.now-m.rt.heardAt > units.Second {
					m.rt.probeAt = c.now
					c.inspect(m)
				}
			}
		case c.now-s.asked > zoneAnswers:
			answered := z.heardSince(s.asked - units.Second)
			was := s.doubt
			s.doubt = others && answered*4 < len(z.machines)
			c.zones[zone] = s
			if !s.doubt {
				z.back(was)
				continue
			}
			c.cloud.doubtAt = c.now
			if c.every("zone"+zone, 10*units.Second) {
				c.log.Warn("zone seems cut off", "zone", zone, "machines", len(z.machines), "answer", answered)
			}
		}
	}
}

// back is called when a zone is no longer in doubt. What its machines did not answer
// before says nothing about them, and none was idle: the last to be heard again were
// once deleted as silent, and those that were to be emptied as idle.
func (z *zoneView) back(doubted bool) {
	if z == nil || !doubted {
		return
	}
	for _, m := range z.machines {
		m.rt.failed, m.rt.draining = 0, false
	}
}

// heardSince counts the zone's machines that were heard since then.
func (z *zoneView) heardSince(at units.Micros) int {
	n := 0
	for _, m := range z.machines {
		if m.rt.heardAt >= at {
			n++
		}
	}
	return n
}

// The machines of a zone in doubt have so long to answer, and are asked again
// after a while.
const (
	zoneAnswers = 1800 * units.Millisecond
	zoneAgain   = 10 * units.Second
)

// handOverUnheard gives a partition none of whose machines are heard here to a
// controller that hears most of them: this node's own network is what fails,
// and while it kept the partition the machines' leases would run out.
func (c *Core) handOverUnheard() {
	report := c.cfg.Settings.Report()
	for _, p := range c.ownedParts() {
		o := c.owned[p]
		if o.inflight > 0 || c.now-o.since < 3*report || !c.mayBorrow() || c.stateBad {
			continue
		}
		for _, l := range c.living() {
			member, incarnation, _ := strings.Cut(l, "/")
			heartbeat, ok := c.heartbeatOf(member, incarnation)
			if !ok || member == c.cfg.Member {
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
				c.log.Warn("hear none of the machines, another does", "partition", p, "to", member)
				c.claim(p, l)
				return
			}
		}
	}
}

// expiredNotices lists this node's machines whose announced end has come.
func (c *Core) expiredNotices() []*machine {
	var out []*machine
	for _, m := range c.sortedMachines() {
		if m.rt != nil && m.rt.hasNotice && c.now > m.rt.noticeEnds && c.usable(m.part()) {
			out = append(out, m)
		}
	}
	return out
}

// reached reports whether the way to the zone is open: most machines there are heard.
func (z *zoneView) reached() bool { return len(z.machines) >= 4 && z.hearing*2 >= len(z.machines) }

// heardByOthers reports whether a living controller hears the machine. One that cannot
// be asked might, unless the way to the machine's zone is open: while controllers
// refuse each other's connections, nothing that died would be replaced.
func (c *Core) heardByOthers(name string, reached bool) bool {
	for key := range c.replica.nodes {
		member, incarnation, _ := strings.Cut(strings.TrimPrefix(key, schema.Nodes), "/")
		if member == c.cfg.Member {
			continue
		}
		p, ok := c.peers[member]
		if !ok || p.heartbeat.Inc != incarnation || c.now-p.at > 4*units.Second {
			if !reached {
				return true
			}
			continue
		}
		if ago, ok := p.heartbeat.Heard[name]; ok && units.Micros(ago) < 2*c.cfg.Settings.Report() {
			return true
		}
	}
	return false
}

package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"frostdock.example/frostdock/internal/intake"
	"frostdock.example/frostdock/internal/provision"
	"frostdock.example/frostdock/internal/state"
	"frostdock.example/frostdock/internal/units"
)

// cloudState is what this node knows of the cloud. One node at a time rents and
// returns: the owner of partition 0.
type cloudState struct {
	types    []provision.Type
	typesAt  units.Micros
	asking   bool
	listing  bool
	listed   map[string]provision.Listed
	listAt   units.Micros // when the last complete list was asked for
	hires    map[string]*hire
	hireN    int
	cool     map[string]units.Micros // offers that were refused: not before
	deleting bool
	doubtAt  units.Micros // when most machines were last silent: the list may tell why
	calmAt   units.Micros // since when next to nothing waits for room
	chargeAt units.Micros // since when this node has this duty; 0: not
	strayAt  map[string]units.Micros
}

// hire is a rental under way: asked for, or granted and not yet reporting.
type hire struct {
	req     provision.Hire
	sent    bool
	granted bool
	at      units.Micros
	names   map[string]bool
}

func newCloudState() cloudState {
	return cloudState{listed: map[string]provision.Listed{}, hires: map[string]*hire{}, cool: map[string]units.Micros{},
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
		waiting := short > bound/50
		if waiting || k.calmAt == 0 {
			k.calmAt = c.now
		}
		// A lull shorter than it takes to rent a machine again is no reason to empty one.
		pressing := c.pressing()
		c.consolidate(waiting || c.now-k.calmAt < c.slowestReturn(), pressing)
		c.returnIdle(waiting, pressing)
	}
	if c.every("delete", 200*units.Millisecond) {
		c.deleteRetired()
	}
	keeper := c.owned[0] != nil && c.usable(0) && len(k.types) > 0
	if !k.listing && (keeper || c.now-k.doubtAt < 10*units.Second && k.doubtAt > 0) && c.every("list", 4*units.Second) {
		c.list("", map[string]provision.Listed{}, c.now)
	}
	if !keeper {
		k.chargeAt = 0
		return
	}
	if k.chargeAt == 0 {
		k.chargeAt = c.now
		k.hires = map[string]*hire{}
		k.listed, k.listAt = map[string]provision.Listed{}, 0
	}
	if look {
		c.settleHires()
		c.rent(lacking)
	}
}

// list reads the cloud's machines, page by page.
func (c *Core) list(since string, got map[string]provision.Listed, started units.Micros) {
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
		l, m := k.listed[name], c.rep.machines[name]
		if m != nil {
			delete(k.strayAt, name)
			if l.State == provision.Failed && m.rt != nil && c.now-m.rt.heardAt > c.cfg.Settings.Report()*2 {
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
		if l.State == provision.Failed || l.AgeS > 3*boot+15 && !c.heardLately(name) {
			if _, ok := k.strayAt[name]; !ok {
				k.strayAt[name] = c.now
			}
			// Up and silent, or never up. The list lags, so look twice.
			if l.State == provision.Failed || c.now-k.strayAt[name] > units.FromSeconds(2*c.cfg.Settings.Cloud.ListLagS) {
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
	c.callCloud(CloudCall{Op: CloudDelete, Names: provision.Names{Machines: stray}}, func(d CloudDone) {
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
	// one that never comes up would be paid for as long as one beat stays away.
	for _, p := range c.peers {
		if ago, ok := p.beat.Heard[name]; ok && c.now-p.at+units.Micros(ago) < lately {
			return true
		}
	}
	return false
}

// deleteRetired returns the machines marked for it; their entries go only when
// the cloud has confirmed it, which proves that nothing runs there any more.
func (c *Core) deleteRetired() {
	k := &c.cloud
	if k.deleting {
		return
	}
	var names []string
	for _, m := range c.sortedMachines() {
		if (m.doc.Retired || m.rt != nil && m.rt.urgent) && !m.gone && c.usable(m.g.part) && len(names) < mostDeletes {
			names = append(names, m.name)
		}
	}
	if len(names) == 0 {
		return
	}
	k.deleting = true
	c.callCloud(CloudCall{Op: CloudDelete, Names: provision.Names{Machines: names}}, func(d CloudDone) {
		if d.Status != 200 {
			c.after(300*units.Millisecond, func() { k.deleting = false })
			return
		}
		k.deleting = false
		c.log.Info("machines gone", "machines", names)
		c.dirty = true
		for _, n := range names {
			if m := c.rep.machines[n]; m != nil {
				m.gone = true // the next write of its group drops it
			}
		}
	})
}

// mostDeletes is how many machines one request may return.
const mostDeletes = 100

// settleHires forgets rentals whose machines report, or are overdue.
func (c *Core) settleHires() {
	k := &c.cloud
	for _, name := range slices.Sorted(maps.Keys(k.hires)) {
		h := k.hires[name]
		if !h.granted {
			if !h.sent {
				c.sendHire(h)
			}
			continue
		}
		for n := range h.names {
			if c.rep.machines[n] != nil {
				delete(h.names, n)
			}
		}
		t := c.machineType(h.req.Type)
		if len(h.names) == 0 || t != nil && c.now-h.at > units.FromSeconds(t.BootS*2.5+10) {
			delete(k.hires, name)
		}
	}
}

// sendHire sends a rental until it is answered, always under its own name.
func (c *Core) sendHire(h *hire) {
	k := &c.cloud
	h.sent = true
	c.callCloud(CloudCall{Op: CloudHire, Hire: h.req}, func(d CloudDone) {
		switch {
		case d.Status == 200:
			h.granted, h.at = true, c.now
			h.names = map[string]bool{}
			for _, n := range d.Names.Machines {
				h.names[n] = true
			}
			c.markBase(d.Names.Machines)
			c.log.Info("hired", "request", h.req.Name, "type", h.req.Type, "zone", h.req.Zone, "spot", h.req.Spot, "machines", d.Names.Machines)
			if len(d.Names.Machines) < h.req.Count {
				k.cool[offerKey(h.req)] = c.now + 15*units.Second
			}
		case d.Status == 503 || d.Status == 400:
			c.log.Debug("hire refused", "request", h.req.Name, "type", h.req.Type, "zone", h.req.Zone, "spot", h.req.Spot)
			k.cool[offerKey(h.req)] = c.now + 15*units.Second
			delete(k.hires, h.req.Name)
		default:
			h.sent = false // the next round repeats it
		}
	})
}

func offerKey(h provision.Hire) string {
	return h.Type + "/" + h.Zone + "/" + strconv.FormatBool(h.Spot)
}

// coming is the room, in CPUs, of machines that are rented or listed and do not
// report yet: ordinary ones and spot ones.
func (c *Core) coming() (ordinary, spot float64) {
	add := func(typ string, isSpot bool, n int) {
		t := c.machineType(typ)
		switch {
		case t == nil:
		case isSpot:
			spot += t.CPUs * float64(n)
		default:
			ordinary += t.CPUs * float64(n)
		}
	}
	for _, h := range c.cloud.hires {
		if n := h.req.Count; h.granted {
			add(h.req.Type, h.req.Spot, len(h.names))
		} else {
			add(h.req.Type, h.req.Spot, n)
		}
	}
	for name, l := range c.cloud.listed { // rented by a predecessor, or there from the start
		if _, late := c.cloud.strayAt[name]; !late && l.State != provision.Failed && !c.rep.ever[name] && !c.hireHas(name) {
			add(l.Type, l.Spot, 1)
		}
	}
	return ordinary, spot
}

// demand is room that waiting tasks lack, in CPUs.
type demand struct {
	fixed float64 // of jobs that may not use spot machines
	any   float64 // of the others
}

// unmet is what no free room and no coming machine can take.
func (c *Core) unmet(short []shortfall) demand {
	var d demand
	for _, s := range short {
		if cpus := float64(s.n) * s.j.spec.CPUs; s.j.spec.Spot && c.pol.Spot {
			d.any += cpus
		} else {
			d.fixed += cpus
		}
	}
	// Work that may use spot machines and runs on others gives way to what may
	// not: it is room for the former that is lacking then.
	moved := 0.0
	if c.pol.Spot {
		moved = min(d.fixed, c.displaceable())
	}
	d.fixed -= moved
	d.any += moved
	d.any -= c.endingSoon()
	ordinary, spot := c.coming()
	d.any -= spot
	d.fixed -= ordinary
	if d.fixed < 0 { // what is left of ordinary machines serves the others
		d.any += d.fixed
		d.fixed = 0
	}
	d.any = max(0, d.any)
	return d
}

// endingSoon is the room of array tasks that are expected to end before a machine
// rented now would be up: what waits for so little need not be rented for.
func (c *Core) endingSoon() float64 {
	boot := math.Inf(1)
	for i := range c.cloud.types {
		boot = min(boot, c.cloud.types[i].BootS)
	}
	sum := 0.0
	for _, j := range c.sortedJobs() {
		if j.spec.Service || j.cancelled {
			continue
		}
		avg, _ := j.average()
		if avg == 0 {
			avg = firstGuess
		}
		sum += float64(j.active()) * j.spec.CPUs * min(1, boot/avg.Seconds())
	}
	return sum
}

// displaceable is the room on ordinary machines of work that could as well be on
// spot machines.
func (c *Core) displaceable() float64 {
	sum := 0.0
	for _, m := range c.rep.machines {
		if m.doc.Spot || m.doc.Retired {
			continue
		}
		for _, t := range m.doc.Tasks {
			if j := c.unstored(t); j != nil && j.spec.Spot && !j.spec.Service {
				sum += j.spec.CPUs
			}
		}
	}
	return sum
}

// rent asks for machines for the tasks that find no room, in several requests a
// round when much is wanted, each for the offer that is best then.
func (c *Core) rent(short []shortfall) {
	k := &c.cloud
	settle := units.FromSeconds(2*c.cfg.Settings.Cloud.ListLagS) + 2*units.Second
	// A new keeper first learns what its predecessor rented.
	if c.now-k.chargeAt < settle && k.chargeAt > 3*units.Second && len(c.rep.machines) > 0 {
		return
	}
	if k.listAt == 0 {
		return // machines that are up and have not reported yet are seen in the list only
	}
	want := c.unmet(short)
	permitted := int(c.cfg.Settings.Cloud.RPS / 2)
	for calls := max(leastHireCalls, permitted); calls > 0 && len(k.hires) < mostHires; calls-- {
		var h *provision.Hire
		need := &want.fixed
		if want.fixed > 0 {
			h = c.bestOffer(short, false)
		}
		if h == nil && want.any > 0 {
			need = &want.any
			h = c.bestOffer(short, true)
		}
		if h == nil {
			return
		}
		cpus := c.machineType(h.Type).CPUs
		lack := int(math.Ceil(*need / cpus))
		// Where few calls are allowed each asks for more: four machines a second took
		// most of a minute to rent a fleet that was wanted at once.
		h.Count = min(lack, mostHired, max(c.pol.HireMost, len(c.rep.machines)/hirePart, lack/(hireRounds*max(1, permitted))))
		k.hireN++
		h.Name = "r-" + c.inc + "-" + strconv.Itoa(k.hireN)
		c.log.Info("hire", "request", h.Name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "unmet_cpus", *need)
		*need -= float64(h.Count) * cpus
		k.hires[h.Name] = &hire{req: *h, at: c.now}
		c.sendHire(k.hires[h.Name])
	}
}

const (
	leastHireCalls = 2  // rental requests a second, however few calls are allowed: that many are, for a while
	mostHired      = 50 // machines that one request may ask for
	hirePart       = 8  // a request asks for at most this part of the fleet, so that one price or one zone does not take all
	hireRounds     = 4  // and, when that is more, at most this part of what is lacking in one second
	mostHires      = 40 // requests not yet answered, or whose machines are not yet up
)

// bestOffer is the cheapest room for the jobs that wait: for those that may use
// spot machines, or for the others.
func (c *Core) bestOffer(short []shortfall, spotJobs bool) *provision.Hire {
	var pick *provision.Hire
	bestCost := math.Inf(1)
	image := imageOf(short, spotJobs)
	for i := range c.cloud.types {
		t := &c.cloud.types[i]
		for _, z := range t.Zones {
			if c.zones[z].doubt || !c.wantedIn(short, t, z, spotJobs) {
				continue
			}
			for _, spot := range []bool{false, true} {
				h := provision.Hire{Type: t.Name, Zone: z, Spot: spot}
				if spot && !spotJobs || c.now < c.cloud.cool[offerKey(h)] {
					continue
				}
				cost := t.Rate(spot) / t.CPUs * c.idleness(t, image)
				if spot {
					cost *= 1.3 // it may be taken back
				}
				if cost < bestCost {
					bestCost, pick = cost, &h
				}
			}
		}
	}
	return pick
}

// rentedFor is how long a rented machine is kept, roughly, and freshImages how
// many images it fetches before it has those that are asked for most.
const (
	rentedFor   = 300.0 // seconds
	freshImages = 3
)

// idleness is how much dearer a machine is than its price says, because it is
// paid for while it boots and fetches its first images.
func (c *Core) idleness(t *provision.Type, imageGB float64) float64 {
	fetch := 0.0
	if t.FetchGBs > 0 {
		fetch = freshImages * imageGB / t.FetchGBs
	}
	return 1 + (t.BootS+fetch)/rentedFor
}

// imageOf is the size of the images of the tasks that wait, on average.
func imageOf(short []shortfall, spotJobs bool) float64 {
	sum, n := 0.0, 0.0
	for _, s := range short {
		if s.j.spec.Spot == spotJobs {
			sum += s.j.spec.ImageGB * float64(s.n)
			n += float64(s.n)
		}
	}
	return sum / max(n, 1)
}

// wantedIn reports whether a waiting job fits the type in the zone.
func (c *Core) wantedIn(short []shortfall, t *provision.Type, zone string, spotJobs bool) bool {
	return slices.ContainsFunc(short, func(s shortfall) bool {
		spec := &s.j.spec
		return (spec.Spot && c.pol.Spot) == spotJobs && intake.Fits(spec, t) && (spec.Zone == "" || spec.Zone == zone) &&
			(!spec.Spread && !spec.OneZone || zoneAllowed(s.j, zone))
	})
}

// markBase notes, once and for all, the first machine that was rented: those
// before it were there from the start, and services go there first.
func (c *Core) markBase(names []string) {
	if c.rep.base != nil || len(names) == 0 {
		return
	}
	doc := state.BaseDoc{First: slices.Min(names), Mark: c.mark()}
	txn := &state.Txn{Guards: []state.Guard{{Key: state.Base}}, Apply: []state.Op{{Set: state.Base, Value: encode(doc)}}}
	c.commit(txn, doc.Mark, func(outcome, uint64, []string) {})
}

// rented reports whether the machine was rented by this service.
func (c *Core) rented(name string) bool { return c.rep.base != nil && name >= c.rep.base.First }

func (c *Core) hireHas(name string) bool {
	for _, h := range c.cloud.hires {
		if h.names[name] {
			return true
		}
	}
	return false
}

// returnAfter is how long a rented machine may have nothing to do before it is
// given back: about as long as it would take to get another.
func (c *Core) returnAfter(t *provision.Type) units.Micros {
	return max(30*units.Second, units.FromSeconds(t.BootS*c.pol.ReturnIdle))
}

// slowestReturn is that of the type that takes longest to come up.
func (c *Core) slowestReturn() units.Micros {
	var most units.Micros
	for i := range c.cloud.types {
		most = max(most, c.returnAfter(&c.cloud.types[i]))
	}
	return most
}

// At most so many machines are emptied together, and returned for being idle in
// one second: a few of a small fleet, a small part of a large one.
func (c *Core) mostEmptied() int  { return max(2, len(c.rep.machines)/20) }
func (c *Core) mostReturned() int { return max(1, len(c.rep.machines)/50) }

// consolidate chooses machines that are little used to be emptied, as far
// as the free room elsewhere takes what is on them and leaves some for newcomers.
func (c *Core) consolidate(waiting bool, pressing []*job) {
	type candidate struct {
		m     *machine
		t     *provision.Type
		used  float64
		waste float64
	}
	var all []candidate
	free, used := 0.0, 0.0
	draining := 0
	for _, m := range c.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.part() < 0 {
			continue
		}
		g := c.roomOn(m, t)
		u := t.CPUs - g.cpus
		used += u
		if m.rt == nil {
			if _, open := c.foreignOpen(m); open {
				free += t.CPUs - u
			}
			continue
		}
		wanted := c.takes(m, g, pressing)
		if waiting || wanted {
			m.rt.draining = false
		}
		if m.rt.draining {
			draining++
			continue
		}
		if !c.takesWork(m) {
			continue
		}
		free += t.CPUs - u
		// One that was out of reach until now is empty for that reason alone.
		if u/t.CPUs < 0.6 && !wanted && c.now-m.rt.since > 30*units.Second && c.steady(m, 30*units.Second) {
			all = append(all, candidate{m, t, u, t.Rate(m.doc.Spot) * (1 - u/t.CPUs)})
		}
	}
	if waiting {
		return
	}
	slices.SortStableFunc(all, func(x, y candidate) int { return cmp.Compare(y.waste, x.waste) })
	for _, k := range all {
		free -= k.t.CPUs // its own free room, and what its tasks take elsewhere
		if draining >= c.mostEmptied() || free < max(8, c.pol.SpareShare*used) {
			return
		}
		draining++
		k.m.rt.draining = true
		c.log.Info("empty a machine", "machine", k.m.name, "used_cpus", k.used, "free_elsewhere", free)
	}
}

// returnIdle gives back machines that have nothing to do, the dearest first.
func (c *Core) returnIdle(waiting bool, pressing []*job) {
	var idle []*machine
	price := func(m *machine) float64 { return c.machineType(m.doc.Type).Rate(m.doc.Spot) }
	for _, m := range c.sortedMachines() {
		t := c.machineType(m.doc.Type)
		if t == nil || m.rt == nil {
			continue
		}
		used := slices.ContainsFunc(m.doc.Tasks, func(t state.Task) bool { return c.unstored(t) != nil })
		// One that is not heard may be cut off, and is not idle for sure.
		if used || waiting || c.now-m.rt.heardAt > 2*c.cfg.Settings.Report() || len(pressing) > 0 && c.takes(m, c.roomOn(m, t), pressing) {
			m.rt.idleAt = c.now
			continue
		}
		if c.now-m.rt.idleAt >= c.returnAfter(t) || m.rt.draining {
			if m.rt.out == 0 && m.rt.retire == "" {
				idle = append(idle, m)
			}
		}
	}
	slices.SortStableFunc(idle, func(x, y *machine) int { return cmp.Compare(price(y), price(x)) })
	c.retire("idle", idle[:min(len(idle), c.mostReturned())]...)
}

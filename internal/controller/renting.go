package controller

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// rental is a rental under way: asked for, or granted and not yet reporting.
type rental struct {
	req     cloud.Hire
	sent    bool
	granted bool
	at      units.Micros
	names   map[string]bool
}

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
			if c.replica.machines[n] != nil {
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
func (c *Core) sendHire(h *rental) {
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

func offerKey(h cloud.Hire) string {
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
		if _, late := c.cloud.strayAt[name]; !late && l.State != cloud.Failed && !c.replica.ever[name] && !c.hireHas(name) {
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
		if j.spec.Service || j.cancelled() {
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
	for _, m := range c.replica.machines {
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
	if c.now-k.chargeAt < settle && k.chargeAt > 3*units.Second && len(c.replica.machines) > 0 {
		return
	}
	if k.listAt == 0 {
		return // machines that are up and have not reported yet are seen in the list only
	}
	want := c.unmet(short)
	permitted := int(c.cfg.Settings.Cloud.RPS / 2)
	for calls := max(leastHireCalls, permitted); calls > 0 && len(k.hires) < mostHires; calls-- {
		var h *cloud.Hire
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
		h.Count = min(lack, mostHired, max(c.pol.HireMost, len(c.replica.machines)/hirePart, lack/(hireRounds*max(1, permitted))))
		k.hireN++
		h.Name = "r-" + c.incarnation + "-" + strconv.Itoa(k.hireN)
		c.log.Info("hire", "request", h.Name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "unmet_cpus", *need)
		*need -= float64(h.Count) * cpus
		k.hires[h.Name] = &rental{req: *h, at: c.now}
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
func (c *Core) bestOffer(short []shortfall, spotJobs bool) *cloud.Hire {
	var pick *cloud.Hire
	bestCost := math.Inf(1)
	image := imageOf(short, spotJobs)
	for i := range c.cloud.types {
		t := &c.cloud.types[i]
		for _, z := range t.Zones {
			if c.zones[z].doubt || !c.wantedIn(short, t, z, spotJobs) {
				continue
			}
			for _, spot := range []bool{false, true} {
				h := cloud.Hire{Type: t.Name, Zone: z, Spot: spot}
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
func (c *Core) idleness(t *cloud.Type, imageGB float64) float64 {
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
func (c *Core) wantedIn(short []shortfall, t *cloud.Type, zone string, spotJobs bool) bool {
	return slices.ContainsFunc(short, func(s shortfall) bool {
		spec := &s.j.spec
		return (spec.Spot && c.pol.Spot) == spotJobs && api.Fits(spec, t) && (spec.Zone == "" || spec.Zone == zone) &&
			(!spec.Spread && !spec.OneZone || zoneAllowed(s.j, zone))
	})
}

// markBase notes, once and for all, the first machine that was rented: those
// before it were there from the start, and services go there first.
func (c *Core) markBase(names []string) {
	if c.replica.base != nil || len(names) == 0 {
		return
	}
	doc := schema.BaseDoc{First: slices.Min(names), Mark: c.mark()}
	txn := &kv.Txn{Guards: []kv.Guard{{Key: schema.Base}}, Apply: []kv.Op{{Set: schema.Base, Value: encode(doc)}}}
	c.commit(txn, doc.Mark, func(outcome, uint64, []string) {})
}

// rented reports whether the machine was rented by this service.
func (c *Core) rented(name string) bool { return c.replica.base != nil && name >= c.replica.base.First }

func (c *Core) hireHas(name string) bool {
	for _, h := range c.cloud.hires {
		if h.names[name] {
			return true
		}
	}
	return false
}

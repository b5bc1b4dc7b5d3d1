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

// rentalRequest is a rental under way: asked for, or granted and not yet reporting.
type rentalRequest struct {
	request         cloud.RentalRequest
	sent            bool
	granted         bool
	grantedAt       units.Micros
	pendingMachines map[string]bool
}

// settleRentals forgets rentals whose machines report, or are overdue.
func (c *Controller) settleRentals() {
	k := &c.cloud
	for _, name := range slices.Sorted(maps.Keys(k.rentals)) {
		h := k.rentals[name]
		if !h.granted {
			if !h.sent {
				c.sendRental(h)
			}
			continue
		}
		for n := range h.pendingMachines {
			if c.replica.machines[n] != nil {
				delete(h.pendingMachines, n)
			}
		}
		t := c.machineType(h.request.Type)
		if len(h.pendingMachines) == 0 || t != nil && c.now-h.grantedAt > units.FromSeconds(t.BootSeconds*2.5+10) {
			delete(k.rentals, name)
		}
	}
}

// sendRental sends a rental until it is answered, always under its own name.
func (c *Controller) sendRental(h *rentalRequest) {
	k := &c.cloud
	h.sent = true
	c.callCloud(CloudCall{Op: CloudRent, Rental: h.request}, func(d CloudResult) {
		switch {
		case d.Status == cloud.StatusOK:
			h.granted, h.grantedAt = true, c.now
			h.pendingMachines = map[string]bool{}
			for _, n := range d.Machines.Names {
				h.pendingMachines[n] = true
			}
			c.recordFirstRented(d.Machines.Names)
			c.log.Info("machines rented", "request", h.request.Name, "type", h.request.Type, "zone", h.request.Zone, "spot", h.request.Spot, "machines", d.Machines.Names)
			if len(d.Machines.Names) < h.request.Count {
				k.offerNotBefore[offerKeyOf(h.request)] = c.now + 15*units.Second
			}
		case d.Status == cloud.StatusRefused:
			c.log.Debug("rental refused", "request", h.request.Name, "type", h.request.Type, "zone", h.request.Zone, "spot", h.request.Spot)
			k.offerNotBefore[offerKeyOf(h.request)] = c.now + 15*units.Second
			delete(k.rentals, h.request.Name)
		default:
			h.sent = false // the next round repeats it
		}
	})
}

func offerKeyOf(h cloud.RentalRequest) string {
	return h.Type + "/" + h.Zone + "/" + strconv.FormatBool(h.Spot)
}

// capacityComing is the room, in CPUs, of machines that are rented or listed and do not
// report yet: ordinary ones and spot ones.
func (c *Controller) capacityComing() (ordinary, spot float64) {
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
	for _, h := range c.cloud.rentals {
		if n := h.request.Count; h.granted {
			add(h.request.Type, h.request.Spot, len(h.pendingMachines))
		} else {
			add(h.request.Type, h.request.Spot, n)
		}
	}
	for name, l := range c.cloud.listed { // rented by a predecessor, or there from the start
		if _, late := c.cloud.strayingSince[name]; !late && l.State != cloud.Failed && !c.replica.everSeen[name] && !c.rentalPending(name) {
			add(l.Type, l.Spot, 1)
		}
	}
	return ordinary, spot
}

// capacityDemand is room that waiting tasks lack, in CPUs.
type capacityDemand struct {
	onDemandOnly float64 // of jobs that may not use spot machines
	spotAllowed  float64 // of the others
}

// unmetCapacity is what no free room and no coming machine can take.
func (c *Controller) unmetCapacity(short []unmetDemand) capacityDemand {
	var d capacityDemand
	for _, s := range short {
		if cpus := float64(s.tasks) * s.job.spec.CPUs; s.job.spec.Spot && c.policy.UseSpot {
			d.spotAllowed += cpus
		} else {
			d.onDemandOnly += cpus
		}
	}
	// Work that may use spot machines and runs on others gives way to what may
	// not: it is room for the former that is lacking then.
	moved := 0.0
	if c.policy.UseSpot {
		moved = min(d.onDemandOnly, c.displaceable())
	}
	d.onDemandOnly -= moved
	d.spotAllowed += moved
	d.spotAllowed -= c.endingSoon()
	ordinary, spot := c.capacityComing()
	d.spotAllowed -= spot
	d.onDemandOnly -= ordinary
	if d.onDemandOnly < 0 { // what is left of ordinary machines serves the others
		d.spotAllowed += d.onDemandOnly
		d.onDemandOnly = 0
	}
	d.spotAllowed = max(0, d.spotAllowed)
	return d
}

// endingSoon is the room of array tasks that are expected to end before a machine
// rented now would be up: what waits for so little need not be rented for.
func (c *Controller) endingSoon() float64 {
	boot := math.Inf(1)
	for i := range c.cloud.types {
		boot = min(boot, c.cloud.types[i].BootSeconds)
	}
	sum := 0.0
	for _, j := range c.replica.sortedJobs() {
		if j.spec.Service || j.cancelled() {
			continue
		}
		avg, _ := j.average()
		if avg == 0 {
			avg = defaultTaskTime
		}
		sum += float64(j.active()) * j.spec.CPUs * min(1, boot/avg.Seconds())
	}
	return sum
}

// displaceable is the room on ordinary machines of work that could as well be on
// spot machines.
func (c *Controller) displaceable() float64 {
	sum := 0.0
	for _, m := range c.replica.machines {
		if m.doc.Spot || m.doc.Decommissioned {
			continue
		}
		for _, t := range m.doc.Tasks {
			if j := c.replica.unstoredJobOf(t); j != nil && j.spec.Spot && !j.spec.Service {
				sum += j.spec.CPUs
			}
		}
	}
	return sum
}

// scaleOut asks for machines for the tasks that find no room, in several requests a
// round when much is wanted, each for the offer that is best then.
func (c *Controller) scaleOut(short []unmetDemand) {
	k := &c.cloud
	settle := units.FromSeconds(2*c.cfg.Settings.Cloud.ListLagS) + 2*units.Second
	// A new keeper first learns what its predecessor rented.
	if c.now-k.autoscalerSince < settle && k.autoscalerSince > 3*units.Second && len(c.replica.machines) > 0 {
		return
	}
	if k.listedAt == 0 {
		return // machines that are up and have not reported yet are seen in the list only
	}
	want := c.unmetCapacity(short)
	permitted := int(c.cfg.Settings.Cloud.RPS / 2)
	for calls := max(minRentalCalls, permitted); calls > 0 && len(k.rentals) < maxRentalsPending; calls-- {
		var h *cloud.RentalRequest
		need := &want.onDemandOnly
		if want.onDemandOnly > 0 {
			h = c.bestOffer(short, false)
		}
		if h == nil && want.spotAllowed > 0 {
			need = &want.spotAllowed
			h = c.bestOffer(short, true)
		}
		if h == nil {
			return
		}
		cpus := c.machineType(h.Type).CPUs
		lack := int(math.Ceil(*need / cpus))
		// Where few calls are allowed each asks for more: four machines a second took
		// most of a minute to rent a fleet that was wanted at once.
		h.Count = min(lack, maxMachinesPerRental, max(c.policy.MaxLaunchBatch, len(c.replica.machines)/maxFleetShareDivisor, lack/(rentalRounds*max(1, permitted))))
		k.rentalsSent++
		h.Name = "r-" + c.membership.incarnation + "-" + strconv.Itoa(k.rentalsSent)
		c.log.Info("renting machines", "request", h.Name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "unmet_cpus", *need)
		*need -= float64(h.Count) * cpus
		k.rentals[h.Name] = &rentalRequest{request: *h, grantedAt: c.now}
		c.sendRental(k.rentals[h.Name])
	}
}

const (
	minRentalCalls       = 2  // rental requests a second, however few calls are allowed: that many are, for a while
	maxMachinesPerRental = 50 // machines that one request may ask for
	maxFleetShareDivisor = 8  // a request asks for at most this part of the fleet, so that one price or one zone does not take all
	rentalRounds         = 4  // and, when that is more, at most this part of what is lacking in one second
	maxRentalsPending    = 40 // requests not yet answered, or whose machines are not yet up
)

// bestOffer is the cheapest room for the jobs that wait: for those that may use
// spot machines, or for the others.
func (c *Controller) bestOffer(short []unmetDemand, spotJobs bool) *cloud.RentalRequest {
	var pick *cloud.RentalRequest
	bestCost := math.Inf(1)
	image := averageImageGB(short, spotJobs)
	for i := range c.cloud.types {
		t := &c.cloud.types[i]
		for _, z := range t.Zones {
			if c.fleet.suspects(z) || !c.demandIn(short, t, z, spotJobs) {
				continue
			}
			for _, spot := range []bool{false, true} {
				h := cloud.RentalRequest{Type: t.Name, Zone: z, Spot: spot}
				if spot && !spotJobs || c.now < c.cloud.offerNotBefore[offerKeyOf(h)] {
					continue
				}
				cost := t.HourlyRate(spot) / t.CPUs * c.startupOverhead(t, image)
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
	rentalHorizonSeconds = 300.0 // seconds
	imagesAfterBoot      = 3
)

// startupOverhead is how much dearer a machine is than its price says, because it is
// paid for while it boots and fetches its first images.
func (c *Controller) startupOverhead(t *cloud.MachineType, imageGB float64) float64 {
	fetch := 0.0
	if t.FetchGBPerSecond > 0 {
		fetch = imagesAfterBoot * imageGB / t.FetchGBPerSecond
	}
	return 1 + (t.BootSeconds+fetch)/rentalHorizonSeconds
}

// averageImageGB is the size of the images of the tasks that wait, on average.
func averageImageGB(short []unmetDemand, spotJobs bool) float64 {
	sum, n := 0.0, 0.0
	for _, s := range short {
		if s.job.spec.Spot == spotJobs {
			sum += s.job.spec.ImageGB * float64(s.tasks)
			n += float64(s.tasks)
		}
	}
	return sum / max(n, 1)
}

// demandIn reports whether a waiting job fits the type in the zone.
func (c *Controller) demandIn(short []unmetDemand, t *cloud.MachineType, zone string, spotJobs bool) bool {
	return slices.ContainsFunc(short, func(s unmetDemand) bool {
		spec := &s.job.spec
		return (spec.Spot && c.policy.UseSpot) == spotJobs && api.TaskFits(spec, t) && (spec.Zone == "" || spec.Zone == zone) &&
			(!spec.Spread && !spec.OneZone || zoneAllowed(s.job, zone))
	})
}

// recordFirstRented notes, once and for all, the first machine that was rented: those
// before it were there from the start, and services go there first.
func (c *Controller) recordFirstRented(names []string) {
	if c.replica.firstRented != nil || len(names) == 0 {
		return
	}
	doc := schema.FirstMachine{Name: slices.Min(names), WriteTag: c.commits.newWriteTag()}
	txn := &kv.Txn{Conditions: []kv.Condition{{Key: schema.FirstMachineKey}}, Operations: []kv.Operation{{Set: schema.FirstMachineKey, Value: encode(doc)}}}
	c.commits.commit(txn, doc.WriteTag, func(commitOutcome, uint64, []string) {})
}

// rented reports whether the machine was rented by this service.
func (c *Controller) rented(name string) bool {
	return c.replica.firstRented != nil && name >= c.replica.firstRented.Name
}

func (c *Controller) rentalPending(name string) bool {
	for _, h := range c.cloud.rentals {
		if h.pendingMachines[name] {
			return true
		}
	}
	return false
}

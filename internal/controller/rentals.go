package controller

import (
	"maps"
	"slices"
	"strconv"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// refusedOfferPause is for how long an offer is not asked for after the cloud had too few machines of it.
const refusedOfferPause = 15 * units.Second

// A rental whose machines have not all registered after this many boot times and a margin is not waited
// for any more: the machine list will tell what became of them.
const (
	rentalBootFactor    = 2.5
	rentalMarginSeconds = 10
)

// offer is something that the cloud rents: a machine type in a zone, on demand or as spot instances.
type offer struct {
	machineType string
	zone        string
	spot        bool
}

// rental is a rental request under way: not answered clearly yet, or granted with machines that have not
// registered.
type rental struct {
	request         cloud.RentalRequest
	inFlight        bool
	granted         bool
	grantedAt       units.Micros
	pendingMachines map[string]bool // granted and not registered yet
}

func (r *rental) offer() offer {
	return offer{r.request.Type, r.request.Zone, r.request.Spot}
}

// comingMachines is how many machines the rental may still bring.
func (r *rental) comingMachines() int {
	if r.granted {
		return len(r.pendingMachines)
	}
	return r.request.Count
}

// rentals are the rental requests under way. Each has a name of its own that is never used again, and is
// idempotent: without a clear answer it is repeated, unchanged, until the cloud grants or refuses it.
type rentals struct {
	*environment
	cloud     *cloudClient
	onGranted func(machines []string) // runs when the cloud has granted a rental

	underWay  map[string]*rental // by name
	begun     int                // ever, by this process; the number is part of the name
	notBefore map[offer]units.Micros
}

func newRentals(env *environment, client *cloudClient, onGranted func(machines []string)) *rentals {
	return &rentals{
		environment: env, cloud: client, onGranted: onGranted,
		underWay: map[string]*rental{}, notBefore: map[offer]units.Micros{},
	}
}

// forgetAll forgets the rentals under way. Their names stay used.
func (r *rentals) forgetAll() { r.underWay = map[string]*rental{} }

// names lists the rentals under way in a fixed order.
func (r *rentals) names() []string { return slices.Sorted(maps.Keys(r.underWay)) }

// available reports whether an offer may be asked for.
func (r *rentals) available(wanted offer) bool { return r.now >= r.notBefore[wanted] }

// newName is a name that no other rental has: incarnations are unique among all processes that ever run.
func (r *rentals) newName(incarnation string) string {
	r.begun++
	return "r-" + incarnation + "-" + strconv.Itoa(r.begun)
}

// begin sends a new rental.
func (r *rentals) begin(request cloud.RentalRequest) {
	started := &rental{request: request}
	r.underWay[request.Name] = started
	r.send(started)
}

// send sends a rental, always under its own name.
func (r *rentals) send(sent *rental) {
	sent.inFlight = true
	r.cloud.call(CloudCall{Op: CloudRent, Rental: sent.request}, func(result CloudResult) { r.handleResult(sent, result) })
}

func (r *rentals) handleResult(sent *rental, result CloudResult) {
	request := &sent.request
	switch result.Status {
	case cloud.StatusOK:
		r.grant(sent, result.Machines.Names)
	case cloud.StatusRefused:
		r.log.Debug("rental refused", "request", request.Name, "type", request.Type, "zone", request.Zone, "spot", request.Spot)
		r.pauseOffer(sent.offer())
		delete(r.underWay, request.Name)
	case cloud.StatusUnknown:
		sent.inFlight = false // it may have been carried out: the next round repeats it
	}
}

// grant notes which machines a rental brings. Fewer than were asked for are all that the cloud has.
func (r *rentals) grant(granted *rental, machines []string) {
	request := &granted.request
	granted.granted, granted.grantedAt = true, r.now
	granted.pendingMachines = map[string]bool{}
	for _, name := range machines {
		granted.pendingMachines[name] = true
	}
	r.onGranted(machines)
	r.log.Info("machines rented", "request", request.Name, "type", request.Type, "zone", request.Zone, "spot", request.Spot, "machines", machines)
	if len(machines) < request.Count {
		r.pauseOffer(granted.offer())
	}
}

func (r *rentals) pauseOffer(refused offer) { r.notBefore[refused] = r.now + refusedOfferPause }

// settle repeats rentals without a clear answer, and forgets those whose machines have registered or are
// overdue.
func (r *rentals) settle(replica *replica, catalog *catalog) {
	for _, name := range r.names() {
		each := r.underWay[name]
		if !each.granted {
			if !each.inFlight {
				r.send(each)
			}
			continue
		}
		maps.DeleteFunc(each.pendingMachines, func(machine string, _ bool) bool { return replica.machines[machine] != nil })
		if len(each.pendingMachines) == 0 || r.overdue(each, catalog) {
			delete(r.underWay, name)
		}
	}
}

func (r *rentals) overdue(granted *rental, catalog *catalog) bool {
	machineType := catalog.machineType(granted.request.Type)
	return machineType != nil && r.now-granted.grantedAt > units.FromSeconds(machineType.BootSeconds*rentalBootFactor+rentalMarginSeconds)
}

// pending reports whether a machine has been granted and has not registered.
func (r *rentals) pending(machine string) bool {
	for _, each := range r.underWay {
		if each.pendingMachines[machine] {
			return true
		}
	}
	return false
}

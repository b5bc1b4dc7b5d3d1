package controller

import (
	"maps"
	"slices"
	"strconv"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// refusedOfferPause is how long an offer is not requested again after the cloud had too few machines of
// it.
const refusedOfferPause = 15 * units.Second

// A rental is dropped when its machines have not all registered within this multiple of the type's boot
// time plus a margin. The machine list then shows what became of them.
const (
	rentalBootFactor    = 2.5
	rentalMarginSeconds = 10
)

// offer is what a rental request can ask for: a machine type in a zone, on demand or as spot instances.
type offer struct {
	machineType string
	zone        string
	spot        bool
}

// rental is an outstanding rental request: its outcome is unknown, or it was granted and some of its
// machines have not registered.
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

// upcomingMachines returns how many machines the rental may still add.
func (r *rental) upcomingMachines() int {
	if r.granted {
		return len(r.pendingMachines)
	}
	return r.request.Count
}

// rentals holds the outstanding rental requests. The name of a request is never reused and makes the
// request idempotent: without a clear answer it is repeated, unchanged, until the cloud grants or refuses
// it.
type rentals struct {
	*environment
	cloud     *cloudClient
	onGranted func(machines []string) // called with the machine names when the cloud has granted a rental

	outstanding map[string]*rental     // by name
	namesIssued int                    // by this process; the number is part of the name
	notBefore   map[offer]units.Micros // earliest time at which an offer may be requested again
}

func newRentals(env *environment, client *cloudClient, onGranted func(machines []string)) *rentals {
	return &rentals{
		environment: env, cloud: client, onGranted: onGranted,
		outstanding: map[string]*rental{}, notBefore: map[offer]units.Micros{},
	}
}

// forgetAll discards the outstanding rentals. Their names are still not reused.
func (r *rentals) forgetAll() { r.outstanding = map[string]*rental{} }

// names returns the sorted names of the outstanding rentals.
func (r *rentals) names() []string { return slices.Sorted(maps.Keys(r.outstanding)) }

// available reports whether an offer may be requested now.
func (r *rentals) available(wanted offer) bool { return r.now >= r.notBefore[wanted] }

// newName returns a name that no other rental has: incarnations are unique among all processes that ever
// run.
func (r *rentals) newName(incarnation string) string {
	r.namesIssued++
	return "r-" + incarnation + "-" + strconv.Itoa(r.namesIssued)
}

// begin records a new rental and sends its request.
func (r *rentals) begin(request cloud.RentalRequest) {
	started := &rental{request: request}
	r.outstanding[request.Name] = started
	r.send(started)
}

// send sends the request of a rental, always under the same name.
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
		delete(r.outstanding, request.Name)
	case cloud.StatusUnknown:
		sent.inFlight = false // it may have been executed: the next round repeats it
	}
}

// grant records the machines that the cloud granted to a rental. If they are fewer than requested, the
// cloud has no more of the offer.
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

// reconcile repeats rentals whose outcome is unknown, and drops rentals whose machines have all
// registered or are overdue.
func (r *rentals) reconcile(replica *replica, catalog *catalog) {
	for _, name := range r.names() {
		each := r.outstanding[name]
		if !each.granted {
			if !each.inFlight {
				r.send(each)
			}
			continue
		}
		maps.DeleteFunc(each.pendingMachines, func(machine string, _ bool) bool { return replica.machines[machine] != nil })
		if len(each.pendingMachines) == 0 || r.overdue(each, catalog) {
			delete(r.outstanding, name)
		}
	}
}

func (r *rentals) overdue(granted *rental, catalog *catalog) bool {
	machineType := catalog.machineType(granted.request.Type)
	return machineType != nil && r.now-granted.grantedAt > units.FromSeconds(machineType.BootSeconds*rentalBootFactor+rentalMarginSeconds)
}

// pending reports whether a machine was granted by an outstanding rental and has not registered.
func (r *rentals) pending(machine string) bool {
	for _, each := range r.outstanding {
		if each.pendingMachines[machine] {
			return true
		}
	}
	return false
}

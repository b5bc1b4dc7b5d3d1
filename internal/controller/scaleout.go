package controller

import (
	"math"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Limits of renting.
const (
	minRentalCalls       = 2  // rental requests a second, however few calls are allowed: that many are, for a while
	rentalCallsDivisor   = 2  // the part of the calls allowed a second that rentals may take
	maxMachinesPerRental = 50 // machines that one request may ask for
	maxFleetShareDivisor = 8  // a request asks for at most this part of the fleet, so that one price or one zone does not take all
	rentalRounds         = 4  // and, when that is more, at most this part of what is lacking in one second
	maxRentalsPending    = 40 // requests not yet answered, or whose machines have not registered yet
)

// What a new leader waits for before it rents: its predecessor's machines appear in the list within so
// many times the list's lag, and a margin.
const (
	handoverLagFactor = 2
	handoverMargin    = 2 * units.Second
)

// firstLeaderWithin is how soon after the start of its process a leader must lead to be taken for the first
// of all: nobody has rented before it.
const firstLeaderWithin = 3 * units.Second

// unmetCapacity is the CPUs that waiting tasks lack.
type unmetCapacity struct {
	onDemandOnly float64 // of jobs that may not use spot instances
	spotAllowed  float64 // of the others
}

// scaleOut asks for machines for the tasks that no machine has capacity for, in several requests a round
// when much is lacking, each for the offer that is best then.
func (a *autoscaler) scaleOut(unmet []unmetDemand) {
	if !a.knowsFleet() {
		return
	}
	lacking := a.capacityLacking(unmet)
	permitted := int(a.cfg.Settings.Cloud.RPS / rentalCallsDivisor)
	for calls := max(minRentalCalls, permitted); calls > 0 && len(a.rentals.underWay) < maxRentalsPending; calls-- {
		best, cpus := a.chooseOffer(unmet, &lacking)
		if best == nil {
			return
		}
		a.rent(*best, cpus, permitted)
	}
}

// knowsFleet reports whether this process can tell what its predecessor rented, and has seen a list:
// machines that are up and have not registered yet are seen there only.
func (a *autoscaler) knowsFleet() bool {
	settled := units.FromSeconds(handoverLagFactor*a.cfg.Settings.Cloud.ListLagS) + handoverMargin
	first := a.rentsSince <= firstLeaderWithin || len(a.replica.machines) == 0
	return (first || a.now-a.rentsSince >= settled) && a.machineList.askedAt > 0
}

// chooseOffer is the best offer for what is lacking, nil if there is none, and the kind of CPUs that it is
// for.
func (a *autoscaler) chooseOffer(unmet []unmetDemand, lacking *unmetCapacity) (best *offer, cpus *float64) {
	if lacking.onDemandOnly > 0 {
		if best = a.bestOffer(unmet, false); best != nil {
			return best, &lacking.onDemandOnly
		}
	}
	if lacking.spotAllowed > 0 {
		return a.bestOffer(unmet, true), &lacking.spotAllowed
	}
	return nil, nil
}

// rent asks for machines of an offer and takes them off the CPUs that are lacking. Where few calls are
// allowed each asks for more, so that a fleet that is wanted at once comes at once.
func (a *autoscaler) rent(wanted offer, lackingCPUs *float64, permitted int) {
	cpus := a.catalog.machineType(wanted.machineType).CPUs
	machines := int(math.Ceil(*lackingCPUs / cpus))
	perRequest := max(a.policy.MaxLaunchBatch, len(a.replica.machines)/maxFleetShareDivisor, machines/(rentalRounds*max(1, permitted)))
	request := cloud.RentalRequest{
		Name: a.rentals.newName(a.leadership.currentIncarnation()),
		Type: wanted.machineType, Zone: wanted.zone, Spot: wanted.spot,
		Count: min(machines, maxMachinesPerRental, perRequest),
	}
	a.log.Info("renting machines", "request", request.Name, "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count, "unmet_cpus", *lackingCPUs)
	*lackingCPUs -= float64(request.Count) * cpus
	a.rentals.begin(request)
}

// capacityLacking is what neither free capacity nor a coming machine can take.
func (a *autoscaler) capacityLacking(unmet []unmetDemand) unmetCapacity {
	var lacking unmetCapacity
	for _, demand := range unmet {
		cpus := float64(demand.tasks) * demand.job.spec.CPUs
		if a.mayUseSpot(demand.job) {
			lacking.spotAllowed += cpus
		} else {
			lacking.onDemandOnly += cpus
		}
	}
	// Tasks that may use spot instances and run on other machines give way to those that may not: it is
	// capacity for the former that is lacking then.
	displaced := 0.0
	if a.policy.UseSpot {
		displaced = min(lacking.onDemandOnly, a.displaceableCPUs())
	}
	lacking.onDemandOnly -= displaced
	lacking.spotAllowed += displaced
	lacking.spotAllowed -= a.cpusEndingSoon()
	onDemand, spot := a.comingCPUs()
	lacking.spotAllowed -= spot
	lacking.onDemandOnly -= onDemand
	if lacking.onDemandOnly < 0 { // what is left of on-demand machines serves the others
		lacking.spotAllowed += lacking.onDemandOnly
		lacking.onDemandOnly = 0
	}
	lacking.spotAllowed = max(0, lacking.spotAllowed)
	return lacking
}

func (a *autoscaler) mayUseSpot(j *job) bool { return j.spec.Spot && a.policy.UseSpot }

// displaceableCPUs is what tasks use on on-demand machines that could as well run on spot instances.
func (a *autoscaler) displaceableCPUs() float64 {
	sum := 0.0
	for _, m := range a.replica.sortedMachines() {
		if m.doc.Spot || m.doc.Decommissioned {
			continue
		}
		for _, task := range m.doc.Tasks {
			if j := a.replica.unstoredJobOf(task); j != nil && j.spec.Spot && !j.spec.Service {
				sum += j.spec.CPUs
			}
		}
	}
	return sum
}

// cpusEndingSoon is what array tasks use that are expected to end before a machine rented now would be up:
// for tasks that wait for so little nothing need be rented.
func (a *autoscaler) cpusEndingSoon() float64 {
	boot := a.catalog.shortestBootSeconds()
	sum := 0.0
	for _, j := range a.replica.sortedJobs() {
		if j.spec.Service || j.cancelled() {
			continue
		}
		average, _ := j.average()
		if average == 0 {
			average = defaultTaskTime
		}
		sum += float64(j.active()) * j.spec.CPUs * min(1, boot/average.Seconds())
	}
	return sum
}

// comingCPUs is the capacity of machines that are rented or listed and have not registered yet.
func (a *autoscaler) comingCPUs() (onDemand, spot float64) {
	add := func(machineType string, isSpot bool, machines int) {
		t := a.catalog.machineType(machineType)
		switch {
		case t == nil:
		case isSpot:
			spot += t.CPUs * float64(machines)
		default:
			onDemand += t.CPUs * float64(machines)
		}
	}
	for _, name := range a.rentals.names() {
		each := a.rentals.underWay[name]
		add(each.request.Type, each.request.Spot, each.comingMachines())
	}
	for _, name := range a.machineList.names { // rented by a predecessor, or there from the start
		listed, ok := a.machineList.machines[name]
		if ok && listed.State != cloud.Failed && !a.strays.has(name) && !a.replica.everSeen[name] && !a.rentals.pending(name) {
			add(listed.Type, listed.Spot, 1)
		}
	}
	return onDemand, spot
}

// recordFirstRented notes in the store, once and for all, the first machine that was rented: those before
// it were there from the start, and services are placed there first.
func (a *autoscaler) recordFirstRented(machines []string) {
	if a.replica.firstRented != nil || len(machines) == 0 {
		return
	}
	first := schema.FirstMachine{Name: slices.Min(machines), WriteTag: a.commits.newWriteTag()}
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: schema.FirstMachineKey}},
		Operations: []kv.Operation{{Set: schema.FirstMachineKey, Value: encode(first)}},
	}
	// A commit that fails is not repeated: the next rental's tries again.
	a.commits.commit(txn, first.WriteTag, func(commitResult) {})
}

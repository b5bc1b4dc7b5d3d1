package controller

import (
	"math"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Limits on renting.
const (
	minRentalCalls       = 2  // rental requests a second, even if the cloud's rate limit is lower: the cloud tolerates that many for a while
	rentalCallsDivisor   = 2  // rental requests may use 1/2 of the requests a second that the cloud permits
	maxMachinesPerRental = 50 // machines in one request
	maxFleetShareDivisor = 8  // a request asks for at most 1/8 of the fleet, so that one price or one zone does not get all machines
	rentalRounds         = 4  // or, if that is more, for at most 1/4 of the shortfall, divided by the requests permitted in one second
	maxRentalsPending    = 40 // requests that are unanswered, or whose machines have not all registered yet
)

// A new leader rents only after this multiple of the machine list's lag, plus a margin: by then the
// machines that its predecessor rented appear in the list.
const (
	handoverLagFactor = 2
	handoverMargin    = 2 * units.Second
)

// firstLeaderWithin is how soon after the start of its process a leader must take over renting to count as
// the first leader ever, which has no predecessor that may have rented machines.
const firstLeaderWithin = 3 * units.Second

// unmetCapacity is the number of CPUs that waiting tasks need beyond the existing capacity.
type unmetCapacity struct {
	onDemandOnly float64 // for jobs that may not use spot instances
	spotAllowed  float64 // for all other jobs
}

// scaleOut rents machines for the tasks that no machine has capacity for. If much capacity is missing it
// sends several requests a round, each for the offer that is best at that point.
func (a *autoscaler) scaleOut(unmet []unmetDemand) {
	if !a.knowsFleet() {
		return
	}
	shortfall := a.capacityShortfall(unmet)
	permitted := int(a.cfg.Settings.Cloud.RPS / rentalCallsDivisor)
	for calls := max(minRentalCalls, permitted); calls > 0 && len(a.rentals.outstanding) < maxRentalsPending; calls-- {
		best, cpus := a.chooseOffer(unmet, &shortfall)
		if best == nil {
			return
		}
		a.rent(*best, cpus, permitted)
	}
}

// knowsFleet reports whether this process can tell what its predecessor rented and has read a machine
// list: only the list shows machines that are up and have not registered yet.
func (a *autoscaler) knowsFleet() bool {
	handoverDelay := units.FromSeconds(handoverLagFactor*a.cfg.Settings.Cloud.ListLagS) + handoverMargin
	firstLeader := a.rentsSince <= firstLeaderWithin || len(a.replica.machines) == 0
	return (firstLeader || a.now-a.rentsSince >= handoverDelay) && a.machineList.requestedAt > 0
}

// chooseOffer returns the best offer for the shortfall, nil if there is none, and the part of the
// shortfall that the offer is meant for.
func (a *autoscaler) chooseOffer(unmet []unmetDemand, shortfall *unmetCapacity) (best *offer, cpus *float64) {
	if shortfall.onDemandOnly > 0 {
		if best = a.bestOffer(unmet, false); best != nil {
			return best, &shortfall.onDemandOnly
		}
	}
	if shortfall.spotAllowed > 0 {
		return a.bestOffer(unmet, true), &shortfall.spotAllowed
	}
	return nil, nil
}

// rent requests machines of an offer and subtracts their CPUs from the shortfall. If few requests are
// permitted, each asks for more machines, so that a large shortfall does not take many rounds to cover.
func (a *autoscaler) rent(wanted offer, shortfallCPUs *float64, permitted int) {
	cpus := a.catalog.machineType(wanted.machineType).CPUs
	machines := int(math.Ceil(*shortfallCPUs / cpus))
	perRequest := max(a.policy.MaxLaunchBatch, len(a.replica.machines)/maxFleetShareDivisor, machines/(rentalRounds*max(1, permitted)))
	request := cloud.RentalRequest{
		Name: a.rentals.newName(a.leadership.currentIncarnation()),
		Type: wanted.machineType, Zone: wanted.zone, Spot: wanted.spot,
		Count: min(machines, maxMachinesPerRental, perRequest),
	}
	a.log.Info("renting machines", "request", request.Name, "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count, "unmet_cpus", *shortfallCPUs)
	*shortfallCPUs -= float64(request.Count) * cpus
	a.rentals.begin(request)
}

// capacityShortfall returns the demand that neither free capacity nor upcoming machines can serve.
func (a *autoscaler) capacityShortfall(unmet []unmetDemand) unmetCapacity {
	var shortfall unmetCapacity
	for _, demand := range unmet {
		cpus := float64(demand.tasks) * demand.job.spec.CPUs
		if a.mayUseSpot(demand.job) {
			shortfall.spotAllowed += cpus
		} else {
			shortfall.onDemandOnly += cpus
		}
	}
	// Tasks that may use spot instances but run on on-demand machines give way to tasks that may not. What
	// is missing then is capacity for the displaced tasks, which spot instances can provide.
	displaced := 0.0
	if a.policy.UseSpot {
		displaced = min(shortfall.onDemandOnly, a.displaceableCPUs())
	}
	shortfall.onDemandOnly -= displaced
	shortfall.spotAllowed += displaced
	shortfall.spotAllowed -= a.cpusEndingSoon()
	onDemand, spot := a.upcomingCPUs()
	shortfall.spotAllowed -= spot
	shortfall.onDemandOnly -= onDemand
	if shortfall.onDemandOnly < 0 { // surplus upcoming on-demand CPUs serve the jobs that may use spot instances
		shortfall.spotAllowed += shortfall.onDemandOnly
		shortfall.onDemandOnly = 0
	}
	shortfall.spotAllowed = max(0, shortfall.spotAllowed)
	return shortfall
}

func (a *autoscaler) mayUseSpot(j *job) bool { return j.spec.Spot && a.policy.UseSpot }

// displaceableCPUs returns the CPUs of on-demand machines that are used by array tasks which could also
// run on spot instances.
func (a *autoscaler) displaceableCPUs() float64 {
	sum := 0.0
	for _, m := range a.replica.sortedMachines() {
		if m.doc.Spot || m.doc.Decommissioned {
			continue
		}
		for _, task := range m.doc.Tasks {
			if j := a.replica.jobOfUnstoredTask(task); j != nil && j.spec.Spot && !j.spec.Service {
				sum += j.spec.CPUs
			}
		}
	}
	return sum
}

// cpusEndingSoon estimates the CPUs of array tasks that will end before a machine rented now would be up.
// Waiting tasks that fit into these CPUs need no rented machine.
func (a *autoscaler) cpusEndingSoon() float64 {
	bootSeconds := a.catalog.shortestBootSeconds()
	sum := 0.0
	for _, j := range a.replica.sortedJobs() {
		if j.spec.Service || j.cancelled() {
			continue
		}
		average, _ := j.average()
		if average == 0 {
			average = defaultTaskTime
		}
		sum += float64(j.active()) * j.spec.CPUs * min(1, bootSeconds/average.Seconds())
	}
	return sum
}

// upcomingCPUs returns the CPUs of machines that are rented or listed and have not registered yet.
func (a *autoscaler) upcomingCPUs() (onDemand, spot float64) {
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
		each := a.rentals.outstanding[name]
		add(each.request.Type, each.request.Spot, each.upcomingMachines())
	}
	for _, name := range a.machineList.names { // rented by a predecessor, or present from the start
		listed, ok := a.machineList.machines[name]
		if ok && listed.State != cloud.Failed && !a.unregisteredMachines.has(name) && !a.replica.everSeen[name] && !a.rentals.pending(name) {
			add(listed.Type, listed.Spot, 1)
		}
	}
	return onDemand, spot
}

// recordFirstRented stores, only once, the name of the first machine that was rented. Machines whose names
// sort before it were present from the start, and services are placed there first.
func (a *autoscaler) recordFirstRented(machines []string) {
	if a.replica.firstRented != nil || len(machines) == 0 {
		return
	}
	first := schema.FirstMachine{Name: slices.Min(machines), WriteTag: a.commits.newWriteTag()}
	txn := &kv.Txn{
		Conditions: []kv.Condition{{Key: schema.FirstMachineKey}},
		Operations: []kv.Operation{{Set: schema.FirstMachineKey, Value: encode(first)}},
	}
	// A failed commit is not retried: the next granted rental tries again.
	a.commits.commit(txn, first.WriteTag, func(commitResult) {})
}

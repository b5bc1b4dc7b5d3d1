package controller

import (
	"math"
	"slices"

	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/cloud"
)

// Cost factors that an offer's price does not include.
const (
	spotRiskFactor       = 1.3   // a spot instance may be reclaimed
	rentalHorizonSeconds = 300.0 // approximate time for which a rented machine is kept
	imagesAfterBoot      = 3     // images that a new machine fetches before it has the most requested ones
)

// offerSearch looks for the offer with the cheapest CPUs, either for the waiting jobs that may use spot
// instances (if spotJobs) or for the other waiting jobs.
type offerSearch struct {
	autoscaler *autoscaler
	unmet      []unmetDemand
	spotJobs   bool
	imageGB    float64 // average image size of the waiting tasks

	best     *offer
	bestCost float64
}

// bestOffer returns the cheapest offer that a waiting job may use, nil if there is none. Among equally
// cheap offers the first in the catalog is chosen.
func (a *autoscaler) bestOffer(unmet []unmetDemand, spotJobs bool) *offer {
	search := &offerSearch{
		autoscaler: a, unmet: unmet, spotJobs: spotJobs,
		imageGB: averageImageGB(unmet, spotJobs), bestCost: math.Inf(1),
	}
	for i := range a.catalog.types {
		machineType := &a.catalog.types[i]
		for _, zone := range machineType.Zones {
			search.considerZone(machineType, zone)
		}
	}
	return search.best
}

// considerZone considers the offers of a machine type in a zone. None is considered in a zone that is
// suspected to be partitioned.
func (s *offerSearch) considerZone(machineType *cloud.MachineType, zone string) {
	if s.autoscaler.fleet.suspects(zone) || !s.autoscaler.demandFits(s.unmet, machineType, zone, s.spotJobs) {
		return
	}
	s.consider(machineType, offer{machineType.Name, zone, false})
	if s.spotJobs {
		s.consider(machineType, offer{machineType.Name, zone, true})
	}
}

func (s *offerSearch) consider(machineType *cloud.MachineType, candidate offer) {
	if !s.autoscaler.rentals.available(candidate) {
		return
	}
	cost := machineType.HourlyRate(candidate.spot) / machineType.CPUs * startupOverhead(machineType, s.imageGB)
	if candidate.spot {
		cost *= spotRiskFactor
	}
	if cost < s.bestCost {
		s.bestCost, s.best = cost, &candidate
	}
}

// demandFits reports whether a waiting job may use a machine of the type in the zone.
func (a *autoscaler) demandFits(unmet []unmetDemand, machineType *cloud.MachineType, zone string, spotJobs bool) bool {
	return slices.ContainsFunc(unmet, func(demand unmetDemand) bool {
		spec := &demand.job.spec
		return a.mayUseSpot(demand.job) == spotJobs && api.TaskFits(spec, machineType) &&
			(spec.Zone == "" || spec.Zone == zone) &&
			(!spec.Spread && !spec.OneZone || zoneAllowed(demand.job, zone))
	})
}

// startupOverhead returns the factor by which a machine costs more than its price, because it is paid for
// while it boots and fetches its first images.
func startupOverhead(machineType *cloud.MachineType, imageGB float64) float64 {
	fetchSeconds := 0.0
	if machineType.FetchGBPerSecond > 0 {
		fetchSeconds = imagesAfterBoot * imageGB / machineType.FetchGBPerSecond
	}
	return 1 + (machineType.BootSeconds+fetchSeconds)/rentalHorizonSeconds
}

// averageImageGB returns the average image size of the waiting tasks: of jobs that allow spot instances if
// spotJobs, else of the other jobs.
func averageImageGB(unmet []unmetDemand, spotJobs bool) float64 {
	sum, tasks := 0.0, 0.0
	for _, demand := range unmet {
		if demand.job.spec.Spot == spotJobs {
			sum += demand.job.spec.ImageGB * float64(demand.tasks)
			tasks += float64(demand.tasks)
		}
	}
	return sum / max(tasks, 1)
}

package simulator

import (
	"fmt"
	"maps"
	"sort"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

const (
	cloudTimeout          = 5 * units.Second
	snapshotPeriod        = units.Second
	keptSnapshots         = 60
	listLag               = 8 * units.Second  // age of the list of machines that is returned
	staleListRate         = 0.1               // probability that the list is twice as old
	failureDetectionDelay = 30 * units.Second // from a crash until the machine counts as failed
	maxRentalCount        = 50                // machines in one rental
)

// fakeCloud rents out machines. The list of machines that it returns is some seconds old.
type fakeCloud struct {
	world        *World
	machineTypes []cloud.MachineType
	available    map[offer]int       // machines that can still be rented
	rentals      map[string][]string // machine names by rental name: a repeated request gets the same machines
	machines     map[string]*machine
	nextMachine  int
	snapshots    []snapshot // the last keptSnapshots
	down         bool

	bootFactor      float64 // factor by which booting takes longer
	bootFailureRate float64 // probability that a machine never boots
}

type machine struct {
	listed    cloud.ListedMachine
	createdAt units.Micros
}

// snapshot is the list of machines at some time.
type snapshot struct {
	at       units.Micros
	machines []cloud.ListedMachine
}

func newCloud(w *World, options *worldOptions) *fakeCloud {
	c := &fakeCloud{
		world:           w,
		machineTypes:    options.machineTypes,
		available:       maps.Clone(options.offers),
		rentals:         map[string][]string{},
		machines:        map[string]*machine{},
		bootFactor:      options.bootFactor,
		bootFailureRate: options.bootFailureRate,
	}
	w.every(snapshotPeriod, c.recordSnapshot)
	return c
}

// startOutage makes the cloud refuse all requests for a duration.
func (c *fakeCloud) startOutage(duration units.Micros) {
	c.down = true
	c.world.after(duration, func() { c.down = false })
}

func (c *fakeCloud) machineType(name string) *cloud.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return nil
}

// recordSnapshot records the present list of machines, which staleList returns later.
func (c *fakeCloud) recordSnapshot() {
	taken := snapshot{at: c.world.now}
	for _, current := range c.machines {
		listed := current.listed
		listed.AgeSeconds = (c.world.now - current.createdAt).Seconds()
		taken.machines = append(taken.machines, listed)
	}
	sort.Slice(taken.machines, func(i, j int) bool { return taken.machines[i].Name < taken.machines[j].Name })
	c.snapshots = append(c.snapshots, taken)
	if len(c.snapshots) > keptSnapshots {
		c.snapshots = c.snapshots[1:]
	}
}

// call sends a controller's request to the cloud over the network.
func (c *fakeCloud) call(caller string, request controller.CloudCall, done func(controller.CloudResult)) {
	call(c.world, caller, cloudHost, cloudTimeout, func(answer func(controller.CloudResult)) {
		answer(c.serve(&request))
		if request.Op == controller.CloudRent || request.Op == controller.CloudDelete {
			c.world.repeatLater(c.world.network.apiRepeatRate, caller, cloudHost, func() { c.serve(&request) })
		}
	}, func(result controller.CloudResult, ok bool) {
		if !ok {
			result = controller.CloudResult{}
		}
		result.CallID = request.CallID
		done(result)
	})
}

func (c *fakeCloud) serve(request *controller.CloudCall) controller.CloudResult {
	if c.down {
		return controller.CloudResult{Status: cloud.StatusRefused}
	}
	result := controller.CloudResult{Status: cloud.StatusOK}
	switch request.Op {
	case controller.CloudCatalog:
		result.Catalog.Types = c.machineTypes
	case controller.CloudRent:
		result.Machines.Names, result.Status = c.rent(request.Rental)
	case controller.CloudDelete:
		for _, name := range request.Machines.Names {
			c.remove(name)
		}
	case controller.CloudList:
		result.Page.Machines = c.staleList()
	}
	return result
}

// staleList returns the list of machines as it was listLag ago, or twice as long ago.
func (c *fakeCloud) staleList() []cloud.ListedMachine {
	at := c.world.now - listLag
	if c.world.rng.Float64() < staleListRate {
		at -= listLag
	}
	var visible snapshot
	for _, taken := range c.snapshots {
		if taken.at <= at {
			visible = taken
		}
	}
	return visible.machines
}

// rent creates the requested machines, or as many of them as are available.
func (c *fakeCloud) rent(request cloud.RentalRequest) (names []string, status cloud.Status) {
	if names, ok := c.rentals[request.Name]; ok {
		return names, cloud.StatusOK
	}
	machineType := c.machineType(request.Type)
	if machineType == nil || request.Count < 1 || request.Count > maxRentalCount {
		return nil, cloud.StatusRefused
	}
	wanted := offer{request.Type, request.Zone, request.Spot}
	count := min(request.Count, c.available[wanted])
	if count == 0 {
		return nil, cloud.StatusRefused
	}
	c.available[wanted] -= count
	for range count {
		name := c.create(wanted)
		names = append(names, name)
		c.boot(name, machineType)
	}
	c.rentals[request.Name] = names
	return names, cloud.StatusOK
}

// create adds a machine, which has not booted yet, to the list and returns its name.
func (c *fakeCloud) create(kind offer) string {
	name := fmt.Sprintf("n-%06d", c.nextMachine)
	c.nextMachine++
	listed := cloud.ListedMachine{Name: name, Addr: name + ":9000", Type: kind.machineType, Zone: kind.zone, Spot: kind.spot, State: cloud.Starting}
	c.machines[name] = &machine{listed: listed, createdAt: c.world.now}
	return name
}

// boot schedules the end of a machine's boot; if the boot fails, it never comes.
func (c *fakeCloud) boot(name string, machineType *cloud.MachineType) {
	if c.world.rng.Float64() < c.bootFailureRate {
		return
	}
	duration := units.FromSeconds(machineType.BootSeconds * (0.6 + 0.9*c.world.rng.Float64()) * c.bootFactor)
	c.world.after(duration, func() { c.bootCompleted(name) })
}

// bootCompleted marks a machine as running and starts its agent, unless the machine has been removed.
func (c *fakeCloud) bootCompleted(name string) {
	booted := c.machines[name]
	if booted == nil {
		return
	}
	booted.listed.State = cloud.Running
	c.world.addWorker(name, booted.listed, c.machineType(booted.listed.Type))
}

// remove deletes a machine and all its tasks immediately.
func (c *fakeCloud) remove(name string) {
	if removed := c.machines[name]; removed != nil {
		c.available[offer{removed.listed.Type, removed.listed.Zone, removed.listed.Spot}]++
		delete(c.machines, name)
	}
	c.world.removeWorker(name)
}

// crash stops a machine. Its state becomes failed after failureDetectionDelay, and the list, which lags
// behind, shows that later still.
func (c *fakeCloud) crash(name string) {
	c.world.removeWorker(name)
	c.world.after(failureDetectionDelay, func() {
		if crashed := c.machines[name]; crashed != nil {
			crashed.listed.State = cloud.Failed
		}
	})
}

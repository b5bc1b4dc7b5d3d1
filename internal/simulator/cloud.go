package simulator

import (
	"fmt"
	"sort"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

// cloud rents machines.
type fakeCloud struct {
	world           *World
	machineTypes    []cloud.MachineType
	available       map[string]int // offers: type/zone/spot -> machines still to be had
	scaleOuts       map[string][]string
	machines        map[string]*machine
	nextMachine     int
	down            bool
	snapshots       []snapshot
	listDelay       units.Micros
	bootFactor      float64 // how many times longer machines take to come up
	bootFailureRate float64 // chance that a machine never comes up
}

type machine struct {
	listed    cloud.ListedMachine
	createdAt units.Micros
}

type snapshot struct {
	at       units.Micros
	machines []cloud.ListedMachine
}

func newCloud(w *World) *fakeCloud {
	c := &fakeCloud{world: w, available: map[string]int{}, scaleOuts: map[string][]string{}, machines: map[string]*machine{}, listDelay: 8 * units.Second, bootFactor: 1}
	w.every(units.Second, c.recordSnapshot)
	return c
}

func offerKey(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", typ, zone, spot) }

func (c *fakeCloud) machineType(name string) *cloud.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return nil
}

// recordSnapshot remembers the list, which is shown late.
func (c *fakeCloud) recordSnapshot() {
	taken := snapshot{at: c.world.now}
	for _, current := range c.machines {
		listed := current.listed
		listed.AgeSeconds = (c.world.now - current.createdAt).Seconds()
		taken.machines = append(taken.machines, listed)
	}
	sort.Slice(taken.machines, func(a, b int) bool { return taken.machines[a].Name < taken.machines[b].Name })
	c.snapshots = append(c.snapshots, taken)
	if len(c.snapshots) > 60 {
		c.snapshots = c.snapshots[1:]
	}
}

func (c *fakeCloud) call(caller string, request controller.CloudCall, done func(controller.CloudResult)) {
	call(c.world, caller, "cloud", 5*units.Second, func(answer func(controller.CloudResult)) {
		result := controller.CloudResult{Status: cloud.StatusOK}
		if c.down {
			result.Status = cloud.StatusRefused
			answer(result)
			return
		}
		switch request.Op {
		case controller.CloudCatalog:
			result.Catalog.Types = c.machineTypes
		case controller.CloudRent:
			result.Machines.Names, result.Status = c.scaleOut(request.Rental)
		case controller.CloudDelete:
			for _, name := range request.Machines.Names {
				c.remove(name)
			}
		case controller.CloudList:
			at := c.world.now - c.listDelay
			if c.world.rng.Float64() < 0.1 {
				at -= c.listDelay
			}
			var shown snapshot
			for _, taken := range c.snapshots {
				if taken.at <= at {
					shown = taken
				}
			}
			result.Page.Machines = shown.machines
		}
		answer(result)
	}, func(result controller.CloudResult, ok bool) {
		if !ok {
			result = controller.CloudResult{}
		}
		result.CallID = request.CallID
		done(result)
	})
}

func (c *fakeCloud) scaleOut(request cloud.RentalRequest) ([]string, cloud.Status) {
	if names, ok := c.scaleOuts[request.Name]; ok {
		return names, cloud.StatusOK
	}
	key := offerKey(request.Type, request.Zone, request.Spot)
	count := min(request.Count, c.available[key])
	machineType := c.machineType(request.Type)
	if machineType == nil || request.Count < 1 || request.Count > 50 {
		return nil, cloud.StatusRefused
	}
	if count == 0 {
		return nil, cloud.StatusRefused
	}
	c.available[key] -= count
	var names []string
	for range count {
		name := c.create(request.Type, request.Zone, request.Spot)
		names = append(names, name)
		if c.world.rng.Float64() < c.bootFailureRate {
			continue
		}
		boot := units.FromSeconds(machineType.BootSeconds * (0.6 + 0.9*c.world.rng.Float64()) * c.bootFactor)
		c.world.after(boot, func() { c.bootCompleted(name) })
	}
	c.scaleOuts[request.Name] = names
	return names, cloud.StatusOK
}

func (c *fakeCloud) create(typ, zone string, spot bool) string {
	name := fmt.Sprintf("n-%06d", c.nextMachine)
	c.nextMachine++
	c.machines[name] = &machine{listed: cloud.ListedMachine{Name: name, Addr: name + ":9000", Type: typ, Zone: zone, Spot: spot, State: cloud.Starting}, createdAt: c.world.now}
	return name
}

func (c *fakeCloud) bootCompleted(name string) {
	listing := c.machines[name]
	if listing == nil {
		return
	}
	listing.listed.State = cloud.Running
	c.world.addWorker(name, listing.listed, c.machineType(listing.listed.Type))
}

// remove takes a machine away at once, with all that is on it.
func (c *fakeCloud) remove(name string) {
	if listing := c.machines[name]; listing != nil {
		c.available[offerKey(listing.listed.Type, listing.listed.Zone, listing.listed.Spot)]++
		delete(c.machines, name)
	}
	c.world.removeWorker(name)
}

// crash stops a machine; the list shows it as running for a while.
func (c *fakeCloud) crash(name string) {
	c.world.removeWorker(name)
	c.world.after(30*units.Second, func() {
		if listing := c.machines[name]; listing != nil {
			listing.listed.State = cloud.Failed
		}
	})
}

package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/cloud"
)

// The machine type and the zones of all runs.
const (
	machineType  = "big"
	machineCPUs  = 8
	machineMemGB = 32
)

var zones = []string{"north", "south"}

// teamLimits are the CPUs that each team may use; 0: any.
func teamLimits() map[string]float64 {
	return map[string]float64{"red": 40, "blue": 0, "green": 60}
}

// cloud rents machines.
type fakeCloud struct {
	world       *world
	server      *fasthttp.Server
	mu          sync.Mutex
	nextMachine int
	available   int // that can still be rented
	down        bool
	scaleOuts   map[string][]string
	machines    map[string]*machine
}

type machine struct {
	listed    cloud.ListedMachine
	createdAt time.Time
	worker    *fakeAgent
}

// scaleOutCapacity is how many machines may be rented beside those that are there at the start.
const scaleOutCapacity = 24

func newCloud(w *world) (*fakeCloud, error) {
	c := &fakeCloud{world: w, available: scaleOutCapacity, scaleOuts: map[string][]string{}, machines: map[string]*machine{}}
	c.server = &fasthttp.Server{Handler: c.handle, Logger: discardLogger{}}
	return c, serve(w, c.server, w.address(hostCloud, 8443))
}

func (c *fakeCloud) close() {
	_ = c.server.Shutdown()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range c.machines {
		if row.worker != nil {
			row.worker.remove()
		}
	}
}

func (c *fakeCloud) nextZone() string { return zones[c.nextMachine%len(zones)] }

// create makes a machine that is up after some time.
func (c *fakeCloud) create(kind, zone string, spot bool, boot time.Duration) (string, error) {
	name := fmt.Sprintf("n-%06d", c.nextMachine)
	row := &machine{createdAt: time.Now()}
	row.listed = cloud.ListedMachine{Name: name, Addr: c.world.address(hostWorker+c.nextMachine, 9000), Type: kind, Zone: zone, Spot: spot, State: cloud.Starting}
	c.nextMachine++
	c.machines[name] = row
	if boot == 0 {
		return name, c.bootCompleted(row)
	}
	c.world.after(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[name] == row {
			if err := c.bootCompleted(row); err != nil {
				c.world.events.add("machine %s does not start: %v", name, err)
			}
		}
	})
	return name, nil
}

func (c *fakeCloud) bootCompleted(row *machine) error {
	row.listed.State = cloud.Running
	c.world.checker.MachineStarted(row.listed.Name, row.listed.Zone)
	worker, err := newWorker(c.world, row.listed)
	row.worker = worker
	return err
}

// crash stops a machine, which stays listed.
func (c *fakeCloud) crash(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row := c.machines[name]; row != nil && row.worker != nil {
		row.worker.remove()
		row.worker = nil
		c.world.after(3*time.Second, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			row.listed.State = cloud.Failed
		})
	}
}

// workers lists the machines that are up, in order.
func (c *fakeCloud) workers() []*fakeAgent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*fakeAgent
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		if worker := c.machines[name].worker; worker != nil {
			out = append(out, worker)
		}
	}
	return out
}

func (c *fakeCloud) handle(ctx *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		ctx.SetStatusCode(503)
		return
	}
	switch path := string(ctx.Path()); {
	case path == "/catalog":
		big := cloud.MachineType{Name: machineType, CPUs: machineCPUs, MemGB: machineMemGB, CacheGB: 50, FetchGBPerSecond: 5, HourlyPrice: 1, SpotHourlyPrice: 0.4, BootSeconds: 2, Zones: zones}
		respond(ctx, response{200, cloud.Catalog{Types: []cloud.MachineType{big}}})
	case path == "/machines" && ctx.IsPost():
		c.scaleOut(ctx)
	case path == "/machines/delete":
		var names cloud.MachineNames
		if json.Unmarshal(ctx.PostBody(), &names) != nil {
			ctx.SetStatusCode(400)
			return
		}
		for _, name := range names.Names {
			c.remove(name)
		}
	case path == "/machines":
		c.list(ctx)
	default:
		ctx.SetStatusCode(404)
	}
}

// remove deletes a machine with all that is on it.
func (c *fakeCloud) remove(name string) {
	row := c.machines[name]
	if row == nil {
		return
	}
	if row.worker != nil {
		row.worker.remove()
	}
	delete(c.machines, name)
	c.available++
	c.world.events.add("machine %s deleted", name)
}

func (c *fakeCloud) scaleOut(ctx *fasthttp.RequestCtx) {
	var hire cloud.RentalRequest
	if json.Unmarshal(ctx.PostBody(), &hire) != nil || hire.Count < 1 || hire.Type != machineType {
		ctx.SetStatusCode(400)
		return
	}
	if names, ok := c.scaleOuts[hire.Name]; ok {
		respond(ctx, response{200, cloud.MachineNames{Names: names}})
		return
	}
	count := min(hire.Count, c.available)
	if count == 0 {
		ctx.SetStatusCode(503)
		return
	}
	c.available -= count
	var names []string
	for range count {
		name, err := c.create(hire.Type, hire.Zone, hire.Spot, c.world.rng.between(200*time.Millisecond, 3*time.Second))
		if err != nil {
			ctx.SetStatusCode(503)
			return
		}
		names = append(names, name)
	}
	c.scaleOuts[hire.Name] = names
	respond(ctx, response{200, cloud.MachineNames{Names: names}})
}

func (c *fakeCloud) list(ctx *fasthttp.RequestCtx) {
	since := string(ctx.QueryArgs().Peek("since"))
	var page cloud.MachinePage
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		if name > since {
			listed := c.machines[name].listed
			listed.AgeSeconds = time.Since(c.machines[name].createdAt).Seconds()
			page.Machines = append(page.Machines, listed)
		}
	}
	respond(ctx, response{200, page})
}

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
	typeBig  = "big"
	bigCPUs  = 8
	bigMemGB = 32
)

var zones = []string{"north", "south"}

// teamLimits are the CPUs that each team may use; 0: any.
func teamLimits() map[string]float64 {
	return map[string]float64{"red": 40, "blue": 0, "green": 60}
}

// cloud rents machines.
type cloudService struct {
	w      *world
	server *fasthttp.Server
	mu     sync.Mutex
	next   int
	left   int // that can still be rented
	down   bool
	hires  map[string][]string
	all    map[string]*machineRow
}

type machineRow struct {
	listed cloud.Listed
	born   time.Time
	worker *worker
}

// rentable is how many machines may be rented beside those that are there at the start.
const rentable = 24

func newCloud(w *world) (*cloudService, error) {
	c := &cloudService{w: w, left: rentable, hires: map[string][]string{}, all: map[string]*machineRow{}}
	c.server = &fasthttp.Server{Handler: c.handle, Logger: quiet{}}
	return c, serve(w, c.server, w.address(hostCloud, 8443))
}

func (c *cloudService) close() {
	_ = c.server.Shutdown()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range c.all {
		if row.worker != nil {
			row.worker.remove()
		}
	}
}

func (c *cloudService) nextZone() string { return zones[c.next%len(zones)] }

// create makes a machine that is up after some time.
func (c *cloudService) create(kind, zone string, spot bool, boot time.Duration) (string, error) {
	name := fmt.Sprintf("n-%06d", c.next)
	row := &machineRow{born: time.Now()}
	row.listed = cloud.Listed{Name: name, Addr: c.w.address(hostWorker+c.next, 9000), Type: kind, Zone: zone, Spot: spot, State: cloud.Starting}
	c.next++
	c.all[name] = row
	if boot == 0 {
		return name, c.up(row)
	}
	c.w.after(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.all[name] == row {
			if err := c.up(row); err != nil {
				c.w.events.add("machine %s does not start: %v", name, err)
			}
		}
	})
	return name, nil
}

func (c *cloudService) up(row *machineRow) error {
	row.listed.State = cloud.Running
	c.w.check.MachineUp(row.listed.Name, row.listed.Zone)
	k, err := newWorker(c.w, row.listed)
	row.worker = k
	return err
}

// die stops a machine, which stays listed.
func (c *cloudService) die(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row := c.all[name]; row != nil && row.worker != nil {
		row.worker.remove()
		row.worker = nil
		c.w.after(3*time.Second, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			row.listed.State = cloud.Failed
		})
	}
}

// workers lists the machines that are up, in order.
func (c *cloudService) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*worker
	for _, name := range slices.Sorted(maps.Keys(c.all)) {
		if k := c.all[name].worker; k != nil {
			out = append(out, k)
		}
	}
	return out
}

func (c *cloudService) handle(ctx *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		ctx.SetStatusCode(503)
		return
	}
	switch path := string(ctx.Path()); {
	case path == "/catalog":
		big := cloud.Type{Name: typeBig, CPUs: bigCPUs, MemGB: bigMemGB, CacheGB: 50, FetchGBs: 5, Price: 1, SpotPrice: 0.4, BootS: 2, Zones: zones}
		respond(ctx, answer{200, cloud.Catalog{Types: []cloud.Type{big}}})
	case path == "/machines" && ctx.IsPost():
		c.hire(ctx)
	case path == "/machines/delete":
		var names cloud.Names
		if json.Unmarshal(ctx.PostBody(), &names) != nil {
			ctx.SetStatusCode(400)
			return
		}
		for _, name := range names.Machines {
			c.remove(name)
		}
	case path == "/machines":
		c.list(ctx)
	default:
		ctx.SetStatusCode(404)
	}
}

// remove deletes a machine with all that is on it.
func (c *cloudService) remove(name string) {
	row := c.all[name]
	if row == nil {
		return
	}
	if row.worker != nil {
		row.worker.remove()
	}
	delete(c.all, name)
	c.left++
	c.w.events.add("machine %s deleted", name)
}

func (c *cloudService) hire(ctx *fasthttp.RequestCtx) {
	var hire cloud.Hire
	if json.Unmarshal(ctx.PostBody(), &hire) != nil || hire.Count < 1 || hire.Type != typeBig {
		ctx.SetStatusCode(400)
		return
	}
	if names, ok := c.hires[hire.Name]; ok {
		respond(ctx, answer{200, cloud.Names{Machines: names}})
		return
	}
	count := min(hire.Count, c.left)
	if count == 0 {
		ctx.SetStatusCode(503)
		return
	}
	c.left -= count
	var names []string
	for range count {
		name, err := c.create(hire.Type, hire.Zone, hire.Spot, c.w.rng.between(200*time.Millisecond, 3*time.Second))
		if err != nil {
			ctx.SetStatusCode(503)
			return
		}
		names = append(names, name)
	}
	c.hires[hire.Name] = names
	respond(ctx, answer{200, cloud.Names{Machines: names}})
}

func (c *cloudService) list(ctx *fasthttp.RequestCtx) {
	since := string(ctx.QueryArgs().Peek("since"))
	var page cloud.Page
	for _, name := range slices.Sorted(maps.Keys(c.all)) {
		if name > since {
			listed := c.all[name].listed
			listed.AgeS = time.Since(c.all[name].born).Seconds()
			page.Machines = append(page.Machines, listed)
		}
	}
	respond(ctx, answer{200, page})
}

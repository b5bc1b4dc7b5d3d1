package soak

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/cloud"
)

func (c *fakeCloud) handle(ctx *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	switch path := string(ctx.Path()); {
	case path == "/catalog":
		respond(ctx, response{http.StatusOK, catalog()})
	case path == "/machines" && ctx.IsPost():
		respond(ctx, c.scaleOut(ctx.PostBody()))
	case path == "/machines/delete":
		respond(ctx, c.deleteAll(ctx.PostBody()))
	case path == "/machines":
		respond(ctx, response{http.StatusOK, c.list(string(ctx.QueryArgs().Peek("since")))})
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

func catalog() cloud.Catalog {
	return cloud.Catalog{Types: []cloud.MachineType{{
		Name: machineType, CPUs: machineCPUs, MemGB: machineMemGB, CacheGB: 50, FetchGBPerSecond: 5,
		HourlyPrice: 1, SpotHourlyPrice: 0.4, BootSeconds: 2, Zones: zones,
	}}}
}

// scaleOut creates the requested machines, or as many as are available. A repeated request returns
// the machines of the first.
func (c *fakeCloud) scaleOut(body []byte) response {
	var request cloud.RentalRequest
	if json.Unmarshal(body, &request) != nil || request.Count < 1 || request.Type != machineType {
		return response{status: http.StatusBadRequest}
	}
	if names, ok := c.scaleOuts[request.Name]; ok {
		return response{http.StatusOK, cloud.MachineNames{Names: names}}
	}
	count := min(request.Count, c.available)
	if count == 0 {
		return response{status: http.StatusServiceUnavailable}
	}
	c.available -= count
	var names []string
	for range count {
		bootTime := c.world.rng.between(minBootTime, maxBootTime)
		created := c.create(request.Type, request.Zone, request.Spot)
		c.bootAfter(bootTime, created)
		names = append(names, created.listed.Name)
	}
	c.scaleOuts[request.Name] = names
	return response{http.StatusOK, cloud.MachineNames{Names: names}}
}

func (c *fakeCloud) deleteAll(body []byte) response {
	var request cloud.MachineNames
	if json.Unmarshal(body, &request) != nil {
		return response{status: http.StatusBadRequest}
	}
	for _, name := range request.Names {
		c.delete(name)
	}
	return response{status: http.StatusOK}
}

func (c *fakeCloud) list(since string) cloud.MachinePage {
	var page cloud.MachinePage
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		if name > since {
			listed := c.machines[name].listed
			listed.AgeSeconds = time.Since(c.machines[name].createdAt).Seconds()
			page.Machines = append(page.Machines, listed)
		}
	}
	return page
}

package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"frostdock.example/frostdock/internal/cloud"
)

const (
	// scaleOutCapacity is how many machines can be created beside those that run from the start.
	scaleOutCapacity = 24
	// minBootTime and maxBootTime bound the boot time of a machine.
	minBootTime, maxBootTime = 200 * time.Millisecond, 3 * time.Second
	// crashDetectionTime is how long the cloud lists a crashed machine as running.
	crashDetectionTime = 3 * time.Second
)

// fakeCloud stands in for the cloud: it creates, lists and deletes machines.
type fakeCloud struct {
	world  *world
	server *httpServer

	mu          sync.Mutex
	nextMachine int
	available   int // machines that can still be created
	down        bool
	scaleOuts   map[string][]string // machine names by request name, since requests may be repeated
	machines    map[string]*machine
}

type machine struct {
	listed    cloud.ListedMachine
	createdAt time.Time
	agent     *fakeAgent // nil: the machine is not up
}

func newCloud(w *world) (*fakeCloud, error) {
	c := &fakeCloud{world: w, available: scaleOutCapacity, scaleOuts: map[string][]string{}, machines: map[string]*machine{}}
	var err error
	if c.server, err = w.serve(w.address(hostCloud, cloudPort), c.handle); err != nil {
		return nil, err
	}
	return c, nil
}

// close stops the cloud's server; the machines end with the run.
func (c *fakeCloud) close() error { return c.server.close() }

// createRunning creates the machines that are up at the start of the run.
func (c *fakeCloud) createRunning(count int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		created := c.create(machineType, zoneOf(c.nextMachine), false)
		if err := c.bootCompleted(created); err != nil {
			return err
		}
	}
	return nil
}

// create adds a machine in the state cloud.Starting.
func (c *fakeCloud) create(kind, zone string, spot bool) *machine {
	created := &machine{
		createdAt: time.Now(),
		listed: cloud.ListedMachine{
			Name: fmt.Sprintf("n-%06d", c.nextMachine), Addr: c.world.address(hostWorker+c.nextMachine, agentPort),
			Type: kind, Zone: zone, Spot: spot, State: cloud.Starting,
		},
	}
	c.nextMachine++
	c.machines[created.listed.Name] = created
	return created
}

// bootAfter completes a machine's boot after a delay, unless the machine is deleted by then.
func (c *fakeCloud) bootAfter(delay time.Duration, booting *machine) {
	c.world.after(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		name := booting.listed.Name
		if c.machines[name] != booting {
			return
		}
		if err := c.bootCompleted(booting); err != nil {
			c.world.events.add("machine %s does not start: %v", name, err)
		}
	})
}

func (c *fakeCloud) bootCompleted(booted *machine) error {
	booted.listed.State = cloud.Running
	var err error
	booted.agent, err = newAgent(c.world, booted.listed)
	return err
}

// crash stops a machine, which stays listed: as running for crashDetectionTime, then as failed.
func (c *fakeCloud) crash(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashed := c.machines[name]
	if crashed == nil || crashed.agent == nil {
		return
	}
	crashed.agent.remove()
	crashed.agent = nil
	c.world.after(crashDetectionTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		crashed.listed.State = cloud.Failed
	})
}

// delete removes a machine and its tasks.
func (c *fakeCloud) delete(name string) {
	deleted := c.machines[name]
	if deleted == nil {
		return
	}
	if deleted.agent != nil {
		deleted.agent.remove()
	}
	delete(c.machines, name)
	c.available++
	c.world.events.add("machine %s deleted", name)
}

// reclaim takes a machine away, whose name is not listed any more.
func (c *fakeCloud) reclaim(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delete(name)
}

// agents lists the agents of the machines that are up, ordered by machine name.
func (c *fakeCloud) agents() []*fakeAgent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []*fakeAgent
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		if agent := c.machines[name].agent; agent != nil {
			up = append(up, agent)
		}
	}
	return up
}

// setDown begins or ends an outage of the cloud's API; its machines keep running.
func (c *fakeCloud) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

package controller

import (
	"math"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/units"
)

// How often the cloud's catalog is read.
const (
	catalogRetryPeriod   = 500 * units.Millisecond // while no catalog is known
	catalogRefreshPeriod = 60 * units.Second       // afterwards
)

// catalog holds the machine types that the cloud offers. It keeps the last non-empty catalog while newer
// ones cannot be read: a type never becomes unknown because the cloud does not answer. Only the catalog
// itself reads and replaces the types; other components only look them up.
type catalog struct {
	*environment
	cloud *cloudClient

	types       []cloud.MachineType // in the cloud's order; empty: not known yet
	readAt      units.Micros        // when a read last ended while the types were known
	retryPeriod period
	reading     bool
}

func newCatalog(env *environment, client *cloudClient) *catalog {
	return &catalog{environment: env, cloud: client}
}

// known reports whether the machine types are known.
func (c *catalog) known() bool { return len(c.types) > 0 }

// machineType returns the type of that name, nil if the catalog has none.
func (c *catalog) machineType(name string) *cloud.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// shortestBootSeconds returns the boot time of the type that boots fastest.
func (c *catalog) shortestBootSeconds() float64 {
	shortest := math.Inf(1)
	for i := range c.types {
		shortest = min(shortest, c.types[i].BootSeconds)
	}
	return shortest
}

// refreshWhenDue reads the catalog repeatedly until it is known, and periodically afterwards.
func (c *catalog) refreshWhenDue() {
	if c.reading || !c.refreshDue() {
		return
	}
	c.reading = true
	c.cloud.call(CloudCall{Op: CloudCatalog}, c.handleCatalog)
}

func (c *catalog) refreshDue() bool {
	if c.known() {
		return c.now-c.readAt > catalogRefreshPeriod
	}
	return c.retryPeriod.due(c.now, catalogRetryPeriod)
}

func (c *catalog) handleCatalog(result CloudResult) {
	c.reading = false
	if result.Status == cloud.StatusOK && len(result.Catalog.Types) > 0 {
		c.types = result.Catalog.Types
		c.planNeeded = true
	}
	if c.known() { // a failed refresh, too, is repeated only after catalogRefreshPeriod
		c.readAt = c.now
	}
}

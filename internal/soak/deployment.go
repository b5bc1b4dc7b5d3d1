package soak

import (
	"fmt"
	"os"
	"time"
)

// Size and times of all runs. The times are short, so that leases expire and cancellation deadlines
// pass within a run.
const (
	controllerCount   = 3
	heartbeatInterval = 500 * time.Millisecond
	workerLease       = 6 * time.Second
	cancelDeadline    = 14 * time.Second
)

// The machine type of all runs.
const (
	machineType  = "big"
	machineCPUs  = 8
	machineMemGB = 32
)

var (
	zones = []string{"north", "south"}
	teams = []string{"red", "blue", "green"}
)

// zoneOf assigns controllers and machines to the zones in turn.
func zoneOf(index int) string { return zones[index%len(zones)] }

// teamQuotas returns the CPUs that each team may use; 0: unlimited.
func teamQuotas() map[string]float64 {
	return map[string]float64{"red": 40, "blue": 0, "green": 60}
}

// storeLimits are the limits of the key-value store on rates, value sizes and operations per transaction.
type storeLimits struct {
	operationsPerSecond, requestsPerSecond float64
	valueBytes, operations                 int
}

// The store's limits before and after the announced reduction. scaleLimits raises the rates for a larger fleet.
var (
	currentLimits   = storeLimits{operationsPerSecond: 60, requestsPerSecond: 400, valueBytes: 8 << 10, operations: 16}
	announcedLimits = storeLimits{operationsPerSecond: 40, requestsPerSecond: 400, valueBytes: 2 << 10, operations: 6}
)

// baseWorkers is the number of machines for which the store's limits and the pauses between
// submissions are set. A larger fleet has more users, so rates rise and pauses shrink in proportion.
const baseWorkers = 20

// Host numbers of a run, from which address derives IP addresses. Each is the first of its kind.
const (
	hostController = 0
	hostStore      = 10
	hostCloud      = 20
	hostPeer       = 30 // relays between controllers, which apply the network's cuts
	hostWorker     = 50
)

// Ports of the services.
const (
	controllerPort = 8080
	peerPort       = 8081
	storePort      = 2379
	cloudPort      = 8443
	agentPort      = 9000
)

// maxInstances is the maximum number of concurrent runs in one test process.
const maxInstances = 8

// address returns the address of a host's port in this run. Each host has an IP address of its own in
// the loopback range, so that fixed ports collide neither with ephemeral ports nor with another run's.
func (w *world) address(host, port int) string {
	run := os.Getpid()*maxInstances + w.opts.Instance%maxInstances
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+run/250%200, run%250, 1+host%250, port+host/250)
}

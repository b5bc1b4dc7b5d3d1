package soak

import (
	"fmt"
	"os"
	"time"
)

// Times that all runs have: short, so that leases expire and cancellations fall due within a run.
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

// zoneOf spreads controllers and machines over the zones.
func zoneOf(index int) string { return zones[index%len(zones)] }

// teamQuotas are the CPUs that each team may use; 0: any.
func teamQuotas() map[string]float64 {
	return map[string]float64{"red": 40, "blue": 0, "green": 60}
}

// storeLimits are what the key-value store takes.
type storeLimits struct {
	operationsPerSecond, requestsPerSecond float64
	valueBytes, operations                 int
}

// Limits before and after their announced fall. A larger fleet is given more; see scaleLimits.
var (
	currentLimits   = storeLimits{operationsPerSecond: 60, requestsPerSecond: 400, valueBytes: 8 << 10, operations: 16}
	announcedLimits = storeLimits{operationsPerSecond: 40, requestsPerSecond: 400, valueBytes: 2 << 10, operations: 6}
)

// usualWorkers is the fleet for which the store's limits and the pauses between submissions are
// meant; a larger one has more users.
const usualWorkers = 20

// Hosts of a run, which give their addresses. Those of a kind are numbered from here on.
const (
	hostController = 0
	hostStore      = 10
	hostCloud      = 20
	hostPeer       = 30 // where one controller reaches another through the network's cuts
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

// maxInstances is how many runs one test process may have at a time.
const maxInstances = 8

// address is an address of this run: each host has one of its own in the loopback range, so that
// fixed ports never meet those that the system hands out, nor another run's.
func (w *world) address(host, port int) string {
	run := os.Getpid()*maxInstances + w.opts.Instance%maxInstances
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+run/250%200, run%250, 1+host%250, port+host/250)
}

// Package controller is the single owner of a controller's state. Step takes the time and a batch of
// messages and returns the effects to carry out. It does no I/O, reads no clock and draws no random
// numbers, so that every run can be replayed exactly; nothing walks a map in an order that a run
// could change.
//
// Each duty keeps its own state in a type of its own (environment, storeClient, replica, freshness,
// membership, partitionTable, writeBudget, committer, userRequests, acceptQueue, agentGateway,
// fleetMonitor, scheduling, cloudView, audit); Controller runs them in a fixed order.
package controller

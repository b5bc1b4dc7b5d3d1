package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/schema"
)

// Message is something that happened outside. The types of this file are all that there are.
//
//sumtype:decl
type Message interface{ isMessage() }

func (UserRequest) isMessage()      {}
func (ReadyRequest) isMessage()     {}
func (HeartbeatRequest) isMessage() {}
func (StoreResult) isMessage()      {}
func (CloudResult) isMessage()      {}
func (AgentResult) isMessage()      {}
func (PeerHeartbeat) isMessage()    {}

// UserRequestKind tells what a user asks.
type UserRequestKind int

// What users ask.
const (
	SubmitJob UserRequestKind = iota
	QueryJob
	CancelJob
)

// UserRequest is a user's request. To names the request in the Reply.
type UserRequest struct {
	RequestID uint64
	Kind      UserRequestKind
	JobID     string      // empty when a submission is too broken to have one
	Job       *schema.Job // nil when the submission is malformed
	Malformed error       // what is malformed
}

// ReadyRequest is a health probe.
type ReadyRequest struct{ RequestID uint64 }

// HeartbeatRequest is a worker's report.
type HeartbeatRequest struct {
	RequestID uint64
	Heartbeat agent.Heartbeat
}

// StoreResult answers a StoreCall.
type StoreResult struct {
	CallID   uint64
	Response kv.Response
}

// CloudResult answers a CloudCall.
type CloudResult struct {
	CallID   uint64
	Status   cloud.Status
	Catalog  cloud.Catalog
	Machines cloud.MachineNames
	Page     cloud.MachinePage
}

// AgentResult answers an AgentCall. Heartbeat is nil if there was no answer: the commands may yet be
// carried out.
type AgentResult struct {
	CallID    uint64
	Heartbeat *agent.Heartbeat
}

// PeerHeartbeat is another controller's heartbeat.
type PeerHeartbeat struct{ Heartbeat peer.Heartbeat }

// Effect is something to do outside. The types of this file are all that there are.
//
//sumtype:decl
type Effect interface{ isEffect() }

func (Reply) isEffect()              {}
func (StoreCall) isEffect()          {}
func (CloudCall) isEffect()          {}
func (AgentCall) isEffect()          {}
func (BroadcastHeartbeat) isEffect() {}

// Reply answers a request.
type Reply struct {
	RequestID         uint64
	Status            int
	Body              any // encoded as JSON; nil: no body
	RetryAfterSeconds int
}

// StoreCall calls the state service.
type StoreCall struct {
	CallID  uint64
	Request kv.Request
}

// CloudOp names a call of the cloud.
type CloudOp int

// Calls of the cloud.
const (
	CloudCatalog CloudOp = iota
	CloudRent
	CloudDelete
	CloudList
)

// CloudCall calls the cloud.
type CloudCall struct {
	CallID   uint64
	Op       CloudOp
	Rental   cloud.RentalRequest
	Machines cloud.MachineNames
	After    string
}

// AgentCall sends a direct command, or asks for a report when Cmd is nil.
type AgentCall struct {
	CallID   uint64
	Address  string
	Commands *agent.CommandRequest
}

// BroadcastHeartbeat goes to every other controller.
type BroadcastHeartbeat struct{ Heartbeat peer.Heartbeat }

package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Message is an event from outside the controller: a request, the answer to a call, or a heartbeat.
// The set is closed: all message types are in this file.
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

// UserRequestKind is the operation that a user requests.
type UserRequestKind int

// Operations that users request.
const (
	SubmitJob UserRequestKind = iota // accept a job, or return its status if it exists already
	QueryJob                         // return a job's status
	CancelJob                        // cancel a job, or return its status if it is over already
)

// UserRequest is a user's request. It is answered by exactly one Reply, unless the process ends.
type UserRequest struct {
	RequestID uint64
	Kind      UserRequestKind
	JobID     string      // empty when a submission is too malformed to have one
	Job       *schema.Job // the submitted job; nil when it is malformed
	Malformed error       // the fault of a malformed request
}

// ReadyRequest is a health probe of a load balancer. It is answered in the same step.
type ReadyRequest struct{ RequestID uint64 }

// HeartbeatRequest is a worker agent's heartbeat. Its answer carries the agent's commands.
type HeartbeatRequest struct {
	RequestID uint64
	Heartbeat agent.Heartbeat
}

// StoreResult answers the StoreCall of the same id. Results may come in any order, or never.
type StoreResult struct {
	CallID   uint64
	Response kv.Response
}

// CloudResult answers the CloudCall of the same id. Fields that the operation does not return are zero.
type CloudResult struct {
	CallID   uint64
	Status   cloud.Status
	Catalog  cloud.Catalog
	Machines cloud.MachineNames
	Page     cloud.MachinePage
}

// AgentResult answers the AgentCall of the same id. Heartbeat is nil if there was no answer: the
// commands may yet be carried out, unless NotSent says that they were never sent.
type AgentResult struct {
	CallID    uint64
	Heartbeat *agent.Heartbeat
	NotSent   bool         // the call could not be sent in time: nothing was sent, and nothing will be
	Waited    units.Micros // how long the call waited for a free slot; 0: not at all
}

// PeerHeartbeat is another controller's heartbeat. It may be late, repeated or lost.
type PeerHeartbeat struct{ Heartbeat peer.Heartbeat }

// Effect is an action to carry out outside the controller. Effects are started in their order. The set
// is closed: all effect types are in this file.
//
//sumtype:decl
type Effect interface{ isEffect() }

func (Reply) isEffect()              {}
func (StoreCall) isEffect()          {}
func (CloudCall) isEffect()          {}
func (AgentCall) isEffect()          {}
func (BroadcastHeartbeat) isEffect() {}

// Reply answers the request of the same id.
type Reply struct {
	RequestID         uint64
	Status            int // HTTP status code
	Body              any // encoded as JSON; nil: no body
	RetryAfterSeconds int // sent as Retry-After: when the request may be tried again; 0: not sent
}

// StoreCall calls the key-value store.
type StoreCall struct {
	CallID  uint64
	Request kv.Request
}

// CloudOp is an operation of the cloud.
type CloudOp int

// Operations of the cloud.
const (
	CloudCatalog CloudOp = iota // list the machine types
	CloudRent                   // scale out
	CloudDelete                 // scale in
	CloudList                   // list the machines, page by page
)

// CloudCall calls the cloud.
type CloudCall struct {
	CallID   uint64
	Op       CloudOp
	Rental   cloud.RentalRequest // for CloudRent
	Machines cloud.MachineNames  // for CloudDelete
	After    string              // for CloudList: the last machine of the previous page
}

// AgentCall pushes commands to a worker agent, or asks for its heartbeat when Commands is nil.
type AgentCall struct {
	CallID   uint64
	Address  string
	Commands *agent.CommandRequest
	// SendDeadline is the time, by the monotonic clock of Step, before which the commands must be sent: from
	// then on, the proof of freshness that they are based on is too old. 0: there is no limit.
	SendDeadline units.Micros
}

// BroadcastHeartbeat sends this controller's heartbeat to every other controller.
type BroadcastHeartbeat struct{ Heartbeat peer.Heartbeat }

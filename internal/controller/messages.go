package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// Message is something that happened outside the controller: a request, the answer to a call, or a
// heartbeat. The set is closed: the types of this file are all that there are.
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

// UserRequestKind tells what a user asks for.
type UserRequestKind int

// What users ask for.
const (
	SubmitJob UserRequestKind = iota // accept a job; of a job that exists already, its status
	QueryJob                         // a job's status
	CancelJob                        // cancel a job; of a job that is over already, its status
)

// UserRequest is a user's request. It is answered by exactly one Reply, unless the process ends.
type UserRequest struct {
	RequestID uint64
	Kind      UserRequestKind
	JobID     string      // empty when a submission is too malformed to have one
	Job       *schema.Job // of a submission; nil when it is malformed
	Malformed error       // what is malformed
}

// ReadyRequest is a health probe of a load balancer. It is answered in the same step.
type ReadyRequest struct{ RequestID uint64 }

// HeartbeatRequest is a worker agent's heartbeat. Its answer has the agent's commands.
type HeartbeatRequest struct {
	RequestID uint64
	Heartbeat agent.Heartbeat
}

// StoreResult answers the StoreCall of the same id. Results may come in any order, or never.
type StoreResult struct {
	CallID   uint64
	Response kv.Response
}

// CloudResult answers the CloudCall of the same id. What the operation does not return is zero.
type CloudResult struct {
	CallID   uint64
	Status   cloud.Status
	Catalog  cloud.Catalog
	Machines cloud.MachineNames
	Page     cloud.MachinePage
}

// AgentResult answers the AgentCall of the same id. Heartbeat is nil if there was no answer: the
// commands may yet be carried out, unless NotSent says that they never left.
type AgentResult struct {
	CallID    uint64
	Heartbeat *agent.Heartbeat
	NotSent   bool         // the call could not leave in time: nothing was sent, and nothing will be
	Waited    units.Micros // how long it waited for its turn; 0: not at all
}

// PeerHeartbeat is another controller's heartbeat. It may be late, repeated or lost.
type PeerHeartbeat struct{ Heartbeat peer.Heartbeat }

// Effect is something to do outside the controller. Effects are begun in their order. The set is
// closed: the types of this file are all that there are.
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
	Status            int // of HTTP
	Body              any // encoded as JSON; nil: no body
	RetryAfterSeconds int // when the request may be tried again; 0: not said
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
	Rental   cloud.RentalRequest // of CloudRent
	Machines cloud.MachineNames  // of CloudDelete
	After    string              // of CloudList: the last machine of the page before
}

// AgentCall pushes commands to a worker agent, or asks for its heartbeat when Commands is nil.
type AgentCall struct {
	CallID   uint64
	Address  string
	Commands *agent.CommandRequest
	// LeaveBefore is when the right ends under which the commands were decided, by the steady clock of
	// Step: later they must not be sent. 0: no such moment.
	LeaveBefore units.Micros
}

// BroadcastHeartbeat sends this controller's heartbeat to every other controller.
type BroadcastHeartbeat struct{ Heartbeat peer.Heartbeat }

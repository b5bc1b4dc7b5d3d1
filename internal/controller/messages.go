// Package core is the single owner of a controller's state. Step takes the
// time and a batch of messages and returns the effects to carry out; it does no
// I/O, reads no clock and draws no random number that its seed does not give,
// so that every run can be replayed exactly.
package controller

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/schema"
)

// Msg is something that happened outside.
type Msg any

// UserKind tells what a user asks.
type UserKind int

// What users ask.
const (
	Submit UserKind = iota
	Poll
	Abort
)

// UserReq is a user's request. To names the request in the Reply.
type UserReq struct {
	To   uint64
	Kind UserKind
	ID   string      // empty when a submission is too broken to have one
	Job  *schema.Job // nil when the submission is malformed
	Why  error       // what is malformed
}

// ReadyReq is a health probe.
type ReadyReq struct{ To uint64 }

// ReportReq is a worker's report.
type ReportReq struct {
	To     uint64
	Report agent.Report
}

// StateDone answers a StateCall.
type StateDone struct {
	ID   uint64
	Resp kv.Response
}

// CloudDone answers a CloudCall. Status 0 means that there was no answer.
type CloudDone struct {
	ID      uint64
	Status  int
	Catalog cloud.Catalog
	Names   cloud.Names
	Page    cloud.Page
}

// WorkerDone answers a WorkerCall. Status 0 means that there was no answer, and
// that the command may yet be carried out.
type WorkerDone struct {
	ID     uint64
	Status int
	Report *agent.Report
}

// PeerHeartbeat is another controller's heartbeat.
type PeerHeartbeat struct{ Beat peer.Heartbeat }

// Effect is something to do outside.
type Effect any

// Reply answers a request.
type Reply struct {
	To          uint64
	Status      int
	Body        any // encoded as JSON; nil: no body
	RetryAfterS int
}

// StateCall calls the state service.
type StateCall struct {
	ID  uint64
	Req kv.Request
}

// CloudOp names a call of the cloud.
type CloudOp int

// Calls of the cloud.
const (
	CloudCatalog CloudOp = iota
	CloudHire
	CloudDelete
	CloudList
)

// CloudCall calls the cloud.
type CloudCall struct {
	ID    uint64
	Op    CloudOp
	Hire  cloud.Hire
	Names cloud.Names
	Since string
}

// WorkerCall sends a direct command, or asks for a report when Cmd is nil.
type WorkerCall struct {
	ID   uint64
	Addr string
	Cmd  *agent.Command
}

// SendHeartbeat goes to every other controller.
type SendHeartbeat struct{ Beat peer.Heartbeat }

// Package kv is the protocol of the consensus-backed key-value store: compare-and-swap transactions, leases and
// watches, as requests and responses. It knows nothing of what is stored.
package kv

import "encoding/json"

// Condition demands that a key has the stated stamp; zero: that it does not exist.
type Condition struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// Operation sets or deletes a key.
type Operation struct {
	Set     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	LeaseID uint64          `json:"permit,omitempty"`
	Delete  string          `json:"delete,omitempty"`
}

// Txn is one atomic change.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Operations []Operation `json:"apply,omitempty"`
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key         string          `json:"key"`
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"`
}

// Event is one change of a watch.
type Event struct {
	Set         string          `json:"set,omitempty"`
	Delete      string          `json:"delete,omitempty"`
	Value       json.RawMessage `json:"v,omitempty"`
	ModRevision uint64          `json:"stamp"`
}

// RequestKind says which call a Request makes.
type RequestKind int

// The calls of the state service.
const (
	Get RequestKind = iota
	List
	Transact
	GrantLease
	RenewLease
	Watch
)

// Request is one call.
type Request struct {
	Kind       RequestKind
	Key        string // Get; List and Watch: prefix
	After      string // List
	Revision   uint64 // Watch
	Txn        *Txn
	TTLMillis  int64
	WaitMillis int64
	LeaseID    uint64
}

// Response is the answer to a Request.
type Response struct {
	Status     Status     `json:"-"`
	Revision   uint64     `json:"ledgerRev"`
	FailedKeys []string   `json:"failed"`
	LeaseID    uint64     `json:"permit"`
	Items      []KeyValue `json:"items"`
	Truncated  bool       `json:"truncated"`
	Events     []Event    `json:"news"`

	Key         string          `json:"key"`
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"`
}

// Package kv defines the protocol of the key-value store that all controllers share: the requests, the
// responses, and their guarantees. It has no client and makes no decisions: package server sends the
// requests over HTTP, package controller decides what to do with the responses.
//
// Revisions. The store counts its changes; the count is its revision. Every successful transaction
// that has operations raises it by one. The mod revision of a key is the revision at which the key
// was last written; a key that does not exist has mod revision 0.
//
// Transactions. All operations of a transaction are applied atomically, and only if all of its
// conditions hold at that moment. A condition compares the mod revision of one key, so a
// transaction with a condition on a key that it writes is a compare-and-swap. A
// transaction without operations only checks its conditions.
//
// Leases. A key may be attached to a lease; it is deleted when the lease expires. A lease expires
// when its time to live has passed since it was granted or last renewed.
//
// Watches. A watch returns all changes under a prefix after a given revision, in order, or none when
// the requested wait time has passed. The store discards old changes: a watch that needs discarded
// changes is refused, and the client must list the keys again.
//
// Missing responses. A connection may fail after the store has read a request. StatusUnknown therefore
// means that the request may have been carried out, may be carried out later, or never. A client that
// needs to know which must read the result from the store.
//
// The names in the JSON tags are the store's own and are not used elsewhere.
package kv

import "encoding/json"

// Condition requires that Key has the given ModRevision; 0: that the key does not exist.
type Condition struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// Operation sets the key Set to Value, or deletes the key Delete.
type Operation struct {
	Set     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	LeaseID uint64          `json:"permit,omitempty"` // the lease that Set is attached to; 0: none
	Delete  string          `json:"delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Operations []Operation `json:"apply,omitempty"`
}

// KeyValue is a stored key with its value and mod revision.
type KeyValue struct {
	Key         string          `json:"key"`
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"`
}

// Event is a change that a watch returns: the key Set was set to Value, or the key Delete was deleted.
type Event struct {
	Set         string          `json:"set,omitempty"`
	Delete      string          `json:"delete,omitempty"`
	Value       json.RawMessage `json:"v,omitempty"`
	ModRevision uint64          `json:"stamp"` // the revision of the change
}

// RequestKind identifies the call that a Request makes.
type RequestKind int

// The calls that the store offers.
const (
	Get        RequestKind = iota // reads Key
	List                          // reads one page of the keys under the prefix Key, in order, after the key After
	Transact                      // executes Txn
	GrantLease                    // creates a lease with a time to live of TTLMillis
	RenewLease                    // resets the lease LeaseID to its full time to live
	Watch                         // waits up to WaitMillis for changes under the prefix Key after Revision
)

// Request is one call. Only the fields that the comment of its kind names are used.
type Request struct {
	Kind       RequestKind
	Key        string // Get; the prefix of List and Watch
	After      string // List; empty: from the first key on
	Revision   uint64 // Watch
	Txn        *Txn   // Transact
	TTLMillis  int64  // GrantLease
	WaitMillis int64  // Watch
	LeaseID    uint64 // RenewLease
}

// Response is the store's response to a Request.
type Response struct {
	Status Status `json:"-"`

	Revision   uint64     `json:"ledgerRev"` // store revision at the time of the response; Transact: also the mod revision of all keys it set
	FailedKeys []string   `json:"failed"`    // Transact: the keys of the conditions that failed
	LeaseID    uint64     `json:"permit"`    // GrantLease
	Items      []KeyValue `json:"items"`     // List: one page
	Truncated  bool       `json:"truncated"` // List: more keys follow the last item
	Events     []Event    `json:"news"`      // Watch

	// Get: the key that was found.
	Key         string          `json:"key"`
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"`
}

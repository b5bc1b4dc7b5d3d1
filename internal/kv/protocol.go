package kv

import "encoding/json"

// Guard demands that a key has the stated stamp; zero: that it does not exist.
type Guard struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

// Op sets or deletes a key.
type Op struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is one atomic change.
type Txn struct {
	Guards []Guard `json:"guards"`
	Apply  []Op    `json:"apply,omitempty"`
}

// Item is a key with its value.
type Item struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
}

// Event is one change of a watch.
type Event struct {
	Set    string          `json:"set,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// Kind says which call a Request makes.
type Kind int

// The calls of the state service.
const (
	Get Kind = iota
	List
	Commit
	Grant
	Renew
	Watch
)

// Request is one call.
type Request struct {
	Kind   Kind
	Key    string // Get; List and Watch: prefix
	Since  string // List
	Rev    uint64 // Watch
	Txn    *Txn
	TTLMs  int64
	HoldMs int64
	Permit uint64
}

// Response is the answer to a Request. Status 0 means that there was none: the
// request may have been carried out, or may yet be.
type Response struct {
	Status    int      `json:"-"`
	Rev       uint64   `json:"ledgerRev"`
	Failed    []string `json:"failed"`
	Permit    uint64   `json:"permit"`
	Items     []Item   `json:"items"`
	Truncated bool     `json:"truncated"`
	News      []Event  `json:"news"`

	Key   string          `json:"key"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
}

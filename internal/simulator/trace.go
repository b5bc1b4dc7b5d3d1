package simulator

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"hash"
	"io"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/units"
)

// Trace computes a digest of everything that controllers send during a run, in order: replies, requests
// to the key-value store and the cloud, direct commands and heartbeats, each with its simulated time and
// its sender. Two versions of the code whose traces are equal behave the same on that run. Every effect
// is written field by field in its wire format, so the digest depends neither on names of Go types and
// fields nor on log lines. The text of the lines must not change, because digests are compared across
// versions.
type Trace struct {
	digest  hash.Hash
	effects int
	lines   io.Writer // destination of the effects as text, one per line; nil: none

	// Heartbeats pass through one gob stream, as they do between two controllers.
	wire    bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// NewTrace returns an empty trace. If lines is not nil, each effect is also written to it as a line of
// text.
func NewTrace(lines io.Writer) *Trace {
	t := &Trace{digest: sha256.New(), lines: lines}
	t.encoder, t.decoder = gob.NewEncoder(&t.wire), gob.NewDecoder(&t.wire)
	return t
}

// String returns the first 12 bytes of the digest in hexadecimal, and the number of effects.
func (t *Trace) String() string {
	return fmt.Sprintf("%x %d", t.digest.Sum(nil)[:12], t.effects)
}

// record adds an effect to the digest. A nil trace records nothing.
func (t *Trace) record(now units.Micros, sender string, effect controller.Effect) {
	if t == nil {
		return
	}
	t.effects++
	line := fmt.Sprintf("%d %s %s\n", now, sender, t.line(effect))
	io.WriteString(t.digest, line) //nolint:errcheck // writing to a hash never fails
	if t.lines != nil {
		io.WriteString(t.lines, line) //nolint:errcheck // a missing line shows up in the comparison
	}
}

// line returns an effect in its wire format. Call IDs are left out: they only match answers to calls
// within a process.
func (t *Trace) line(effect controller.Effect) string {
	switch e := effect.(type) {
	case controller.Reply:
		return fmt.Sprintf("reply to=%d status=%d retry=%d body=%s", e.RequestID, e.Status, e.RetryAfterSeconds, traceJSON(e.Body))
	case controller.StoreCall:
		return traceStoreRequest(&e.Request)
	case controller.CloudCall:
		return traceCloudRequest(&e)
	case controller.AgentCall:
		return fmt.Sprintf("command addr=%s body=%s", e.Address, traceJSON(e.Commands))
	case controller.BroadcastHeartbeat:
		return "heartbeat " + t.heartbeat(e.Heartbeat)
	}
	panic(fmt.Sprintf("trace: unknown effect %T", effect)) // each type of effect needs a case here
}

func traceStoreRequest(request *kv.Request) string {
	switch request.Kind {
	case kv.Get:
		return "store get key=" + request.Key
	case kv.List:
		return fmt.Sprintf("store list under=%s since=%s", request.Key, request.After)
	case kv.Transact:
		return "store txn " + traceJSON(request.Txn)
	case kv.GrantLease:
		return fmt.Sprintf("store grant ttl=%d", request.TTLMillis)
	case kv.RenewLease:
		return fmt.Sprintf("store renew lease=%d", request.LeaseID)
	case kv.Watch:
		return fmt.Sprintf("store watch under=%s since=%d hold=%d", request.Key, request.Revision, request.WaitMillis)
	}
	panic(fmt.Sprintf("trace: unknown kind of store request %d", request.Kind))
}

func traceCloudRequest(request *controller.CloudCall) string {
	switch request.Op {
	case controller.CloudCatalog:
		return "cloud catalog"
	case controller.CloudRent:
		return "cloud rent " + traceJSON(request.Rental)
	case controller.CloudDelete:
		return "cloud delete " + traceJSON(request.Machines)
	case controller.CloudList:
		return "cloud list since=" + request.After
	}
	panic(fmt.Sprintf("trace: unknown kind of cloud call %d", request.Op))
}

// wireHeartbeat has the fields of peer.Heartbeat under the names that gob encodes. It is declared here
// once more so that a renamed field changes the digest: controllers of different versions match fields by
// name.
type wireHeartbeat struct {
	Member  string
	Inc     string
	StateOK bool
	Heard   map[string]int64
	Open    map[string][]string
	Ended   []wireEndedTask
	Writes  float64
}

type wireEndedTask struct {
	Job string
	Num int
	Ran int64
}

// heartbeat encodes a heartbeat with gob, decodes it and returns it as JSON, which sorts the keys of
// maps; gob does not.
func (t *Trace) heartbeat(heartbeat peer.Heartbeat) string {
	if err := t.encoder.Encode(&heartbeat); err != nil {
		panic(fmt.Sprintf("trace: encode heartbeat: %v", err))
	}
	var received wireHeartbeat
	if err := t.decoder.Decode(&received); err != nil {
		panic(fmt.Sprintf("trace: decode heartbeat: %v", err))
	}
	return traceJSON(received)
}

func traceJSON(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("trace: encode %T: %v", value, err))
	}
	return string(encoded)
}

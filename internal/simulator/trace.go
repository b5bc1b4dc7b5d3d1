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

// Trace digests everything that controllers send during a run: replies, requests to the key-value
// store and the cloud, direct commands, heartbeats, each with its simulated time, its sender and its
// place in the order. Two versions of the code whose traces are equal behave the same on that run.
// Every effect is written field by field in the form that it has on the wire, so neither names of Go
// types and fields nor log lines enter. The words of the lines must not change: digests are compared
// across versions.
type Trace struct {
	digest  hash.Hash
	effects int
	lines   io.Writer // each effect as a line of text; nil: only the digest is kept

	// Heartbeats pass through one stream of gob, as they do between two controllers.
	wire    bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// NewTrace returns an empty trace. If lines is not nil, each effect is also written to it as a
// line of text.
func NewTrace(lines io.Writer) *Trace {
	t := &Trace{digest: sha256.New(), lines: lines}
	t.encoder, t.decoder = gob.NewEncoder(&t.wire), gob.NewDecoder(&t.wire)
	return t
}

// String gives the digest and the number of effects.
func (t *Trace) String() string {
	return fmt.Sprintf("%x %d", t.digest.Sum(nil)[:12], t.effects)
}

// record adds one effect. A nil trace records nothing.
func (t *Trace) record(now units.Micros, sender string, effect controller.Effect) {
	if t == nil {
		return
	}
	t.effects++
	line := fmt.Sprintf("%d %s %s\n", now, sender, t.line(effect))
	io.WriteString(t.digest, line) //nolint:errcheck // a hash never fails
	if t.lines != nil {
		io.WriteString(t.lines, line) //nolint:errcheck // a lost line shows as a difference
	}
}

// line writes an effect in the form that it has on the wire. Numbers that only match calls to
// their answers within a process are left out.
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
	panic(fmt.Sprintf("trace: unknown effect %T", effect)) // a fault of the program: a new effect is to be added here
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
	panic(fmt.Sprintf("trace: unknown request %d", request.Kind))
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
	panic(fmt.Sprintf("trace: unknown call of the cloud %d", request.Op))
}

// wireHeartbeat has the fields of a heartbeat by the names that gob carries between controllers of
// different versions. It is written out here so that a renamed field shows as a difference.
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

// heartbeat takes a heartbeat through gob. Maps are written in the order of their keys, which gob
// does not keep.
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

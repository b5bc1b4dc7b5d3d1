package simulator

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/peer"
	"frostdock.example/frostdock/internal/units"
)

// traceFor returns the trace of a test's scenario if tools/behavior-trace has set TRACE_DIR, else nil.
// The digest is written to a file in that directory, and with TRACE_LINES also a line for each effect.
func traceFor(t *testing.T) *Trace {
	t.Helper()
	dir := os.Getenv("TRACE_DIR")
	if dir == "" {
		return nil
	}
	path := filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-"))
	trace := NewTrace(nil)
	if os.Getenv("TRACE_LINES") != "" {
		file, err := os.Create(path + ".lines")
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewWriter(file)
		trace = NewTrace(lines)
		t.Cleanup(func() {
			if err := lines.Flush(); err != nil {
				t.Error(err)
			}
			if err := file.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(func() {
		if err := os.WriteFile(path+".digest", []byte(trace.String()+"\n"), 0o644); err != nil {
			t.Error(err)
		}
	})
	return trace
}

// TestTraceTellsEffectsApart checks that every part of an effect changes the digest, except the ID that
// only matches an answer to its call.
func TestTraceTellsEffectsApart(t *testing.T) {
	digest := func(now units.Micros, controller string, e controller.Effect) string {
		trace := NewTrace(nil)
		trace.record(now, controller, e)
		return trace.String()
	}
	commit := func(id uint64, value string) controller.Effect {
		op := kv.Operation{Set: "k/a", Value: []byte(value), LeaseID: 3}
		return controller.StoreCall{CallID: id, Request: kv.Request{Kind: kv.Transact, Txn: &kv.Txn{Operations: []kv.Operation{op}}}}
	}
	beat := func(member string, heard int64) controller.Effect {
		return controller.BroadcastHeartbeat{Heartbeat: peer.Heartbeat{Member: member, Heard: map[string]int64{"n-1": heard, "n-2": 5}}}
	}
	base := digest(1, "node0", commit(1, `{"a":1}`))
	different := map[string]string{
		"time":       digest(2, "node0", commit(1, `{"a":1}`)),
		"controller": digest(1, "node1", commit(1, `{"a":1}`)),
		"value":      digest(1, "node0", commit(1, `{"a":2}`)),
		"kind":       digest(1, "node0", controller.StoreCall{Request: kv.Request{Kind: kv.Get, Key: "k/a"}}),
	}
	for what, other := range different {
		if other == base {
			t.Errorf("a different %s gives the same digest", what)
		}
	}
	if digest(1, "node0", commit(9, `{"a":1}`)) != base {
		t.Error("the ID of a call changes the digest")
	}
	first, second := digest(1, "node0", beat("a", 7)), digest(1, "node0", beat("a", 7))
	if first != second {
		t.Error("two digests of the same heartbeat differ")
	}
	if digest(1, "node0", beat("a", 7)) == digest(1, "node0", beat("a", 8)) {
		t.Error("a different heartbeat gives the same digest")
	}
}

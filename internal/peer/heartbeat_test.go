package peer

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"
)

// TestReadsPreviousVersion checks that heartbeats sent by the version in production can be decoded.
func TestReadsPreviousVersion(t *testing.T) {
	raw, err := os.ReadFile("testdata/before.gob")
	if err != nil {
		t.Fatal(err)
	}
	dec := gob.NewDecoder(bytes.NewReader(raw))
	for i := range 2 {
		var b Heartbeat
		if err := dec.Decode(&b); err != nil {
			t.Fatal(err)
		}
		if b.Member != "bay-1" || b.StateOK != (i == 1) || b.Heard["n-000231"] != int64(1000+i) || len(b.Open["n-000231"]) != 2 || b.Ended != nil || b.Writes != 0 {
			t.Errorf("%+v", b)
		}
	}
}

// previousHeartbeat is the Heartbeat of the previous version. It must not change.
type previousHeartbeat struct {
	Member  string
	Inc     string
	StateOK bool
	Heard   map[string]int64
	Open    map[string][]string
}

// TestReadByPreviousVersion checks that the previous version decodes a current heartbeat and ignores
// the fields that it does not know.
func TestReadByPreviousVersion(t *testing.T) {
	var stream bytes.Buffer
	enc := gob.NewEncoder(&stream)
	for range 2 {
		b := Heartbeat{Member: "bay-2", Inc: "cafe", StateOK: true, Heard: map[string]int64{"n-1": 7}, Ended: []EndedTask{{Job: "j-000412", Num: 3, Ran: 9}}, Writes: 3.5}
		if err := enc.Encode(&b); err != nil {
			t.Fatal(err)
		}
	}
	dec := gob.NewDecoder(&stream)
	for range 2 {
		var b previousHeartbeat
		if err := dec.Decode(&b); err != nil || b.Member != "bay-2" || b.Heard["n-1"] != 7 {
			t.Fatalf("%+v, %v", b, err)
		}
	}
}

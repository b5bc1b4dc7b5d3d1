package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// The files in testdata/before were written by the version in production, which knows
// FormatInitial. While both versions serve each reads what the other writes.

func golden[T any](t *testing.T, name string) T {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "before", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	var doc T
	if err := json.Unmarshal(raw, &doc); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return doc
}

// TestReadsBefore reads the documents of the version before, whole.
func TestReadsBefore(t *testing.T) {
	jobShard := golden[JobShard](t, "shelf_large")
	if len(jobShard.Jobs) != 30 || jobShard.ShardCount != 0 || jobShard.WriteTag != "inc-2" {
		t.Errorf("job shard: %d jobs, %+v", len(jobShard.Jobs), jobShard.WriteTag)
	}
	want := Job{ID: "j-000577", Class: "tiles", Team: "red", Priority: 1, Tasks: 2, CPUs: 2, GPUs: 1, MemGB: 7.4, Types: []string{"big", "small"},
		Zone: "a", Image: "img-01", ImageGB: 1.25, EstimatedSeconds: 40.5, CheckpointIntervalSeconds: 30, CheckpointSeconds: 4, DeadlineSeconds: 900, AcceptedAt: 1e15 + 1}
	if got := golden[JobShard](t, "shelf_small").Jobs[0]; fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Errorf("job: %+v", got)
	}
	machineShard := golden[MachineShard](t, "group_large")
	tasks := 0
	for _, m := range machineShard.Machines {
		tasks += len(m.Tasks)
	}
	if m := machineShard.Machines[5]; machineShard.Partition != 2 || len(machineShard.Machines) != 20 || tasks != 190 || !m.Decommissioned || m.TokenIncrements != 1 || m.Zone != "b" || m.Tasks[1].StopMode != StopGracefully || m.Tasks[1].DoneTenths != 124 {
		t.Errorf("machine shard: %d machines, %d tasks, %+v", len(machineShard.Machines), tasks, m)
	}
	if g := golden[MachineShard](t, "group_small"); g.Handovers != 2 || g.Machines[0].Addr != "10.1.0.2:9000" {
		t.Errorf("machine shard: %+v", g)
	}
	if p := golden[ProgressSegment](t, "pack"); p.Jobs["j-000577"] != (JobProgress{DoneRanges: "0-7,9", AverageSeconds: 41.5, Samples: 9}) {
		t.Errorf("progress: %+v", p)
	}
	if f := golden[Outcome](t, "final_done"); f != (Outcome{State: "done", TasksDone: 16, WriteTag: "inc-6"}) {
		t.Errorf("outcome: %+v", f)
	}
	if p := golden[Partition](t, "part"); p != (Partition{Term: 7, Member: "bay-1", Incarnation: "f00d", WriteTag: "inc-8"}) {
		t.Errorf("partition: %+v", p)
	}
	if l := golden[Layout](t, "layout"); l != (Layout{MachineShards: 24, JobShards: 24}) {
		t.Errorf("layout: %+v", l)
	}
	if r := golden[Registration](t, "registration"); r != (Registration{Incarnation: "f00d"}) {
		t.Errorf("registration: %+v", r)
	}
}

// The shapes of the version before, frozen: it drops every field that is not among them.
type (
	jobBefore struct {
		ID      string   `json:"i"`
		Class   string   `json:"c"`
		Team    string   `json:"tm"`
		Service bool     `json:"s,omitempty"`
		Grade   int      `json:"g"`
		Tasks   int      `json:"n"`
		CPUs    float64  `json:"cp"`
		GPUs    float64  `json:"gp,omitempty"`
		MemGB   float64  `json:"me"`
		Types   []string `json:"ty,omitempty"`
		Zone    string   `json:"z,omitempty"`
		OneZone bool     `json:"oz,omitempty"`
		Spread  bool     `json:"sd,omitempty"`
		Spot    bool     `json:"sp,omitempty"`
		Image   string   `json:"im"`
		ImageGB float64  `json:"ig"`
		EstS    float64  `json:"es"`
		CkptS   float64  `json:"ck,omitempty"`
		SaveS   float64  `json:"sv,omitempty"`
		DueS    float64  `json:"du,omitempty"`
		At      int64    `json:"at"`
	}
	shelfBefore struct {
		Jobs []jobBefore `json:"j,omitempty"`
		Mark string      `json:"w,omitempty"`
	}
	machineBefore struct {
		Name     string `json:"n"`
		Addr     string `json:"a"`
		Ref      int    `json:"k"`
		Handover uint64 `json:"h,omitempty"`
		Retired  bool   `json:"r,omitempty"`
		Tasks    string `json:"t,omitempty"`
	}
	groupBefore struct {
		Part     int             `json:"p"`
		Handover uint64          `json:"h,omitempty"`
		Kinds    []MachineKind   `json:"k,omitempty"`
		Machines []machineBefore `json:"m,omitempty"`
		Mark     string          `json:"w,omitempty"`
	}
	layoutBefore struct {
		Groups  int `json:"g"`
		Shelves int `json:"j"`
	}
)

// strictly decodes a document and fails on a field that the version before does not know.
func strictly(t *testing.T, doc, into any) {
	t.Helper()
	raw, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	dec := json.NewDecoder(bytes.NewReader(PlainJSON(raw)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		t.Errorf("%T: %v", doc, err)
	}
}

// TestWritesBefore shows that documents without anything new have nothing that the version
// before would lose when it writes them anew.
func TestWritesBefore(t *testing.T) {
	jobShard, machineShard := golden[JobShard](t, "shelf_large"), golden[MachineShard](t, "group_large")
	var s shelfBefore
	strictly(t, jobShard, &s)
	if len(s.Jobs) != 30 || s.Jobs[7].ID != jobShard.Jobs[7].ID {
		t.Errorf("%d jobs", len(s.Jobs))
	}
	var g groupBefore
	strictly(t, machineShard, &g)
	if len(g.Machines) != 20 || g.Machines[7].Name != machineShard.Machines[7].Name {
		t.Errorf("%d machines", len(g.Machines))
	}
	var l layoutBefore
	strictly(t, Layout{MachineShards: 24, JobShards: 30}, &l)
	if l != (layoutBefore{24, 30}) {
		t.Errorf("layout: %+v", l)
	}
}

// TestShutsOutBefore shows that a process of the version before that starts after all others
// know the new format finds no layout: it never finishes to load, and so changes nothing.
func TestShutsOutBefore(t *testing.T) {
	raw, err := json.Marshal(Layout{MachineShards: 24, JobShards: 30, Format: FormatDependencies})
	if err != nil {
		t.Fatal(err)
	}
	var before layoutBefore
	if err := json.Unmarshal(raw, &before); err != nil || before.Groups > 0 || before.Shelves > 0 {
		t.Errorf("%s: it reads %+v, %v", raw, before, err)
	}
	var now Layout
	if err := json.Unmarshal(raw, &now); err != nil || now != (Layout{MachineShards: 24, JobShards: 30, Format: FormatDependencies}) {
		t.Errorf("%s: %+v, %v", raw, now, err)
	}
}

package schema

import (
	"encoding/json"
	"fmt"
	"testing"
)

// benchmarkMachineShard returns a machine shard of twelve machines with eight tasks each.
func benchmarkMachineShard() MachineShard {
	shard := MachineShard{Partition: 3, WriteTag: "inc-7"}
	for n := range 12 {
		machine := Machine{Name: fmt.Sprintf("n-%06d", n*96), Addr: fmt.Sprintf("10.1.0.%d:9000", n), MachineKind: MachineKind{Type: "g8", Zone: "a", Spot: n%2 == 0}}
		for k := range 8 {
			machine.Tasks = append(machine.Tasks, Task{Job: fmt.Sprintf("j-%06d", 400+k/3), Index: n*8 + k, Attempt: 3<<28 | 9, DoneTenths: k / 7})
		}
		shard.Machines = append(shard.Machines, machine)
	}
	return shard
}

func BenchmarkEncodeMachineShard(b *testing.B) {
	shard := benchmarkMachineShard()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := json.Marshal(shard); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeMachineShard(b *testing.B) {
	raw, err := json.Marshal(benchmarkMachineShard())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var shard MachineShard
		if err := json.Unmarshal(raw, &shard); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTaskSetUnion(b *testing.B) {
	set, err := ParseTaskSet("0-7,9,12-40,44,46,50-99")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		set.Union(NewTaskSet([]int{45}))
	}
}

package schema

import (
	"encoding/json"
	"fmt"
	"slices"
)

// MachineShard is one shard of the machines, all of one partition, with the tasks that may be on them. A
// task is stored here before its start is commanded, so that a new leader knows every task that may be
// running without asking the agents.
type MachineShard struct {
	Partition  int           `json:"p"`
	Handovers  uint64        `json:"h,omitempty"`  // number of times that the shard moved to another partition
	ShardCount int           `json:"of,omitempty"` // modulus of the names in the shard, see FindShard; 0: never split
	Kinds      []MachineKind `json:"k,omitempty"`  // kinds that the machines refer to by KindIndex; used only in the stored form
	Machines   []Machine     `json:"m,omitempty"`
	WriteTag   string        `json:"w,omitempty"` // tag of the transaction that wrote it
}

// Machine is a machine and all tasks that may be on it.
type Machine struct {
	Name            string `json:"n"`
	Addr            string `json:"a"`
	MachineKind     `json:"-"`
	KindIndex       int    `json:"k"`           // index into the shard's Kinds; used only in the stored form
	TokenIncrements uint64 `json:"h,omitempty"` // raises of the fencing token for this machine alone, used or reserved, besides the shard's Handovers
	Decommissioned  bool   `json:"r,omitempty"` // to be deleted in the cloud: no task is placed on it
	Tasks           Tasks  `json:"t,omitempty"`
}

// MachineKind holds properties that many machines have in common. A shard stores each kind once.
type MachineKind struct {
	Type string `json:"y"`
	Zone string `json:"z"`
	Spot bool   `json:"s,omitempty"`
}

// FirstMachine names the first machine that frostdock rented. Names are numbered in order of creation,
// so all earlier machines are the operator's own, which are never deleted.
type FirstMachine struct {
	Name     string `json:"n"`
	WriteTag string `json:"w,omitempty"` // tag of the transaction that wrote it
}

// plainMachineShard is a MachineShard without its methods, so that encoding/json does not call them.
type plainMachineShard MachineShard

// MarshalJSON collects the kinds of the machines and writes the shorter of the plain and the
// deflated form.
func (s MachineShard) MarshalJSON() ([]byte, error) {
	out := plainMachineShard(s)
	out.Kinds, out.Machines = nil, slices.Clone(s.Machines)
	for i := range out.Machines {
		machine := &out.Machines[i]
		if machine.KindIndex = slices.Index(out.Kinds, machine.MachineKind); machine.KindIndex < 0 {
			machine.KindIndex = len(out.Kinds)
			out.Kinds = append(out.Kinds, machine.MachineKind)
		}
	}
	return compress(out)
}

// UnmarshalJSON reads either form and sets the MachineKind of each machine.
func (s *MachineShard) UnmarshalJSON(raw []byte) error {
	var decoded plainMachineShard
	raw, err := decompress(raw)
	if err != nil {
		return fmt.Errorf("decode machine shard: %w", err)
	}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return fmt.Errorf("decode machine shard: %w", err)
	}
	if err := checkShardCount(decoded.ShardCount, MaxReadableShardCount); err != nil {
		return err
	}
	for i := range decoded.Machines {
		machine := &decoded.Machines[i]
		if machine.KindIndex < 0 || machine.KindIndex >= len(decoded.Kinds) {
			return fmt.Errorf("decode machine shard: machine %s refers to kind %d of %d", machine.Name, machine.KindIndex, len(decoded.Kinds))
		}
		machine.MachineKind = decoded.Kinds[machine.KindIndex]
	}
	*s = MachineShard(decoded)
	return nil
}

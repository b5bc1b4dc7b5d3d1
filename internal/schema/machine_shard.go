package schema

import (
	"encoding/json"
	"fmt"
	"slices"
)

// MachineShard is some machines of one partition with all tasks that may be on them. A task is
// stored here before its start is commanded, so that a new leader knows of every task that
// may run without asking.
type MachineShard struct {
	Partition  int           `json:"p"`
	Handovers  uint64        `json:"h,omitempty"`  // how often the shard changed partitions
	ShardCount int           `json:"of,omitempty"` // of how many shards it is one, if it was split; see FindShard
	Kinds      []MachineKind `json:"k,omitempty"`  // that the machines refer to; exists only in the stored form
	Machines   []Machine     `json:"m,omitempty"`
	WriteTag   string        `json:"w,omitempty"` // of the transaction that wrote it
}

// Machine is a machine and all tasks that may be on it.
type Machine struct {
	Name            string `json:"n"`
	Addr            string `json:"a"`
	MachineKind     `json:"-"`
	KindIndex       int    `json:"k"`           // among the shard's Kinds; means something only in the stored form
	TokenIncrements uint64 `json:"h,omitempty"` // how often the fencing token was raised for this machine alone
	Decommissioned  bool   `json:"r,omitempty"` // to be deleted in the cloud: no task is placed on it
	Tasks           Tasks  `json:"t,omitempty"`
}

// MachineKind is what many machines have in common. A shard stores each kind once.
type MachineKind struct {
	Type string `json:"y"`
	Zone string `json:"z"`
	Spot bool   `json:"s,omitempty"`
}

// FirstMachine names the first machine that frostdock rented. Names are in order of creation, so
// all earlier machines are the operator's own, which are never deleted.
type FirstMachine struct {
	Name     string `json:"n"`
	WriteTag string `json:"w,omitempty"` // of the transaction that wrote it
}

// plainMachineShard is a MachineShard without its methods, so that encoding/json does not call them.
type plainMachineShard MachineShard

// MarshalJSON lists the kinds of the machines and writes the shorter of the plain and the
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

// UnmarshalJSON reads either form and gives the machines their kinds.
func (s *MachineShard) UnmarshalJSON(raw []byte) error {
	var decoded plainMachineShard
	raw, err := decompress(raw)
	if err != nil {
		return fmt.Errorf("decode machine shard: %w", err)
	}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return fmt.Errorf("decode machine shard: %w", err)
	}
	if err := checkShardCount(decoded.ShardCount); err != nil {
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

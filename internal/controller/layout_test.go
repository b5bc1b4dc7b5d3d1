package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// TestLayout starts controllers on stores that were laid out before. A controller with
// other settings must go by the store's layout: it would look for machines in the wrong
// documents, and start their tasks once more.
func TestLayout(t *testing.T) {
	const valueKB = 8
	limited, open := []config.Team{{Name: "red", QuotaCPUs: 1000}}, []config.Team{{Name: "red"}}
	narrow, wide := schema.NewLayout(valueKB, 1000), schema.NewLayout(valueKB, 0)
	if narrow == wide {
		t.Fatal("the limit makes no difference")
	}
	for name, tc := range map[string]struct {
		teams  []config.Team
		stored *schema.Layout
		groups bool // of a store from before layouts
		want   schema.Layout
	}{
		"new store, limited":     {teams: limited, want: narrow},
		"new store, not limited": {teams: open, want: wide},
		"limit taken away since": {teams: open, stored: &narrow, want: narrow},
		"limit set since":        {teams: limited, stored: &wide, want: wide},
		"store without a layout": {teams: limited, groups: true, want: wide},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := &config.Config{Member: "a"}
			s := &cfg.Settings
			s.Size, s.Teams = 1, tc.teams
			s.KVStore.ValueKB, s.KVStore.TxnOps, s.KVStore.RPS, s.KVStore.WriteRPS = valueKB, 12, 350, 35
			s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 6, 31, 56
			o := &fakeStore{keys: map[string]kv.KeyValue{}, asked: map[kv.RequestKind]int{}}
			if tc.stored != nil {
				o.put(schema.LayoutKey, tc.stored)
			}
			if tc.groups {
				o.put(schema.MachineShardKey(wide.MachineShards-1), schema.MachineShard{Machines: []schema.Machine{{Name: "n-000047", Addr: "x"}}})
			}
			c := quietController(cfg)
			step := o.stepper(c)
			for range 100 {
				step()
			}
			if !c.replica.synced {
				t.Fatal("not loaded")
			}
			if got := (schema.Layout{MachineShards: len(c.replica.machineShards), JobShards: len(c.replica.jobShards)}); got != tc.want {
				t.Errorf("%+v, want %+v", got, tc.want)
			}
			if tc.groups && c.replica.machines["n-000047"] == nil {
				t.Error("the machine is not found")
			}
			if _, ok := o.keys[schema.LayoutKey]; !ok {
				t.Error("the layout is not stored")
			}
		})
	}
}

package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
)

// TestRegistrations checks that the format is raised only if every configured member is registered with
// it and no process is registered with an earlier one.
func TestRegistrations(t *testing.T) {
	const current, previous = schema.FormatDependencies, schema.FormatInitial
	for name, tc := range map[string]struct {
		formats map[string]int // by member and incarnation
		want    bool
	}{
		"all new":                       {map[string]int{"a/1": current, "b/1": current, "c/1": current}, true},
		"one is missing":                {map[string]int{"a/1": current, "b/1": current}, false},
		"one is old":                    {map[string]int{"a/1": current, "b/1": previous, "c/1": current}, false},
		"an old self is registered yet": {map[string]int{"a/1": current, "b/1": previous, "b/2": current, "c/1": current}, false},
		"one is registered twice":       {map[string]int{"a/1": current, "a/2": current, "b/1": current}, false},
		"a stranger is old":             {map[string]int{"a/1": current, "b/1": current, "c/1": current, "d/1": previous}, false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := &config.Config{Member: "a", Peers: []config.Peer{{Member: "b"}, {Member: "c"}}}
			cfg.Settings.Size, cfg.Settings.KVStore.ValueKB, cfg.Settings.KVStore.TxnOps = 3, 4, 12
			c := newTestController(cfg)
			revision := uint64(10)
			for process, format := range tc.formats {
				revision++
				c.replica.apply(schema.RegistrationPrefix+process, encode(schema.Registration{Incarnation: "x", Format: format}), revision, false)
			}
			conditions, ok := c.gate.memberRegistrations()
			if ok != tc.want || ok && len(conditions) != len(tc.formats) {
				t.Errorf("%v, %v", ok, conditions)
			}
			for _, condition := range conditions {
				if condition.ModRevision == 0 {
					t.Errorf("the condition on %s requires the key to be absent", condition.Key)
				}
			}
		})
	}
}

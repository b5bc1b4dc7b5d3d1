package simulator

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// TestRestartCheckCatches changes stored documents without telling the controllers, and checks that each controller
// is then found to know something else than a new one.
func TestRestartCheckCatches(t *testing.T) {
	for name, prefix := range map[string]string{
		"nothing":   "",
		"machine":   schema.MachineShardPrefix,
		"job":       schema.JobShardPrefix,
		"partition": schema.PartitionPrefix,
	} {
		t.Run(name, func(t *testing.T) {
			w := worldWithService(t)
			for key := range w.store.keys {
				if prefix != "" && strings.HasPrefix(key, prefix) {
					delete(w.store.keys, key)
				}
			}
			w.checkRestart()
			if found := len(w.checker.Violations); (found > 0) != (prefix != "") {
				t.Errorf("%d violations: %v", found, w.checker.Violations)
			}
		})
	}
}

// worldWithService returns a region in which three controllers have started a service on two machines.
func worldWithService(t *testing.T) *World {
	t.Helper()
	const controllers = 3
	s, err := Parse(strings.NewReader(`
set nodes=3 seed=5
team red
type big cpus=16 mem=64 zones=a count=0
machines big n=2
at 2 submit j-1 kind=service n=2
`))
	if err != nil {
		t.Fatal(err)
	}
	w := newWorld(&s.options, io.Discard, nil)
	for i := range controllers {
		w.addProcess(&config.Config{Member: fmt.Sprintf("node%d", i), Settings: w.settings}, false)
	}
	for range s.machines[0].count {
		w.cloud.bootCompleted(w.cloud.create(s.machines[0].offer))
	}
	s.schedule(w, func(err error) { t.Fatal(err) })
	w.run(startTime + 20*units.Second)
	return w
}

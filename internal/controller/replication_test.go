package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
)

// TestLayout starts controllers on new stores and on stores that have a layout. A controller with other
// settings must use the stored layout: otherwise it would look for machines in the wrong documents and
// start their tasks once more.
func TestLayout(t *testing.T) {
	const valueKB = 8
	limited, unlimited := []config.Team{{Name: "red", QuotaCPUs: 1000}}, []config.Team{{Name: "red"}}
	narrow, wide := schema.NewLayout(valueKB, 1000), schema.NewLayout(valueKB, 0)
	if narrow == wide {
		t.Fatal("the quota makes no difference to the layout")
	}
	for name, tc := range map[string]struct {
		teams  []config.Team
		stored *schema.Layout
		shards bool // the store has a machine shard from a version without layouts
		want   schema.Layout
	}{
		"new store, limited":     {teams: limited, want: narrow},
		"new store, not limited": {teams: unlimited, want: wide},
		"limit taken away since": {teams: unlimited, stored: &narrow, want: narrow},
		"limit set since":        {teams: limited, stored: &wide, want: wide},
		"store without a layout": {teams: limited, shards: true, want: wide},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := layoutConfig(tc.teams, valueKB)
			store := &fakeStore{keys: map[string]kv.KeyValue{}, requestCounts: map[kv.RequestKind]int{}}
			if tc.stored != nil {
				store.put(schema.LayoutKey, tc.stored)
			}
			if tc.shards {
				store.put(schema.MachineShardKey(wide.MachineShards-1), schema.MachineShard{Machines: []schema.Machine{{Name: "n-000047", Addr: "x"}}})
			}
			c := store.startController(t, cfg)
			if got := (schema.Layout{MachineShards: len(c.replica.machineShards.all()), JobShards: len(c.replica.jobShards.all())}); got != tc.want {
				t.Errorf("%+v, want %+v", got, tc.want)
			}
			if tc.shards && c.replica.machines["n-000047"] == nil {
				t.Error("the machine is not found")
			}
			if _, ok := store.keys[schema.LayoutKey]; !ok {
				t.Error("the layout is not stored")
			}
		})
	}
}

// layoutConfig returns the configuration of one member with the given teams and value limit.
func layoutConfig(teams []config.Team, valueKB float64) *config.Config {
	cfg := &config.Config{Member: "a"}
	settings := &cfg.Settings
	settings.Size, settings.Teams = 1, teams
	settings.KVStore.ValueKB, settings.KVStore.TxnOps, settings.KVStore.RPS, settings.KVStore.WriteRPS = valueKB, 12, 350, 35
	settings.Workers.HeartbeatS, settings.Workers.LeaseS, settings.Workers.CancelS = 6, 31, 56
	return cfg
}

// startController runs a controller on the store for enough steps to load the replica.
func (o *fakeStore) startController(t *testing.T, cfg *config.Config) *Controller {
	t.Helper()
	c := newTestController(cfg)
	step := o.stepper(c)
	for range 100 {
		step()
	}
	if !c.replica.synced {
		t.Fatal("not loaded")
	}
	return c
}

// registered returns a registration as a page or an event of the store shows it.
func registered(member string, revision uint64) kv.KeyValue {
	key := schema.RegistrationKey(member, member+".1")
	return kv.KeyValue{Key: key, Value: encode(schema.Registration{Incarnation: member + ".1"}), ModRevision: revision}
}

// TestLoad reloads a replica from two pages that were read at different times. Keys that no page lists
// are dropped, unless they were written after the first page.
func TestLoad(t *testing.T) {
	c := newPartitionLeader()
	store := &scriptedStore{t: t, c: c}
	for _, item := range []kv.KeyValue{registered("gone", 3), registered("since", 50)} {
		c.replica.apply(item.Key, item.Value, item.ModRevision, false)
	}
	layout := kv.KeyValue{Key: schema.LayoutKey, Value: encode(c.replica.layout), ModRevision: 1}

	c.replicator.load()
	store.answer(kv.Response{Status: kv.StatusUnavailable})
	store.answer(kv.Response{Status: kv.StatusOK, Revision: 20, Truncated: true, Items: []kv.KeyValue{layout, registered("first", 11)}})
	if c.replica.synced {
		t.Error("synced after one page of two")
	}
	store.answer(kv.Response{Status: kv.StatusOK, Revision: 30, Items: []kv.KeyValue{registered("second", 25)}})
	if !c.replica.synced || c.replica.complete() {
		t.Errorf("synced %v, complete %v before the watch has passed the last page", c.replica.synced, c.replica.complete())
	}
	for member, want := range map[string]bool{"gone": false, "since": true, "first": true, "second": true} {
		if _, shown := c.replica.registeredSince[registered(member, 0).Key]; shown != want {
			t.Errorf("%s shown: %v", member, shown)
		}
	}
	store.answer(kv.Response{Status: kv.StatusOK, Revision: 30})
	if !c.replica.complete() {
		t.Error("not complete when the watch has passed the last page")
	}
	if after := store.requests[2].After; after != registered("first", 0).Key {
		t.Errorf("second page is read after %s", after)
	}
	if watched := store.requests[3].Revision; watched != 20 {
		t.Errorf("watch from revision %d, want that of the first page", watched)
	}
}

// TestWatchCompacted checks that everything is reloaded once the store lacks changes that the watch needs.
func TestWatchCompacted(t *testing.T) {
	c := newPartitionLeader()
	store := &scriptedStore{t: t, c: c}
	c.replicator.watch()
	store.answer(kv.Response{Status: kv.StatusCompacted, Revision: 900})
	if c.replica.synced || c.authority.mayAct() {
		t.Error("a replica that lacks changes still counts as synced, or permits acting")
	}
	store.answer(kv.Response{Status: kv.StatusUnavailable})
	if kind := store.requests[1].Kind; kind != kv.List {
		t.Errorf("request of kind %v, want a page", kind)
	}
}

// TestWatchLag checks that a new watch is opened when other answers show later changes for too long, and
// that a late answer to the old one is ignored.
func TestWatchLag(t *testing.T) {
	c := newPartitionLeader()
	store := &scriptedStore{t: t, c: c}
	c.replicator.watch()
	lagging := c.effects
	c.effects = nil
	c.store.seenRevision = 40
	c.replicator.checkLag()
	c.now += maxWatchLag
	c.replicator.checkLag()
	if len(c.effects) != 0 {
		t.Error("watch reopened too early")
	}
	c.now++
	c.replicator.checkLag()
	reopened := c.effects
	c.replicator.checkLag()
	if len(reopened) != 1 || len(c.effects) != 1 {
		t.Fatalf("%d watches opened", len(c.effects))
	}

	c.effects = lagging
	store.answer(kv.Response{Status: kv.StatusOK, Revision: 40})
	if c.replica.watchRevision != 10 || len(c.effects) != 0 {
		t.Errorf("the old watch advances the replica to revision %d", c.replica.watchRevision)
	}
	c.effects = reopened
	event := registered("b", 35)
	store.answer(kv.Response{Status: kv.StatusOK, Revision: 40, Events: []kv.Event{{Set: event.Key, Value: event.Value, ModRevision: 35}}})
	if c.replica.watchRevision != 40 || c.replica.revisions[event.Key] != 35 {
		t.Errorf("the new watch advances the replica to revision %d", c.replica.watchRevision)
	}
}

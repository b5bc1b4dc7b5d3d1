package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// newPartitionLeader returns a controller that leads partition 0 and has full authority to act and start
// tasks.
func newPartitionLeader() *Controller {
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB, cfg.Settings.KVStore.RPS = 1, 100, 250
	cfg.Settings.Workers.HeartbeatS, cfg.Settings.Workers.LeaseS, cfg.Settings.Workers.CancelS = 6, 31, 56
	c := newTestController(cfg)
	c.now = 100 * units.Second
	c.membership.registered = true
	c.replica.notePage(10)
	c.replica.beginSync(10)
	c.freshness.provenAt = c.now - units.Second
	c.replica.partitions[0] = &partitionDoc{revision: 8, doc: schema.Partition{Term: 3, Member: "a", Incarnation: c.membership.incarnation}}
	c.leaderships.partitionChanged(0)
	return c
}

// TestAuthority removes one precondition at a time from a leader that may act, and checks its permissions.
func TestAuthority(t *testing.T) {
	for name, tc := range map[string]struct {
		remove                    func(c *Controller)
		mayAct, mayStart, leading bool
	}{
		"nothing":            {func(*Controller) {}, true, true, true},
		"the registration":   {func(c *Controller) { c.membership.registered = false }, false, false, false},
		"the replica":        {func(c *Controller) { c.replica.beginLoad() }, false, false, false},
		"a complete replica": {func(c *Controller) { c.replica.notePage(11) }, false, false, false},
		"any proof":          {func(c *Controller) { c.freshness.provenAt = 0 }, false, false, false},
		"any proof, at once": {func(c *Controller) { c.freshness.provenAt, c.now = 0, units.Second }, false, false, false},
		"a proof for starts": {func(c *Controller) { c.freshness.provenAt = c.now - maxStartProofAge }, true, false, true},
		"a recent proof": {func(c *Controller) { c.freshness.provenAt = c.now - c.cfg.Settings.StalenessBound() }, false,
			false, false},
		"the partition":                  {func(c *Controller) { c.partitions.resign(0) }, true, true, false},
		"what the former leader wrote":   {func(c *Controller) { c.partitions.led[0].revision = 11 }, true, true, false},
		"the lease":                      {func(c *Controller) { c.membership.abandonIncarnation() }, false, false, false},
		"the lease, but for a new entry": {func(c *Controller) { c.membership.abandonIncarnation(); c.membership.registered = true }, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPartitionLeader()
			tc.remove(c)
			if got := c.authority.mayAct(); got != tc.mayAct {
				t.Errorf("may act: %v", got)
			}
			if got := c.authority.mayStartTasks(); got != tc.mayStart {
				t.Errorf("may start tasks: %v", got)
			}
			if got := c.authority.leads(0); got != tc.leading {
				t.Errorf("leads: %v", got)
			}
		})
	}
}

// TestProof checks that freshness is proven as of the time the revision read was sent, and only once the
// watch has reached the revision.
func TestProof(t *testing.T) {
	c := newPartitionLeader()
	c.freshness.provenAt = 0
	store := &scriptedStore{t: t, c: c}
	sentAt := c.now
	released := 0
	c.freshness.whenCurrent(func(current bool) {
		if !current {
			t.Error("not current")
		}
		released++
	})
	store.answer(kv.Response{Status: kv.StatusNotFound, Revision: 12})
	if c.freshness.provenAt != 0 || released != 0 {
		t.Errorf("proven at %d before the watch has reached the revision", c.freshness.provenAt)
	}
	c.replica.advance(12)
	c.freshness.releaseWaiters()
	c.freshness.releaseWaiters()
	if c.freshness.provenAt != sentAt || released != 1 {
		t.Errorf("proven at %d, want %d; released %d times", c.freshness.provenAt, sentAt, released)
	}
}

// TestLeaseExpired checks that all leadership is given up once the store no longer knows the lease, and
// kept while the store is unavailable.
func TestLeaseExpired(t *testing.T) {
	c := newPartitionLeader()
	store := &scriptedStore{t: t, c: c}
	incarnation := c.membership.incarnation
	c.membership.renew()
	store.answer(kv.Response{Status: kv.StatusUnavailable})
	if len(c.partitions.led) != 1 || c.membership.incarnation != incarnation {
		t.Error("leadership given up though the lease may not have expired")
	}
	store.answer(kv.Response{Status: kv.StatusNotFound, Revision: 12})
	if len(c.partitions.led) != 0 || c.membership.incarnation == incarnation || c.membership.registered {
		t.Errorf("leads %v as %s", c.partitions.ledPartitions(), c.membership.incarnation)
	}
}

// TestRegistrationUnclear checks that the process takes a new incarnation when it is unknown whether one
// was registered.
func TestRegistrationUnclear(t *testing.T) {
	cfg := &config.Config{Member: "a"}
	cfg.Settings.Size, cfg.Settings.KVStore.ValueKB = 1, 100
	store := &scriptedStore{t: t, c: newTestController(cfg)}
	members := store.c.membership
	first := members.incarnation
	members.register()
	store.answer(kv.Response{Status: kv.StatusOK, LeaseID: 5})
	store.answer(kv.Response{Status: kv.StatusUnknown})
	if members.registered || members.incarnation == first {
		t.Errorf("registered %v as %s", members.registered, members.incarnation)
	}
	store.answer(kv.Response{Status: kv.StatusOK, LeaseID: 6})
	store.answer(kv.Response{Status: kv.StatusOK, Revision: 3})
	if !members.registered || store.c.replica.registeredSince[members.process().registrationKey()] == 0 {
		t.Error("not registered")
	}
}

// TestRegistrationExpiredBeforeAnswer guards against a process that counts itself as registered although it knows that it
// is not: the watch has shown the registration and the end of its lease before the answer to the write. Conditions that
// the registration is unchanged would then hold because there is none. A registration that is still there counts.
func TestRegistrationExpiredBeforeAnswer(t *testing.T) {
	const written = 21
	for name, expired := range map[string]bool{"expired": true, "still there": false} {
		t.Run(name, func(t *testing.T) {
			c := newPartitionLeader()
			store := &scriptedStore{t: t, c: c}
			key := c.membership.process().registrationKey()
			c.membership.register()
			store.answer(kv.Response{Status: kv.StatusOK, LeaseID: 7})
			c.replica.apply(key, encode(schema.Registration{Incarnation: c.membership.incarnation}), written, false)
			if expired {
				c.replica.apply(key, nil, written+1, true)
			}
			c.replica.advance(written + 1)
			store.answer(kv.Response{Status: kv.StatusOK, Revision: written})
			if c.membership.registered == expired || c.authority.leadsAny() == expired {
				t.Errorf("registered %v, leads %v", c.membership.registered, c.authority.leadsAny())
			}
			if again := c.membership.process().registrationKey() != key; again != expired {
				t.Errorf("registers as a new incarnation: %v", again)
			}
		})
	}
}

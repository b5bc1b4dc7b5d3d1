package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// TestFailover checks that a process takes over an orphaned partition immediately if it is the least loaded,
// and otherwise only once failoverPriorityPeriod has passed.
func TestFailover(t *testing.T) {
	for name, tc := range map[string]struct {
		ownLoad, otherLoad int
		waited             units.Micros
		want               bool
	}{
		"least to do":                {1, 100, 0, true},
		"as much to do, first named": {100, 100, 0, true},
		"more to do":                 {100, 1, 0, false},
		"more to do, not long":       {100, 1, failoverPriorityPeriod, false},
		"more to do, let lie":        {100, 1, failoverPriorityPeriod + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPartitionLeader()
			own, other := c.membership.process(), newProcessID("b", "b.1")
			load := map[processID]int{own: tc.ownLoad, other: tc.otherLoad}
			successor := leastLoaded([]processID{own, other}, load)
			c.leaderships.mayTakeOver(1, successor)
			c.now += tc.waited
			if got := c.leaderships.mayTakeOver(1, successor); got != tc.want {
				t.Errorf("may take over: %v", got)
			}
		})
	}
}

// TestAcquireConditions checks the conditions of a leader change: the registrations of this process and
// of the new leader are unchanged, and the former one is no longer registered.
func TestAcquireConditions(t *testing.T) {
	c := newPartitionLeader()
	own, other := c.membership.process(), newProcessID("b", "b.1")
	c.replica.revisions[own.registrationKey()] = 4
	c.replica.revisions[other.registrationKey()] = 5
	c.replica.partitions[1] = &partitionDoc{revision: 7, doc: schema.Partition{Member: "b", Incarnation: "b.0"}}
	self := kv.Condition{Key: own.registrationKey(), ModRevision: 4}
	for name, tc := range map[string]struct {
		partition int
		leader    processID
		want      []kv.Condition
	}{
		"a partition without a document": {2, own, []kv.Condition{self, {Key: schema.PartitionKey(2)}}},
		"an orphan": {1, own, []kv.Condition{
			self, {Key: schema.PartitionKey(1), ModRevision: 7}, {Key: schema.RegistrationKey("b", "b.0")},
		}},
		"given away": {0, other, []kv.Condition{
			self, {Key: schema.PartitionKey(0), ModRevision: 8}, {Key: other.registrationKey(), ModRevision: 5},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			got := c.leaderships.acquireConditions(tc.partition, tc.leader)
			if len(got) != len(tc.want) {
				t.Fatalf("%+v, want %+v", got, tc.want)
			}
			for i := range got {
				if got[i] != tc.want[i] {
					t.Errorf("%+v, want %+v", got[i], tc.want[i])
				}
			}
		})
	}
}

// TestLeadershipRestored guards against a task that runs twice: a partition's document is unreadable for a moment
// while a start is on its way, and the leader that goes on afterwards has forgotten that start. Once the document is
// back, the entry may be released only under a fencing token that makes the agent refuse the start.
func TestLeadershipRestored(t *testing.T) {
	p := &startedByResponse{pushCase: newPushCase(t), t: t}
	p.refuse = false
	starts := directCommands(p.enterTask(schema.KeepRunning), agent.Start)
	if len(starts) != 1 {
		t.Fatalf("%d starts sent, want 1", len(starts))
	}
	p.dropAnswers()
	p.msgs = nil // the command is still on its way
	key := schema.PartitionKey(0)
	stored := p.store.keys[key].Value
	for _, value := range []string{`{"e":-1}`, string(stored)} {
		p.step(p.store.watchEvents(kv.Event{Set: key, Value: []byte(value), ModRevision: p.store.revision + 1}))
	}
	p.enterTask(schema.StopGracefully)
	const settled = 20 * units.Second
	p.started = p.now
	p.runUntil(settled)
	p.step(p.heartbeat())
	p.runUntil(settled + planDelay)
	p.checkEntry(false, "once the agent answers the new leadership")
	if m := p.c.replica.machines["n-000001"]; m.agent == nil || m.agent.tokenSeen <= starts[0].Commands.FencingToken {
		t.Errorf("released under the fencing token of the start, %d", starts[0].Commands.FencingToken)
	}
}

// TestAcquireWithoutRegistration checks that no leadership is written for a process that the replica does not show as
// registered: a condition that its registration is unchanged would hold because there is none. With the registrations
// shown the leader is written.
func TestAcquireWithoutRegistration(t *testing.T) {
	other := newProcessID("b", "b.1")
	for name, tc := range map[string]struct {
		selfShown, otherShown, want bool
	}{
		"both are shown":             {true, true, true},
		"this process has expired":   {false, true, false},
		"the new leader has expired": {true, false, false},
		"none of the two is shown":   {false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPartitionLeader()
			if tc.selfShown {
				c.replica.revisions[c.membership.process().registrationKey()] = 4
			}
			if tc.otherShown {
				c.replica.revisions[other.registrationKey()] = 5
			}
			c.leaderships.acquire(0, other)
			if written := len(c.effects) == 1; written != tc.want || c.partitions.led[0].commitsInFlight != len(c.effects) {
				t.Errorf("written: %v, %d commits in flight", written, c.partitions.led[0].commitsInFlight)
			}
		})
	}
}

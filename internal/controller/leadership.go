package controller

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// leadership is a partition that this process has claimed.
type leadership struct {
	partition        int
	revision         uint64 // guards every write
	term             uint64
	since            units.Micros
	commitsInFlight  int // commits of this partition that are outstanding
	plansPlaced      uint64
	sharesResetAt    units.Micros
	pausedUntil      units.Micros
	nextPlanAt       units.Micros           // not before
	reservations     map[string]reservation // machines kept free
	reserveNotBefore units.Micros           // none is kept free before
	splitNotBefore   units.Micros           // no machine shard is split before
	requiredRevision uint64                 // no planning before the replica has come this far
}

// reservation is for which job a machine is reservation free, and since when.
type reservation struct {
	job   string
	since units.Micros
}

const registrationTTL = 5 * units.Second

// register obtains a lease of the state service and enters this process in the
// list of the living.
func (c *Controller) register() {
	c.membership.registered = false
	retry := func() { c.after(300*units.Millisecond, c.register) }
	c.store.call(kv.Request{Kind: kv.GrantLease, TTLMillis: registrationTTL.Milliseconds()}, func(r kv.Response) {
		if r.Status != kv.StatusOK || r.LeaseID == 0 {
			retry()
			return
		}
		c.membership.leaseID = r.LeaseID
		key := schema.RegistrationKey(c.cfg.Member, c.membership.incarnation)
		txn := &kv.Txn{
			Conditions: []kv.Condition{{Key: key}},
			Operations: []kv.Operation{{Set: key, Value: encode(schema.Registration{Incarnation: c.membership.incarnation, Format: knownFormat}), LeaseID: c.membership.leaseID}},
		}
		c.store.call(kv.Request{Kind: kv.Transact, Txn: txn}, func(r kv.Response) {
			if r.Status != kv.StatusOK {
				// Perhaps entered, perhaps not: a new incarnation is always safe.
				c.abandonIncarnation()
				retry()
				return
			}
			c.replica.apply(key, txn.Operations[0].Value, r.Revision, false)
			c.membership.registered = true
			c.log.Info("registered", "inc", c.membership.incarnation)
			c.renew()
		})
	})
}

func (c *Controller) abandonIncarnation() {
	c.membership.registrations++
	c.membership.incarnation = c.membership.processID + "." + strconv.Itoa(c.membership.registrations)
	c.membership.registered = false
	for p := range c.partitions.led {
		delete(c.partitions.led, p)
	}
	for _, m := range c.replica.machines {
		m.agent = nil
	}
}

func (c *Controller) renew() {
	leaseID := c.membership.leaseID
	c.store.call(kv.Request{Kind: kv.RenewLease, LeaseID: leaseID}, func(r kv.Response) {
		switch r.Status {
		case kv.StatusOK:
			c.after(registrationTTL/5, c.renew)
		case kv.StatusNotFound:
			// The lease has ended: others may own what this process held.
			c.log.Warn("registration lease expired, giving up leadership", "partitions", c.ledPartitions())
			c.abandonIncarnation()
			c.register()
		default:
			c.after(300*units.Millisecond, c.renew)
		}
	})
}

// mayAct reports whether this process may act on what its copy says: answer a
// worker, command one, plan. The copy must be known to have been complete, claims
// and cancellations included, within the bound. That the process's entry was
// renewed is no proof of it: after an outage every entry has its full time again,
// and a leader that went by its renewals alone once started tasks whose
// cancellation it had not seen, more than cancel_s after it was confirmed.
func (c *Controller) mayAct() bool {
	return c.membership.registered && c.replica.synced && c.replica.watchRevision >= c.replica.completeRevision && c.freshness.provenAt > 0 && c.now-c.freshness.provenAt < c.cfg.Settings.StalenessBound()
}

// noteAuthority notes since when this process may act, and tells when that changes.
func (c *Controller) noteAuthority() {
	switch may := c.mayAct(); {
	case may && c.membership.mayActSince == 0:
		c.membership.mayActSince = c.now
		c.log.Info("authority gained", append(c.proofAttrs(), "complete_revision", c.replica.completeRevision, "incarnation", c.membership.incarnation)...)
	case !may && c.membership.mayActSince > 0:
		c.log.Info("authority lost", append(c.proofAttrs(), "for_s", (c.now-c.membership.mayActSince).Seconds(), "registered", c.membership.registered, "synced", c.replica.synced)...)
		c.membership.mayActSince = 0
	}
}

// startProofMax is how old the copy may be for a start. Leases may be kept for
// longer, so that a short outage costs no task; but a start can wait, and whatever
// is cancelled meanwhile must not be started any more.
const startProofMax = 3 * units.Second

// mayStartTasks reports whether the copy is recent enough for starts.
func (c *Controller) mayStartTasks() bool {
	return c.mayAct() && c.now-c.freshness.provenAt < startProofMax
}

// leads reports whether partition p is mine and the replica shows all that
// the former owner wrote.
func (c *Controller) leads(p int) bool {
	o := c.partitions.led[p]
	return o != nil && c.replica.watchRevision >= o.revision && c.mayAct()
}

// applyLeadership follows a partition's document.
func (c *Controller) applyLeadership(n int) {
	p := c.replica.partitions[n]
	mine := c.membership.registered && p.doc.Member == c.cfg.Member && p.doc.Incarnation == c.membership.incarnation
	o := c.partitions.led[n]
	switch {
	case mine && (o == nil || o.revision != p.revision):
		o = &leadership{partition: n, revision: p.revision, term: p.doc.Term, since: c.now, reservations: map[string]reservation{}}
		c.partitions.led[n] = o
		c.log.Info("leadership acquired", append(c.proofAttrs(), "partition", n, "term", o.term, "leadership_revision", o.revision)...)
		for _, m := range c.replica.sortedMachines() {
			if m.part() == n {
				c.beginCommand(m, o)
			}
		}
	case !mine && o != nil:
		delete(c.partitions.led, n)
		c.log.Info("leadership lost", append(c.proofAttrs(), "partition", n, "to", p.doc.Member, "term", p.doc.Term, "own_term", o.term, "held_s", (c.now-o.since).Seconds())...)
		for _, m := range c.replica.machines {
			if m.shard.partition == n {
				m.agent = nil
			}
		}
	}
}

// registeredProcesses lists the members that are registered, one incarnation each, by name.
func (c *Controller) registeredProcesses() []string {
	var out []string
	for key := range c.replica.registeredSince {
		out = append(out, strings.TrimPrefix(key, schema.RegistrationPrefix))
	}
	sort.Strings(out)
	return out
}

func (c *Controller) leaderRegistered(p *partitionDoc) bool {
	_, ok := c.replica.registeredSince[schema.RegistrationKey(p.doc.Member, p.doc.Incarnation)]
	return ok
}

// balanceLeadership takes partitions that nobody living owns, and gives one away when
// another has none.
func (c *Controller) balanceLeadership() {
	if !c.mayAct() || !c.hasWriteCredit() || c.store.failing {
		return
	}
	c.removeOwnStaleRegistrations()
	living := c.registeredProcesses()
	me := c.cfg.Member + "/" + c.membership.incarnation
	load := map[string]int{}
	for _, l := range living {
		load[l] = 0
	}
	var orphans []int
	for n := 0; n < c.cfg.Settings.Size; n++ {
		if p := c.replica.partitions[n]; p != nil && c.leaderRegistered(p) {
			load[p.doc.Member+"/"+p.doc.Incarnation] += c.partitionLoad(n)
		} else {
			orphans = append(orphans, n)
		}
	}
	for _, n := range orphans {
		best := ""
		for _, l := range living {
			if best == "" || load[l] < load[best] {
				best = l
			}
		}
		load[best] += c.partitionLoad(n)
		first, ok := c.partitions.orphanedSince[n]
		if !ok {
			first = c.now
			c.partitions.orphanedSince[n] = first
		}
		// The one with the least to do takes it; if it does not, anyone may.
		if best == me || c.now-first > 2*units.Second {
			delete(c.partitions.orphanedSince, n)
			c.acquireLeadership(n, me)
			return
		}
	}
	c.transferLeadership(load, me)
}

// removeOwnStaleRegistrations removes entries of earlier processes of this member: they are
// surely dead, so their partitions need not wait for the lease.
func (c *Controller) removeOwnStaleRegistrations() {
	for _, l := range c.registeredProcesses() {
		key := schema.RegistrationPrefix + l
		if strings.HasPrefix(l, c.cfg.Member+"/") && key != schema.RegistrationKey(c.cfg.Member, c.membership.incarnation) {
			txn := &kv.Txn{Conditions: []kv.Condition{{Key: key, ModRevision: c.replica.revisions[key]}}, Operations: []kv.Operation{{Delete: key}}}
			c.commit(txn, "", func(commitOutcome, uint64, []string) {})
			return
		}
	}
}

func (c *Controller) acquireLeadership(n int, who string) {
	member, incarnation, _ := strings.Cut(who, "/")
	key := schema.PartitionKey(n)
	mark := c.newWriteTag()
	doc := schema.Partition{Term: 1, Member: member, Incarnation: incarnation, WriteTag: mark}
	self := schema.RegistrationKey(c.cfg.Member, c.membership.incarnation)
	txn := &kv.Txn{Conditions: []kv.Condition{{Key: self, ModRevision: c.replica.revisions[self]}}}
	if p := c.replica.partitions[n]; p != nil {
		doc.Term = p.doc.Term + 1
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: key, ModRevision: p.revision})
		if old := schema.RegistrationKey(p.doc.Member, p.doc.Incarnation); old != self {
			txn.Conditions = append(txn.Conditions, kv.Condition{Key: old})
		}
		if target := schema.RegistrationKey(member, incarnation); target != self {
			txn.Conditions = append(txn.Conditions, kv.Condition{Key: target, ModRevision: c.replica.revisions[target]})
		}
	} else {
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: key})
	}
	txn.Operations = []kv.Operation{{Set: key, Value: encode(doc), LeaseID: 0}}
	given := c.partitions.led[n] // when it is given away
	if given != nil {
		given.commitsInFlight++
	}
	c.log.Info("acquiring leadership", "partition", n, "for", member, "term", doc.Term)
	c.commit(txn, mark, func(res commitOutcome, _ uint64, failed []string) {
		if res != commitApplied {
			c.log.Info("acquiring leadership failed", "partition", n, "failed", failed)
		}
		// Only what was set here: the watch may have shown the claim before this
		// answer, and a first batch may be under way. Letting a second one run
		// beside it put a team over its limit.
		if given != nil {
			given.commitsInFlight--
		}
	})
}

// partitionLoad is how much work a partition is, against others: one without teams is
// next to none.
func (c *Controller) partitionLoad(part int) int {
	if slices.Contains(c.partitions.withTeams, part) {
		return 100
	}
	return 1
}

// transferLeadership hands a partition to a member that has less to do even with it, and
// has lived long enough to be trusted with one.
func (c *Controller) transferLeadership(load map[string]int, me string) {
	for _, l := range c.registeredProcesses() {
		if c.now-c.replica.registeredSince[schema.RegistrationPrefix+l] < 8*units.Second {
			continue
		}
		for _, p := range c.ledPartitions() {
			o := c.partitions.led[p]
			if o.commitsInFlight == 0 && c.now-o.since > 5*units.Second && load[l]+c.partitionLoad(p) < load[me] {
				c.acquireLeadership(p, l)
				return
			}
		}
	}
}

// membership is this process's registration among the living controllers.
type membership struct {
	processID     string
	registrations int
	incarnation   string
	leaseID       uint64
	registered    bool         // and as far as known still so
	mayActSince   units.Micros // since when this process may act on its replica; 0: it may not
}

func newMembership(incarnation string) membership {
	return membership{processID: incarnation, incarnation: incarnation}
}

// partitionTable knows which partitions this process leads and which teams belong to which.
type partitionTable struct {
	led           map[int]*leadership
	withTeams     []int                // partitions that have teams
	orphanedSince map[int]units.Micros // when a partition was first seen without a leader
}

func newPartitionTable(env *environment) partitionTable {
	t := partitionTable{led: map[int]*leadership{}, orphanedSince: map[int]units.Micros{}}
	for _, team := range env.cfg.Settings.Teams {
		if p := env.partitionOf(team.Name); !slices.Contains(t.withTeams, p) {
			t.withTeams = append(t.withTeams, p)
		}
	}
	slices.Sort(t.withTeams)
	if len(t.withTeams) == 0 {
		t.withTeams = []int{0}
	}
	return t
}

// ofMachineShard is the partition of a machine shard that has no document yet.
func (t partitionTable) ofMachineShard(shard int) int {
	return t.withTeams[shard%len(t.withTeams)]
}

func (c *Controller) ledPartitions() []int {
	return slices.Sorted(maps.Keys(c.partitions.led))
}

package controller

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// ownedPartition is a partition that this process has claimed.
type ownedPartition struct {
	n           int
	stamp       uint64 // guards every write
	epoch       uint64
	since       units.Micros
	inflight    int // commits of this partition that are outstanding
	seq         uint64
	refresh     units.Micros
	pauseTo     units.Micros
	planAt      units.Micros           // not before
	reservedFor map[string]reservation // machines kept free
	reserveFrom units.Micros           // none is kept free before
	splitAt     units.Micros           // no machine shard is split before
	needRev     uint64                 // no planning before the replica has come this far
}

// reservation is for which job a machine is reservation free, and since when.
type reservation struct {
	job string
	at  units.Micros
}

const registrationTTL = 5 * units.Second

// register obtains a lease of the state service and enters this process in the
// list of the living.
func (c *Core) register() {
	c.alive = false
	retry := func() { c.after(300*units.Millisecond, c.register) }
	c.callState(kv.Request{Kind: kv.Grant, TTLMs: registrationTTL.Milliseconds()}, func(r kv.Response) {
		if r.Status != 200 || r.Permit == 0 {
			retry()
			return
		}
		c.leaseID = r.Permit
		key := schema.NodeKey(c.cfg.Member, c.incarnation)
		txn := &kv.Txn{
			Guards: []kv.Guard{{Key: key}},
			Apply:  []kv.Op{{Set: key, Value: encode(schema.Registration{Incarnation: c.incarnation, Format: knownFormat}), Permit: c.leaseID}},
		}
		c.callState(kv.Request{Kind: kv.Commit, Txn: txn}, func(r kv.Response) {
			if r.Status != 200 {
				// Perhaps entered, perhaps not: a new incarnation is always safe.
				c.reincarnate()
				retry()
				return
			}
			c.apply(key, txn.Apply[0].Value, r.Rev, false)
			c.alive = true
			c.log.Info("registered", "inc", c.incarnation)
			c.renew()
		})
	})
}

func (c *Core) reincarnate() {
	c.incarnations++
	c.incarnation = c.processID + "." + strconv.Itoa(c.incarnations)
	c.alive = false
	for p := range c.owned {
		delete(c.owned, p)
	}
	for _, m := range c.replica.machines {
		m.rt = nil
	}
}

func (c *Core) renew() {
	leaseID := c.leaseID
	c.callState(kv.Request{Kind: kv.Renew, Permit: leaseID}, func(r kv.Response) {
		switch r.Status {
		case 200:
			c.after(registrationTTL/5, c.renew)
		case 404:
			// The lease has ended: others may own what this process held.
			c.log.Warn("lease lost, giving up claims", "claims", c.ownedParts())
			c.reincarnate()
			c.register()
		default:
			c.after(300*units.Millisecond, c.renew)
		}
	})
}

// entitled reports whether this process may act on what its copy says: answer a
// worker, command one, plan. The copy must be known to have been complete, claims
// and cancellations included, within the bound. That the process's entry was
// renewed is no proof of it: after an outage every entry has its full time again,
// and a leader that went by its renewals alone once started tasks whose
// cancellation it had not seen, more than cancel_s after it was confirmed.
func (c *Core) entitled() bool {
	return c.alive && c.replica.synced && c.replica.watchRev >= c.replica.completeAt && c.knownAt > 0 && c.now-c.knownAt < c.cfg.Settings.AnswerBound()
}

// noteEntitled notes since when this process may act, and tells when that changes.
func (c *Core) noteEntitled() {
	switch may := c.entitled(); {
	case may && c.entitledAt == 0:
		c.entitledAt = c.now
		c.log.Info("may act on the copy", append(c.proof(), "complete_at", c.replica.completeAt, "inc", c.incarnation)...)
	case !may && c.entitledAt > 0:
		c.log.Info("may no longer act on the copy", append(c.proof(), "for_s", (c.now-c.entitledAt).Seconds(), "registered", c.alive, "synced", c.replica.synced)...)
		c.entitledAt = 0
	}
}

// launchBound is how old the copy may be for a start. Leases may be kept for
// longer, so that a short outage costs no task; but a start can wait, and whatever
// is cancelled meanwhile must not be started any more.
const launchBound = 3 * units.Second

// mayLaunch reports whether the copy is recent enough for starts.
func (c *Core) mayLaunch() bool { return c.entitled() && c.now-c.knownAt < launchBound }

// usable reports whether partition p is mine and the replica shows all that
// the former owner wrote.
func (c *Core) usable(p int) bool {
	o := c.owned[p]
	return o != nil && c.replica.watchRev >= o.stamp && c.entitled()
}

// ownership follows a partition's document.
func (c *Core) ownership(n int) {
	p := c.replica.parts[n]
	mine := c.alive && p.doc.Member == c.cfg.Member && p.doc.Inc == c.incarnation
	o := c.owned[n]
	switch {
	case mine && (o == nil || o.stamp != p.stamp):
		o = &ownedPartition{n: n, stamp: p.stamp, epoch: p.doc.Epoch, since: c.now, reservedFor: map[string]reservation{}}
		c.owned[n] = o
		c.log.Info("own partition", append(c.proof(), "partition", n, "epoch", o.epoch, "guard", o.stamp)...)
		for _, m := range c.sortedMachines() {
			if m.part() == n {
				c.acquire(m, o)
			}
		}
	case !mine && o != nil:
		delete(c.owned, n)
		c.log.Info("partition passed on", append(c.proof(), "partition", n, "to", p.doc.Member, "epoch", p.doc.Epoch, "own_epoch", o.epoch, "held_s", (c.now-o.since).Seconds())...)
		for _, m := range c.replica.machines {
			if m.g.part == n {
				m.rt = nil
			}
		}
	}
}

// living lists the members that are registered, one incarnation each, by name.
func (c *Core) living() []string {
	var out []string
	for key := range c.replica.nodes {
		out = append(out, strings.TrimPrefix(key, schema.Nodes))
	}
	sort.Strings(out)
	return out
}

func (c *Core) ownerAlive(p *part) bool {
	_, ok := c.replica.nodes[schema.NodeKey(p.doc.Member, p.doc.Inc)]
	return ok
}

// claims takes partitions that nobody living owns, and gives one away when
// another has none.
func (c *Core) claims() {
	if !c.entitled() || !c.mayBorrow() || c.stateBad {
		return
	}
	c.dropOldSelves()
	living := c.living()
	me := c.cfg.Member + "/" + c.incarnation
	load := map[string]int{}
	for _, l := range living {
		load[l] = 0
	}
	var orphans []int
	for n := 0; n < c.cfg.Settings.Size; n++ {
		if p := c.replica.parts[n]; p != nil && c.ownerAlive(p) {
			load[p.doc.Member+"/"+p.doc.Inc] += c.burden(n)
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
		load[best] += c.burden(n)
		first, ok := c.lastAt["orphan"+strconv.Itoa(n)]
		if !ok {
			first = c.now
			c.lastAt["orphan"+strconv.Itoa(n)] = first
		}
		// The one with the least to do takes it; if it does not, anyone may.
		if best == me || c.now-first > 2*units.Second {
			delete(c.lastAt, "orphan"+strconv.Itoa(n))
			c.claim(n, me)
			return
		}
	}
	c.giveAway(load, me)
}

// dropOldSelves removes entries of earlier processes of this member: they are
// surely dead, so their partitions need not wait for the lease.
func (c *Core) dropOldSelves() {
	for _, l := range c.living() {
		key := schema.Nodes + l
		if strings.HasPrefix(l, c.cfg.Member+"/") && key != schema.NodeKey(c.cfg.Member, c.incarnation) {
			txn := &kv.Txn{Guards: []kv.Guard{{Key: key, Stamp: c.replica.stamps[key]}}, Apply: []kv.Op{{Delete: key}}}
			c.commit(txn, "", func(outcome, uint64, []string) {})
			return
		}
	}
}

func (c *Core) claim(n int, who string) {
	member, incarnation, _ := strings.Cut(who, "/")
	key := schema.PartKey(n)
	mark := c.mark()
	doc := schema.Part{Epoch: 1, Member: member, Inc: incarnation, Mark: mark}
	self := schema.NodeKey(c.cfg.Member, c.incarnation)
	txn := &kv.Txn{Guards: []kv.Guard{{Key: self, Stamp: c.replica.stamps[self]}}}
	if p := c.replica.parts[n]; p != nil {
		doc.Epoch = p.doc.Epoch + 1
		txn.Guards = append(txn.Guards, kv.Guard{Key: key, Stamp: p.stamp})
		if old := schema.NodeKey(p.doc.Member, p.doc.Inc); old != self {
			txn.Guards = append(txn.Guards, kv.Guard{Key: old})
		}
		if target := schema.NodeKey(member, incarnation); target != self {
			txn.Guards = append(txn.Guards, kv.Guard{Key: target, Stamp: c.replica.stamps[target]})
		}
	} else {
		txn.Guards = append(txn.Guards, kv.Guard{Key: key})
	}
	txn.Apply = []kv.Op{{Set: key, Value: encode(doc), Permit: 0}}
	given := c.owned[n] // when it is given away
	if given != nil {
		given.inflight++
	}
	c.log.Info("claim", "partition", n, "for", member, "epoch", doc.Epoch)
	c.commit(txn, mark, func(res outcome, _ uint64, failed []string) {
		if res != committed {
			c.log.Info("claim failed", "partition", n, "failed", failed)
		}
		// Only what was set here: the watch may have shown the claim before this
		// answer, and a first batch may be under way. Letting a second one run
		// beside it put a team over its limit.
		if given != nil {
			given.inflight--
		}
	})
}

// burden is how much work a partition is, against others: one without teams is
// next to none.
func (c *Core) burden(part int) int {
	if slices.Contains(c.teamParts, part) {
		return 100
	}
	return 1
}

// giveAway hands a partition to a member that has less to do even with it, and
// has lived long enough to be trusted with one.
func (c *Core) giveAway(load map[string]int, me string) {
	for _, l := range c.living() {
		if c.now-c.replica.nodes[schema.Nodes+l] < 8*units.Second {
			continue
		}
		for _, p := range c.ownedParts() {
			o := c.owned[p]
			if o.inflight == 0 && c.now-o.since > 5*units.Second && load[l]+c.burden(p) < load[me] {
				c.claim(p, l)
				return
			}
		}
	}
}

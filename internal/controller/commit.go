package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// commitOutcome of a commit.
type commitOutcome int

const (
	commitApplied   commitOutcome = iota
	commitConflict                // a guard failed; the replica will show why
	commitRefused                 // surely not carried out: try later
	commitThrottled               // the same, because too much was asked at once
)

// refillWriteCredit gives this node the changes that it may make since the last time.
func (c *Controller) refillWriteCredit() {
	rate := c.writeRate()
	c.budget.credit += rate * (c.now - c.budget.refilledAt).Seconds()
	// A slow store must still let a job's end through, which is several changes
	// in one: kept below that, no job would ever be over.
	c.budget.maxCredit = max(rate, min(c.store.limits.WriteRPS, 8))
	c.budget.credit = min(c.budget.credit, c.budget.maxCredit)
	c.budget.refilledAt = c.now
}

// writeRate is this node's part of the permitted changes, per second: most of them go
// to the owners of teams' partitions, the rest to all for accepts and cancellations.
// Not all are busy at once, so the parts add up to a little more than the whole; the
// service's 429 corrects what is too much.
func (c *Controller) writeRate() float64 {
	whole := c.store.limits.WriteRPS
	owners := map[string]bool{}
	mine := false
	for _, n := range c.partitions.withTeams {
		if p := c.replica.partitions[n]; p != nil {
			owners[p.doc.Member] = true
		}
		mine = mine || c.partitions.led[n] != nil
	}
	rate := 0.2 * whole
	if mine {
		rate = max(rate, 0.88*whole/float64(max(1, len(owners))), c.unusedWriteRate())
	}
	return rate
}

// targetWriteUse is the part of the permitted changes that all controllers together aim at.
const targetWriteUse = 0.92

// unusedWriteRate is what the others have left of the permitted changes lately; 0 while that is not
// known of each of them. One that wants more takes its own part at once.
func (c *Controller) unusedWriteRate() float64 {
	if !c.chainsEnabled() {
		return 0
	}
	used := 0.0
	for _, l := range c.registeredProcesses() {
		member, incarnation, _ := strings.Cut(l, "/")
		if member == c.cfg.Member {
			continue
		}
		heartbeat, ok := c.heartbeatOf(member, incarnation)
		if !ok {
			return 0
		}
		used += heartbeat.Writes
	}
	return targetWriteUse*c.store.limits.WriteRPS - used
}

// hasWriteCredit reports whether what goes before the rest may still be written. Accepts
// and claims may run up a debt of one second's changes, which everything else has
// to wait for.
func (c *Controller) hasWriteCredit() bool { return c.budget.credit >= -c.store.limits.WriteRPS }

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // documents are plain data: a fault of the program
	}
	return b
}

// commit carries out a transaction whose values carry mark. After an unclear
// answer it repeats the very same transaction until the answer is clear: the
// first copy may still be applied late, and whichever comes second fails on
// the guards. When a repeat fails, the mark tells whether the first copy had
// been applied. So done is called exactly once, with the truth.
func (c *Controller) commit(txn *kv.Txn, mark string, done func(commitOutcome, uint64, []string)) {
	c.budget.credit -= float64(len(txn.Operations))
	c.budget.changesSinceHeartbeat += len(txn.Operations)
	for _, op := range txn.Operations {
		c.budget.changesByKind[documentKind(op.Set+op.Delete)]++
	}
	unclear := false
	var try func()
	settle := func(rev uint64) {
		for _, op := range txn.Operations {
			if op.Set != "" {
				c.replica.apply(op.Set, op.Value, rev, false)
			} else {
				c.replica.apply(op.Delete, nil, rev, true)
				if rev > c.replica.watchRevision {
					c.replica.tombstones[op.Delete] = rev
				}
			}
		}
		done(commitApplied, rev, nil)
	}
	try = func() {
		c.store.call(kv.Request{Kind: kv.Transact, Txn: txn}, func(r kv.Response) {
			switch {
			case r.Status == kv.StatusOK:
				settle(r.Revision)
			case r.Status == kv.StatusConflict && unclear:
				c.wasApplied(txn, mark, func(applied bool, rev uint64) {
					if applied {
						settle(rev)
					} else {
						done(commitConflict, r.Revision, r.FailedKeys)
					}
				})
			case r.Status == kv.StatusConflict:
				done(commitConflict, r.Revision, r.FailedKeys)
			case r.Status == kv.StatusUnknown:
				unclear = true
				c.after(150*units.Millisecond, try)
			case r.Status == kv.StatusMalformed && unclear:
				// The limits have fallen since it was first sent: no copy of it is carried out
				// any more, and whether one was shows now. Repeated for ever, such a
				// transaction once kept a partition from planning for good.
				c.wasApplied(txn, mark, func(applied bool, rev uint64) {
					if applied {
						settle(rev)
					} else {
						done(commitConflict, c.store.seenRevision, nil)
					}
				})
			case unclear: // this copy was refused, an earlier one may still be applied
				c.after(200*units.Millisecond, try)
			default:
				if r.Status == kv.StatusThrottled {
					c.budget.credit = min(c.budget.credit, -1)
				}
				if r.Status == kv.StatusMalformed {
					c.log.Error("store rejected transaction as malformed", "conditions", len(txn.Conditions), "ops", len(txn.Operations))
				}
				if r.Status == kv.StatusThrottled {
					done(commitThrottled, 0, nil)
				} else {
					done(commitRefused, 0, nil)
				}
			}
		})
	}
	try()
}

// documentKind is what a key holds, as the log calls it.
func documentKind(key string) string {
	for prefix, kind := range map[string]string{schema.MachineShardPrefix: "machine_shards", schema.JobShardPrefix: "job_shards", schema.ProgressPrefix: "progress", schema.OutcomePrefix: "ends"} {
		if strings.HasPrefix(key, prefix) {
			return kind
		}
	}
	return "other"
}

// wasApplied reads whether a transaction whose fate was unclear has been applied.
func (c *Controller) wasApplied(txn *kv.Txn, mark string, done func(bool, uint64)) {
	key := ""
	for _, op := range txn.Operations {
		if op.Set != "" {
			key = op.Set
			break
		}
	}
	if key == "" {
		done(false, 0) // deletions only: the replica shows the rest
		return
	}
	var try func()
	try = func() {
		c.store.call(kv.Request{Kind: kv.Get, Key: key}, func(r kv.Response) {
			switch r.Status {
			case kv.StatusOK:
				done(bytes.Contains(schema.PlainJSON(r.Value), []byte(`"`+mark+`"`)), r.ModRevision)
			case kv.StatusNotFound:
				done(false, 0)
			default:
				c.after(150*units.Millisecond, try)
			}
		})
	}
	try()
}

// freshnessWaiter is something to do once the replica is as fresh as the state service
// was at some moment after the request came in.
type freshnessWaiter struct {
	revision uint64
	sentAt   units.Micros // when the read that gave the revision was sent
	then     func(ok bool)
}

// keepProofRecent asks for the revision now and then though nobody waits for it: a
// copy that has reached it was complete when it was asked for, and that is what
// the right to act rests on.
func (c *Controller) keepProofRecent() {
	again := units.Second
	if c.store.failing {
		again = 300 * units.Millisecond
	}
	if c.replica.synced && len(c.freshness.awaitingRead) == 0 && c.now-c.freshness.readAt > again {
		c.freshness.awaitingRead = append(c.freshness.awaitingRead, freshnessWaiter{then: func(bool) {}})
	}
}

// whenCurrent calls then when the replica is known to be current: one read of
// the store's revision serves all that wait for it, and their answers can then
// never be older than any answer given before.
func (c *Controller) whenCurrent(then func(ok bool)) {
	if !c.replica.synced || c.store.failing && c.now-c.store.answeredAt > 500*units.Millisecond {
		then(false)
		return
	}
	c.freshness.awaitingRead = append(c.freshness.awaitingRead, freshnessWaiter{then: then})
	c.readRevision()
}

// requestInterval is the time between requests of one kind that may take such a part of
// this node's part of the permitted requests.
func (c *Controller) requestInterval(part float64) units.Micros {
	return units.FromSeconds(float64(c.cfg.Settings.Size) / (c.store.limits.RPS * part))
}

func (c *Controller) readRevision() {
	if len(c.freshness.awaitingRead) == 0 || c.freshness.readsInFlight >= 2 || c.now-c.freshness.readAt < max(10*units.Millisecond, c.requestInterval(0.4)) {
		return
	}
	batch := c.freshness.awaitingRead
	c.freshness.awaitingRead = nil
	c.freshness.readAt = c.now
	c.freshness.readsInFlight++
	sent := c.now
	c.store.call(kv.Request{Kind: kv.Get, Key: schema.RootPrefix + "none"}, func(r kv.Response) {
		c.freshness.readsInFlight--
		for _, w := range batch {
			if r.Status != kv.StatusNotFound || r.Revision == 0 {
				w.then(false)
				continue
			}
			c.freshness.awaitingRevision = append(c.freshness.awaitingRevision, freshnessWaiter{r.Revision, sent, w.then})
		}
		c.releaseCurrent()
	})
}

// releaseCurrent releases what waited for the replica to reach a revision.
func (c *Controller) releaseCurrent() {
	if !c.replica.synced {
		return
	}
	var due, rest []freshnessWaiter
	for _, w := range c.freshness.awaitingRevision {
		if w.revision <= c.replica.watchRevision {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	c.freshness.awaitingRevision = rest
	for _, w := range due {
		c.freshness.provenAt = max(c.freshness.provenAt, w.sentAt)
	}
	for _, w := range due {
		w.then(true)
	}
}

// committer carries out transactions and knows which keys they are about to change.
type committer struct {
	writeTags    uint64          // that were given out
	keysInFlight map[string]bool // keys in a transaction that is not yet answered
}

func newCommitter() committer { return committer{keysInFlight: map[string]bool{}} }

// newWriteTag makes a value that no other commit has, so that after an unclear answer
// a reader can tell this commit's writes from all others.
func (c *Controller) newWriteTag() string {
	c.commits.writeTags++
	return c.membership.incarnation + "-" + strconv.FormatUint(c.commits.writeTags, 36)
}

// freshness knows up to which moment the replica is proven to be complete.
type freshness struct {
	provenAt         units.Micros // the replica is known to have been complete then; 0: never
	awaitingRead     []freshnessWaiter
	awaitingRevision []freshnessWaiter
	readAt           units.Micros // when the store's revision was last asked for
	readsInFlight    int
}

// writeBudget is this controller's part of the changes that the store permits.
type writeBudget struct {
	credit                float64 // changes that may still be made now
	maxCredit             float64 // that may be saved up
	refilledAt            units.Micros
	changesByKind         map[string]int // since the last summary, by what they changed
	changesSinceHeartbeat int
	averageRate           float64 // changes a second, a moving average
}

func newWriteBudget() writeBudget { return writeBudget{changesByKind: map[string]int{}} }

// changeRateWeight is how much the last second counts in the moving average of changes.
const changeRateWeight = 0.4

package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// outcome of a commit.
type outcome int

const (
	committed outcome = iota
	conflict          // a guard failed; the replica will show why
	refused           // surely not carried out: try later
	busy              // the same, because too much was asked at once
)

// refill gives this node the changes that it may make since the last time.
func (c *Core) refill() {
	rate := c.writeRate()
	c.tokens += rate * (c.now - c.tokensAt).Seconds()
	// A slow store must still let a job's end through, which is several changes
	// in one: kept below that, no job would ever be over.
	c.tokensMost = max(rate, min(c.limits.WriteRPS, 8))
	c.tokens = min(c.tokens, c.tokensMost)
	c.tokensAt = c.now
}

// writeRate is this node's part of the permitted changes, per second: most of them go
// to the owners of teams' partitions, the rest to all for accepts and cancellations.
// Not all are busy at once, so the parts add up to a little more than the whole; the
// service's 429 corrects what is too much.
func (c *Core) writeRate() float64 {
	whole := c.limits.WriteRPS
	owners := map[string]bool{}
	mine := false
	for _, n := range c.teamParts {
		if p := c.replica.parts[n]; p != nil {
			owners[p.doc.Member] = true
		}
		mine = mine || c.owned[n] != nil
	}
	rate := 0.2 * whole
	if mine {
		rate = max(rate, 0.88*whole/float64(max(1, len(owners))), c.unusedRate())
	}
	return rate
}

// usedAtMost is the part of the permitted changes that all controllers together aim at.
const usedAtMost = 0.92

// unusedRate is what the others have left of the permitted changes lately; 0 while that is not
// known of each of them. One that wants more takes its own part at once.
func (c *Core) unusedRate() float64 {
	if !c.chainsEnabled() {
		return 0
	}
	used := 0.0
	for _, l := range c.living() {
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
	return usedAtMost*c.limits.WriteRPS - used
}

// mayBorrow reports whether what goes before the rest may still be written. Accepts
// and claims may run up a debt of one second's changes, which everything else has
// to wait for.
func (c *Core) mayBorrow() bool { return c.tokens >= -c.limits.WriteRPS }

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
func (c *Core) commit(txn *kv.Txn, mark string, done func(outcome, uint64, []string)) {
	c.tokens -= float64(len(txn.Apply))
	c.spent += len(txn.Apply)
	for _, op := range txn.Apply {
		c.written[kindOf(op.Set+op.Delete)]++
	}
	unclear := false
	var try func()
	settle := func(rev uint64) {
		for _, op := range txn.Apply {
			if op.Set != "" {
				c.apply(op.Set, op.Value, rev, false)
			} else {
				c.apply(op.Delete, nil, rev, true)
				if rev > c.replica.watchRev {
					c.replica.tombs[op.Delete] = rev
				}
			}
		}
		done(committed, rev, nil)
	}
	try = func() {
		c.callState(kv.Request{Kind: kv.Commit, Txn: txn}, func(r kv.Response) {
			switch {
			case r.Status == 200:
				settle(r.Rev)
			case r.Status == 409 && unclear:
				c.look(txn, mark, func(applied bool, rev uint64) {
					if applied {
						settle(rev)
					} else {
						done(conflict, r.Rev, r.Failed)
					}
				})
			case r.Status == 409:
				done(conflict, r.Rev, r.Failed)
			case r.Status == 0:
				unclear = true
				c.after(150*units.Millisecond, try)
			case r.Status == 400 && unclear:
				// The limits have fallen since it was first sent: no copy of it is carried out
				// any more, and whether one was shows now. Repeated for ever, such a
				// transaction once kept a partition from planning for good.
				c.look(txn, mark, func(applied bool, rev uint64) {
					if applied {
						settle(rev)
					} else {
						done(conflict, c.replica.seenRev, nil)
					}
				})
			case unclear: // this copy was refused, an earlier one may still be applied
				c.after(200*units.Millisecond, try)
			default:
				if r.Status == 429 {
					c.tokens = min(c.tokens, -1)
				}
				if r.Status == 400 {
					c.log.Error("state service calls a transaction malformed", "guards", len(txn.Guards), "ops", len(txn.Apply))
				}
				if r.Status == 429 {
					done(busy, 0, nil)
				} else {
					done(refused, 0, nil)
				}
			}
		})
	}
	try()
}

// kindOf is what a key holds, as the log calls it.
func kindOf(key string) string {
	for prefix, kind := range map[string]string{schema.MachineShards: "machine_shards", schema.JobShards: "job_shards", schema.Progress: "progress", schema.Finals: "ends"} {
		if strings.HasPrefix(key, prefix) {
			return kind
		}
	}
	return "other"
}

// look reads whether a transaction whose fate was unclear has been applied.
func (c *Core) look(txn *kv.Txn, mark string, done func(bool, uint64)) {
	key := ""
	for _, op := range txn.Apply {
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
		c.callState(kv.Request{Kind: kv.Get, Key: key}, func(r kv.Response) {
			switch r.Status {
			case 200:
				done(bytes.Contains(schema.Plain(r.Value), []byte(`"`+mark+`"`)), r.Stamp)
			case 404:
				done(false, 0)
			default:
				c.after(150*units.Millisecond, try)
			}
		})
	}
	try()
}

// freshnessWait is something to do once the replica is as fresh as the state service
// was at some moment after the request came in.
type freshnessWait struct {
	rev  uint64
	sent units.Micros // when the read that gave the revision was sent
	then func(ok bool)
}

// learnRevision asks for the revision now and then though nobody waits for it: a
// copy that has reached it was complete when it was asked for, and that is what
// the right to act rests on.
func (c *Core) learnRevision() {
	again := units.Second
	if c.stateBad {
		again = 300 * units.Millisecond
	}
	if c.replica.synced && len(c.confirmQ) == 0 && c.now-c.confirmAt > again {
		c.confirmQ = append(c.confirmQ, freshnessWait{then: func(bool) {}})
	}
}

// confirmed calls then when the replica is known to be current: one read of
// the store's revision serves all that wait for it, and their answers can then
// never be older than any answer given before.
func (c *Core) confirmed(then func(ok bool)) {
	if !c.replica.synced || c.stateBad && c.now-c.stateOK > 500*units.Millisecond {
		then(false)
		return
	}
	c.confirmQ = append(c.confirmQ, freshnessWait{then: then})
	c.sendConfirm()
}

// pace is the time between requests of one kind that may take such a part of
// this node's part of the permitted requests.
func (c *Core) pace(part float64) units.Micros {
	return units.FromSeconds(float64(c.cfg.Settings.Size) / (c.limits.RPS * part))
}

func (c *Core) sendConfirm() {
	if len(c.confirmQ) == 0 || c.confirms >= 2 || c.now-c.confirmAt < max(10*units.Millisecond, c.pace(0.4)) {
		return
	}
	batch := c.confirmQ
	c.confirmQ = nil
	c.confirmAt = c.now
	c.confirms++
	sent := c.now
	c.callState(kv.Request{Kind: kv.Get, Key: schema.Root + "none"}, func(r kv.Response) {
		c.confirms--
		for _, w := range batch {
			if r.Status != 404 || r.Rev == 0 {
				w.then(false)
				continue
			}
			c.waitRev = append(c.waitRev, freshnessWait{r.Rev, sent, w.then})
		}
		c.caughtUp()
	})
}

// caughtUp releases what waited for the replica to reach a revision.
func (c *Core) caughtUp() {
	if !c.replica.synced {
		return
	}
	var due, rest []freshnessWait
	for _, w := range c.waitRev {
		if w.rev <= c.replica.watchRev {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	c.waitRev = rest
	for _, w := range due {
		c.knownAt = max(c.knownAt, w.sent)
	}
	for _, w := range due {
		w.then(true)
	}
}

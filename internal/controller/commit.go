package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"frostdock.example/frostdock/internal/kv"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// commitOutcome is the fate of a transaction, once it is clear.
type commitOutcome int

const (
	commitApplied   commitOutcome = iota
	commitConflict                // a condition failed; the replica will show why
	commitRefused                 // surely not carried out: try later
	commitThrottled               // the same, because too much was asked at once
)

// commitResult is the fate of a transaction with what the store told of it.
type commitResult struct {
	outcome    commitOutcome
	revision   uint64   // applied: of the transaction; conflict: of the store when it failed; else 0
	failedKeys []string // conflict: the keys whose conditions failed, as far as known
}

// Delays before a request is repeated whose answer was of no use.
const (
	unclearRetryDelay = 150 * units.Millisecond // the store may have carried it out
	refusedRetryDelay = 200 * units.Millisecond // this copy was refused, an earlier one may have been carried out
)

// committer carries out transactions and knows which keys they are about to change.
//
// It promises that the caller of commit learns the fate of its transaction exactly once, and that
// what was applied is in the replica by then. After an unclear answer it repeats the identical
// transaction until the answer is clear. It never decides to write: it neither builds transactions nor
// repeats one whose fate is clear.
type committer struct {
	*environment

	store      *storeClient
	replica    *replica
	budget     *writeBudget
	membership *membership

	writeTags    uint64          // that were given out
	keysInFlight map[string]bool // keys in a transaction that is not yet answered
}

// newWriteTag makes a value that no other commit has, so that after an unclear answer a reader can
// tell this commit's writes from all others.
func (c *committer) newWriteTag() string {
	c.writeTags++
	return c.membership.incarnation + "-" + strconv.FormatUint(c.writeTags, 36)
}

// markInFlight notes that a transaction is about to change its keys.
func (c *committer) markInFlight(txn *kv.Txn) {
	for _, op := range txn.Operations {
		c.keysInFlight[changedKey(op)] = true
	}
}

// clearInFlight notes that the fate of a transaction is clear.
func (c *committer) clearInFlight(txn *kv.Txn) {
	for _, op := range txn.Operations {
		delete(c.keysInFlight, changedKey(op))
	}
}

// isInFlight reports whether a transaction whose fate is not clear yet changes a key.
func (c *committer) isInFlight(key string) bool { return c.keysInFlight[key] }

// changedKey is the key that an operation sets or deletes.
func changedKey(op kv.Operation) string { return op.Set + op.Delete }

// commit carries out a transaction whose values carry a write tag. done is called exactly once, with
// the transaction's fate.
func (c *committer) commit(txn *kv.Txn, writeTag string, done func(commitResult)) {
	c.budget.charge(txn.Operations)
	p := &pendingCommit{committer: c, txn: txn, writeTag: writeTag, done: done}
	p.send()
}

// pendingCommit is a transaction whose fate is not clear yet.
//
// After an unclear answer a copy of the transaction may still be applied late. The transaction is then
// repeated without any change: whichever copy comes second fails on the conditions, so that it is
// applied once at most. When a repeat fails, the write tag tells whether an earlier copy was applied.
//
// A write that another has overwritten before the lookup counts as a conflict. Callers take a conflict as
// "not by this transaction, as far as is known", and go by what the replica then shows.
type pendingCommit struct {
	committer *committer
	txn       *kv.Txn
	writeTag  string
	unclear   bool // a copy was sent of which it is not known whether it is applied
	done      func(commitResult)
}

func (p *pendingCommit) send() {
	p.committer.store.call(kv.Request{Kind: kv.Transact, Txn: p.txn}, p.handleAnswer)
}

func (p *pendingCommit) handleAnswer(r kv.Response) {
	switch {
	case r.Status == kv.StatusOK:
		p.applied(r.Revision)
	case r.Status == kv.StatusUnknown:
		p.unclear = true
		p.committer.after(unclearRetryDelay, p.send)
	case p.unclear:
		p.handleRefusedRepeat(r)
	default:
		p.handleRefusal(r)
	}
}

// conflictOf is the result of a transaction whose conditions failed.
func conflictOf(r kv.Response) commitResult {
	return commitResult{outcome: commitConflict, revision: r.Revision, failedKeys: r.FailedKeys}
}

// handleRefusal takes the refusal of a transaction of which no other copy was sent.
func (p *pendingCommit) handleRefusal(r kv.Response) {
	switch r.Status {
	case kv.StatusConflict:
		p.done(conflictOf(r))
	case kv.StatusThrottled:
		p.committer.budget.noteThrottled()
		p.done(commitResult{outcome: commitThrottled})
	case kv.StatusMalformed:
		p.committer.log.Error("store rejected transaction as malformed", "conditions", len(p.txn.Conditions), "ops", len(p.txn.Operations))
		p.done(commitResult{outcome: commitRefused})
	default:
		p.done(commitResult{outcome: commitRefused})
	}
}

// handleRefusedRepeat takes the refusal of a copy while an earlier one may have been applied.
func (p *pendingCommit) handleRefusedRepeat(r kv.Response) {
	switch r.Status {
	case kv.StatusConflict:
		p.lookUp(func() { p.done(conflictOf(r)) })
	case kv.StatusMalformed:
		// The limits have fallen since it was first sent: no copy of it is carried out any more,
		// and whether one was shows now. Were it repeated until it is taken, its partition would
		// never plan again.
		p.lookUp(func() { p.done(commitResult{outcome: commitConflict, revision: p.committer.store.seenRevision}) })
	default:
		p.committer.after(refusedRetryDelay, p.send)
	}
}

// lookUp reads one of the keys that the transaction sets: if the value carries the write tag, an
// earlier copy was applied. It is repeated until the store answers.
func (p *pendingCommit) lookUp(notApplied func()) {
	key := p.firstSetKey()
	if key == "" {
		notApplied() // deletions only: the replica shows the rest
		return
	}
	p.committer.store.call(kv.Request{Kind: kv.Get, Key: key}, func(r kv.Response) {
		switch {
		case r.Status == kv.StatusOK && p.carriesTag(r.Value):
			p.applied(r.ModRevision)
		case r.Status == kv.StatusOK, r.Status == kv.StatusNotFound:
			notApplied()
		default:
			p.committer.after(unclearRetryDelay, func() { p.lookUp(notApplied) })
		}
	})
}

// firstSetKey is the first key that the transaction sets, "" if it only deletes.
func (p *pendingCommit) firstSetKey() string {
	for _, op := range p.txn.Operations {
		if op.Set != "" {
			return op.Set
		}
	}
	return ""
}

// carriesTag reports whether a stored value was written by this transaction.
func (p *pendingCommit) carriesTag(value json.RawMessage) bool {
	return bytes.Contains(schema.PlainJSON(value), []byte(`"`+p.writeTag+`"`))
}

// applied takes the transaction's changes into the replica, ahead of the watch.
func (p *pendingCommit) applied(revision uint64) {
	for _, op := range p.txn.Operations {
		if op.Set != "" {
			p.committer.replica.apply(op.Set, op.Value, revision, false)
		} else {
			p.committer.replica.apply(op.Delete, nil, revision, true)
			p.committer.replica.noteDeleted(op.Delete, revision)
		}
	}
	p.done(commitResult{outcome: commitApplied, revision: revision})
}

// encode is the stored form of a document.
func encode(document any) json.RawMessage {
	b, err := json.Marshal(document)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", document, err)) // documents are plain data: a fault of the program
	}
	return b
}

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

// commitOutcome is the final outcome of a transaction.
type commitOutcome int

const (
	commitApplied   commitOutcome = iota
	commitConflict                // a condition failed; the replica will show the cause
	commitRefused                 // not carried out: may be tried again later
	commitThrottled               // not carried out, because the request rate was too high
)

// commitResult is the outcome of a transaction, with the details that the store returned.
type commitResult struct {
	outcome    commitOutcome
	revision   uint64   // applied: of the transaction; conflict: of the store at the failure; else 0
	failedKeys []string // conflict: keys whose conditions failed, as far as known
}

// Delays before the repeat of a transaction or lookup whose answer did not settle the outcome.
const (
	unknownOutcomeRetryDelay = 150 * units.Millisecond // the store may have carried it out
	refusedRetryDelay        = 200 * units.Millisecond // this copy was refused, but an earlier one may have been carried out
)

// committer commits transactions and tracks which keys those in flight change.
//
// It guarantees that the caller of commit receives the outcome of its transaction exactly once, and that
// the changes of an applied transaction are in the replica by then. While the outcome is unknown, it repeats
// the identical transaction. It never decides to write: it neither builds transactions nor repeats one whose
// outcome is known.
type committer struct {
	*environment

	store      *storeClient
	replica    *replica
	budget     *writeBudget
	membership *membership

	lastWriteTag uint64          // number of the last write tag
	keysInFlight map[string]bool // keys of transactions whose outcome is not known yet
}

// newWriteTag returns a tag that no other commit has, so that after an unknown outcome a reader can
// distinguish this commit's writes from all others.
func (c *committer) newWriteTag() string {
	c.lastWriteTag++
	return c.membership.incarnation + "-" + strconv.FormatUint(c.lastWriteTag, 36)
}

// markInFlight records that a transaction is about to change its keys.
func (c *committer) markInFlight(txn *kv.Txn) {
	for _, op := range txn.Operations {
		c.keysInFlight[changedKey(op)] = true
	}
}

// clearInFlight records that the outcome of a transaction is known.
func (c *committer) clearInFlight(txn *kv.Txn) {
	for _, op := range txn.Operations {
		delete(c.keysInFlight, changedKey(op))
	}
}

// isInFlight reports whether a transaction whose outcome is not known yet changes a key.
func (c *committer) isInFlight(key string) bool { return c.keysInFlight[key] }

// changedKey returns the key that an operation sets or deletes.
func changedKey(op kv.Operation) string { return op.Set + op.Delete }

// commit sends a transaction whose values carry a write tag. done is called exactly once, with the
// transaction's outcome.
func (c *committer) commit(txn *kv.Txn, writeTag string, done func(commitResult)) {
	c.budget.charge(txn.Operations)
	p := &pendingCommit{committer: c, txn: txn, writeTag: writeTag, done: done}
	p.send()
}

// pendingCommit is a transaction whose outcome is not known yet.
//
// While the outcome is unknown, a copy of the transaction may still be applied late. The transaction is
// repeated without any change: whichever copy arrives second fails on the conditions, so that the
// transaction is applied once at most. When a repeat fails, the write tag shows whether an earlier copy
// was applied.
//
// A write that another one has overwritten before the lookup counts as a conflict. Callers treat a
// conflict as "not applied by this transaction, as far as is known", and rely on what the replica then
// shows.
type pendingCommit struct {
	committer      *committer
	txn            *kv.Txn
	writeTag       string
	outcomeUnknown bool // a copy was sent that may have been applied, or may yet be
	done           func(commitResult)
}

func (p *pendingCommit) send() {
	p.committer.store.call(kv.Request{Kind: kv.Transact, Txn: p.txn}, p.handleAnswer)
}

func (p *pendingCommit) handleAnswer(r kv.Response) {
	switch {
	case r.Status == kv.StatusOK:
		p.applied(r.Revision)
	case r.Status == kv.StatusUnknown:
		p.outcomeUnknown = true
		p.committer.after(unknownOutcomeRetryDelay, p.send)
	case p.outcomeUnknown:
		p.handleRefusedRepeat(r)
	default:
		p.handleRefusal(r)
	}
}

// conflictOf returns the result of a transaction whose conditions failed.
func conflictOf(r kv.Response) commitResult {
	return commitResult{outcome: commitConflict, revision: r.Revision, failedKeys: r.FailedKeys}
}

// handleRefusal handles the refusal of a transaction of which no other copy was sent.
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

// handleRefusedRepeat handles the refusal of a copy when an earlier one may have been applied.
func (p *pendingCommit) handleRefusedRepeat(r kv.Response) {
	switch r.Status {
	case kv.StatusConflict:
		p.lookUp(func() { p.done(conflictOf(r)) })
	case kv.StatusMalformed:
		// The limits were lowered after the transaction was first sent: no copy is carried out any
		// more, so a lookup settles whether one was. If the transaction were repeated until the store
		// accepts it, its partition would never plan again.
		p.lookUp(func() { p.done(commitResult{outcome: commitConflict, revision: p.committer.store.seenRevision}) })
	default:
		p.committer.after(refusedRetryDelay, p.send)
	}
}

// lookUp reads one of the keys that the transaction sets: if the value carries the write tag, an
// earlier copy was applied. The read is repeated until the store answers.
func (p *pendingCommit) lookUp(notApplied func()) {
	key := p.firstSetKey()
	if key == "" {
		notApplied() // deletions only: no value carries the tag, and the replica shows whether they were applied
		return
	}
	p.committer.store.call(kv.Request{Kind: kv.Get, Key: key}, func(r kv.Response) {
		switch {
		case r.Status == kv.StatusOK && p.carriesTag(r.Value):
			p.applied(r.ModRevision)
		case r.Status == kv.StatusOK, r.Status == kv.StatusNotFound:
			notApplied()
		default:
			p.committer.after(unknownOutcomeRetryDelay, func() { p.lookUp(notApplied) })
		}
	})
}

// firstSetKey returns the first key that the transaction sets, or "" if it only deletes.
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

// applied adds the transaction's changes to the replica, ahead of the watch, and reports the outcome.
func (p *pendingCommit) applied(revision uint64) {
	p.committer.replica.applyCommitted(p.txn.Operations, revision)
	p.done(commitResult{outcome: commitApplied, revision: revision})
}

// encode returns the stored form of a document.
func encode(document any) json.RawMessage {
	b, err := json.Marshal(document)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", document, err)) // documents are plain data, so this is a programming error
	}
	return b
}

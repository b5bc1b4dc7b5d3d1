// Package schema defines what frostdock stores in the key-value store: the keys, the documents
// under them, and the stored form of each document.
//
// Keys, all under [RootPrefix]:
//
//	k/a/0             [Layout]: the initial numbers of machine and job shards, and the documents' format
//	k/a/n/MEMBER/INC  [Registration] of a live process; it is attached to the process's lease
//	k/a/p/N           [Partition] N: its leader and term. Every write of the leader has the key's
//	                  mod revision as a condition
//	k/a/g/N           [MachineShard] N: the machines in it and all tasks that may be on them
//	k/a/j/N           [JobShard] N: the accepted jobs in it
//	k/a/d/P/N         [ProgressSegment] N of the jobs of partition P's teams
//	k/a/x/JOB         the cancellation of a job whose outcome is not yet recorded
//	k/a/b             [FirstMachine], the first machine that was rented
//	k/f/JOB           [Outcome] of a job. The first write decides between done and cancelled
//
// The store limits the transactions per second and the size of a value. Many machines or jobs therefore
// share a document, so that one transaction changes many of them, and documents have compact forms, so
// that many fit: one-letter JSON names, each kind of machine stored once, tasks and sets of tasks as
// ranges in text form, and large documents deflated.
//
// Stored forms must stay readable forever. Documents outlive the processes that wrote them, and two
// versions run side by side during an upgrade: each must read what the other writes, and
// neither may lose a field when it rewrites a document. So keys, JSON names and text forms never
// change. A new field is omitted while it is zero, and is set only once the layout's format
// allows it.
//
// The package only defines keys and encodes and decodes documents. It does not access the store, keeps
// no state and makes no decisions. All functions may be called concurrently; decoding returns an error
// for malformed input.
package schema

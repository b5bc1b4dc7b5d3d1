// Package peer carries heartbeats between controllers: gob over TCP, one stream in each direction.
//
// Heartbeats are evidence and hints, and tell of completed tasks, which stay completed. They may be
// lost, late or repeated: no rule depends on whether or when one arrives, and neither Send nor
// Listen tells of failures. Whoever misses heartbeats counts the sender as unheard and goes on.
//
// Listen and Send run in the goroutine of their caller until their context ends. Send starts no
// goroutine. Those that Listen starts have ended when it returns.
package peer

// Heartbeat is what a controller tells the others about once a second.
//
// Gob sends the names of the fields, so the names are part of the protocol, those of EndedTask
// too: a field that is renamed is lost between versions. New fields are passed over by earlier
// versions, and are zero in heartbeats from these.
type Heartbeat struct {
	Member  string
	Inc     string              // incarnation of the member's process
	StateOK bool                // it has had an answer from the key-value store of late
	Heard   map[string]int64    // machines it has had a heartbeat from: microseconds ago
	Open    map[string][]string // machines it commands that take tasks, and the images there
	Ended   []EndedTask         // tasks of others' jobs that completed on its machines, not yet stored
	Writes  float64             // moving average of its changes to the store, per second
}

// EndedTask is a task that completed.
type EndedTask struct {
	Job string
	Num int   // of the task in the job
	Ran int64 // for how long, microseconds; 0: not known
}

// Package peer carries heartbeats between controllers: gob over TCP, one stream in each direction.
//
// Heartbeats carry evidence and hints about the sender and its machines, and completed tasks, which stay
// completed. They may be lost, late or repeated: no rule depends on whether or when one arrives, and
// neither Send nor Listen reports a failed transfer. A controller that misses heartbeats treats the
// sender as not heard from and continues.
//
// Listen and Send run in the goroutine of their caller until their context ends. Send starts no
// goroutine. The goroutines that Listen starts have ended when it returns.
package peer

// Heartbeat is the message that a controller sends to all other controllers about once a second.
//
// Gob encodes field names, so the names of the fields of Heartbeat and EndedTask are part of the
// protocol: a field that is renamed is lost between versions. Earlier versions ignore new fields, and
// in heartbeats from them new fields are zero.
type Heartbeat struct {
	Member  string
	Inc     string              // incarnation of the member's process
	StateOK bool                // the key-value store has recently answered the sender
	Heard   map[string]int64    // by machine: microseconds since the sender last received its heartbeat
	Open    map[string][]string // by machine that the sender commands and that takes tasks: the images on it
	Ended   []EndedTask         // completed tasks on its machines, of jobs led by others, not yet stored as done
	Writes  float64             // moving average of the sender's changes to the store, per second
}

// EndedTask is a task that completed.
type EndedTask struct {
	Job string
	Num int   // number of the task in the job
	Ran int64 // run time, microseconds; 0: unknown
}

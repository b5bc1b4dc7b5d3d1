// Package agent holds the messages between controllers and the agents, one of which runs on each
// machine, and nothing else: package server carries them over HTTP, package controller decides
// what to command.
//
// An agent sends a Heartbeat every so often. The controller that leads the machine answers with
// commands in a HeartbeatResponse; any other answers with status 421 and a Redirect. Commands that
// cannot wait for the next heartbeat are pushed in a CommandRequest.
//
// Fencing. Every set of commands carries a fencing token. An agent keeps the highest token that it
// has seen and refuses commands with a lower one, so a controller that was replaced cannot
// command any more. An agent's epoch is one life between two expiries of its lease: it stops
// and forgets all of its tasks when no controller has answered for the length of the lease, and then begins a new
// epoch. Commands for another epoch are refused.
//
// The protocol has names of its own. They stand in the JSON tags and in the texts of the constants,
// and mean:
//
//	bench     machine                pass   attempt             recallS    notice of interruption
//	stock     machine type           stage  state of a task     halted     stopped
//	yard      zone                   kept   checkpoint saved    flushing   saving a checkpoint
//	loaners   spot                   shift  agent epoch         launch     start
//	piece     task                   tally  sequence number     kill       stop
//	order     action of a command    baton  fencing token       reap       remove
//	foreman   leader                 winddownS  grace period
package agent

// TaskState is what an agent says that a task is doing.
type TaskState string

// The states of a task, in order. A task that has ended is listed until its removal is commanded.
const (
	Pulling       TaskState = "pulling" // its image
	Running       TaskState = "running"
	Checkpointing TaskState = "flushing" // saving a checkpoint before it stops
	Ended         TaskState = "ended"
)

// Cause is why a task ended. Agents know further causes, for tasks that they could not start.
type Cause string

// The causes that make a difference.
const (
	CauseDone    Cause = "done"   // it completed
	CauseStopped Cause = "halted" // by command
	CauseError   Cause = "error"  // it failed
)

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task            string    `json:"piece"` // job and number: j-000412/3
	Attempt         uint64    `json:"pass"`
	State           TaskState `json:"stage"`
	Cause           Cause     `json:"cause"` // of a task that has ended
	CheckpointSaved bool      `json:"kept"`
}

// Heartbeat is all that an agent knows of its machine and the tasks there.
type Heartbeat struct {
	Machine                   string       `json:"bench"`
	Addr                      string       `json:"endpoint"`
	Type                      string       `json:"stock"`
	Zone                      string       `json:"yard"`
	Spot                      bool         `json:"loaners"`
	Epoch                     uint64       `json:"shift"`
	Sequence                  uint64       `json:"tally"`   // grows within an epoch
	FencingToken              uint64       `json:"baton"`   // the highest that it has seen
	InterruptionNoticeSeconds *float64     `json:"recallS"` // until a spot instance is taken away; nil: no notice
	Tasks                     []TaskStatus `json:"pieces"`
}

// Newer reports whether the heartbeat is later than the one with an epoch and a sequence number.
func (h *Heartbeat) Newer(epoch, sequence uint64) bool {
	return h.Epoch > epoch || h.Epoch == epoch && h.Sequence > sequence
}

// Action is what a command tells an agent to do.
type Action string

// The actions. Each is idempotent for an attempt of a task.
const (
	Start  Action = "launch" // pull the image and run the task
	Stop   Action = "kill"   // end the task, after the grace period if it has one
	Remove Action = "reap"   // forget a task that has ended
)

// Command is one command for one attempt of a task.
type Command struct {
	Action             Action  `json:"order"`
	Task               string  `json:"piece"`
	Attempt            uint64  `json:"pass"`
	GracePeriodSeconds float64 `json:"winddownS,omitempty"` // to save a checkpoint; 0: none
}

// HeartbeatResponse is the leader's answer to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect is the body of a 421, which answers a heartbeat that did not come to the leader.
type Redirect struct {
	LeaderAddr string `json:"foreman,omitempty"` // empty: not known
}

// CommandRequest is the body of a push.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

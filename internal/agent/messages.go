// Package agent holds the messages between controllers and agents, and nothing else. One agent runs on
// each machine. Package server carries the messages over HTTP; package controller decides what to command.
//
// An agent sends a Heartbeat periodically. The controller that leads the machine answers with commands in
// a HeartbeatResponse; any other controller answers with status 421 and a Redirect. Commands that cannot
// wait for the next heartbeat are pushed in a CommandRequest.
//
// Fencing. Every set of commands carries a fencing token. An agent keeps the highest token that it has
// seen and refuses commands with a lower one, so that a controller that was replaced can no longer command
// the agent. An agent's lease expires when no controller has answered for the length of the lease; the
// agent then stops and forgets all of its tasks. An epoch is the time between two expiries of the lease.
// An agent refuses commands for another epoch than its present one.
//
// The protocol has its own names. They appear in the JSON tags and in the values of the constants, and
// mean:
//
//	bench     machine                pass   attempt             recallS    notice of interruption
//	stock     machine type           stage  state of a task     halted     stopped
//	yard      zone                   kept   checkpoint saved    flushing   saving a checkpoint
//	loaners   spot                   shift  agent epoch         launch     start
//	piece     task                   tally  sequence number     kill       stop
//	order     action of a command    baton  fencing token       reap       remove
//	foreman   leader                 winddownS  grace period
package agent

// TaskState is the state of a task as its agent reports it.
type TaskState string

// The states of a task, in order. A task that has ended is listed until its removal is commanded.
const (
	Pulling       TaskState = "pulling" // pulling its image
	Running       TaskState = "running"
	Checkpointing TaskState = "flushing" // saving a checkpoint before it stops
	Ended         TaskState = "ended"
)

// Cause is why a task ended. Agents report further causes, for tasks that they could not start.
type Cause string

// The causes that the code distinguishes.
const (
	CauseDone    Cause = "done"   // the task completed
	CauseStopped Cause = "halted" // the task was stopped by command
	CauseError   Cause = "error"  // the task failed
)

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task            string    `json:"piece"` // job ID and task index, such as j-000412/3
	Attempt         uint64    `json:"pass"`
	State           TaskState `json:"stage"`
	Cause           Cause     `json:"cause"` // only of a task that has ended
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
	FencingToken              uint64       `json:"baton"`   // the highest that the agent has seen
	InterruptionNoticeSeconds *float64     `json:"recallS"` // until the spot instance is reclaimed; nil: no notice
	Tasks                     []TaskStatus `json:"pieces"`
}

// Newer reports whether the heartbeat is later than the one with the given epoch and sequence number.
func (h *Heartbeat) Newer(epoch, sequence uint64) bool {
	return h.Epoch > epoch || h.Epoch == epoch && h.Sequence > sequence
}

// Action is what a command tells an agent to do.
type Action string

// The actions. Each is idempotent for an attempt of a task.
const (
	Start  Action = "launch" // pull the image and run the task
	Stop   Action = "kill"   // stop the task, after the grace period if the command has one
	Remove Action = "reap"   // forget a task that has ended
)

// Command is one command for one attempt of a task.
type Command struct {
	Action             Action  `json:"order"`
	Task               string  `json:"piece"`
	Attempt            uint64  `json:"pass"`
	GracePeriodSeconds float64 `json:"winddownS,omitempty"` // for saving a checkpoint; 0: none
}

// HeartbeatResponse is the leader's answer to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect is the body of a 421, which answers a heartbeat that was sent to a controller that is not the
// leader.
type Redirect struct {
	LeaderAddr string `json:"foreman,omitempty"` // empty: leader not known
}

// CommandRequest is the body of a request that pushes commands to an agent.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

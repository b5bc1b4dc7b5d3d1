// Package agent holds the messages between workers and controllers.
package agent

// Task states and causes as the workers name them.
const (
	Pulling       = "pulling"
	Running       = "running"
	Checkpointing = "flushing"
	Ended         = "ended"

	CauseDone    = "done"
	CauseStopped = "halted"
	CauseError   = "error"
)

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task            string `json:"piece"`
	Attempt         uint64 `json:"pass"`
	State           string `json:"stage"`
	Cause           string `json:"cause"`
	CheckpointSaved bool   `json:"kept"`
}

// Heartbeat is a worker's account of its machine.
type Heartbeat struct {
	Machine                   string       `json:"bench"`
	Addr                      string       `json:"endpoint"`
	Type                      string       `json:"stock"`
	Zone                      string       `json:"yard"`
	Spot                      bool         `json:"loaners"`
	Epoch                     uint64       `json:"shift"`
	Sequence                  uint64       `json:"tally"`
	FencingToken              uint64       `json:"baton"`
	InterruptionNoticeSeconds *float64     `json:"recallS"`
	Tasks                     []TaskStatus `json:"pieces"`
}

// Newer reports whether (session, seq) of r is later than the given pair.
func (h *Heartbeat) Newer(epoch, sequence uint64) bool {
	return h.Epoch > epoch || h.Epoch == epoch && h.Sequence > sequence
}

// Command is one command.
type Command struct {
	Action             string  `json:"order"`
	Task               string  `json:"piece"`
	Attempt            uint64  `json:"pass"`
	GracePeriodSeconds float64 `json:"winddownS,omitempty"`
}

// The commands.
const (
	Start  = "launch"
	Stop   = "kill"
	Remove = "reap"
)

// HeartbeatResponse is the response to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	LeaderAddr string `json:"foreman,omitempty"`
}

// CommandRequest is the body of a direct command.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

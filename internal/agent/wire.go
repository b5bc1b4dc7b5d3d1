// Package workers holds the messages between workers and controllers.
package agent

// Task states and causes as the workers name them.
const (
	Pulling  = "pulling"
	Running  = "running"
	Flushing = "flushing"
	Ended    = "ended"

	CauseDone   = "done"
	CauseHalted = "halted"
	CauseError  = "error"
)

// Piece is one task in a report.
type Piece struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"pass"`
	State   string `json:"stage"`
	Cause   string `json:"cause"`
	Saved   bool   `json:"kept"`
}

// Report is a worker's account of its machine.
type Report struct {
	Machine string   `json:"bench"`
	Addr    string   `json:"endpoint"`
	Type    string   `json:"stock"`
	Zone    string   `json:"yard"`
	Spot    bool     `json:"loaners"`
	Session uint64   `json:"shift"`
	Seq     uint64   `json:"tally"`
	Token   uint64   `json:"baton"`
	NoticeS *float64 `json:"recallS"`
	Tasks   []Piece  `json:"pieces"`
}

// Newer reports whether (session, seq) of r is later than the given pair.
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// Order is one command.
type Order struct {
	Op      string  `json:"order"`
	Task    string  `json:"piece"`
	Attempt uint64  `json:"pass"`
	GraceS  float64 `json:"winddownS,omitempty"`
}

// The commands.
const (
	Launch = "launch"
	Kill   = "kill"
	Reap   = "reap"
)

// Answer is the response to a report.
type Answer struct {
	Token  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	To string `json:"foreman,omitempty"`
}

// Command is the body of a direct command.
type Command struct {
	Token   uint64  `json:"baton"`
	Session uint64  `json:"shift"`
	Orders  []Order `json:"orders"`
}

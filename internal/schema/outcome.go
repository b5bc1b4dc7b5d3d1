package schema

// Outcome records how a job ended. It is written once and never changes.
type Outcome struct {
	State       string `json:"s"` // "done" or "cancelled", as reported to users
	TasksDone   int    `json:"n"`
	RecordedAt  int64  `json:"t,omitempty"` // Unix time at which it was written, microseconds; 0: unknown
	CancelledBy string `json:"b,omitempty"` // the dependency whose cancellation cancelled this job
	WriteTag    string `json:"w,omitempty"` // tag of the transaction that wrote it
}

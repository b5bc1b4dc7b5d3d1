package schema

// Outcome is how a job ended. It is written once and never changes.
type Outcome struct {
	State       string `json:"s"` // "done" or "cancelled", as users are told
	TasksDone   int    `json:"n"`
	RecordedAt  int64  `json:"t,omitempty"` // time of day at which it was written, microseconds; 0: not known
	CancelledBy string `json:"b,omitempty"` // the dependency whose cancellation cancelled this job
	WriteTag    string `json:"w,omitempty"` // of the transaction that wrote it
}

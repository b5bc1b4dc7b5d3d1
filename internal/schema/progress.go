package schema

// ProgressSegment holds the progress of some of a partition's jobs, by job id.
type ProgressSegment struct {
	Jobs     map[string]JobProgress `json:"j"`
	WriteTag string                 `json:"w,omitempty"` // tag of the transaction that wrote it
}

// JobProgress is the stored progress of a job: its tasks that are done and their run time.
type JobProgress struct {
	DoneRanges string `json:"r"` // numbers of the done tasks: a TaskSet in its text form
	// AverageSeconds is the average run time of Samples tasks. It is stored so that a new leader
	// continues with the estimates of the previous one.
	AverageSeconds float64 `json:"a,omitempty"`
	Samples        int     `json:"c,omitempty"`
}

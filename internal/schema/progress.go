package schema

// ProgressSegment is the progress of some jobs of one partition, by job id.
type ProgressSegment struct {
	Jobs     map[string]JobProgress `json:"j"`
	WriteTag string                 `json:"w,omitempty"` // of the transaction that wrote it
}

// JobProgress is what is known of a job's tasks that are done.
type JobProgress struct {
	DoneRanges string `json:"r"` // a TaskSet in its text form
	// AverageSeconds is the average run time of Samples tasks. It is stored so that a new leader
	// goes on with the estimates of the one before.
	AverageSeconds float64 `json:"a,omitempty"`
	Samples        int     `json:"c,omitempty"`
}

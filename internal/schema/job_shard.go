package schema

import (
	"encoding/json"
	"fmt"
	"strings"
)

// jobPrefix begins every job id. The text forms omit it.
const jobPrefix = "j-"

// JobShard is one shard of the accepted jobs, ordered by id.
type JobShard struct {
	Jobs       []Job  `json:"j,omitempty"`
	ShardCount int    `json:"of,omitempty"` // modulus of the names in the shard, see FindShard; 0: never split
	WriteTag   string `json:"w,omitempty"`  // tag of the transaction that wrote it
}

// plainJobShard is a JobShard without its methods, so that encoding/json does not call them.
type plainJobShard JobShard

// MarshalJSON writes the shorter of the plain and the deflated form.
func (s JobShard) MarshalJSON() ([]byte, error) { return compress(plainJobShard(s)) }

// UnmarshalJSON reads either form.
func (s *JobShard) UnmarshalJSON(raw []byte) error {
	raw, err := decompress(raw)
	if err != nil {
		return fmt.Errorf("decode job shard: %w", err)
	}
	if err := json.Unmarshal(raw, (*plainJobShard)(s)); err != nil {
		return fmt.Errorf("decode job shard: %w", err)
	}
	return checkShardCount(s.ShardCount, MaxReadableShardCount)
}

// Job is an accepted job as it was submitted. It never changes.
type Job struct {
	ID                        string   `json:"i"`
	Class                     string   `json:"c"` // jobs of one class have similar run times; run times are estimated per class
	Team                      string   `json:"tm"`
	Service                   bool     `json:"s,omitempty"` // all tasks run at the same time until the job is cancelled; false: a job array
	Priority                  int      `json:"g"`           // higher preempts lower
	Tasks                     int      `json:"n"`           // number of tasks; they are numbered from 0
	CPUs                      float64  `json:"cp"`          // CPUs, GPUs and memory are per task
	GPUs                      float64  `json:"gp,omitempty"`
	MemGB                     float64  `json:"me"`
	Types                     []string `json:"ty,omitempty"` // allowed machine types; empty: all
	Zone                      string   `json:"z,omitempty"`  // the only allowed zone; empty: all
	OneZone                   bool     `json:"oz,omitempty"` // all tasks in one zone
	Spread                    bool     `json:"sd,omitempty"` // at most half of the tasks in one zone
	Spot                      bool     `json:"sp,omitempty"` // spot instances are allowed
	Image                     string   `json:"im"`
	ImageGB                   float64  `json:"ig"`
	EstimatedSeconds          float64  `json:"es"`           // run time of a task, as the user estimates it
	CheckpointIntervalSeconds float64  `json:"ck,omitempty"` // 0: tasks cannot save checkpoints
	CheckpointSeconds         float64  `json:"sv,omitempty"` // how long saving a checkpoint takes
	DeadlineSeconds           float64  `json:"du,omitempty"` // after acceptance; 0: none
	AcceptedAt                int64    `json:"at"`           // Unix time, microseconds
	Needs                     JobIDs   `json:"nd,omitempty"` // jobs that must be done before this one starts
}

// JobIDs is a list of job ids, stored as one comma-separated string of the ids without jobPrefix.
type JobIDs []string

// MarshalJSON writes the text form.
func (ids JobIDs) MarshalJSON() ([]byte, error) {
	short := make([]string, len(ids))
	for i, id := range ids {
		short[i] = strings.TrimPrefix(id, jobPrefix)
	}
	return json.Marshal(strings.Join(short, ","))
}

// UnmarshalJSON reads the text form.
func (ids *JobIDs) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("decode job ids: %w", err)
	}
	*ids = nil
	if text == "" {
		return nil
	}
	for _, short := range strings.Split(text, ",") {
		*ids = append(*ids, jobPrefix+short)
	}
	return nil
}

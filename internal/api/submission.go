package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"regexp"

	"frostdock.example/frostdock/internal/schema"
)

// Limits of a submission.
const (
	MaxBodyBytes = 64 << 10 // of the request body
	MaxTasks     = 100000   // of a job

	maxTextLength     = 200
	maxNumber         = 1e9
	maxTypes          = 50
	maxTypeNameLength = 100
)

// Kinds of jobs as users write them.
const (
	kindArray   = "array"
	kindService = "daemon"
)

// priorities ranks the priorities that users write: a higher rank preempts a lower one.
var priorities = map[string]int{"best_effort": 0, "standard": 1, "urgent": 2, "production": 3}

var jobIDPattern = regexp.MustCompile(`^j-[0-9]{1,18}$`)

// ValidJobID reports whether id has the form of a job id.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// submission is the body of a submission; pointers tell a missing field from a zero.
type submission struct {
	ID                        *string  `json:"uid"`
	Class                     *string  `json:"lot"`
	Team                      *string  `json:"crew"`
	Kind                      *string  `json:"cut"`
	Priority                  *string  `json:"grade"`
	Tasks                     *int     `json:"pieces"`
	CPUs                      *float64 `json:"cpus"`
	GPUs                      *float64 `json:"cards"`
	MemGB                     *float64 `json:"memoryGb"`
	Image                     *string  `json:"pattern"`
	ImageGB                   *float64 `json:"sizeGb"`
	Types                     []string `json:"stocks"`
	Zone                      *string  `json:"yard"`
	OneZone                   *bool    `json:"samePlace"`
	Spread                    *bool    `json:"spread"`
	Spot                      *bool    `json:"loaners"`
	EstimatedSeconds          *float64 `json:"sawS"`
	CheckpointIntervalSeconds *float64 `json:"stackS"`
	CheckpointSeconds         *float64 `json:"stowS"`
	DeadlineSeconds           *float64 `json:"dueS"`
	Needs                     []string `json:"waitsOn"`
}

// Parse decodes a submission. Errors are of type *MalformedError. When the body is malformed but
// its id can be read, the id is returned with the error: a repeat of a known job is answered
// by its id, whatever else the body says.
func Parse(body []byte) (*schema.Job, string, error) {
	id, err := parseID(body)
	if err != nil {
		return nil, "", err
	}
	var request submission
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, id, &MalformedError{Reason: "field", Err: err}
	}
	job, err := request.job()
	if err != nil {
		return nil, id, err
	}
	return job, id, nil
}

// parseID reads the job id of a body that is one JSON object, whatever else is in it.
func parseID(body []byte) (string, error) {
	if len(body) > MaxBodyBytes {
		return "", &MalformedError{Reason: "body over 64 KiB"}
	}
	var object map[string]json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&object); err != nil {
		return "", &MalformedError{Reason: "not a JSON object", Err: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return "", &MalformedError{Reason: "trailing data"}
	}
	if object == nil { // the body is null
		return "", &MalformedError{Reason: "not an object"}
	}
	var id string
	if err := json.Unmarshal(object["uid"], &id); err != nil || !ValidJobID(id) {
		return "", &MalformedError{Field: "uid", Reason: "missing or not of the form j-000412"}
	}
	return id, nil
}

// job checks all fields and returns the job, or an error for the first field that is wrong. The
// order of the checks decides which field that is.
func (s *submission) job() (*schema.Job, error) {
	var check validator
	job := &schema.Job{
		ID:                        *s.ID,
		Class:                     check.text("lot", s.Class),
		Team:                      check.text("crew", s.Team),
		Image:                     check.text("pattern", s.Image),
		CPUs:                      check.number("cpus", s.CPUs),
		GPUs:                      check.number("cards", s.GPUs),
		MemGB:                     check.number("memoryGb", s.MemGB),
		ImageGB:                   check.number("sizeGb", s.ImageGB),
		EstimatedSeconds:          check.number("sawS", s.EstimatedSeconds),
		CheckpointIntervalSeconds: check.number("stackS", s.CheckpointIntervalSeconds),
		CheckpointSeconds:         check.number("stowS", s.CheckpointSeconds),
		DeadlineSeconds:           check.optionalNumber("dueS", s.DeadlineSeconds),
		OneZone:                   check.flag("samePlace", s.OneZone),
		Spread:                    check.flag("spread", s.Spread),
		Spot:                      check.flag("loaners", s.Spot),
	}
	check.require(job.CPUs != 0, "cpus", "must be above 0")
	job.Service = check.service("cut", s.Kind)
	job.Priority = check.priority("grade", s.Priority)
	job.Tasks = check.taskCount("pieces", s.Tasks)
	job.Types = check.typeNames("stocks", s.Types)
	if s.Zone != nil {
		job.Zone = check.text("yard", s.Zone)
	}
	job.Needs = check.jobIDs("waitsOn", s.Needs)
	if check.first != nil {
		return nil, check.first
	}
	return job, nil
}

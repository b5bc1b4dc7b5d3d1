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
	MaxTasks     = schema.MaxTasks

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

// Parse decodes a submission. Errors are of type *MalformedError. When the body is malformed but
// its id can be read, the id is returned with the error: a repeat of a known job is answered
// by its id, whatever else the body says.
func Parse(body []byte) (*schema.Job, string, error) {
	fields, err := parseFields(body)
	if err != nil {
		return nil, "", err
	}
	id, err := fields.jobID()
	if err != nil {
		return nil, "", err
	}
	job, err := fields.job(id)
	if err != nil {
		return nil, id, err
	}
	return job, id, nil
}

// fields is the body of a submission, read once: values by the exact names of the fields. Decoding a
// struct instead would take names in other case for the same field (encoding/json does), and what one
// check has read another could read differently. Of a name that stands twice the last value counts.
type fields map[string]json.RawMessage

// parseFields reads a body that is one JSON object, whatever is in it.
func parseFields(body []byte) (fields, error) {
	if len(body) > MaxBodyBytes {
		return nil, &MalformedError{Reason: "body over 64 KiB"}
	}
	var object map[string]json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&object); err != nil {
		return nil, &MalformedError{Reason: "not a JSON object", Err: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &MalformedError{Reason: "trailing data"}
	}
	if object == nil { // the body is null
		return nil, &MalformedError{Reason: "not an object"}
	}
	return object, nil
}

// jobID reads the id of the job.
func (f fields) jobID() (string, error) {
	var id string
	if err := json.Unmarshal(f["uid"], &id); err != nil || !ValidJobID(id) {
		return "", &MalformedError{Field: "uid", Reason: "missing or not of the form j-000412"}
	}
	return id, nil
}

// job checks all fields but the id and returns the job, or an error for the first field that is wrong.
// The order of the checks decides which field that is; one of another JSON type comes before all others.
func (f fields) job(id string) (*schema.Job, error) {
	check := validator{fields: f}
	job := &schema.Job{
		ID:                        id,
		Class:                     check.text("lot"),
		Team:                      check.text("crew"),
		Image:                     check.text("pattern"),
		CPUs:                      check.number("cpus"),
		GPUs:                      check.number("cards"),
		MemGB:                     check.number("memoryGb"),
		ImageGB:                   check.number("sizeGb"),
		EstimatedSeconds:          check.number("sawS"),
		CheckpointIntervalSeconds: check.number("stackS"),
		CheckpointSeconds:         check.number("stowS"),
		DeadlineSeconds:           check.optionalNumber("dueS"),
		OneZone:                   check.flag("samePlace"),
		Spread:                    check.flag("spread"),
		Spot:                      check.flag("loaners"),
	}
	check.require(job.CPUs != 0, "cpus", "must be above 0")
	job.Service = check.service("cut")
	job.Priority = check.priority("grade")
	job.Tasks = check.taskCount("pieces")
	job.Types = check.typeNames("stocks")
	job.Zone = check.optionalText("yard")
	job.Needs = check.jobIDs("waitsOn")
	if err := check.err(); err != nil {
		return nil, err
	}
	return job, nil
}

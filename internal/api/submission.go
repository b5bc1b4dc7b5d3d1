package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"regexp"

	"frostdock.example/frostdock/internal/schema"
)

// Limits of a submission.
const (
	MaxBodyBytes = 64 << 10 // length of the request body
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

// submission is the body of a submission without the job's id. Pointers distinguish a missing field from a
// zero value. It is decoded by decode, since encoding/json would also match names that differ in case.
type submission struct {
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

// Parse decodes a submission and returns the job and its id. Errors are of type *MalformedError. If the
// body is malformed but its id is valid, the id is returned with the error: the repeated submission
// of an existing job is answered by the id, whatever else the body contains.
func Parse(body []byte) (*schema.Job, string, error) {
	fields, err := parseFields(body)
	if err != nil {
		return nil, "", err
	}
	id, err := fields.jobID()
	if err != nil {
		return nil, "", err
	}
	var request submission
	if err := request.decode(fields); err != nil {
		return nil, id, err
	}
	job, err := request.job(id)
	if err != nil {
		return nil, id, err
	}
	return job, id, nil
}

// rawFields holds the values of a body, parsed once, by exact field name. All checks and uses read the
// fields from here, so that no two parts of the program can interpret the body differently. If a name
// occurs twice, the last value counts.
type rawFields map[string]json.RawMessage

// parseFields parses a body, which must be one JSON object, without checking its fields.
func parseFields(body []byte) (rawFields, error) {
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

// jobID returns the id of the job, or an error if it is missing or invalid.
func (f rawFields) jobID() (string, error) {
	var id string
	if err := json.Unmarshal(f["uid"], &id); err != nil || !ValidJobID(id) {
		return "", &MalformedError{Field: "uid", Reason: "missing or not of the form j-000412"}
	}
	return id, nil
}

// decode sets the fields of s by the exact names in their tags. It returns an error for the first field
// with the wrong JSON type.
func (s *submission) decode(fields rawFields) error {
	target := reflect.ValueOf(s).Elem()
	for i := range target.NumField() {
		name := target.Type().Field(i).Tag.Get("json")
		raw, present := fields[name]
		if !present {
			continue
		}
		if err := json.Unmarshal(raw, target.Field(i).Addr().Interface()); err != nil {
			var typeError *json.UnmarshalTypeError
			if errors.As(err, &typeError) { // as encoding/json sets them for a field of a struct
				typeError.Struct, typeError.Field = target.Type().Name(), name
			}
			return &MalformedError{Reason: "field", Err: err}
		}
	}
	return nil
}

// job checks all fields and returns the job, or an error for the first invalid field, in the order of
// the checks.
func (s *submission) job(id string) (*schema.Job, error) {
	var check validator
	job := &schema.Job{
		ID:                        id,
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
	if check.firstError != nil {
		return nil, check.firstError
	}
	return job, nil
}

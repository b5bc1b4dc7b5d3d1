// Package api reads and checks what users send.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
)

// MaxBodyBytes is the largest request body.
const MaxBodyBytes = 64 << 10

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100000

// Grades, lowest first; the order decides who may preempt whom.
var priorities = map[string]int{"best_effort": 0, "standard": 1, "urgent": 2, "production": 3}

var jobIDPattern = regexp.MustCompile(`^j-[0-9]{1,18}$`)

// ValidJobID reports whether id has the form of a job id.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// submission is a submission; pointers tell a missing field from a zero.
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

// Parse decodes a submission. When the body is malformed but its id can be
// read, the id is returned with the error: a repeat of a known job is answered
// by its id whatever else the body says.
func Parse(body []byte) (*schema.Job, string, error) {
	if len(body) > MaxBodyBytes {
		return nil, "", errors.New("body over 64 KiB")
	}
	var object map[string]json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&object); err != nil {
		return nil, "", fmt.Errorf("not a JSON object: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, "", errors.New("trailing data")
	}
	if object == nil {
		return nil, "", errors.New("not an object")
	}
	var id string
	if err := json.Unmarshal(object["uid"], &id); err != nil || !ValidJobID(id) {
		return nil, "", errors.New("uid: missing or not of the form j-000412")
	}
	var request submission
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, id, fmt.Errorf("field: %w", err)
	}
	job, err := request.job()
	if err != nil {
		return nil, id, err
	}
	return job, id, nil
}

func (s *submission) job() (*schema.Job, error) {
	var firstErr error
	fail := func(field, reason string) {
		if firstErr == nil {
			firstErr = fmt.Errorf("%s: %s", field, reason)
		}
	}
	text := func(field string, value *string) string {
		if value == nil || *value == "" || len(*value) > 200 {
			fail(field, "missing, empty or too long")
			return ""
		}
		return *value
	}
	number := func(field string, value *float64, minimum float64, optional bool) float64 {
		switch {
		case value == nil && optional:
			return 0
		case value == nil:
			fail(field, "missing")
			return 0
		case *value < minimum || *value > 1e9 || math.IsNaN(*value):
			fail(field, "out of range")
		}
		return *value
	}
	flag := func(field string, value *bool) bool {
		if value == nil {
			fail(field, "missing")
			return false
		}
		return *value
	}
	job := &schema.Job{
		ID: *s.ID, Class: text("lot", s.Class), Team: text("crew", s.Team), Image: text("pattern", s.Image),
		CPUs: number("cpus", s.CPUs, 0, false), GPUs: number("cards", s.GPUs, 0, false), MemGB: number("memoryGb", s.MemGB, 0, false),
		ImageGB: number("sizeGb", s.ImageGB, 0, false), EstimatedSeconds: number("sawS", s.EstimatedSeconds, 0, false),
		CheckpointIntervalSeconds: number("stackS", s.CheckpointIntervalSeconds, 0, false), CheckpointSeconds: number("stowS", s.CheckpointSeconds, 0, false), DeadlineSeconds: number("dueS", s.DeadlineSeconds, 0, true),
		OneZone: flag("samePlace", s.OneZone), Spread: flag("spread", s.Spread), Spot: flag("loaners", s.Spot),
		Types: s.Types,
	}
	if job.CPUs == 0 && firstErr == nil {
		fail("cpus", "must be above 0")
	}
	switch text("cut", s.Kind) {
	case "array":
	case "daemon":
		job.Service = true
	default:
		fail("cut", "unknown")
	}
	priority, ok := priorities[text("grade", s.Priority)]
	if !ok {
		fail("grade", "unknown")
	}
	job.Priority = priority
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		fail("pieces", "missing or not from 1 to 100000")
	} else {
		job.Tasks = *s.Tasks
	}
	if s.Types != nil && len(s.Types) == 0 {
		fail("stocks", "empty")
	}
	if len(s.Types) > 50 {
		fail("stocks", "too many")
	}
	for _, typeName := range s.Types {
		if typeName == "" || len(typeName) > 100 {
			fail("stocks", "bad name")
		}
	}
	if s.Zone != nil {
		job.Zone = text("yard", s.Zone)
	}
	if i := slices.IndexFunc(s.Needs, func(id string) bool { return !ValidJobID(id) }); i >= 0 {
		fail("waitsOn", fmt.Sprintf("%q is not of the form j-000412", s.Needs[i]))
	}
	job.Needs = deduplicate(s.Needs)
	return job, firstErr
}

// deduplicate keeps the first of equal names.
func deduplicate(names []string) []string {
	seen := make(map[string]bool, len(names))
	var unique []string
	for _, name := range names {
		if !seen[name] {
			seen[name] = true
			unique = append(unique, name)
		}
	}
	return unique
}

// TaskFits reports whether one task of j can ever be on a machine of type t.
func TaskFits(job *schema.Job, machineType *cloud.MachineType) bool {
	return AllowsType(job, machineType.Name) && job.CPUs <= machineType.CPUs && job.GPUs <= machineType.GPUs && job.MemGB <= machineType.MemGB
}

// AllowsType reports whether the job names the type, or none at all.
func AllowsType(job *schema.Job, name string) bool {
	return len(job.Types) == 0 || slices.Contains(job.Types, name)
}

// CheckFeasible returns why a job can never run, or nil.
func CheckFeasible(job *schema.Job, teams []config.Team, types []cloud.MachineType) error {
	var team *config.Team
	for i := range teams {
		if teams[i].Name == job.Team {
			team = &teams[i]
		}
	}
	if team == nil {
		return fmt.Errorf("%w %q", config.ErrUnknownTeam, job.Team)
	}
	tasksAtOnce := 1.0
	if job.Service {
		tasksAtOnce = float64(job.Tasks)
	}
	if team.QuotaCPUs > 0 && job.CPUs*tasksAtOnce > team.QuotaCPUs || team.QuotaGPUs > 0 && job.GPUs*tasksAtOnce > team.QuotaGPUs {
		return errors.New("needs more than the team's limit")
	}
	for i := range types {
		if !TaskFits(job, &types[i]) {
			continue
		}
		for _, zone := range types[i].Zones {
			if job.Zone == "" || job.Zone == zone {
				return nil
			}
		}
	}
	return errors.New("a task fits no allowed machine type")
}

// Package intake reads and checks what users send.
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

// MaxBody is the largest request body.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100000

// Grades, lowest first; the order decides who may preempt whom.
var grades = map[string]int{"best_effort": 0, "standard": 1, "urgent": 2, "production": 3}

var idForm = regexp.MustCompile(`^j-[0-9]{1,18}$`)

// ValidID reports whether id has the form of a job id.
func ValidID(id string) bool { return idForm.MatchString(id) }

// wire is a submission; pointers tell a missing field from a zero.
type wire struct {
	ID      *string  `json:"uid"`
	Class   *string  `json:"lot"`
	Team    *string  `json:"crew"`
	Kind    *string  `json:"cut"`
	Grade   *string  `json:"grade"`
	Tasks   *int     `json:"pieces"`
	CPUs    *float64 `json:"cpus"`
	GPUs    *float64 `json:"cards"`
	MemGB   *float64 `json:"memoryGb"`
	Image   *string  `json:"pattern"`
	ImageGB *float64 `json:"sizeGb"`
	Types   []string `json:"stocks"`
	Zone    *string  `json:"yard"`
	OneZone *bool    `json:"samePlace"`
	Spread  *bool    `json:"spread"`
	Spot    *bool    `json:"loaners"`
	EstS    *float64 `json:"sawS"`
	CkptS   *float64 `json:"stackS"`
	SaveS   *float64 `json:"stowS"`
	DueS    *float64 `json:"dueS"`
	Needs   []string `json:"waitsOn"`
}

// Parse decodes a submission. When the body is malformed but its id can be
// read, the id is returned with the error: a repeat of a known job is answered
// by its id whatever else the body says.
func Parse(body []byte) (*schema.Job, string, error) {
	if len(body) > MaxBody {
		return nil, "", errors.New("body over 64 KiB")
	}
	var obj map[string]json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&obj); err != nil {
		return nil, "", fmt.Errorf("not a JSON object: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, "", errors.New("trailing data")
	}
	if obj == nil {
		return nil, "", errors.New("not an object")
	}
	var id string
	if err := json.Unmarshal(obj["uid"], &id); err != nil || !ValidID(id) {
		return nil, "", errors.New("uid: missing or not of the form j-000412")
	}
	var w wire
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, id, fmt.Errorf("field: %w", err)
	}
	j, err := w.job()
	if err != nil {
		return nil, id, err
	}
	return j, id, nil
}

func (w *wire) job() (*schema.Job, error) {
	var bad error
	fail := func(field, why string) {
		if bad == nil {
			bad = fmt.Errorf("%s: %s", field, why)
		}
	}
	str := func(field string, v *string) string {
		if v == nil || *v == "" || len(*v) > 200 {
			fail(field, "missing, empty or too long")
			return ""
		}
		return *v
	}
	num := func(field string, v *float64, least float64, optional bool) float64 {
		switch {
		case v == nil && optional:
			return 0
		case v == nil:
			fail(field, "missing")
			return 0
		case *v < least || *v > 1e9 || math.IsNaN(*v):
			fail(field, "out of range")
		}
		return *v
	}
	flag := func(field string, v *bool) bool {
		if v == nil {
			fail(field, "missing")
			return false
		}
		return *v
	}
	j := &schema.Job{
		ID: *w.ID, Class: str("lot", w.Class), Team: str("crew", w.Team), Image: str("pattern", w.Image),
		CPUs: num("cpus", w.CPUs, 0, false), GPUs: num("cards", w.GPUs, 0, false), MemGB: num("memoryGb", w.MemGB, 0, false),
		ImageGB: num("sizeGb", w.ImageGB, 0, false), EstS: num("sawS", w.EstS, 0, false),
		CkptS: num("stackS", w.CkptS, 0, false), SaveS: num("stowS", w.SaveS, 0, false), DueS: num("dueS", w.DueS, 0, true),
		OneZone: flag("samePlace", w.OneZone), Spread: flag("spread", w.Spread), Spot: flag("loaners", w.Spot),
		Types: w.Types,
	}
	if j.CPUs == 0 && bad == nil {
		fail("cpus", "must be above 0")
	}
	switch str("cut", w.Kind) {
	case "array":
	case "daemon":
		j.Service = true
	default:
		fail("cut", "unknown")
	}
	g, ok := grades[str("grade", w.Grade)]
	if !ok {
		fail("grade", "unknown")
	}
	j.Grade = g
	if w.Tasks == nil || *w.Tasks < 1 || *w.Tasks > MaxTasks {
		fail("pieces", "missing or not from 1 to 100000")
	} else {
		j.Tasks = *w.Tasks
	}
	if w.Types != nil && len(w.Types) == 0 {
		fail("stocks", "empty")
	}
	if len(w.Types) > 50 {
		fail("stocks", "too many")
	}
	for _, t := range w.Types {
		if t == "" || len(t) > 100 {
			fail("stocks", "bad name")
		}
	}
	if w.Zone != nil {
		j.Zone = str("yard", w.Zone)
	}
	if i := slices.IndexFunc(w.Needs, func(id string) bool { return !ValidID(id) }); i >= 0 {
		fail("waitsOn", fmt.Sprintf("%q is not of the form j-000412", w.Needs[i]))
	}
	j.Needs = withoutRepeats(w.Needs)
	return j, bad
}

// withoutRepeats keeps the first of equal names.
func withoutRepeats(names []string) []string {
	seen := make(map[string]bool, len(names))
	var out []string
	for _, name := range names {
		if !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	return out
}

// Fits reports whether one task of j can ever be on a machine of type t.
func Fits(j *schema.Job, t *cloud.Type) bool {
	return TypeAllowed(j, t.Name) && j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemGB <= t.MemGB
}

// TypeAllowed reports whether the job names the type, or none at all.
func TypeAllowed(j *schema.Job, name string) bool {
	return len(j.Types) == 0 || slices.Contains(j.Types, name)
}

// Feasible returns why a job can never run, or nil.
func Feasible(j *schema.Job, teams []config.Team, types []cloud.Type) error {
	var team *config.Team
	for i := range teams {
		if teams[i].Name == j.Team {
			team = &teams[i]
		}
	}
	if team == nil {
		return fmt.Errorf("%w %q", config.ErrNoTeam, j.Team)
	}
	n := 1.0
	if j.Service {
		n = float64(j.Tasks)
	}
	if team.CPUsMax > 0 && j.CPUs*n > team.CPUsMax || team.GPUsMax > 0 && j.GPUs*n > team.GPUsMax {
		return errors.New("needs more than the team's limit")
	}
	for i := range types {
		if !Fits(j, &types[i]) {
			continue
		}
		for _, z := range types[i].Zones {
			if j.Zone == "" || j.Zone == z {
				return nil
			}
		}
	}
	return errors.New("a task fits no allowed machine type")
}

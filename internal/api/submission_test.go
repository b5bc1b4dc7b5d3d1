package api

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const validSubmission = `{"uid":"j-000412","lot":"train","crew":"vision","cut":"array","grade":"urgent","pieces":16,
 "cpus":8.0,"cards":1.0,"memoryGb":64.0,"pattern":"img-07","sizeGb":6.2,"stocks":["g8"],"yard":null,
 "samePlace":true,"spread":false,"loaners":true,"sawS":240.0,"stackS":30.0,"stowS":4.0,"dueS":900.0,"later":1}`

// TestParse parses a valid submission, and malformed ones, of which the id is returned if it is valid.
func TestParse(t *testing.T) {
	j, id, err := Parse([]byte(validSubmission))
	if err != nil || id != "j-000412" || j.Tasks != 16 || j.Priority != 2 || !j.OneZone || j.Zone != "" || j.DeadlineSeconds != 900 {
		t.Fatalf("%+v %q %v", j, id, err)
	}
	for _, tc := range []struct{ old, new, id string }{
		{validSubmission, `[1]`, ""}, {validSubmission, `null`, ""}, {validSubmission, ``, ""}, {validSubmission, validSubmission + "x", ""},
		{`"j-000412"`, `"x-1"`, ""}, {`"j-000412"`, `7`, ""}, {`"j-000412"`, `"j-1/2"`, ""},
		{`"array"`, `"gang"`, "j-000412"}, {`"urgent"`, `"high"`, "j-000412"},
		{`"pieces":16`, `"pieces":0`, "j-000412"}, {`"pieces":16`, `"pieces":100001`, "j-000412"},
		{`"pieces":16`, `"pieces":1.5`, "j-000412"}, {`"cpus":8.0`, `"cpus":-1`, "j-000412"},
		{`"cpus":8.0,`, ``, "j-000412"}, {`"samePlace":true`, `"samePlace":null`, "j-000412"},
		{`"crew":"vision"`, `"crew":""`, "j-000412"}, {`"sawS":240.0`, `"sawS":"long"`, "j-000412"},
		{`"stocks":["g8"]`, `"stocks":[]`, "j-000412"},
		{`"later":1`, `"waitsOn":"j-000398"`, "j-000412"}, {`"later":1`, `"waitsOn":["x-1"]`, "j-000412"},
		{`"later":1`, `"waitsOn":[null]`, "j-000412"}, {`"later":1`, `"waitsOn":[398]`, "j-000412"},
		{`"later":1`, `"waitsOn":{"j-000398":1}`, "j-000412"},
		{`"later":1`, `"later":"` + strings.Repeat("x", MaxBodyBytes) + `"`, ""},
	} {
		_, id, err := Parse([]byte(strings.Replace(validSubmission, tc.old, tc.new, 1)))
		if err == nil || id != tc.id {
			t.Errorf("%.60q: id %q, %v", tc.new, id, err)
		}
	}
}

// TestMalformedError checks which field an error names, and its text, which users see.
func TestMalformedError(t *testing.T) {
	for _, tc := range []struct{ old, new, field, text string }{
		{validSubmission, `null`, "", "not an object"},
		{validSubmission, `[1]`, "", "not a JSON object: json: cannot unmarshal array into Go value of type map[string]json.RawMessage"},
		{validSubmission, validSubmission + "x", "", "trailing data"},
		{`"j-000412"`, `"x-1"`, "uid", "uid: missing or not of the form j-000412"},
		{`"cpus":8.0`, `"cpus":0`, "cpus", "cpus: must be above 0"},
		{`"cpus":8.0`, `"cpus":-1`, "cpus", "cpus: out of range"},
		{`"sawS":240.0,`, ``, "sawS", "sawS: missing"},
		{`"array"`, `"gang"`, "cut", "cut: unknown"},
		{`"urgent"`, `null`, "grade", "grade: missing, empty or too long"},
		{`"pieces":16`, `"pieces":0`, "pieces", "pieces: missing or not from 1 to 100000"},
		{`"later":1`, `"waitsOn":["x-1"]`, "waitsOn", `waitsOn: "x-1" is not of the form j-000412`},
		{`"crew":"vision","cut":"array"`, `"crew":"","cut":""`, "crew", "crew: missing, empty or too long"}, // of two invalid fields, the first
	} {
		_, _, err := Parse([]byte(strings.Replace(validSubmission, tc.old, tc.new, 1)))
		var malformed *MalformedError
		if !errors.As(err, &malformed) || malformed.Field != tc.field || err.Error() != tc.text {
			t.Errorf("%.60q: %v, want %q", tc.new, err, tc.text)
		}
	}
}

// TestNeeds parses the dependencies of a submission. An absent, null or empty list and repeated ids are valid.
func TestNeeds(t *testing.T) {
	for text, want := range map[string][]string{
		`"later":1`:      nil,
		`"waitsOn":null`: nil,
		`"waitsOn":[]`:   nil,
		`"waitsOn":["j-000398","j-7","j-000398"]`: {"j-000398", "j-7"},
	} {
		j, _, err := Parse([]byte(strings.Replace(validSubmission, `"later":1`, text, 1)))
		if err != nil || !slices.Equal(j.Needs, want) {
			t.Errorf("%s: %v, %v", text, j.Needs, err)
		}
	}
}

// TestFieldNames parses names that differ in case, which are unknown fields, and names that occur twice, of
// which the last value counts. The id of the job is always the one that was checked.
func TestFieldNames(t *testing.T) {
	for _, tc := range []struct{ name, old, new, id, text string }{
		{"known by exact name only", `"later":1`, `"CPUS":-1,"Crew":"","PIECES":"x","waitson":7`, "j-000412", ""},
		{"other case is not the field", `"cpus":8.0`, `"CPUS":8.0`, "j-000412", "cpus: missing"},
		{"other case is not the id", `"uid":"j-000412"`, `"UID":"j-000412"`, "", "uid: missing or not of the form j-000412"},
		{"id in other case before", `"uid":"j-000412"`, `"Uid":"j-7","uid":"j-000412"`, "j-000412", ""},
		{"id in other case after", `"later":1`, `"uiD":"j-7"`, "j-000412", ""},
		{"long s is no s", `"cards":1.0`, `"card\u017f":1.0`, "j-000412", "cards: missing"},
		{"escaped name is the name", `"cpus":8.0`, `"\u0063pus":8.0`, "j-000412", ""},
		{"last id counts", `"later":1`, `"uid":"j-7"`, "j-7", ""},
		{"last id counts, malformed", `"later":1`, `"uid":null`, "", "uid: missing or not of the form j-000412"},
		{"last value counts", `"cpus":8.0`, `"cpus":"x","cpus":8.0`, "j-000412", ""},
		{"last value counts, null", `"cpus":8.0`, `"cpus":8.0,"cpus":null`, "j-000412", "cpus: missing"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job, id, err := Parse([]byte(strings.Replace(validSubmission, tc.old, tc.new, 1)))
			if id != tc.id || tc.text == "" != (err == nil) || err != nil && err.Error() != tc.text {
				t.Fatalf("id %q, %v; want %q, %q", id, err, tc.id, tc.text)
			}
			if err == nil && (job.ID != id || job.CPUs != 8 || job.Team != "vision" || job.Tasks != 16 || job.Needs != nil) {
				t.Errorf("accepted %+v", job)
			}
		})
	}
}

// TestFieldOfOtherType parses fields of the wrong JSON type: the error has the text of the JSON decoder and
// takes precedence over other errors.
func TestFieldOfOtherType(t *testing.T) {
	for _, tc := range []struct{ old, new, text string }{
		{`"sawS":240.0`, `"sawS":"long"`, "field: json: cannot unmarshal string into Go struct field submission.sawS of type float64"},
		{`"pieces":16`, `"pieces":1.5`, "field: json: cannot unmarshal number 1.5 into Go struct field submission.pieces of type int"},
		{`"later":1`, `"waitsOn":[398]`, "field: json: cannot unmarshal number into Go struct field submission.waitsOn of type string"},
		{`"crew":"vision","cut":"array"`, `"crew":"","cut":[]`, "field: json: cannot unmarshal array into Go struct field submission.cut of type string"},
	} {
		_, id, err := Parse([]byte(strings.Replace(validSubmission, tc.old, tc.new, 1)))
		if err == nil || err.Error() != tc.text || id != "j-000412" {
			t.Errorf("%s: id %q, %v", tc.new, id, err)
		}
	}
}

// FuzzParse checks that an accepted job is in range, can be encoded and has the checked id, and that
// removing unknown fields from the body does not change it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"uid":"j-1"}`))
	for _, replacement := range []string{`"UID":null`, `"UID":"x/y"`, `"uid":"j-7"`, `"uid":null`, `"CPUS":-1`, `"cpus":9`, `"waitsOn":["j-3"]`} {
		f.Add([]byte(strings.Replace(validSubmission, `"later":1`, replacement, 1)))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		j, id, err := Parse(body)
		if err != nil {
			return
		}
		if j.ID != id || !ValidJobID(id) || j.Tasks < 1 || j.Tasks > MaxTasks || j.CPUs <= 0 || j.MemGB < 0 {
			t.Fatalf("accepted %+v", j)
		}
		if _, err := json.Marshal(j); err != nil {
			t.Fatal(err)
		}
		known, _, err := Parse(withoutUnknownFields(t, body))
		if err != nil || !reflect.DeepEqual(known, j) {
			t.Fatalf("accepted %+v; without unknown fields %+v, %v", j, known, err)
		}
	})
}

// withoutUnknownFields returns the body with only the fields of a submission.
func withoutUnknownFields(t *testing.T, body []byte) []byte {
	t.Helper()
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil {
		t.Fatal(err)
	}
	known := map[string]json.RawMessage{}
	for _, name := range []string{
		"uid", "lot", "crew", "cut", "grade", "pieces", "cpus", "cards", "memoryGb", "pattern", "sizeGb", "stocks",
		"yard", "samePlace", "spread", "loaners", "sawS", "stackS", "stowS", "dueS", "waitsOn",
	} {
		if value, ok := all[name]; ok {
			known[name] = value
		}
	}
	encoded, err := json.Marshal(known)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestIDInOtherCase parses a second id whose name differs in case only, "UID", which encoding/json matches
// to the same struct field. The second id must neither replace the checked one nor crash the process.
//
// The body was once read twice, by two rules: the id was checked in a map with exact names, and all fields
// were decoded into a struct. "UID":null then caused a nil pointer dereference in (*submission).job, in
// both of two controllers that got the submission, and a text in "UID" was accepted unchecked as the id.
func TestIDInOtherCase(t *testing.T) {
	for _, second := range []string{`null`, `"x/y"`} {
		body := strings.Replace(validSubmission, `"later":1`, `"UID":`+second, 1)
		job, id, err := Parse([]byte(body))
		if err == nil && job.ID != id {
			t.Errorf("UID %s: job %q is accepted as %q", second, job.ID, id)
		}
	}
}

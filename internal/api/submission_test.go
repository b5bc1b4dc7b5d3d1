package api

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
)

const validSubmission = `{"uid":"j-000412","lot":"train","crew":"vision","cut":"array","grade":"urgent","pieces":16,
 "cpus":8.0,"cards":1.0,"memoryGb":64.0,"pattern":"img-07","sizeGb":6.2,"stocks":["g8"],"yard":null,
 "samePlace":true,"spread":false,"loaners":true,"sawS":240.0,"stackS":30.0,"stowS":4.0,"dueS":900.0,"later":1}`

// TestParse reads a submission, and of malformed ones the id where it can be read.
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

// TestMalformedError names the field that is wrong, in the text that users see.
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
		{`"crew":"vision","cut":"array"`, `"crew":"","cut":""`, "crew", "crew: missing, empty or too long"}, // of two, the first
	} {
		_, _, err := Parse([]byte(strings.Replace(validSubmission, tc.old, tc.new, 1)))
		var malformed *MalformedError
		if !errors.As(err, &malformed) || malformed.Field != tc.field || err.Error() != tc.text {
			t.Errorf("%.60q: %v, want %q", tc.new, err, tc.text)
		}
	}
}

// TestNeeds reads which jobs a submission waits for: none, null and repeats are normal.
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

// FuzzParse checks that whatever is accepted is in range and can be stored.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"uid":"j-1"}`))
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
	})
}

// TestIDInOtherCase sends a second id whose name differs in case only: the JSON decoder takes it for the
// same field. It must neither take the place of the checked id nor end the process.
func TestIDInOtherCase(t *testing.T) {
	for _, second := range []string{`null`, `"x/y"`} {
		body := strings.Replace(validSubmission, `"later":1`, `"UID":`+second, 1)
		job, id, err := Parse([]byte(body))
		if err == nil && job.ID != id {
			t.Errorf("UID %s: job %q is accepted as %q", second, job.ID, id)
		}
	}
}

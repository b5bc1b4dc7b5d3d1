package schema

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// TestCompression checks that a job shard decodes to the same value from either form, and that its
// write tag is found in both.
func TestCompression(t *testing.T) {
	for _, jobs := range []int{0, 1, 40} {
		in := JobShard{WriteTag: "inc-7"}
		for n := range jobs {
			in.Jobs = append(in.Jobs, Job{ID: fmt.Sprintf("j-%06d", n*7919%100000), Class: "c", Team: "red", Tasks: n, CPUs: 2, MemGB: 7.4, Image: "img-01"})
		}
		raw, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		plain, err := json.Marshal(plainJobShard(in))
		if err != nil || len(raw) > len(plain) || jobs == 40 && len(raw)*3 > len(plain) {
			t.Errorf("%d jobs: %d bytes, plain %d: %v", jobs, len(raw), len(plain), err)
		}
		checkForm(t, raw, in)
		checkForm(t, plain, in)
	}
}

// checkForm decodes one form of a job shard, and looks for its write tag as the controllers do.
func checkForm(t *testing.T, form []byte, want JobShard) {
	t.Helper()
	var got JobShard
	if err := json.Unmarshal(form, &got); err != nil || !reflect.DeepEqual(want, got) {
		t.Errorf("%d jobs: %v, %+v", len(want.Jobs), err, got)
	}
	if !strings.Contains(string(PlainJSON(form)), `"`+want.WriteTag+`"`) {
		t.Errorf("%d jobs: no write tag in %q", len(want.Jobs), form)
	}
}

// TestMalformedCompression checks that a damaged deflated form is rejected.
func TestMalformedCompression(t *testing.T) {
	for _, bad := range []string{`"x`, `"!!!!"`, `"AAAA"`} {
		if err := json.Unmarshal([]byte(bad), &JobShard{}); err == nil {
			t.Errorf("%s was decoded without an error", bad)
		}
	}
}

package schema

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// TestNewFields checks that the fields added with FormatDependencies are stored and read back.
func TestNewFields(t *testing.T) {
	in := JobShard{ShardCount: 120, Jobs: []Job{{ID: "j-000412", Needs: JobIDs{"j-000398", "j-7"}}}}
	raw, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var out JobShard
	if err := json.Unmarshal(raw, &out); err != nil || out.ShardCount != 120 || !slices.Equal(out.Jobs[0].Needs, in.Jobs[0].Needs) {
		t.Errorf("%+v, %v", out, err)
	}
	if !strings.Contains(string(PlainJSON(raw)), `"000398,7"`) {
		t.Errorf("%s is not the short form", PlainJSON(raw))
	}
}

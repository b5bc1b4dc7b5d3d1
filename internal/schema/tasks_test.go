package schema

import (
	"slices"
	"strings"
	"testing"
)

// TestTasksText checks that tasks are read back from their text form, and that malformed texts are
// rejected.
func TestTasksText(t *testing.T) {
	in := Tasks{
		{Job: "j-000412", Index: 3, Attempt: 1<<28 | 7}, {Job: "j-000412", Index: 4, Attempt: 1<<28 | 7},
		{Job: "j-000412", Index: 9, Attempt: 1<<28 | 7, StopMode: StopGracefully}, {Job: "j-000412", Index: 10, Attempt: 1<<28 | 7, DoneTenths: 124},
		{Job: "j-7", Index: 0, Attempt: 1<<40 | 9, StopMode: StopImmediately, DoneTenths: 1}, {Job: "j-7", Index: 1, Attempt: 1 << 40},
	}
	text := in.encode()
	got, err := parseTasks(text)
	if err != nil || !slices.Equal(got, in) {
		t.Fatalf("%q: %v, %v", text, got, err)
	}
	if ranges := strings.Count(text, "~"); ranges != 5 {
		t.Errorf("%q has %d ranges, want 5", text, ranges)
	}
	for _, bad := range []string{"x", "1:2", "1:2~", "1:a~1", "1:2-b~1", "1:2~1!x"} {
		if _, err := parseTasks(bad); err == nil {
			t.Errorf("%q was parsed without an error", bad)
		}
	}
}

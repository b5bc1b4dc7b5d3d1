package schema

import (
	"encoding/json"
	"testing"
)

// TestCorruptNumbers guards against stored numbers that no controller writes. Used as an index or a
// length, such a number ended the reading process with "index out of range" or out of memory. The
// document must be rejected, while the largest valid numbers are still accepted.
func TestCorruptNumbers(t *testing.T) {
	for _, tc := range []struct {
		text string
		into any
		ok   bool
	}{
		{`{"of":98304}`, new(JobShard), true}, // earlier versions have written such counts
		{`{"of":2147483647}`, new(JobShard), true},
		{`{"of":2147483648}`, new(JobShard), false},
		{`{"of":-2}`, new(JobShard), false},
		{`{"of":98304}`, new(MachineShard), true}, // earlier versions have written such counts
		{`{"of":2147483647}`, new(MachineShard), true},
		{`{"of":2147483648}`, new(MachineShard), false},
		{`{"of":-2}`, new(MachineShard), false},
		{`{"g":65536,"j":24}`, new(Layout), true},
		{`{"g":65537,"j":24}`, new(Layout), false},
		{`{"format":1,"groups":12,"shelves":9007199254740993}`, new(Layout), false},
		{`"1:0-99999~1"`, new(Tasks), true},
		{`"1:99999~1"`, new(Tasks), true},
		{`"1:100000~1"`, new(Tasks), false},
		{`"1:0-9007199254740993~1"`, new(Tasks), false},
		{`"1:-4~1"`, new(Tasks), false},
		{`"1:7-3~1"`, new(Tasks), false},
	} {
		if err := json.Unmarshal([]byte(tc.text), tc.into); (err == nil) != tc.ok {
			t.Errorf("%T %s: %v", tc.into, tc.text, err)
		}
	}
	for _, text := range []string{"100000", "0-9007199254740993", "-4", "7-3"} {
		if _, err := ParseTaskSet(text); err == nil {
			t.Errorf("task set %q was parsed without an error", text)
		}
	}
}

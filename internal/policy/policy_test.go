package policy

import (
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/units"
)

func TestExampleScript(t *testing.T) {
	p, err := Load("../../examples/policy.star")
	if err != nil {
		t.Fatal(err)
	}
	if p.SpareCapacityShare != 0.15 || p.RefreshInterval != 10*units.Second {
		t.Errorf("%+v", p)
	}
	for _, tc := range []struct {
		j    Job
		want float64
	}{{Job{DueInS: 60}, 3}, {Job{Grade: "best_effort"}, 0.5}, {Job{Grade: "urgent", DueInS: 500}, 1}} {
		if w, err := p.Weight(tc.j); err != nil || w != tc.want {
			t.Errorf("%+v: %v, %v", tc.j, w, err)
		}
	}
}

func TestParseErrors(t *testing.T) {
	for src, want := range map[string]string{
		"x = = 1":                          "bad.star:1",
		"\nspeed = 3":                      "bad.star:2: speed: unknown setting",
		"refresh_s = 'x'":                  "bad.star:1: refresh_s: needs a number",
		"spare_share = -1":                 "must be from 0",
		"spot = 1":                         "needs True or False",
		"hire_most = float('nan')":         "must be from 1",
		"def weight(a, b):\n  return 1":    "one job",
		"def weight(j):\n  return 'x'":     "must be a number",
		"def weight(j):\n  return j['no']": "line",
		"a = 1\nb = a + 'x'":               "line 2",
		"def weight(j):\n  return len([x for x in range(1000000)])": "steps",
	} {
		if _, err := Parse("bad.star", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v does not say %q", src, err, want)
		}
	}
	if p, err := Load(""); err != nil || !p.UseSpot {
		t.Errorf("no script: %+v, %v", p, err)
	}
}

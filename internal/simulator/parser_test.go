package simulator

import (
	"os"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/units"
)

// TestParseRejects checks that mistakes in a scenario are found before a run starts.
func TestParseRejects(t *testing.T) {
	for line, want := range map[string]string{
		"machine big":                     `unknown word "machine"`,
		"set seed=x":                      "seed=x: not a number",
		"team":                            "word 1 is missing",
		"at soon crash node0":             "needs a time",
		"at 5":                            "needs a time",
		"at 5 explode":                    `unknown step "explode"`,
		"at 5 crash":                      "word 1 is missing",
		"at 5 crash node0 for=long":       "for=long: not a number",
		"at 5 cut node0 state mode=half":  "mode=half: unknown word",
		"at 5 zonecut a mode=deaf":        "mode=deaf: unknown word",
		"at 5 submit first":               `bad id "first"`,
		"at 5 submit j-1 grade=high":      "grade=high: unknown word",
		"expect miracles":                 `unknown expectation "miracles"`,
		"expect denied":                   "word 1 is missing",
		"expect started min=few":          "min=few: not a number",
		"set nodes=3\n\n# \nat 5 explode": "line 4: ",
	} {
		if _, err := Parse(strings.NewReader(line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", line, err, want)
		}
	}
}

// TestFaultsEnd checks when the last fault of a scenario ends, until which the waiting check is disabled.
func TestFaultsEnd(t *testing.T) {
	for line, want := range map[string]units.Micros{
		"at 5 submit j-1":                0,
		"at 5 limits":                    0,
		"at 5 outage":                    startTime + 35*units.Second,
		"at 5 outage for=2":              startTime + 7*units.Second,
		"at 5 roll for=2":                startTime + 67*units.Second,
		"at 5 upgrade every=10 for=2":    startTime + 37*units.Second,
		"at 5 outage\nat 1 outage for=1": startTime + 35*units.Second,
	} {
		s, err := Parse(strings.NewReader(line))
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		w := newWorld(&s.options, nil, nil)
		s.schedule(w, func(err error) { t.Errorf("%q: %v", line, err) })
		if w.checker.faultsEndAt != want {
			t.Errorf("%q: faults end at %v, want %v", line, w.checker.faultsEndAt, want)
		}
	}
}

// TestReadmeNamesAllWords checks that README.md names every keyword of the text format.
func TestReadmeNamesAllWords(t *testing.T) {
	readme, err := os.ReadFile("testdata/README.md")
	if err != nil {
		t.Fatal(err)
	}
	var words []string
	for word := range lineParsers {
		words = append(words, word)
	}
	for word := range stepParsers {
		words = append(words, word)
	}
	for word := range expectationParsers {
		words = append(words, word)
	}
	for _, word := range words {
		if !strings.Contains(string(readme), "`"+word+"`") && !strings.Contains(string(readme), "`"+word+" ") {
			t.Errorf("README.md does not name the word %q", word)
		}
	}
}

package simulator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestScenarios runs every scenario file in testdata.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files in testdata: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			var log bytes.Buffer
			for _, problem := range runScenario(t, file, &log) {
				t.Error(problem)
			}
			if (t.Failed() || testing.Verbose()) && os.Getenv("SCENARIO_LOG") != "" {
				t.Log("\n" + log.String())
			}
		})
	}
}

func runScenario(t *testing.T, file string, log *bytes.Buffer) []string {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(bytes.NewReader(raw))
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	s.Trace = traceFor(t)
	problems, err := s.Run(log)
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return problems
}

// TestRunIsDeterministic checks that a run depends only on its scenario and seed.
func TestRunIsDeterministic(t *testing.T) {
	var first, second bytes.Buffer
	runScenario(t, "testdata/storm.txt", &first)
	runScenario(t, "testdata/storm.txt", &second)
	if first.Len() == 0 || first.String() != second.String() {
		t.Fatal("two runs of the same scenario have no log or different logs")
	}
}

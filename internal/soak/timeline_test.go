package soak

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// timelineStamp is the format of the time at the beginning of a merged line.
const timelineStamp = "15:04:05.000000"

// logTimeline merges the logs of a run, and logs its faults and the directory with all files.
func logTimeline(t *testing.T, seed uint64, dir string) {
	t.Helper()
	timeline, err := mergeLogs(dir)
	if err != nil {
		t.Error(err)
	}
	faults := slices.DeleteFunc(timeline, func(line string) bool { return !strings.Contains(line, "fault: ") })
	t.Logf("faults of seed %d:\n%s", seed, strings.Join(faults, "\n"))
	t.Logf("logs, settings and the merged timeline are in %s", dir)
}

// mergeLogs writes the lines of all logs of a run to timeline.txt, ordered by time, and returns them.
func mergeLogs(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		source := strings.TrimSuffix(filepath.Base(file), ".log")
		for line := range strings.SplitSeq(strings.TrimSpace(string(raw)), "\n") {
			lines = append(lines, timelineLine(source, line))
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(stampOf(a), stampOf(b)) })
	return lines, os.WriteFile(filepath.Join(dir, "timeline.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// timelineLine puts a log line's time and source first. A line without a time, such as one of a panic,
// is returned unchanged.
func timelineLine(source, line string) string {
	stamp, rest, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return line
	}
	return at.UTC().Format(timelineStamp) + " " + source + " " + rest
}

func stampOf(line string) string { return line[:min(len(timelineStamp), len(line))] }

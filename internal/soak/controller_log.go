package soak

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

const (
	// maxFailures is the maximum number of failures listed for a controller.
	maxFailures = 20
	// maxLogLineBytes is the longest line that a controller may log.
	maxLogLineBytes = 1 << 20
)

// fatalLogPatterns are texts that a log must not contain: crashes, data races, broken invariants, and documents
// that one controller wrote and another cannot read.
var fatalLogPatterns = []string{"panic: ", "fatal error: ", "DATA RACE", "invariant violated", "unreadable document"}

// fatalLogLines lists the first fatal lines in the log, up to limit, and the error if the log can't be read.
func (p *controllerProcess) fatalLogLines(limit int) []string {
	found, err := findLines(p.logFile.Name(), limit, isFatal)
	for i, line := range found {
		found[i] = p.name + ": " + line
	}
	if err != nil {
		found = append(found, fmt.Sprintf("log of %s: %v", p.name, err))
	}
	return found
}

func isFatal(line string) bool {
	return slices.ContainsFunc(fatalLogPatterns, func(fatal string) bool { return strings.Contains(line, fatal) })
}

// findLines returns the first lines of a file that match, up to a limit.
func findLines(path string, limit int, matches func(line string) bool) (found []string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLineBytes)
	for len(found) < limit && lines.Scan() {
		if matches(lines.Text()) {
			found = append(found, lines.Text())
		}
	}
	return found, lines.Err()
}

package admission

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/units"
)

// TestScenarios runs the scenarios in testdata/*.txt. Lines:
//
//	serve SECONDS RATE TOOK_MS KIND   for SECONDS, offer RATE requests a second of TOOK_MS each
//	bound MIN MAX                     the limit must be from MIN to MAX now
//	refused MIN MAX KIND              MIN to MAX requests of KIND were refused since the last such line
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) { runScenario(t, f) })
	}
}

var kindByName = map[string]Kind{"submit": Submit, "poll": Query, "abort": Cancel}

// inFlightRequest is an admitted request that has not finished.
type inFlightRequest struct {
	finishAt units.Micros
	kind     Kind
	latency  units.Micros
}

// scenario is a limiter under a scripted load in simulated time.
type scenario struct {
	limiter  *Limiter
	now      units.Micros
	inFlight []inFlightRequest
	refused  map[Kind]int
}

func runScenario(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := &scenario{limiter: New(), now: units.Second, refused: map[Kind]int{}}
	for line := range strings.Lines(string(text)) {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) != "" {
			s.runLine(t, strings.TrimSpace(line))
		}
	}
}

func (s *scenario) runLine(t *testing.T, line string) {
	t.Helper()
	verb, args, _ := strings.Cut(line, " ")
	var kind string
	switch verb {
	case "serve":
		var seconds, rate, latencyMs float64
		scanAll(t, args, &seconds, &rate, &latencyMs, &kind)
		s.serve(seconds, rate, units.FromSeconds(latencyMs/1000), kindByName[kind])
	case "bound":
		var low, high float64
		scanAll(t, args, &low, &high)
		if got := float64(s.limiter.Limit()); got < low || got > high {
			t.Errorf("%s: the limit is %v", line, got)
		}
	case "refused":
		var low, high float64
		scanAll(t, args, &low, &high, &kind)
		if got := float64(s.refused[kindByName[kind]]); got < low || got > high {
			t.Errorf("%s: %v requests were refused", line, got)
		}
		s.refused[kindByName[kind]] = 0
	default:
		t.Fatalf("unknown step in scenario: %q", line)
	}
}

// scanAll parses args into the values; their numbers must be equal.
func scanAll(t *testing.T, args string, values ...any) {
	t.Helper()
	if count := len(strings.Fields(args)); count != len(values) {
		t.Fatalf("%q: %d values, want %d", args, count, len(values))
	}
	if _, err := fmt.Sscan(args, values...); err != nil {
		t.Fatalf("%q: %v", args, err)
	}
}

// serve offers rate requests of a kind a second, each of which takes latency.
func (s *scenario) serve(seconds, rate float64, latency units.Micros, kind Kind) {
	due := 0.0
	for range int(seconds * 1000) {
		s.advance()
		for due += rate / 1000; due >= 1; due-- {
			if !s.limiter.TryAcquire(kind) {
				s.refused[kind]++
				continue
			}
			s.inFlight = append(s.inFlight, inFlightRequest{s.now + latency, kind, latency})
		}
	}
}

// advance moves the clock by a millisecond and finishes the requests that are due.
func (s *scenario) advance() {
	s.now += units.Millisecond
	remaining := s.inFlight[:0]
	for _, request := range s.inFlight {
		if request.finishAt > s.now {
			remaining = append(remaining, request)
			continue
		}
		s.limiter.Release(request.kind, s.now, request.latency)
	}
	s.inFlight = remaining
}

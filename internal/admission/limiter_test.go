package admission

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostdock.example/frostdock/internal/units"
)

// TestScenarios plays testdata/*.txt. Lines:
//
//	serve SECONDS RATE TOOK_MS KIND   so many requests a second, each taking so long
//	bound MIN MAX                     what the bound must be now
//	refused MIN MAX KIND              how many of the kind were refused since the last such line
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) { runScenario(t, f) })
	}
}

var kindByName = map[string]Kind{"submit": Submit, "poll": Poll, "abort": Abort}

type inFlightRequest struct {
	finishAt units.Micros
	kind     Kind
	latency  units.Micros
}

func runScenario(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	limiter := New()
	now := units.Second
	var inFlight []inFlightRequest
	refused := map[Kind]int{}
	advance := func() {
		now += units.Millisecond
		remaining := inFlight[:0]
		for _, request := range inFlight {
			if request.finishAt <= now {
				limiter.Release(request.kind, now, request.latency)
			} else {
				remaining = append(remaining, request)
			}
		}
		inFlight = remaining
	}
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		var verb, kind string
		var a, b, c float64
		if strings.TrimSpace(line) == "" {
			continue
		}
		fmt.Sscan(line, &verb)
		switch verb {
		case "serve":
			if n, _ := fmt.Sscan(line, &verb, &a, &b, &c, &kind); n != 5 {
				t.Fatalf("%q", line)
			}
			due := 0.0
			for range int(a * 1000) {
				advance()
				for due += b / 1000; due >= 1; due-- {
					if limiter.TryAcquire(kindByName[kind]) {
						latency := units.FromSeconds(c / 1000)
						inFlight = append(inFlight, inFlightRequest{now + latency, kindByName[kind], latency})
					} else {
						refused[kindByName[kind]]++
					}
				}
			}
		case "bound":
			fmt.Sscan(line, &verb, &a, &b)
			if got := float64(limiter.Limit()); got < a || got > b {
				t.Errorf("%s: bound is %v", line, got)
			}
		case "refused":
			fmt.Sscan(line, &verb, &a, &b, &kind)
			if got := float64(refused[kindByName[kind]]); got < a || got > b {
				t.Errorf("%s: %v were", line, got)
			}
			refused[kindByName[kind]] = 0
		default:
			t.Fatalf("%q", line)
		}
	}
}

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
		t.Run(filepath.Base(f), func(t *testing.T) { play(t, f) })
	}
}

var names = map[string]Kind{"submit": Submit, "poll": Poll, "abort": Abort}

type leaving struct {
	at   units.Micros
	kind Kind
	took units.Micros
}

func play(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	l := New()
	now := units.Second
	var open []leaving
	refused := map[Kind]int{}
	step := func() {
		now += units.Millisecond
		rest := open[:0]
		for _, o := range open {
			if o.at <= now {
				l.Leave(o.kind, now, o.took)
			} else {
				rest = append(rest, o)
			}
		}
		open = rest
	}
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		line, _, _ := strings.Cut(sc.Text(), "#")
		var word, kind string
		var a, b, c float64
		if strings.TrimSpace(line) == "" {
			continue
		}
		fmt.Sscan(line, &word)
		switch word {
		case "serve":
			if n, _ := fmt.Sscan(line, &word, &a, &b, &c, &kind); n != 5 {
				t.Fatalf("%q", line)
			}
			due := 0.0
			for range int(a * 1000) {
				step()
				for due += b / 1000; due >= 1; due-- {
					if l.Enter(names[kind]) {
						took := units.FromSeconds(c / 1000)
						open = append(open, leaving{now + took, names[kind], took})
					} else {
						refused[names[kind]]++
					}
				}
			}
		case "bound":
			fmt.Sscan(line, &word, &a, &b)
			if got := float64(l.Bound()); got < a || got > b {
				t.Errorf("%s: bound is %v", line, got)
			}
		case "refused":
			fmt.Sscan(line, &word, &a, &b, &kind)
			if got := float64(refused[names[kind]]); got < a || got > b {
				t.Errorf("%s: %v were", line, got)
			}
			refused[names[kind]] = 0
		default:
			t.Fatalf("%q", line)
		}
	}
}

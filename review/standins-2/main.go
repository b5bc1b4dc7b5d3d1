// Command case plays one case of the review with real controllers and stand-ins for all else.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// cases are the cases by name; each ends the process.
var cases = map[string]func(){}

func main() {
	runtime.LockOSThread() // controllers are ended with this thread
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: case NAME")
		os.Exit(2)
	}
	time.AfterFunc(118*time.Second, func() {
		fmt.Println("could not run: out of time")
		os.Exit(2)
	})
	cases[os.Args[1]]()
}

func array(id, crew string, pieces int, cpus, seconds float64) *jobSpec {
	return &jobSpec{UID: id, Lot: "tile-render", Crew: crew, Cut: "array", Grade: "standard", Pieces: pieces, CPUs: cpus, MemoryGB: 1, Pattern: "img-1", SizeGB: 0.1, Loaners: true, SawS: seconds}
}

func service(id, crew string, pieces int, cpus float64) *jobSpec {
	j := array(id, crew, pieces, cpus, 0)
	j.Cut, j.Grade, j.Lot, j.Loaners = "daemon", "production", "trailview-live", false
	return j
}

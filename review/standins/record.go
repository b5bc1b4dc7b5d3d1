package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the events of a run to record.txt, with the seconds since the run began.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// seconds returns the time since the run began.
func (r *recorder) seconds() float64 { return time.Since(r.started).Seconds() }

// add writes one event.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, args...))
}

// say writes one event and prints it as well.
func (r *recorder) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

package soak

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// eventTimeFormat is the time format of the controllers' logs, with which the events are merged.
const eventTimeFormat = "2006-01-02T15:04:05.000000Z"

// eventLog records what happens outside the controllers. Its lines have the format of the
// controllers' logs, so that all merge into one timeline.
type eventLog struct {
	mu       sync.Mutex
	file     *os.File
	writeErr error // first error of a write
}

func newEventLog(path string) (*eventLog, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the event log: %w", err)
	}
	return &eventLog{file: file}, nil
}

// add writes an event; close returns the error if the write fails.
func (l *eventLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := fmt.Fprintf(l.file, "time=%s %s\n", time.Now().UTC().Format(eventTimeFormat), fmt.Sprintf(format, args...))
	if l.writeErr == nil {
		l.writeErr = err
	}
}

// close closes the file and returns an error if an event was not written.
func (l *eventLog) close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := errors.Join(l.writeErr, l.file.Close()); err != nil {
		return fmt.Errorf("event log: %w", err)
	}
	return nil
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run, with milliseconds since its start. Its methods may be called
// concurrently.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

// newRecord creates the file at path and begins the record.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// add writes one line: the time, who saw it, and what.
func (r *record) add(who, format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f %-12s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, arguments...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// close closes the file.
func (r *record) close() { _ = r.file.Close() }

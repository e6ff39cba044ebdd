package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record writes what was sent, answered and run to a file, with the time since its begin.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begin: time.Now()}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// tell writes one line to the record and to standard output.
func (r *record) tell(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

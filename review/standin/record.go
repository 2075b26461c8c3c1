package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line an event, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  file,
		out:   bufio.NewWriter(file),
		start: time.Now(),
	}, nil
}

// line writes one event to the file.
func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, values...)
	fmt.Fprintln(r.out)
}

// note is line, and also prints the event.
func (r *record) note(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf("%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	_ = r.out.Flush()
	_ = r.file.Close()
	r.file = nil
}

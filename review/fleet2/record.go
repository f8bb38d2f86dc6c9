package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the record of a case, with the seconds since its start.
type record struct {
	began time.Time

	mu     sync.Mutex // guards the fields below
	out    *bufio.Writer
	file   *os.File
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: bufio.NewWriter(file), file: file}, nil
}

// logf writes one line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes one line. The caller holds r.mu.
func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // end reports errors
}

// breakf records that the rule of the case was broken.
func (r *record) breakf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.line("BROKEN: %s", text)
}

// end writes the result and returns how often the rule was broken.
func (r *record) end() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("the rule was broken %d times", len(r.broken))
	if err := r.out.Flush(); err != nil {
		return len(r.broken), err
	}
	return len(r.broken), r.file.Close()
}

//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// run is one execution of a request by a runner.
type run struct {
	runner  string
	request string
	at      time.Time
}

// record keeps what was sent, answered and run, in memory and in the file record.txt.
type record struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	w       *bufio.Writer
	runs    []run
	answers []reply
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// run notes that a runner runs a request.
func (r *record) run(runner, id string, at time.Time, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{runner, id, at})
	r.write("runner %s runs %s, body of %d bytes", runner, id, size)
}

// answer notes what a client got.
func (r *record) answer(a reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
	r.write("client got %s from %s: %s", a.id, a.vm, a)
}

// snapshot returns the runs and answers so far.
func (r *record) snapshot() ([]run, []reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.runs...), append([]reply{}, r.answers...)
}

// runsOf counts the runs of a request.
func (r *record) runsOf(id string) int {
	runs, _ := r.snapshot()
	n := 0
	for _, x := range runs {
		if x.request == id {
			n++
		}
	}
	return n
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

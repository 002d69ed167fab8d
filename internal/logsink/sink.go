// Package logsink writes log lines in a task of its own, so that logging never blocks. Lines beyond the queue or the rate
// limit are dropped and counted.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"
)

const (
	// queueLines is the maximum number of lines that wait; maxCountedDrops is the maximum number of dropped lines that are
	// counted between two reports.
	queueLines      = 2048
	maxCountedDrops = 65536
	// linesPerSecond and burstLines are the rate and the size of the token bucket that limits the lines written.
	linesPerSecond = 400
	burstLines     = 2000
	// refillInterval is the time between two refills of the bucket, and between two reports of dropped lines.
	refillInterval = 100 * time.Millisecond
)

// Sink is an io.Writer that takes one complete line with each Write.
type Sink struct {
	out   io.Writer
	lines chan []byte
	// dropped holds one element for each dropped line that hasn't been reported.
	dropped chan struct{}
}

// New makes a Sink; Run writes its lines to out.
func New(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queueLines), dropped: make(chan struct{}, maxCountedDrops)}
}

// Write implements io.Writer. It never blocks; if the queue is full, the line is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.drop()
	}
	return len(line), nil
}

// drop counts a dropped line.
func (s *Sink) drop() {
	select {
	case s.dropped <- struct{}{}:
	default: // more lines are dropped than can be counted
	}
}

// Run writes lines, within the rate limit, and reports dropped ones until ctx ends. It then writes the lines that still wait,
// without the limit. A write error ends it. `cornelmux platform` starts it as a task.
func (s *Sink) Run(ctx context.Context) error {
	ticker := time.NewTicker(refillInterval)
	defer ticker.Stop()
	tokens := float64(burstLines)
	for {
		select {
		case line := <-s.lines:
			if tokens < 1 {
				s.drop()
				continue
			}
			tokens--
			if err := s.writeLine(line); err != nil {
				return err
			}
		case <-ticker.C:
			tokens = min(tokens+linesPerSecond*refillInterval.Seconds(), burstLines)
			if err := s.reportDropped(); err != nil {
				return err
			}
		case <-ctx.Done():
			return s.writeRemaining()
		}
	}
}

// writeLine writes one line.
func (s *Sink) writeLine(line []byte) error {
	if _, err := s.out.Write(line); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	return nil
}

// reportDropped writes a log line with the number of lines dropped since the last report, if there are any.
func (s *Sink) reportDropped() error {
	n := len(s.dropped)
	if n == 0 {
		return nil
	}
	for range n {
		<-s.dropped
	}
	return s.writeLine(fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", time.Now().UTC().Format(time.RFC3339Nano), n))
}

// writeRemaining writes the waiting lines, without the rate limit, and a last report of dropped ones. Run calls it when its
// context ends.
func (s *Sink) writeRemaining() error {
	for {
		select {
		case line := <-s.lines:
			if err := s.writeLine(line); err != nil {
				return err
			}
		default:
			return s.reportDropped()
		}
	}
}

package logsink

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
)

// TestWriteNeverWaits writes lines before Run starts, up to more than the queue holds. It guards against a Write that blocks
// its caller, and against dropped lines that aren't reported.
func TestWriteNeverWaits(t *testing.T) {
	tests := []struct {
		lines int
	}{
		{10}, {queueLines}, {queueLines + 500},
	}
	for _, test := range tests {
		var out bytes.Buffer
		s := New(&out)
		for n := range test.lines {
			_, err := fmt.Fprintf(s, "line %d\n", n)
			qt.Assert(t, err, qt.IsNil)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		ends := make(chan task.End, 1)
		task.Start(ctx, "sink", ends, s.Run)
		qt.Assert(t, (<-ends).Err, qt.IsNil)
		written := strings.Count(out.String(), "line ") // the report of dropped lines says "lines"
		qt.Check(t, written >= min(test.lines, burstLines), qt.IsTrue)
		if test.lines > queueLines {
			qt.Check(t, out.String(), qt.Contains, `"lines":500`)
		}
	}
}

package metric

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

type benchMessage struct{}

// BenchmarkStopwatch measures what the timing of a message adds to it.
func BenchmarkStopwatch(b *testing.B) {
	s := task.NewStopwatch("owner", New(logr.Discard()), logr.Discard())
	for b.Loop() {
		s.Handled(time.Now(), benchMessage{})
	}
}

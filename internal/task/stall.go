package task

import (
	"context"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

const (
	// stallCheckInterval is the time between two checks of whether the process runs.
	stallCheckInterval = 50 * time.Millisecond
	// minStall is how late a check is at least that is logged.
	minStall = 100 * time.Millisecond
)

// WatchStalls returns the task that logs each time for which the whole process stood still, as seen by a timer that came late. A
// silence of all endpoints at that time is the process's own. The platform VM runs it.
func WatchStalls(log logr.Logger) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			started, used := time.Now(), processorTime()
			if !Sleep(ctx, stallCheckInterval) {
				return ctx.Err()
			}
			if stood := stall(started, time.Now()); stood > 0 {
				log.Info("process stalled", "milliseconds", stood.Milliseconds(), "processor_milliseconds", (processorTime() - used).Milliseconds())
			}
		}
	}
}

// stall returns for how long the process stood still that began to wait for stallCheckInterval at started, or 0.
func stall(started, now time.Time) time.Duration {
	if late := now.Sub(started) - stallCheckInterval; late >= minStall {
		return late
	}
	return 0
}

// processorTime returns the processor time that the process has used, or 0 if it isn't known.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

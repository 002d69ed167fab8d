package shift

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

const hangLimit = 20 * time.Second

// ledger keeps what is written; failing says that writes fail.
type ledger struct {
	records chan Record
	pins    chan []uint64
	failing bool
}

func (l *ledger) Write(_ context.Context, r Record, _ uint64) error {
	if l.failing {
		return ErrOutdated
	}
	l.records <- r
	return nil
}

func (l *ledger) PublishPinned(_ context.Context, _, _ string, sessions []uint64) error {
	l.pins <- sessions
	return nil
}

type versions map[string]int

func (v versions) Versions(context.Context, string) (map[string]int, error) { return v, nil }

func startController(t *testing.T, failing bool) (*Controller, *ledger, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	l := &ledger{records: make(chan Record, 64), pins: make(chan []uint64, 64), failing: failing}
	c := New(l, versions{"v1": 3, "v2": 2}, Options{VM: "vm", SessionIdle: 5 * time.Second}, logr.Discard())
	ends := make(chan task.End, 1)
	task.Start(ctx, "shift", ends, c.Run)
	t.Cleanup(func() {
		cancel()
		<-ends
	})
	return c, l, ctx
}

func TestOrderIsRecorded(t *testing.T) {
	c, l, ctx := startController(t, false)
	qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
	r := <-l.records
	qt.Check(t, r.State, qt.Equals, StateRunning)
	qt.Check(t, r.OldVersions, qt.DeepEquals, []string{"v1"})
}

func TestBadVersionIsHalted(t *testing.T) {
	tests := []struct {
		name      string
		endpoints int
		failed    func(i int) bool
		want      bool
	}{
		{"every answer fails", 2, func(int) bool { return true }, true},
		{"half of them", 3, func(i int) bool { return i%2 == 0 }, true},
		{"none", 2, func(int) bool { return false }, false},
		{"one endpoint alone", 1, func(int) bool { return true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// No write succeeds: the VM halts the version for itself at once.
			c, _, ctx := startController(t, true)
			qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
			for i := range 40 {
				qt.Assert(t, c.AttemptEnded(ctx, Outcome{
					Service: "s", Version: "v2", Endpoint: fmt.Sprint("e", i%test.endpoints), Kind: "k",
					Conclusive: true, Failed: test.failed(i / test.endpoints), TTFB: time.Millisecond,
				}), qt.IsNil)
			}
			// A session that is on the new version stays there unless the version is halted.
			qt.Assert(t, c.AttemptStarted(ctx, "s", "on the new version", "v2"), qt.IsNil)
			b, err := c.Bind(ctx, "s", "on the new version")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.Version == "", qt.Equals, test.want)
		})
	}
}

// TestSlowAnswers: a version is as good as the old one while no more of its answers are slow, whatever slows both.
func TestSlowAnswers(t *testing.T) {
	const usual, usualGap = 100 * time.Millisecond, 20 * time.Millisecond
	begun := func(a *Outcome) { a.TTFB = 9 * usual }
	tests := []struct {
		name string
		// oldSlow and newSlow say that every n-th answer is slow.
		oldSlow, newSlow int
		// late makes an answer slow.
		late func(a *Outcome)
		want bool
	}{
		{"both as often", 20, 20, begun, false},
		{"the new one no more than one in 20, the old one never", 1000, 20, begun, false},
		{"every second of the new one", 20, 2, begun, true},
		{"every second of the new one, between events", 20, 2, func(a *Outcome) { a.MeanGap = 4 * usualGap }, true},
		{"both as often, between events", 10, 10, func(a *Outcome) { a.MeanGap = 4 * usualGap }, false},
		{"every second of the new one falls silent", 20, 2, func(a *Outcome) { a.TimedOut = true }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _, ctx := startController(t, true)
			answer := func(version string, i, every int) {
				a := Outcome{Service: "s", Version: version, Endpoint: fmt.Sprint("e", i%3), Kind: "k", Conclusive: true, TTFB: usual, MeanGap: usualGap}
				if i%every == every-1 {
					test.late(&a)
				}
				qt.Assert(t, c.AttemptEnded(ctx, a), qt.IsNil)
			}
			for i := range 200 {
				answer("v1", i, test.oldSlow)
			}
			qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
			for i := range 200 {
				answer("v2", i, test.newSlow)
			}
			qt.Assert(t, c.AttemptStarted(ctx, "s", "on the new version", "v2"), qt.IsNil)
			b, err := c.Bind(ctx, "s", "on the new version")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.Version == "", qt.Equals, test.want)
		})
	}
}

// TestCompletedGoesBeforeOwnHalt: once the fleet has completed a shift, the old version is gone, so a VM that found the new
// one bad meanwhile has nothing else to send to.
func TestCompletedGoesBeforeOwnHalt(t *testing.T) {
	c, _, ctx := startController(t, true)
	order := Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}
	qt.Assert(t, c.ApplyOrder(ctx, order), qt.IsNil)
	for i := range 40 {
		a := Outcome{Service: "s", Version: "v2", Endpoint: fmt.Sprint("e", i%3), Kind: "k", Conclusive: true, Failed: true}
		qt.Assert(t, c.AttemptEnded(ctx, a), qt.IsNil)
	}
	completed := Record{Order: order, State: StateCompleted, OldVersions: []string{"v1"}, StartedAt: time.Now()}
	qt.Assert(t, c.ApplyRecord(ctx, completed, 12), qt.IsNil)
	b, err := c.Bind(ctx, "s", "any")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b, qt.DeepEquals, Binding{ExcludedVersions: []string{"v1"}})
}

func TestRecordOfAnotherVMHolds(t *testing.T) {
	c, _, ctx := startController(t, true)
	order := Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}
	rolledBack := Record{Order: order, State: StateRolledBack, StartedAt: time.Now()}
	qt.Assert(t, c.ApplyRecord(ctx, rolledBack, 12), qt.IsNil)
	older := rolledBack
	older.State = StateRunning
	qt.Assert(t, c.ApplyRecord(ctx, older, 11), qt.IsNil)
	qt.Assert(t, c.ApplyOrder(ctx, order), qt.IsNil)
	b, err := c.Bind(ctx, "s", "any")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b, qt.DeepEquals, Binding{ExcludedVersions: []string{"v2"}})
}

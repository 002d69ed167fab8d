package shift

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/task"
)

// hangLimit bounds the run of a Controller in one test.
const hangLimit = 20 * time.Second

// fakeStore implements RecordStore. It passes on what is written, or refuses records if failWrites is set.
type fakeStore struct {
	records    chan Record
	pins       chan []uint64
	failWrites bool
}

func (s *fakeStore) Write(_ context.Context, r Record, _ uint64) error {
	if s.failWrites {
		return ErrOutdated
	}
	s.records <- r
	return nil
}

func (s *fakeStore) PublishPinned(_ context.Context, _, _ string, sessions []uint64) error {
	s.pins <- sessions
	if s.failWrites {
		return ErrOutdated
	}
	return nil
}

type fakeVersions map[string]int

func (v fakeVersions) Versions(context.Context, string) (map[string]int, error) { return v, nil }

// startController runs a Controller until the test ends. With failWrites, no record is ever stored.
func startController(t *testing.T, failWrites bool) (*Controller, *fakeStore, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	store := &fakeStore{records: make(chan Record, 64), pins: make(chan []uint64, 64), failWrites: failWrites}
	c := New(store, fakeVersions{"v1": 3, "v2": 2}, Options{VM: "vm", SessionIdle: 5 * time.Second}, logr.Discard())
	ends := make(chan task.End, 1)
	task.Start(ctx, "shift", ends, c.Run)
	t.Cleanup(func() {
		cancel()
		<-ends
	})
	return c, store, ctx
}

// TestOrderIsRecorded checks that an order leads to a running record with the versions that served before.
func TestOrderIsRecorded(t *testing.T) {
	c, store, ctx := startController(t, false)
	qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
	r := <-store.records
	qt.Check(t, r.State, qt.Equals, StateRunning)
	qt.Check(t, r.OldVersions, qt.DeepEquals, []string{"v1"})
}

// TestBadVersionIsHalted checks that a failing version is halted on this VM without a stored record,
// but not for the failures of a single endpoint.
func TestBadVersionIsHalted(t *testing.T) {
	tests := []struct {
		name      string
		endpoints int
		failed    func(i int) bool
		want      bool
	}{
		{"every answer fails", 2, func(int) bool { return true }, true},
		{"every second answer fails", 3, func(i int) bool { return i%2 == 0 }, true},
		{"no answer fails", 2, func(int) bool { return false }, false},
		{"every answer of one endpoint fails", 1, func(int) bool { return true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// No write succeeds, so only the local halt takes effect.
			c, _, ctx := startController(t, true)
			qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
			for i := range 40 {
				qt.Assert(t, c.AttemptEnded(ctx, Outcome{
					Attempt:    Attempt{Service: "s", Version: "v2", Endpoint: fmt.Sprint("e", i%test.endpoints), Kind: "k"},
					Conclusive: true, Failed: test.failed(i / test.endpoints), TTFB: time.Millisecond,
				}), qt.IsNil)
			}
			// A session that is on the new version stays there unless the version is halted.
			qt.Assert(t, c.AttemptStarted(ctx, Attempt{Service: "s", Session: "on the new version", Version: "v2"}), qt.IsNil)
			b, err := c.Bind(ctx, "s", "on the new version")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.Version == "", qt.Equals, test.want)
		})
	}
}

// TestSlowAnswers checks that a version is halted if it is slow more often than the old one, and that slowness
// of both versions, as from load, doesn't halt it.
func TestSlowAnswers(t *testing.T) {
	const usual, usualGap = 100 * time.Millisecond, 20 * time.Millisecond
	slowStart := func(a *Outcome) { a.TTFB = 9 * usual }
	tests := []struct {
		name string
		// oldSlow and newSlow are n where every n-th answer is slow.
		oldSlow, newSlow int
		// makeSlow makes an answer slow.
		makeSlow func(a *Outcome)
		want     bool
	}{
		{"slow TTFB, both equally often", 20, 20, slowStart, false},
		{"slow TTFB, one in 20 of the new version, none of the old", 1000, 20, slowStart, false},
		{"slow TTFB, every second of the new version", 20, 2, slowStart, true},
		{"slow between events, every second of the new version", 20, 2, func(a *Outcome) { a.Pace = 4 * usualGap }, true},
		{"slow between events, both equally often", 10, 10, func(a *Outcome) { a.Pace = 4 * usualGap }, false},
		{"timeout, every second of the new version", 20, 2, func(a *Outcome) { a.TimedOut = true }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _, ctx := startController(t, true)
			answer := func(version string, i, every int) {
				a := Outcome{Attempt: Attempt{Service: "s", Version: version, Endpoint: fmt.Sprint("e", i%3), Kind: "k"}, Conclusive: true, TTFB: usual, Pace: usualGap}
				if i%every == every-1 {
					test.makeSlow(&a)
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
			qt.Assert(t, c.AttemptStarted(ctx, Attempt{Service: "s", Session: "on the new version", Version: "v2"}), qt.IsNil)
			b, err := c.Bind(ctx, "s", "on the new version")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.Version == "", qt.Equals, test.want)
		})
	}
}

// TestCompletedGoesBeforeOwnHalt guards against a VM without any version to send to: it halted the new version while
// the other VMs completed the traffic shift and excluded the old one.
func TestCompletedGoesBeforeOwnHalt(t *testing.T) {
	c, _, ctx := startController(t, true)
	order := Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}
	qt.Assert(t, c.ApplyOrder(ctx, order), qt.IsNil)
	for i := range 40 {
		a := Outcome{Attempt: Attempt{Service: "s", Version: "v2", Endpoint: fmt.Sprint("e", i%3), Kind: "k"}, Conclusive: true, Failed: true}
		qt.Assert(t, c.AttemptEnded(ctx, a), qt.IsNil)
	}
	completed := Record{Order: order, State: StateCompleted, OldVersions: []string{"v1"}, StartedAt: time.Now()}
	qt.Assert(t, c.ApplyRecord(ctx, completed, 12), qt.IsNil)
	b, err := c.Bind(ctx, "s", "any")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b, qt.DeepEquals, Binding{ExcludedVersions: []string{"v1"}})
}

// TestRecordOfAnotherVMHolds checks that a stored record is replaced neither by an older one nor by its own order.
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

// TestPinnedSessionsArePublished checks that pinned sessions are published once, and again after a pause where the write
// failed, until sessions are no longer pinned.
func TestPinnedSessionsArePublished(t *testing.T) {
	tests := []struct {
		name       string
		failWrites bool
		least      int
		most       int
	}{
		{"the store accepts the write", false, 1, 1},
		{"the store refuses every write", true, 4, 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := &fakeStore{records: make(chan Record, 256), pins: make(chan []uint64, 256), failWrites: test.failWrites}
				c := New(store, fakeVersions{"v1": 3}, Options{VM: "vm", SessionIdle: time.Hour}, logr.Discard())
				ends := make(chan task.End, 1)
				task.Start(ctx, "shift", ends, c.Run)
				for i := range 100 {
					a := Attempt{ID: AttemptID{Number: i}, Service: "s", Session: fmt.Sprint(i), Version: "v1"}
					qt.Assert(t, c.AttemptStarted(ctx, a), qt.IsNil)
				}
				qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Revision: 9}), qt.IsNil)
				time.Sleep(20 * time.Second)
				n := len(store.pins)
				qt.Check(t, n >= test.least && n <= test.most, qt.IsTrue, qt.Commentf("%d writes", n))
				cancel()
				<-ends
			})
		})
	}
}

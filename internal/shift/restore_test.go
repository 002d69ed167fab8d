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

// write is a record that a VM wrote, and the revision that it expected in the store.
type write struct {
	record   Record
	revision uint64
}

// writeRecorder implements RecordStore. It passes on what is written, and stores nothing.
type writeRecorder struct{ writes chan write }

func (s writeRecorder) Write(_ context.Context, r Record, revision uint64) error {
	select {
	case s.writes <- write{r, revision}:
	default: // the test has ended
	}
	return nil
}

func (writeRecorder) PublishPinned(context.Context, string, string, []uint64) error { return nil }

// TestRestoredShifts guards against traffic shifts that a restore of the store sets back: a version that was rolled back gets traffic
// again, one that was completed starts from nothing, or an order of the new era is taken for an old one.
func TestRestoredShifts(t *testing.T) {
	// order is the one of the first era. The restored store may have it again, at the same revision, or lose it until it is written again.
	order := Order{Service: "s", Target: "v2", Duration: time.Minute, Era: 1, Revision: 20}
	inEra2 := func(o Order, revision uint64) Order {
		o.Era, o.Revision = 2, revision
		return o
	}
	record := func(o Order, state State) Record {
		return Record{Order: o, State: state, OldVersions: []string{"v1"}, StartedAt: time.Now()}
	}
	tests := []struct {
		name string
		// state is that of the traffic shift before the restore, at record revision 30.
		state   State
		restore func(ctx context.Context, c *Controller)
		// want is the first record that is written after the restore; nil is none within a second.
		want *write
		// binding is that of any session afterwards.
		binding Binding
	}{
		{"rolled back, order and record lost", StateRolledBack, func(ctx context.Context, c *Controller) {
			_ = c.DropRecord(ctx, "s", 2)
			_ = c.ApplyOrder(ctx, inEra2(order, 12))
		}, &write{record(inEra2(order, 12), StateRolledBack), 0}, Binding{ExcludedVersions: []string{"v2"}}},
		{"rolled back, record lost, order not written again", StateRolledBack, func(ctx context.Context, c *Controller) {
			_ = c.DropRecord(ctx, "s", 2)
		}, nil, Binding{ExcludedVersions: []string{"v2"}}},
		{"rolled back, restored while it ran", StateRolledBack, func(ctx context.Context, c *Controller) {
			_ = c.ApplyRecord(ctx, record(inEra2(order, 20), StateRunning), 22)
			_ = c.ApplyOrder(ctx, inEra2(order, 20))
		}, &write{record(inEra2(order, 20), StateRolledBack), 22}, Binding{ExcludedVersions: []string{"v2"}}},
		{"completed, restored while it ran", StateCompleted, func(ctx context.Context, c *Controller) {
			_ = c.ApplyRecord(ctx, record(inEra2(order, 20), StateRunning), 22)
			_ = c.ApplyOrder(ctx, inEra2(order, 20))
		}, &write{record(inEra2(order, 20), StateCompleted), 22}, Binding{ExcludedVersions: []string{"v1"}}},
		{"completed, a VM that has just started writes that it runs", StateCompleted, func(ctx context.Context, c *Controller) {
			_ = c.DropRecord(ctx, "s", 2)
			_ = c.ApplyOrder(ctx, inEra2(order, 12))
			_ = c.ApplyRecord(ctx, record(inEra2(order, 12), StateRunning), 13)
		}, &write{record(inEra2(order, 12), StateCompleted), 13}, Binding{ExcludedVersions: []string{"v1"}}},
		{"nothing lost", StateRolledBack, func(ctx context.Context, c *Controller) {
			_ = c.ApplyRecord(ctx, record(inEra2(order, 20), StateRolledBack), 30)
			_ = c.ApplyOrder(ctx, inEra2(order, 20))
		}, nil, Binding{ExcludedVersions: []string{"v2"}}},
		{"running, order written again", StateRunning, func(ctx context.Context, c *Controller) {
			_ = c.DropRecord(ctx, "s", 2)
			_ = c.ApplyOrder(ctx, inEra2(order, 12))
		}, &write{record(inEra2(order, 12), StateRunning), 0}, Binding{ExcludedVersions: []string{"v2"}}},
		{"outcome of another VM in the new era", StateRunning, func(ctx context.Context, c *Controller) {
			_ = c.ApplyRecord(ctx, record(inEra2(order, 12), StateRolledBack), 13)
			_ = c.ApplyOrder(ctx, inEra2(order, 12))
		}, nil, Binding{ExcludedVersions: []string{"v2"}}},
		{"late record of the era before", StateRolledBack, func(ctx context.Context, c *Controller) {
			_ = c.ApplyRecord(ctx, record(inEra2(order, 20), StateRolledBack), 25)
			_ = c.ApplyOrder(ctx, inEra2(order, 20))
			_ = c.ApplyRecord(ctx, record(order, StateCompleted), 40)
		}, nil, Binding{ExcludedVersions: []string{"v2"}}},
		{
			"another order at a lower revision", StateRolledBack, func(ctx context.Context, c *Controller) {
				_ = c.DropRecord(ctx, "s", 2)
				_ = c.ApplyOrder(ctx, Order{Service: "s", Target: "v3", Duration: time.Minute, Era: 2, Revision: 12})
			}, &write{Record{Order: Order{Service: "s", Target: "v3", Duration: time.Minute, Era: 2, Revision: 12}, State: StateRunning, OldVersions: []string{"v1", "v2"}}, 0},
			Binding{ExcludedVersions: []string{"v3"}},
		},
		{"same order once more in the new era", StateRolledBack, func(ctx context.Context, c *Controller) {
			_ = c.ApplyRecord(ctx, record(inEra2(order, 20), StateRolledBack), 30)
			_ = c.ApplyOrder(ctx, inEra2(order, 20))
			_ = c.ApplyOrder(ctx, inEra2(order, 35))
		}, &write{record(inEra2(order, 35), StateRunning), 30}, Binding{ExcludedVersions: []string{"v2"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
			store := writeRecorder{make(chan write, 64)}
			c := New(store, fakeVersions{"v1": 3, "v2": 2}, Options{VM: "vm", SessionIdle: 5 * time.Second}, logr.Discard())
			ends := make(chan task.End, 1)
			task.Start(ctx, "shift", ends, c.Run)
			defer func() {
				cancel()
				<-ends
			}()
			qt.Assert(t, c.ApplyOrder(ctx, order), qt.IsNil)
			qt.Assert(t, c.ApplyRecord(ctx, record(order, test.state), 30), qt.IsNil)
			test.restore(ctx, c)
			var got *write
			select {
			case w := <-store.writes:
				got = &w
			case <-time.After(time.Second):
			}
			qt.Assert(t, describe(got), qt.Equals, describe(test.want))
			b, err := c.Bind(ctx, "s", "any")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, b, qt.DeepEquals, test.binding)
		})
	}
}

// describe returns what counts of a write.
func describe(w *write) string {
	if w == nil {
		return "nothing"
	}
	r := w.record
	return fmt.Sprint(r.Target, " ", r.State, " ", r.OldVersions, ", order ", r.Order.Revision, ", at revision ", w.revision)
}

// TestEvidenceOutlivesARestore guards against a bad version that gets its whole share again, since what is known of it belongs to the
// revision that its order had before the store was restored.
func TestEvidenceOutlivesARestore(t *testing.T) {
	c, _, ctx := startController(t, true)
	order := Order{Service: "s", Target: "v2", Duration: time.Minute, Era: 1, Revision: 20}
	qt.Assert(t, c.ApplyOrder(ctx, order), qt.IsNil)
	fail := func(i int) {
		a := Attempt{ID: AttemptID{"r", i}, Service: "s", Version: "v2", Endpoint: fmt.Sprint("e", i%3), Kind: "k"}
		qt.Assert(t, c.AttemptStarted(ctx, a), qt.IsNil)
		qt.Assert(t, c.AttemptEnded(ctx, Outcome{Attempt: a, Conclusive: true, Failed: true, TTFB: time.Millisecond}), qt.IsNil)
	}
	for i := range 4 {
		fail(i) // one more halts the version
	}
	order.Era, order.Revision = 2, 12
	qt.Assert(t, c.ApplyOrder(ctx, order), qt.IsNil)
	for i := range 4 {
		fail(4 + i)
	}
	qt.Assert(t, c.AttemptStarted(ctx, Attempt{Service: "s", Session: "on the new version", Version: "v2"}), qt.IsNil)
	b, err := c.Bind(ctx, "s", "on the new version")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, b.Version, qt.Equals, "")
}

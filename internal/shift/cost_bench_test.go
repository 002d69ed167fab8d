package shift

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

// sizedController returns a Controller with a running traffic shift, that knows the evidence and the latencies of so many VMs, and so many
// sessions and attempts in flight.
func sizedController(vms, sessions int) *Controller {
	ctx := context.Background()
	c := New(nil, nil, Options{VM: "vm", SessionIdle: time.Hour}, logr.Discard())
	orderMessage{Order{Service: "s", Target: "v2", Duration: time.Hour, Revision: 9}}.handle(ctx, c)
	for i := range vms {
		stateMessage{stateOf(i)}.handle(ctx, c)
	}
	for i := range sessions {
		a := Attempt{ID: AttemptID{Request: fmt.Sprint(i)}, Service: "s", Version: "v2", Session: fmt.Sprint(i), Kind: "k 0", Model: "m", Running: i%16 + 1}
		if i%10 > 0 {
			a.Version = "v1"
		}
		startMessage{a}.handle(ctx, c)
	}
	return c
}

// stateOf returns the state of a VM, as one datagram holds it.
func stateOf(i int) peer.State {
	st := peer.State{VM: fmt.Sprint("vm-", i), Incarnation: 1}
	for _, version := range []string{"", "v2"} {
		st.Evidence = append(st.Evidence, peer.VersionEvidence{Model: "s", Version: version, StartedAt: 9, Answers: 10, Rated: 10})
	}
	for k := range 20 {
		st.Latencies = append(st.Latencies, peer.LatencyBaseline{Service: "s", Kind: kindHash(fmt.Sprint("k ", k/5)), Load: k % 5, Count: 2, Mean: time.Second})
	}
	return st
}

// BenchmarkShift measures what one message takes the Controller's goroutine while a traffic shift runs.
func BenchmarkShift(b *testing.B) {
	tests := []struct {
		name string
		run  func(ctx context.Context, c *Controller, n int)
	}{
		{"bind", func(ctx context.Context, c *Controller, n int) {
			bindMessage{"s", fmt.Sprint(n % 500), task.Reply[Binding]{}}.handle(ctx, c)
		}},
		{"start and outcome", func(ctx context.Context, c *Controller, n int) {
			a := Attempt{ID: AttemptID{Request: "q"}, Service: "s", Version: "v2", Session: fmt.Sprint(n % 500), Kind: "k 0", Model: "m", Running: 3}
			startMessage{a}.handle(ctx, c)
			outcomeMessage{Outcome{Attempt: a, Conclusive: true, TTFB: time.Second, Duration: time.Second, Pace: time.Millisecond}}.handle(ctx, c)
		}},
		{"state of a peer", func(ctx context.Context, c *Controller, n int) { stateMessage{stateOf(n % 31)}.handle(ctx, c) }},
		{"own state", func(ctx context.Context, c *Controller, _ int) { collectMessage{}.handle(ctx, c) }},
		{"tick", func(_ context.Context, c *Controller, _ int) {
			c.countOverdue(time.Now())
			c.standing("s", c.service("s"), time.Now())
		}},
	}
	sizes := []struct{ vms, sessions int }{{2, 20}, {84, 200}, {460, 2000}}
	for _, test := range tests {
		for _, s := range sizes {
			b.Run(fmt.Sprintf("%s/%d VMs, %d sessions", test.name, s.vms, s.sessions), func(b *testing.B) {
				c := sizedController(s.vms, s.sessions)
				for n := 0; b.Loop(); n++ {
					test.run(b.Context(), c, n)
				}
			})
		}
	}
}

package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
	"cornelmux/internal/task"
)

// TestRequestThatSurvivesIsNotRefused guards against the refusal of all requests with one content, most of which come whole, because two
// of them were at endpoints that crashed. Events concern a request on one of two VMs.
func TestRequestThatSurvivesIsNotRefused(t *testing.T) {
	const request = 7
	type event struct {
		after time.Duration
		vm    int
		// crashed is the endpoint that crashed; if there is none, a run survived that was sent ago before.
		crashed string
		ago     time.Duration
	}
	tests := []struct {
		name    string
		events  []event
		refused bool
	}{
		{"no survivor", []event{{0, 0, "e1#1", 0}, {time.Second, 0, "e2#1", 0}}, true},
		{"survivor before the crashes", []event{{0, 0, "", 0}, {time.Second, 0, "e1#1", 0}, {time.Second, 0, "e2#1", 0}}, false},
		{"survivor between", []event{{0, 0, "e1#1", 0}, {time.Second, 0, "", 0}, {time.Second, 0, "e2#1", 0}}, false},
		{"survivor that was in flight", []event{{0, 0, "e1#1", 0}, {0, 0, "e2#1", 0}, {time.Second, 0, "", 2 * time.Second}}, false},
		{"survivor of long before", []event{{0, 0, "", 0}, {time.Minute, 0, "e1#1", 0}, {0, 0, "e2#1", 0}}, true},
		{"answer that was sent long before", []event{{0, 0, "e1#1", 0}, {0, 0, "e2#1", 0}, {time.Second, 0, "", time.Minute}}, true},
		{"survivor at another VM", []event{{0, 0, "e1#1", 0}, {0, 1, "e2#1", 0}, {time.Second, 1, "", 0}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				ends := make(chan task.End, 2)
				vms := []*Controller{New(nil, logr.Discard()), New(nil, logr.Discard())}
				for _, vm := range vms {
					task.Start(ctx, "quarantine", ends, vm.Run)
				}
				defer func() { qt.Check(t, task.Stop(cancel, ends, len(vms)), qt.IsNil) }()
				for _, e := range test.events {
					time.Sleep(e.after)
					if e.crashed != "" {
						qt.Assert(t, vms[e.vm].Crashed(ctx, endpoint.Fingerprints{Path: request}, e.crashed), qt.IsNil)
					} else {
						qt.Assert(t, vms[e.vm].Survived(ctx, Run{Fingerprints: endpoint.Fingerprints{Path: request}, Endpoint: "e3", SentAt: time.Now().Add(-e.ago)}), qt.IsNil)
					}
					for i, vm := range vms {
						s := peer.State{VM: string(rune('a' + i))}
						qt.Assert(t, vm.Collect(ctx, &s), qt.IsNil)
						qt.Assert(t, vms[1-i].Receive(ctx, s), qt.IsNil)
					}
				}
				for _, vm := range vms {
					qt.Check(t, vm.Check(ctx, Query{Fingerprints: endpoint.Fingerprints{Path: request}}) != nil, qt.Equals, test.refused)
				}
			})
		})
	}
}

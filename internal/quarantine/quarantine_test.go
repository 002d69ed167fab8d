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
	"cornelmux/pkg/result"
)

// TestTwoCrashesQuarantineARequest counts the crashes of request 1 and checks how long it stays in quarantine.
func TestTwoCrashesQuarantineARequest(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	type crash struct {
		after    time.Duration
		request  uint64
		endpoint string
	}
	rows := []struct {
		name    string
		crashes []crash
		at      time.Duration
		want    time.Duration
	}{
		{"no crash", nil, 0, 0},
		{"one crash", []crash{{0, 1, "e1#1"}}, 0, 0},
		{"same crash reported twice", []crash{{0, 1, "e1#1"}, {0, 1, "e1#1"}}, 0, 0},
		{"two endpoints", []crash{{0, 1, "e1#1"}, {0, 1, "e2#1"}}, 0, Duration},
		{"two incarnations of one endpoint", []crash{{0, 1, "e1#1"}, {time.Second, 1, "e1#2"}}, time.Second, Duration},
		{"known crash reported again later", []crash{{0, 1, "e1#1"}, {0, 1, "e2#1"}, {time.Minute, 1, "e1#1"}}, Duration, 0},
		{"two requests", []crash{{0, 1, "e1#1"}, {0, 2, "e2#1"}}, 0, 0},
		{"a window apart", []crash{{0, 1, "e1#1"}, {CrashWindow, 1, "e2#1"}}, CrashWindow, 0},
		{"after the quarantine", []crash{{0, 1, "e1#1"}, {0, 1, "e2#1"}}, Duration, 0},
		{"one more crash after the quarantine", []crash{{0, 1, "e1#1"}, {0, 1, "e2#1"}, {Duration, 1, "e3#1"}}, Duration, Duration},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			records := Records{}
			for _, reported := range row.crashes {
				records.AddCrash(peer.CrashReport{Fingerprint: reported.request, Endpoint: reported.endpoint}, &ClearanceTable{}, start.Add(reported.after))
			}
			c.Assert(records.Remaining(endpoint.Fingerprints{Path: 1}, start.Add(row.at)), qt.Equals, row.want)
			records.Sweep(start.Add(row.at + CrashWindow + Duration))
			c.Assert(records, qt.HasLen, 0)
		})
	}
}

// TestCrashesCountOverVMs lets two VMs see one crash each of the same request.
func TestCrashesCountOverVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		ends := make(chan task.End, 2)
		vms := []*Controller{New(nil, logr.Discard()), New(nil, logr.Discard())}
		for _, vm := range vms {
			task.Start(ctx, "quarantine", ends, vm.Run)
		}
		defer func() { c.Check(task.Stop(cancel, ends, len(vms)), qt.IsNil) }()
		c.Assert(vms[0].Crashed(ctx, endpoint.Fingerprints{Path: 7}, "e1#1"), qt.IsNil)
		c.Assert(vms[1].Crashed(ctx, endpoint.Fingerprints{Path: 7}, "e2#1"), qt.IsNil)
		c.Assert(vms[1].Check(ctx, Query{Fingerprints: endpoint.Fingerprints{Path: 7}}), qt.IsNil)
		var s peer.State
		c.Assert(vms[0].Collect(ctx, &s), qt.IsNil)
		c.Assert(vms[1].Receive(ctx, s), qt.IsNil)
		e := result.From(vms[1].Check(ctx, Query{Fingerprints: endpoint.Fingerprints{Path: 7}}))
		c.Assert(e.Code, qt.Equals, result.RequestQuarantined)
		c.Assert(e.Run, qt.Equals, result.NotRun)
		c.Assert(vms[1].Check(ctx, Query{Fingerprints: endpoint.Fingerprints{Path: 8}}), qt.IsNil)
		time.Sleep(Duration)
		c.Assert(vms[1].Check(ctx, Query{Fingerprints: endpoint.Fingerprints{Path: 7}}), qt.IsNil)
	})
}

package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/peer"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

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
		{"none", nil, 0, 0},
		{"one", []crash{{0, 1, "e1#1"}}, 0, 0},
		{"the same one heard twice", []crash{{0, 1, "e1#1"}, {0, 1, "e1#1"}}, 0, 0},
		{"two endpoints", []crash{{0, 1, "e1#1"}, {0, 1, "e2#1"}}, 0, Term},
		{"one endpoint twice", []crash{{0, 1, "e1#1"}, {time.Second, 1, "e1#2"}}, time.Second, Term},
		{"passed on again later", []crash{{0, 1, "e1#1"}, {0, 1, "e2#1"}, {time.Minute, 1, "e1#1"}}, Term, 0},
		{"two requests", []crash{{0, 1, "e1#1"}, {0, 2, "e2#1"}}, 0, 0},
		{"far apart", []crash{{0, 1, "e1#1"}, {Window, 1, "e2#1"}}, Window, 0},
		{"after the term", []crash{{0, 1, "e1#1"}, {0, 1, "e2#1"}}, Term, 0},
		{"again after the term", []crash{{0, 1, "e1#1"}, {0, 1, "e2#1"}, {Term, 1, "e3#1"}}, Term, Term},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			cases := Cases{}
			for _, k := range row.crashes {
				cases.Hear(peer.CrashReport{Fingerprint: k.request, Endpoint: k.endpoint}, start.Add(k.after))
			}
			c.Assert(cases.Left(1, start.Add(row.at)), qt.Equals, row.want)
			cases.Sweep(start.Add(row.at + Window + Term))
			c.Assert(cases, qt.HasLen, 0)
		})
	}
}

func TestCrashesCountOverVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		ends := make(chan task.End, 2)
		vms := []*Controller{New(logr.Discard()), New(logr.Discard())}
		for _, vm := range vms {
			task.Start(ctx, "quarantine", ends, vm.Run)
		}
		defer func() { c.Check(task.Stop(cancel, ends, len(vms)), qt.IsNil) }()
		c.Assert(vms[0].Crashed(ctx, 7, "e1#1"), qt.IsNil)
		c.Assert(vms[1].Crashed(ctx, 7, "e2#1"), qt.IsNil)
		c.Assert(vms[1].Check(ctx, 7), qt.IsNil)
		var s peer.State
		c.Assert(vms[0].Collect(ctx, &s), qt.IsNil)
		c.Assert(vms[1].Receive(ctx, s), qt.IsNil)
		e := result.From(vms[1].Check(ctx, 7))
		c.Assert(e.Code, qt.Equals, result.RequestQuarantined)
		c.Assert(e.Run, qt.Equals, result.NotRun)
		c.Assert(vms[1].Check(ctx, 8), qt.IsNil)
		time.Sleep(Term)
		c.Assert(vms[1].Check(ctx, 7), qt.IsNil)
	})
}

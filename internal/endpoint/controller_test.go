package endpoint

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/task"
)

// fakeEndpoints fakes the platform's list, the load reports of the endpoints and the receiver of crashes.
type fakeEndpoints struct {
	mu      sync.Mutex
	list    []consul.Instance
	reports map[string]Report
	errs    map[string]error
	// fresh counts the reports that were requested on a new connection.
	fresh   int
	crashes []uint64
}

func (f *fakeEndpoints) Instances(ctx context.Context, _ string, after uint64, wait time.Duration) ([]consul.Instance, uint64, error) {
	if after > 0 {
		task.Sleep(ctx, wait)
		return nil, 0, errTimeout // the platform is down after the first list
	}
	return f.list, 1, nil
}

func (f *fakeEndpoints) Report(_ context.Context, address string, fresh bool) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fresh {
		f.fresh++
	}
	return f.reports[address], f.errs[address]
}

func (f *fakeEndpoints) Crashed(_ context.Context, request Fingerprints, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, request.Path)
	return nil
}

func (f *fakeEndpoints) set(address string, r Report, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[address], f.errs[address] = r, err
}

const firstAddress = "127.0.0.1:1"

// TestControllerFollowsAnEndpoint changes the reports of a single endpoint and checks what a run gets.
func TestControllerFollowsAnEndpoint(t *testing.T) {
	serving := Report{Incarnation: 1, Versions: []string{"m/v1"}}
	busy := Report{Incarnation: 1, Versions: []string{"m/v1"}, Queued: maxQueued}
	rows := []struct {
		name string
		do   func(c *qt.C, f *fakeEndpoints, e *Controller)
	}{
		{"leaving while the platform is down", func(c *qt.C, f *fakeEndpoints, e *Controller) {
			c.Assert(place(e, time.Second), qt.IsNil)
			f.set(firstAddress, Report{Incarnation: 1, Leaving: true, Versions: []string{"m/v1"}}, nil)
			time.Sleep(3 * time.Second)
			c.Assert(place(e, time.Second), qt.ErrorMatches, ".*no_endpoint.*")
		}},
		{"timed out, then probed on a new connection", func(c *qt.C, f *fakeEndpoints, e *Controller) {
			f.set(firstAddress, Report{}, errTimeout)
			time.Sleep(time.Second)
			c.Assert(place(e, 100*time.Millisecond), qt.ErrorMatches, ".*deadline_passed.*")
			f.set(firstAddress, serving, nil)
			time.Sleep(maxProbeDelay)
			c.Assert(place(e, time.Second), qt.IsNil)
			c.Assert(f.fresh > 0, qt.IsTrue)
		}},
		{"full, then free", func(c *qt.C, f *fakeEndpoints, e *Controller) {
			f.set(firstAddress, busy, nil)
			time.Sleep(time.Second)
			started := time.Now()
			c.Assert(place(e, 10*time.Second), qt.ErrorMatches, ".*queue_full.*")
			c.Assert(time.Since(started) <= maxQueueTime+pollInterval, qt.IsTrue)
			time.AfterFunc(time.Second, func() { f.set(firstAddress, serving, nil) })
			c.Assert(place(e, 10*time.Second), qt.IsNil)
		}},
		{"abandoned request is not in flight", func(c *qt.C, f *fakeEndpoints, e *Controller) {
			f.set(firstAddress, busy, nil)
			time.Sleep(time.Second)
			c.Assert(place(e, 100*time.Millisecond), qt.ErrorMatches, ".*deadline_passed.*")
			f.set(firstAddress, serving, nil)
			time.Sleep(time.Second)
			list, err := e.Snapshot(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(list[0].InFlight, qt.Equals, 0)
		}},
		{"crash during a run", func(c *qt.C, f *fakeEndpoints, e *Controller) {
			c.Assert(place(e, time.Second), qt.IsNil)
			f.set(firstAddress, Report{Incarnation: 2, Versions: []string{"m/v1"}}, nil)
			o := Outcome{Endpoint: "e1", Incarnation: 1, Failed: true, ConnectionLost: true, Fingerprints: Fingerprints{Path: 7}}
			c.Assert(e.Done(context.Background(), o), qt.IsNil)
			time.Sleep(time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			c.Assert(f.crashes, qt.DeepEquals, []uint64{7})
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEndpoints{reports: map[string]Report{firstAddress: serving}, errs: map[string]error{}}
				f.list = []consul.Instance{instance("e1", testHere, 1, false)}
				e := New(f, f, nil, f, Options{VM: "vm1", Location: testHere}, logr.Discard())
				ctx, cancel := context.WithCancel(context.Background())
				ends := make(chan task.End, 1)
				task.Start(ctx, "endpoints", ends, e.Run)
				time.Sleep(time.Second)
				row.do(qt.New(t), f, e)
				if err := task.Stop(cancel, ends, 1); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// place chooses an endpoint for testVersion and returns the error.
func place(e *Controller, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := e.Choose(ctx, testVersion)
	return err
}

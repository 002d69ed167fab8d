package order

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cornelmux/internal/consul"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/rapidtest"
	"cornelmux/internal/task"
)

// TestMain fixes rapid's seed, so that each run checks the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Settings{Seed: 20261204, Checks: 2000}) }

// fakeEngine takes orders like an endpoint; checksFence makes it reject outdated ones.
type fakeEngine struct {
	checksFence bool
	fence       uint64
	versions    []string
	role        string
}

// take carries out an order.
func (e *fakeEngine) take(o RecordedOrder) error {
	if e.checksFence && o.Fence < e.fence {
		return ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	kept := slices.DeleteFunc(slices.Clone(e.versions), func(v string) bool { return v == o.Version })
	switch o.Kind {
	case KindLoad:
		e.versions = append(kept, o.Version)
	case KindUnload:
		e.versions = kept
	default:
		e.role = o.Role
	}
	return nil
}

// report returns the endpoint as its report at that time shows it.
func (e *fakeEngine) report(now time.Time) endpoint.Endpoint {
	return endpoint.Endpoint{ID: "e1", Versions: e.versions, Role: e.role, ReportedAt: now, PolledHere: true}
}

// testOrders are orders about three subjects.
var testOrders = []Order{
	{Kind: KindLoad, Endpoint: "e1", Version: "m/v1"},
	{Kind: KindUnload, Endpoint: "e1", Version: "m/v1"},
	{Kind: KindLoad, Endpoint: "e1", Version: "m/v2"},
	{Kind: KindRole, Endpoint: "e1", Role: "prefill"},
	{Kind: KindRole, Endpoint: "e1", Role: "decode"},
}

// TestNewestOrderWins submits orders and sends pending ones with any delay between reading and sending. In the end the
// newest order about each subject must be in effect.
func TestNewestOrderWins(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		e := &fakeEngine{checksFence: rapid.Bool().Draw(t, "checks")}
		var r Record
		var paused []RecordedOrder
		submitted := map[string]Order{}
		send := func(o RecordedOrder) {
			if e.take(o) != nil {
				r = r.Renumber(o)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"submit", "read", "send"}).Draw(t, "event") {
			case "submit":
				before := r.Fence
				next, recorded, err := r.Add(rapid.SampledFrom(testOrders).Draw(t, "order"))
				if err != nil || next.Fence < before || !next.IsNewest(recorded) {
					t.Fatalf("fence %d after %d, %v", next.Fence, before, err)
				}
				r = next
				submitted[recorded.subject()] = recorded.Order
			case "read":
				paused = append(paused, r.Pending(e.report(now), now)...)
			case "send":
				if len(paused) > 0 {
					send(rapid.SampledFrom(paused).Draw(t, "paused"))
				}
			}
		}
		for range 3 * len(testOrders) {
			pending := r.Pending(e.report(now), now)
			if len(pending) == 0 {
				checkNewestInEffect(t, submitted, e)
				return
			}
			send(pending[0])
		}
		t.Fatalf("orders %+v still pending, engine %+v", r.Pending(e.report(now), now), e)
	})
}

// checkNewestInEffect compares the engine with the last order about each subject.
func checkNewestInEffect(t *rapid.T, submitted map[string]Order, e *fakeEngine) {
	for _, o := range submitted {
		has := slices.Contains(e.versions, o.Version)
		if (o.Kind == KindLoad && !has) || (o.Kind == KindUnload && has) || (o.Kind == KindRole && e.role != o.Role) {
			t.Fatalf("last order %+v is not in effect, engine %+v", o, e)
		}
	}
}

// TestLoadsStayWithinRate reserves loads at any times: their slots must be at least the interval apart and at most
// maxSlotWait ahead.
func TestLoadsStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000_000)
		var s LoadSchedule
		last := time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "loads") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 700, 3000}).Draw(t, "ms")) * time.Millisecond)
			next, wait, ok := s.Reserve(now, time.Second)
			if !ok {
				continue
			}
			if wait > maxSlotWait {
				t.Fatalf("reserved a load %v ahead", wait)
			}
			at := now.Add(wait)
			if at.Sub(last) < time.Second {
				t.Fatalf("loads at %v and %v", last, at)
			}
			s, last = next, at
		}
	})
}

// fakeStore is the platform's key-value service in memory. It loses the answers of the next loseAnswers writes, which
// take effect.
type fakeStore struct {
	mu          sync.Mutex
	data        map[string]consul.Value
	loseAnswers int
}

func (s *fakeStore) Get(_ context.Context, key string) (consul.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data[key], nil
}

// List implements Store. It returns the values of the keys that begin with prefix, in any order.
func (s *fakeStore) List(_ context.Context, prefix string) ([]consul.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []consul.Value
	for k, v := range s.data {
		if len(k) > len(prefix) && k[:len(prefix)] == prefix {
			list = append(list, v)
		}
	}
	return list, nil
}

// CAS implements Store.
func (s *fakeStore) CAS(_ context.Context, key string, data []byte, version uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data[key].Version != version {
		return false, nil
	}
	s.data[key] = consul.Value{Key: key, Data: data, Version: version + 1}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return false, fmt.Errorf("%w: answer lost", consul.ErrOutcomeUnknown)
	}
	return true, nil
}

// TestLedgerRecordsAnOrderOnce adds an order twice, also with a lost answer: it must keep its number.
func TestLedgerRecordsAnOrderOnce(t *testing.T) {
	rows := []struct {
		name        string
		loseAnswers int
		order       Order
		fence       uint64
	}{
		{"answered", 0, testOrders[0], 1},
		{"answer lost", 1, testOrders[0], 1},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			store := &fakeStore{data: map[string]consul.Value{}, loseAnswers: row.loseAnswers}
			l := Ledger{Store: store}
			for range 2 {
				recorded, err := l.Add(context.Background(), row.order)
				c.Assert(err, qt.IsNil)
				c.Assert(recorded, qt.Equals, RecordedOrder{row.order, row.fence})
			}
			c.Assert(store.data[recordPrefix+"e1"].Version, qt.Equals, uint64(1))
		})
	}
}

// fakeEndpoint implements Endpoints and Sender for one engine, and records the orders that it is sent.
type fakeEndpoint struct {
	mu         sync.Mutex
	engine     fakeEngine
	polledHere bool
	sends      []RecordedOrder
}

func (f *fakeEndpoint) Snapshot(context.Context) ([]endpoint.Endpoint, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine.report(time.Now())
	e.PolledHere = f.polledHere
	return []endpoint.Endpoint{e}, nil
}

func (f *fakeEndpoint) Order(_ context.Context, _ string, o RecordedOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends = append(f.sends, o)
	return f.engine.take(o)
}

// TestControllerSendsWhatAnotherVMRecorded records orders and runs a controller that didn't submit them.
func TestControllerSendsWhatAnotherVMRecorded(t *testing.T) {
	rows := []struct {
		name        string
		engine      fakeEngine
		polledHere  bool
		orders      []Order
		laterOrders []Order
		versions    []string
		sends       int
		interval    time.Duration
	}{
		{"load", fakeEngine{checksFence: true}, true, testOrders[:1], nil, []string{"m/v1"}, 1, time.Second},
		{"load and unload", fakeEngine{}, true, testOrders[:2], nil, nil, 0, time.Second},
		{"two versions", fakeEngine{checksFence: true}, true, []Order{testOrders[0], testOrders[2]}, nil, []string{"m/v1", "m/v2"}, 2, time.Second},
		{"engine that took a higher number", fakeEngine{checksFence: true, fence: 2}, true, testOrders[:1], nil, []string{"m/v1"}, 2, time.Second},
		{"order replaced while it waits", fakeEngine{}, true, []Order{testOrders[2], testOrders[0]}, testOrders[1:2], []string{"m/v2"}, 1, 4 * pollInterval},
		{"endpoint polled by other VMs", fakeEngine{checksFence: true}, false, testOrders[:1], nil, nil, 0, time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := Ledger{Store: &fakeStore{data: map[string]consul.Value{}}, LoadInterval: row.interval}
				f := &fakeEndpoint{engine: row.engine, polledHere: row.polledHere}
				for _, o := range row.orders {
					_, err := l.Add(context.Background(), o)
					c.Assert(err, qt.IsNil)
				}
				ctx, cancel := context.WithCancel(context.Background())
				ends := make(chan task.End, 1)
				task.Start(ctx, "orders", ends, New(l, f, f, logr.Discard()).Run)
				time.Sleep(3 * pollInterval)
				for _, o := range row.laterOrders {
					_, err := l.Add(context.Background(), o)
					c.Assert(err, qt.IsNil)
				}
				time.Sleep(3 * resendAfter)
				c.Check(task.Stop(cancel, ends, 1), qt.IsNil)
				c.Assert(f.engine.versions, qt.DeepEquals, row.versions)
				c.Assert(f.sends, qt.HasLen, row.sends)
			})
		})
	}
}

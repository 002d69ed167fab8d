package journal_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/journal"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// TestRequestsUnderFailure runs the filters and journals of three VMs against a failing platform, cuts and a crash.
func TestRequestsUnderFailure(t *testing.T) {
	faults := rapid.SampledFrom([]string{"", "", "", "", "unavailable", "answer lost", "late", "slow"})
	millis := func(n int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, n), func(i int) time.Duration { return time.Duration(i) * time.Millisecond })
	}
	one := rapid.Custom(func(t *rapid.T) caller {
		key := rapid.IntRange(0, 2).Draw(t, "key")
		return caller{
			VM: rapid.IntRange(0, 2).Draw(t, "vm"), Key: key, Idempotent: key == 0, At: millis(3000).Draw(t, "at"),
			Think: rapid.SampledFrom([]time.Duration{0, time.Millisecond, 4900 * time.Millisecond, 6 * time.Second}).Draw(t, "think"),
			Run:   millis(500).Draw(t, "run"), Ending: rapid.SampledFrom([]string{"", "", "refused", "lost"}).Draw(t, "ending"),
			Deadline: 30 * time.Second,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		callers := rapid.SliceOfN(one, 2, 8).Draw(rt, "callers")
		failures := rapid.SliceOfN(faults, 1, 12).Draw(rt, "faults")
		event := rapid.SampledFrom([]string{"none", "crash", "outage", "cut", "answers of VMs lost"}).Draw(rt, "event")
		at := millis(3000).Draw(rt, "event at")
		var broken error
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t.Context(), 3, 1000, 1<<20)
			defer c.stop()
			c.store.faults = failures
			outcomes, bills, err := c.run(t.Context(), callers, event, at)
			if broken = err; err == nil {
				broken = judge(c, outcomes, bills)
			}
		})
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}

// TestRequests checks what each caller gets, the bills and the most platform writes.
func TestRequests(t *testing.T) {
	const ms = time.Millisecond
	hundred := make([]caller, 100)
	for n := range hundred {
		hundred[n] = caller{Key: n + 1, Think: time.Duration(n%10) * ms}
	}
	waves := make([]caller, 200)
	for n := range waves {
		waves[n] = caller{Key: n + 1, VM: n % 2, At: time.Duration(n/100*50) * ms, Think: time.Duration(n%10) * ms}
	}
	all := make([]result.Code, 200)
	third := func(second, third string) []string {
		return append([]string{"", "", second, third}, make([]string, 96)...)
	}
	joiners, joined := []caller{{Key: 1, Run: 5 * time.Second, Deadline: 9 * time.Second}}, []result.Code{0}
	for range 64 {
		joiners, joined = append(joiners, caller{Key: 1, At: 100 * ms}), append(joined, result.DeadlinePassed)
	}
	joiners, joined = append(joiners, caller{Key: 1, At: 2 * time.Second, Deadline: 9 * time.Second}), append(joined, 0)
	slowFirst := append([]string{"", "slow"}, make([]string, 98)...)
	rows := []struct {
		name    string
		callers []caller
		faults  []string
		down    bool
		bills   int
		kept    int
		want    []result.Code
		billed  int
		writes  int
	}{
		{name: "one", callers: []caller{{Key: 1}}, want: []result.Code{0}, billed: 1, writes: 2},
		{name: "hundred at once share writes", callers: hundred, want: all, billed: 100, writes: 20},
		{name: "two hundred at two VMs share writes", callers: waves, want: all, billed: 200, writes: 40},
		{name: "lost answers are read back", callers: []caller{{Key: 1}}, faults: []string{"", "", "answer lost"}, want: []result.Code{0}, billed: 1, writes: 4},
		{
			name: "resends at two VMs join", callers: []caller{{Key: 1, Run: 500 * ms}, {Key: 1, At: 100 * ms}, {Key: 1, VM: 1, At: 100 * ms}},
			want: []result.Code{0, 0, 0}, billed: 1, writes: 2,
		},
		{
			name: "another VM fetches the kept answer", callers: []caller{{Key: 1}, {Key: 1, VM: 1, At: 900 * ms}},
			want: []result.Code{0, 0}, billed: 1, writes: 2,
		},
		{
			name: "an answer no longer kept", callers: []caller{{Key: 1}, {Key: 1, VM: 1, At: 900 * ms}, {Key: 1, At: 950 * ms}}, kept: 1,
			want: []result.Code{0, result.AnswerGone, result.AnswerGone}, billed: 1, writes: 2,
		},
		{
			name: "not run is told to who joined, and run at another VM",
			callers: []caller{
				{Key: 1, Think: 500 * ms, Ending: "refused"}, {Key: 1, At: 100 * ms}, {Key: 1, VM: 1, At: 200 * ms},
			},
			want: []result.Code{result.NoEndpoint, result.NoEndpoint, 0}, billed: 1, writes: 4,
		},
		{
			name: "lost after the send", callers: []caller{
				{Key: 1, Run: 500 * ms, Ending: "lost"}, {Key: 1, At: 100 * ms}, {Key: 1, VM: 1, At: 100 * ms}, {Key: 1, VM: 1, At: 900 * ms},
			},
			want: []result.Code{result.OutcomeUnknown, result.OutcomeUnknown, result.OutcomeUnknown, result.OutcomeUnknown}, writes: 1,
		},
		{
			name:    "idempotent failure is told as it is",
			callers: []caller{{Key: 1, Idempotent: true, Run: 500 * ms, Ending: "lost"}, {Key: 1, Idempotent: true, At: 100 * ms}},
			want:    []result.Code{result.EndpointFailed, result.EndpointFailed},
		},
		{
			name: "a caller that leaves while it is recorded", callers: []caller{{Key: 1}, {Key: 1, At: 20 * time.Second}}, faults: slowFirst,
			want: []result.Code{result.JournalUnavailable, 0}, billed: 1, writes: 4,
		},
		{
			name: "a release is written after the outage", callers: []caller{{Key: 1, Ending: "refused"}, {Key: 1, VM: 1, At: 5 * time.Second}},
			faults: third("", "unavailable"), want: []result.Code{result.NoEndpoint, 0}, billed: 1, writes: 4,
		},
		{
			name: "a claim of unknown outcome is taken back", callers: []caller{{Key: 1}, {Key: 1, VM: 1, At: 5 * time.Second}},
			faults: third("answer lost", "unavailable"), want: []result.Code{result.JournalUnavailable, 0}, billed: 1, writes: 4,
		},
		{
			name: "those who joined and left make room", callers: joiners, want: joined, billed: 1, writes: 2,
		},
		{
			name: "platform outage", callers: []caller{{Key: 1}, {Key: 2, Idempotent: true}}, down: true,
			want: []result.Code{result.JournalUnavailable, 0}, billed: 1, writes: 1,
		},
		{
			name: "bills full in an outage", callers: []caller{{Key: 1, Idempotent: true}, {Key: 2, Idempotent: true, At: 900 * ms}}, down: true, bills: 1,
			want: []result.Code{0, result.BillsFull}, billed: 1, writes: 1,
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 2, max(row.bills, 1000*(1-row.bills)), max(row.kept, (1-row.kept)<<20))
				defer c.stop()
				c.store.faults, c.store.down = row.faults, row.down
				outcomes, bills, err := c.run(t.Context(), row.callers, "none", 0)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, judge(c, outcomes, bills), qt.IsNil)
				for i, o := range outcomes {
					qt.Check(t, o.code(), qt.Equals, row.want[i], qt.Commentf("caller %d: %v", i, o.err))
				}
				qt.Check(t, len(bills), qt.Equals, row.billed)
				for _, v := range c.vms {
					counts, err := v.Counts(t.Context())
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, counts.Outstanding, qt.Equals, 0)
				}
				qt.Check(t, c.store.writes <= row.writes, qt.IsTrue, qt.Commentf("%d writes", c.store.writes))
			})
		})
	}
}

func (o *outcome) code() result.Code {
	if o.err == nil {
		return result.OK
	}
	return o.err.Code
}

func TestBillIsHeldAndWrittenAtTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 1, 10, 1<<20)
		c.store.down = true
		began := time.Now()
		o := &outcome{caller: caller{Idempotent: true}}
		c.call(t.Context(), o)
		qt.Assert(t, o.code(), qt.Equals, result.OK)
		qt.Assert(t, time.Since(began), qt.Equals, 250*time.Millisecond)
		c.store.setDown(false)
		c.stop()
		bills, _, err := journal.ReadBills(t.Context(), c.store, region)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bills, qt.HasLen, 1)
	})
}

func TestFindFailsWithTheContextWhileTheRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 1, 10, 1<<20)
		defer c.stop()
		k := journal.Key{Region: region, Account: "a", Request: "1"}
		_, err := c.vms[0].Open(t.Context(), k, true, 1)
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.vms[0].Find(ctx, k, 1)
		qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	})
}

func TestDrainDropsOnlyStoredBillsPastTheResendWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 1, 10, 1<<20)
		defer c.stop()
		fill := func(name string) {
			var entries []journal.Entry
			for n := range 1000 {
				entries = append(entries, journal.Entry{
					ID: fmt.Sprint(name, n), Kind: journal.EntryBilled, UnixMs: time.Now().UnixMilli(),
					Key: journal.Key{Region: region, Account: "a", Request: fmt.Sprint(name, n)}, Runs: []journal.Run{{}},
				})
			}
			for batch := range slices.Chunk(entries, 50) {
				_, err := c.vms[0].Append(t.Context(), region, 0, batch)
				qt.Assert(t, err, qt.IsNil)
			}
		}
		drain := func() int {
			bills, read, err := journal.ReadBills(t.Context(), c.store, region)
			qt.Assert(t, err, qt.IsNil)
			for range 2 {
				qt.Assert(t, journal.Drain(t.Context(), c.store, read[0]), qt.IsNil)
			}
			return len(bills)
		}
		fill("first")
		qt.Assert(t, drain(), qt.Equals, 1000)
		qt.Assert(t, drain(), qt.Equals, 1000)
		task.Sleep(t.Context(), time.Hour)
		fill("second")
		qt.Assert(t, drain(), qt.Equals, 2000)
		left := drain()
		qt.Assert(t, left >= 1000 && left < 2000, qt.IsTrue, qt.Commentf("%d bills", left))
		var head journal.Head
		qt.Assert(t, json.Unmarshal(c.store.values["cornelmux/journal/r/0/head"].Data, &head), qt.IsNil)
		qt.Assert(t, len(c.store.values), qt.Equals, int(head.Sequence-head.Floor)+1)
	})
}

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

// TestRequestsUnderFailure sends random requests through the filters and journals of three VMs while the platform fails,
// and a VM crashes or the VMs can't reach each other. It guards against double sends, double bills and lost bills.
func TestRequestsUnderFailure(t *testing.T) {
	faults := rapid.SampledFrom([]string{"", "", "", "", "unavailable", "answer lost", "late", "slow"})
	millis := func(n int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, n), func(i int) time.Duration { return time.Duration(i) * time.Millisecond })
	}
	drawCaller := rapid.Custom(func(t *rapid.T) caller {
		key := rapid.IntRange(0, 2).Draw(t, "key")
		return caller{
			VM: rapid.IntRange(0, 2).Draw(t, "vm"), Key: key, Idempotent: key == 0, StartAfter: millis(3000).Draw(t, "at"),
			SendAfter: rapid.SampledFrom([]time.Duration{0, time.Millisecond, 4900 * time.Millisecond, 6 * time.Second}).Draw(t, "send after"),
			RunTime:   millis(500).Draw(t, "run"), Ending: rapid.SampledFrom([]string{"", "", "refused", "lost"}).Draw(t, "ending"),
			Timeout: 30 * time.Second,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		callers := rapid.SliceOfN(drawCaller, 2, 8).Draw(rt, "callers")
		failures := rapid.SliceOfN(faults, 1, 12).Draw(rt, "faults")
		event := rapid.SampledFrom([]string{"none", "crash", "outage", "peers unreachable", "peer answers lost"}).Draw(rt, "event")
		eventAt := millis(3000).Draw(rt, "event at")
		var violation error
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t.Context(), 3, 1000, 1<<20)
			defer c.stop()
			c.store.faults = failures
			outcomes, bills, err := c.run(t.Context(), callers, event, eventAt)
			if violation = err; err == nil {
				violation = checkOutcomes(c, outcomes, bills)
			}
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// TestRequests checks the result of each caller, the number of bills and the maximum number of platform writes.
func TestRequests(t *testing.T) {
	const ms = time.Millisecond
	hundredCallers := make([]caller, 100)
	for n := range hundredCallers {
		hundredCallers[n] = caller{Key: n + 1, SendAfter: time.Duration(n%10) * ms}
	}
	twoWaves := make([]caller, 200)
	for n := range twoWaves {
		twoWaves[n] = caller{Key: n + 1, VM: n % 2, StartAfter: time.Duration(n/100*50) * ms, SendAfter: time.Duration(n%10) * ms}
	}
	all := make([]result.Code, 200)
	faultsFromThird := func(second, third string) []string {
		return append([]string{"", "", second, third}, make([]string, 96)...)
	}
	joinedCallers, joinedCodes := []caller{{Key: 1, RunTime: 5 * time.Second, Timeout: 9 * time.Second}}, []result.Code{0}
	for range 64 {
		joinedCallers, joinedCodes = append(joinedCallers, caller{Key: 1, StartAfter: 100 * ms}), append(joinedCodes, result.DeadlinePassed)
	}
	joinedCallers, joinedCodes = append(joinedCallers, caller{Key: 1, StartAfter: 2 * time.Second, Timeout: 9 * time.Second}), append(joinedCodes, 0)
	slowFirst := append([]string{"", "slow"}, make([]string, 98)...)
	rows := []struct {
		name    string
		callers []caller
		faults  []string
		down    bool
		// bills and kept are MaxBills and KeptBytes, 0 or 1; 0 stands for a large limit.
		bills  int
		kept   int
		want   []result.Code
		billed int
		// writes is the maximum number of platform writes.
		writes int
	}{
		{name: "one request", callers: []caller{{Key: 1}}, want: []result.Code{0}, billed: 1, writes: 2},
		{name: "a hundred simultaneous requests share writes", callers: hundredCallers, want: all, billed: 100, writes: 20},
		{name: "two hundred requests at two VMs share writes", callers: twoWaves, want: all, billed: 200, writes: 40},
		{name: "a write whose answer was lost is read back", callers: []caller{{Key: 1}}, faults: []string{"", "", "answer lost"}, want: []result.Code{0}, billed: 1, writes: 4},
		{
			name: "resends at two VMs join the running request", callers: []caller{{Key: 1, RunTime: 500 * ms}, {Key: 1, StartAfter: 100 * ms}, {Key: 1, VM: 1, StartAfter: 100 * ms}},
			want: []result.Code{0, 0, 0}, billed: 1, writes: 2,
		},
		{
			name: "another VM fetches the kept answer", callers: []caller{{Key: 1}, {Key: 1, VM: 1, StartAfter: 900 * ms}},
			want: []result.Code{0, 0}, billed: 1, writes: 2,
		},
		{
			name: "the answer is no longer kept", callers: []caller{{Key: 1}, {Key: 1, VM: 1, StartAfter: 900 * ms}, {Key: 1, StartAfter: 950 * ms}}, kept: 1,
			want: []result.Code{0, result.AnswerGone, result.AnswerGone}, billed: 1, writes: 2,
		},
		{
			name: "a request that was not sent fails for callers that joined and runs at another VM",
			callers: []caller{
				{Key: 1, SendAfter: 500 * ms, Ending: "refused"}, {Key: 1, StartAfter: 100 * ms}, {Key: 1, VM: 1, StartAfter: 200 * ms},
			},
			want: []result.Code{result.NoEndpoint, result.NoEndpoint, 0}, billed: 1, writes: 4,
		},
		{
			name: "the answer is lost after the send", callers: []caller{
				{Key: 1, RunTime: 500 * ms, Ending: "lost"}, {Key: 1, StartAfter: 100 * ms}, {Key: 1, VM: 1, StartAfter: 100 * ms}, {Key: 1, VM: 1, StartAfter: 900 * ms},
			},
			want: []result.Code{result.OutcomeUnknown, result.OutcomeUnknown, result.OutcomeUnknown, result.OutcomeUnknown}, writes: 1,
		},
		{
			name:    "callers that joined an idempotent request get its error",
			callers: []caller{{Key: 1, Idempotent: true, RunTime: 500 * ms, Ending: "lost"}, {Key: 1, Idempotent: true, StartAfter: 100 * ms}},
			want:    []result.Code{result.EndpointFailed, result.EndpointFailed},
		},
		{
			name: "the caller leaves while the claim is recorded", callers: []caller{{Key: 1}, {Key: 1, StartAfter: 20 * time.Second}}, faults: slowFirst,
			want: []result.Code{result.JournalUnavailable, 0}, billed: 1, writes: 4,
		},
		{
			name: "a release is written after the outage", callers: []caller{{Key: 1, Ending: "refused"}, {Key: 1, VM: 1, StartAfter: 5 * time.Second}},
			faults: faultsFromThird("", "unavailable"), want: []result.Code{result.NoEndpoint, 0}, billed: 1, writes: 4,
		},
		{
			name: "a claim of unknown outcome is taken back", callers: []caller{{Key: 1}, {Key: 1, VM: 1, StartAfter: 5 * time.Second}},
			faults: faultsFromThird("answer lost", "unavailable"), want: []result.Code{result.JournalUnavailable, 0}, billed: 1, writes: 4,
		},
		{
			name: "callers that joined and left free their places", callers: joinedCallers, want: joinedCodes, billed: 1, writes: 2,
		},
		{
			name: "platform outage", callers: []caller{{Key: 1}, {Key: 2, Idempotent: true}}, down: true,
			want: []result.Code{result.JournalUnavailable, 0}, billed: 1, writes: 1,
		},
		{
			name: "too many unwritten bills in an outage", callers: []caller{{Key: 1, Idempotent: true}, {Key: 2, Idempotent: true, StartAfter: 900 * ms}}, down: true, bills: 1,
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
				qt.Assert(t, checkOutcomes(c, outcomes, bills), qt.IsNil)
				for i, o := range outcomes {
					qt.Check(t, o.resultCode(), qt.Equals, row.want[i], qt.Commentf("caller %d: %v", i, o.err))
				}
				qt.Check(t, len(bills), qt.Equals, row.billed)
				for _, v := range c.vms {
					counts, err := v.Counts(t.Context())
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, counts.Outstanding, qt.Equals, 0)
				}
				qt.Check(t, c.store.writeCount <= row.writes, qt.IsTrue, qt.Commentf("%d writes", c.store.writeCount))
			})
		})
	}
}

// resultCode returns the code of the caller's error, or OK.
func (o *outcome) resultCode() result.Code {
	if o.err == nil {
		return result.OK
	}
	return o.err.Code
}

// TestBillIsHeldAndWrittenAtTheStop checks that an answer waits for its bill no longer than BillHold during an outage, and
// that the bill is written at shutdown.
func TestBillIsHeldAndWrittenAtTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 1, 10, 1<<20)
		c.store.down = true
		began := time.Now()
		o := &outcome{caller: caller{Idempotent: true}}
		c.call(t.Context(), o)
		qt.Assert(t, o.resultCode(), qt.Equals, result.OK)
		qt.Assert(t, time.Since(began), qt.Equals, 250*time.Millisecond)
		c.store.setDown(false)
		c.stop()
		bills, _, err := journal.ReadBills(t.Context(), c.store, region)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bills, qt.HasLen, 1)
	})
}

// TestFindFailsWithTheContextWhileTheRequestRuns checks that Find, when it times out, doesn't report a running request as
// unknown.
func TestFindFailsWithTheContextWhileTheRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 1, 10, 1<<20)
		defer c.stop()
		k := journal.Key{Region: region, Account: "a", Request: "1"}
		_, err := c.vms[0].Open(t.Context(), k, true, journal.Fingerprint{Path: 1})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.vms[0].Find(ctx, k, journal.Fingerprint{Path: 1})
		qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	})
}

// TestDrainDropsOnlyStoredBillsPastTheResendWindow checks that a drain deletes nothing of the resend window, can be
// called again, and leaves only the keys that the head refers to.
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

package pool

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestListsHoldTheKnownEndpoints draws entries, deletions, scans and ends of runs, and compares the lists by service with ones that are
// made anew.
func TestListsHoldTheKnownEndpoints(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		table, now := newTable(), start
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			e := entry(ids.Draw(t, "id"))
			e.Service = rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
			e.Incarnation = rapid.Int64Range(4, 6).Draw(t, "incarnation")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				table.Put(e, now)
			case 2:
				table.Drop(e.ID, now)
			case 3:
				table.Retain(rapid.SliceOf(ids).Draw(t, "scan"), now)
			case 4:
				if p, choice := table.Choose(&Query{Service: e.Service}, now); choice == ChoicePlaced && rapid.Bool().Draw(t, "ends") {
					table.Done(&Outcome{Endpoint: p.ID, Incarnation: p.Incarnation, End: EndAnswered, Service: e.Service}, now)
				}
			}
			want := map[string][]*Record{}
			for _, r := range table.records {
				want[r.Service] = append(want[r.Service], r)
			}
			for service, list := range want {
				slices.SortFunc(list, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
				if !slices.Equal(list, table.services[service]) {
					t.Fatalf("the list of %s differs", service)
				}
			}
			if len(want) != len(table.services) {
				t.Fatalf("%d services are listed, want %d", len(table.services), len(want))
			}
		}
	})
}

// TestAffinityRanks compares the ranks of the eligible endpoints with the number of those of their zone that come before them.
func TestAffinityRanks(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		table := newTable()
		for _, id := range rapid.SliceOfDistinct(rapid.StringN(1, 4, -1), func(id string) string { return id }).Draw(t, "ids") {
			e := entry(id)
			e.Zone = rapid.SampledFrom([]string{"z", "y"}).Draw(t, "zone")
			e.Leaving = rapid.Bool().Draw(t, "leaving")
			table.Put(e, start)
		}
		q := Query{Service: "s", Affinity: rapid.Uint64().Draw(t, "affinity")}
		list := table.services["s"]
		ranks := affinityRanks(&q, list)
		for i, r := range list {
			want := 0
			for _, other := range list {
				if q.Affinity != 0 && other.Zone == r.Zone && other.eligible(&q) && rendezvousHash(q.Affinity, other.hash) > rendezvousHash(q.Affinity, r.hash) {
					want++
				}
			}
			if r.eligible(&q) && ranks[i] != want {
				t.Fatalf("rank %d, want %d", ranks[i], want)
			}
		}
	})
}

// TestEntryAmongManyDoesNotStopThePool compares the fastest of many new entries, and their deletions, in a table of 2,900 endpoints with
// those in one of 24: at most 20 times as long.
func TestEntryAmongManyDoesNotStopThePool(t *testing.T) {
	const most = 20
	fastest := func(endpoints, services int) time.Duration {
		table, least := sizedTable(endpoints, services), time.Hour
		for n := range 200 {
			e := sizedEntry(endpoints+n, services)
			began := time.Now()
			table.Put(e, start)
			table.Drop(e.ID, start)
			least = min(least, time.Since(began))
		}
		return least
	}
	few, many := fastest(24, 4), fastest(2900, 26)
	qt.Check(t, many <= most*few, qt.IsTrue, qt.Commentf("%v among 24, %v among 2900", few, many))
}

package endpoint

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/consul"
	"cornelmux/internal/peer"
)

func TestEachEndpointIsPolledByTwoVMsOfItsZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []peer.Member
		for i := range rapid.IntRange(1, 9).Draw(t, "vms") {
			at := rapid.SampledFrom(testPlaces).Draw(t, "place")
			members = append(members, peer.Member{VM: fmt.Sprintf("vm%d", i), Region: at.Region, Zone: at.Zone, Health: peer.Alive})
		}
		gone := []peer.Member{
			{VM: "dead", Region: "vest", Zone: "vest-1", Health: peer.Dead}, {VM: "leaving", Region: "ost", Zone: "ost-1", Leaving: true},
		}
		place := rapid.SampledFrom(testPlaces).Draw(t, "endpoint")
		inZone, inRegion, polled := 0, 0, 0
		for _, m := range members {
			table := NewTable(Location{m.Region, m.Zone})
			table.ApplyList([]consul.Instance{instance("e1", place, 1, false)}, time.Unix(1, 0))
			table.AssignPolls(m.VM, append(gone, members...))
			if table.records["e1"].PolledHere {
				polled++
			}
			if m.Region == place.Region {
				inRegion++
			}
			if m.Region == place.Region && m.Zone == place.Zone {
				inZone++
			}
		}
		want := min(pollers, inZone)
		if inZone == 0 {
			want = min(pollers, inRegion)
		}
		if len(members) == 1 {
			want = 1 // a VM that hears of no other polls all
		}
		if polled != want {
			t.Fatalf("polled by %d VMs, want %d", polled, want)
		}
	})
}

func TestDueIsBounded(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	rows := []struct {
		name    string
		members []peer.Member
		failed  int
		after   time.Duration
		want    int
	}{
		{"alone, all at once", nil, 0, 0, maxPolls},
		{"alone, later", nil, 0, time.Second, maxPolls},
		{"polled by others", []peer.Member{{VM: "vm2", Region: "vest", Zone: "vest-1"}, {VM: "vm3", Region: "vest", Zone: "vest-1"}}, 0, time.Second, 0},
		{"reports of others too old", []peer.Member{{VM: "vm2", Region: "vest", Zone: "vest-1"}, {VM: "vm3", Region: "vest", Zone: "vest-1"}}, 0, 2 * time.Second, maxOtherPolls},
		{"suspects are probed by each VM", []peer.Member{{VM: "vm2", Region: "vest", Zone: "vest-1"}, {VM: "vm3", Region: "vest", Zone: "vest-1"}}, 3, time.Second, 3},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			table := NewTable(Location{"nord", "nord-1"})
			var list []consul.Instance
			for i := range 300 {
				list = append(list, instance(fmt.Sprintf("e%d", i), testHere, 1, false))
			}
			table.ApplyList(list, at)
			table.AssignPolls("vm1", row.members)
			if row.after > 0 {
				for _, i := range list {
					table.records[i.ID].polledAt = at
					table.ApplyReport(i.ID, Report{Incarnation: 1}, nil, at)
				}
			}
			for i := range row.failed {
				table.Done(Outcome{Endpoint: fmt.Sprintf("e%d", i), Incarnation: 1, Failed: true}, at)
			}
			due := table.DuePolls(at.Add(row.after), maxRunning)
			c.Assert(due, qt.HasLen, row.want)
			for _, p := range due {
				c.Assert(p.Fresh, qt.Equals, row.failed > 0)
			}
			c.Assert(len(table.PeerReports(at.Add(row.after))) <= maxReports, qt.IsTrue)
		})
	}
}

func TestRetriesStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Share: 0.1, Limit: 10, Tokens: 10}
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			if rapid.Bool().Draw(t, "retry") {
				if b.Retry() {
					retries++
				}
				continue
			}
			b.Request()
			requests++
		}
		if float64(retries) > 10+0.1*float64(requests)+1e-9 {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

func TestQueueOrder(t *testing.T) {
	rows := []struct {
		name       string
		priorities []int
		kept       []int
		refused    []int
	}{
		{"oldest first", []int{0, 0}, []int{0, 1}, nil},
		{"priority first", []int{0, 2, 1}, []int{1, 2, 0}, nil},
		{"full", []int{0, 0, 0, 0}, []int{0, 1, 2}, []int{3}},
		{"lowest gives way", []int{0, 0, 0, 1}, []int{3, 0, 1}, []int{2}},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			q := NewQueue(3)
			number := map[chan<- chooseReply]int{}
			var kept, refused []int
			for i, p := range row.priorities {
				id := make(chan chooseReply, 1)
				number[id] = i
				if w, ok := q.Push(Waiter{ID: id, Query: Query{Priority: p}}); ok {
					refused = append(refused, number[w.ID])
				}
			}
			q.Sweep(func(w Waiter) bool {
				kept = append(kept, number[w.ID])
				return true
			})
			c.Assert(kept, qt.DeepEquals, row.kept)
			c.Assert(refused, qt.DeepEquals, row.refused)
			c.Assert(q.Len(), qt.Equals, 0)
		})
	}
}

func TestShareOfPollsFollowsTheFleet(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	near := peer.Member{VM: "vm2", Region: "vest", Zone: "vest-1", Health: peer.Alive}
	far := peer.Member{VM: "vm3", Region: "ost", Zone: "ost-1", Health: peer.Alive}
	rows := []struct {
		name          string
		before, after []peer.Member
		endpoint      Location
		added         bool
		mine          bool
	}{
		{"endpoint that is new", []peer.Member{near}, []peer.Member{near}, testHere, true, true},
		{"last VM of the other region gone", []peer.Member{near, far}, []peer.Member{near}, testPlaces[2], false, false},
		{"alone", []peer.Member{near, far}, nil, testPlaces[2], false, true},
		{"no longer alone", nil, []peer.Member{far}, testPlaces[2], false, false},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			table := NewTable(testHere)
			table.ApplyList([]consul.Instance{instance("e1", row.endpoint, 1, false)}, at)
			table.AssignPolls("vm1", row.before)
			if row.added {
				table.ApplyList([]consul.Instance{instance("e1", row.endpoint, 1, false), instance("e2", row.endpoint, 1, false)}, at)
			}
			table.AssignPolls("vm1", row.after)
			for _, r := range table.records {
				c.Assert(r.PolledHere, qt.Equals, row.mine)
			}
		})
	}
}

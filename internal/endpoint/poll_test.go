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

// TestEachEndpointIsPolledByTwoVMsOfItsZone assigns the polls on each VM of a random fleet and counts the pollers of
// one endpoint.
func TestEachEndpointIsPolledByTwoVMsOfItsZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []peer.Member
		for i := range rapid.IntRange(1, 9).Draw(t, "vms") {
			at := rapid.SampledFrom(testLocations).Draw(t, "place")
			members = append(members, peer.Member{VM: fmt.Sprintf("vm%d", i), Region: at.Region, Zone: at.Zone, Health: peer.Alive})
		}
		gone := []peer.Member{
			{VM: "dead", Region: "vest", Zone: "vest-1", Health: peer.Dead}, {VM: "leaving", Region: "ost", Zone: "ost-1", Leaving: true},
		}
		location := rapid.SampledFrom(testLocations).Draw(t, "endpoint")
		inZone, inRegion, polled := 0, 0, 0
		for _, m := range members {
			table := NewTable(Location{m.Region, m.Zone})
			table.ApplyList([]consul.Instance{instance("e1", location, 1, false)}, time.Unix(1, 0))
			table.AssignPolls(m.VM, append(gone, members...))
			if table.records["e1"].PolledHere {
				polled++
			}
			if m.Region == location.Region {
				inRegion++
			}
			if m.Region == location.Region && m.Zone == location.Zone {
				inZone++
			}
		}
		want := min(pollersPerEndpoint, inZone)
		if inZone == 0 {
			want = min(pollersPerEndpoint, inRegion)
		}
		if len(members) == 1 {
			want = 1 // a VM that knows no other polls all endpoints
		}
		if polled != want {
			t.Fatalf("polled by %d VMs, want %d", polled, want)
		}
	})
}

// TestDuePollsAreBounded checks how many of 300 endpoints are polled in one interval, and that reports to peers fit
// into a datagram.
func TestDuePollsAreBounded(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	rows := []struct {
		name    string
		members []peer.Member
		failed  int
		after   time.Duration
		want    int
	}{
		{"no other VM, first interval", nil, 0, 0, maxPollsPerInterval},
		{"no other VM, later interval", nil, 0, time.Second, maxPollsPerInterval},
		{"assigned to others", []peer.Member{{VM: "vm2", Region: "vest", Zone: "vest-1"}, {VM: "vm3", Region: "vest", Zone: "vest-1"}}, 0, time.Second, 0},
		{"assigned to others, reports stale", []peer.Member{{VM: "vm2", Region: "vest", Zone: "vest-1"}, {VM: "vm3", Region: "vest", Zone: "vest-1"}}, 0, 2 * time.Second, maxOtherPolls},
		{"suspects are probed by every VM", []peer.Member{{VM: "vm2", Region: "vest", Zone: "vest-1"}, {VM: "vm3", Region: "vest", Zone: "vest-1"}}, 3, time.Second, 3},
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
			due := table.DuePolls(at.Add(row.after), maxConcurrentPolls)
			c.Assert(due, qt.HasLen, row.want)
			for _, p := range due {
				c.Assert(p.Fresh, qt.Equals, row.failed > 0)
			}
			c.Assert(len(table.PeerReports(at.Add(row.after))) <= maxPeerReports, qt.IsTrue)
		})
	}
}

// TestRetriesStayWithinBudget draws requests and retries at random and compares the allowed retries with the ratio.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{Ratio: 0.1, Capacity: 10, Tokens: 10}
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			if rapid.Bool().Draw(t, "retry") {
				if b.TakeRetry() {
					retries++
				}
				continue
			}
			b.CountRequest()
			requests++
		}
		if float64(retries) > 10+0.1*float64(requests)+1e-9 {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

// TestQueueOrder pushes runs of the priorities into a queue for three and checks which are admitted, in order, and
// which are refused.
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
		{"full, lowest priority dropped", []int{0, 0, 0, 1}, []int{3, 0, 1}, []int{2}},
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
			q.Admit(func(w Waiter) bool {
				kept = append(kept, number[w.ID])
				return true
			})
			c.Assert(kept, qt.DeepEquals, row.kept)
			c.Assert(refused, qt.DeepEquals, row.refused)
			c.Assert(q.Len(), qt.Equals, 0)
		})
	}
}

// TestAssignPollsFollowsMembers guards against a stale assignment after an endpoint was added or VMs came or left.
func TestAssignPollsFollowsMembers(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	near := peer.Member{VM: "vm2", Region: "vest", Zone: "vest-1", Health: peer.Alive}
	far := peer.Member{VM: "vm3", Region: "ost", Zone: "ost-1", Health: peer.Alive}
	rows := []struct {
		name          string
		before, after []peer.Member
		endpoint      Location
		added         bool
		polledHere    bool
	}{
		{"new endpoint", []peer.Member{near}, []peer.Member{near}, testHere, true, true},
		{"last VM of the other region left", []peer.Member{near, far}, []peer.Member{near}, testLocations[2], false, false},
		{"no other VM left", []peer.Member{near, far}, nil, testLocations[2], false, true},
		{"first other VM", nil, []peer.Member{far}, testLocations[2], false, false},
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
				c.Assert(r.PolledHere, qt.Equals, row.polledHere)
			}
		})
	}
}

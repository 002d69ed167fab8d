package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/peer"
)

const (
	// pollers is how many VMs of its zone ask each endpoint for its load.
	pollers      = 2
	pollInterval = 500 * time.Millisecond
	// unprovedAfter is the age of a report at which the VM asks an endpoint that others should ask.
	unprovedAfter = 1500 * time.Millisecond
	// maxPolls bounds the polls of one interval, maxOtherPolls those of endpoints that others should ask.
	maxPolls      = 128
	maxOtherPolls = 16
	wantedFor     = 10 * time.Second
)

// Poll is one question for a load report. Fresh asks for a new connection.
type Poll struct {
	ID      string
	Address string
	Fresh   bool
}

// AssignPolls settles which endpoints the VM polls: each is polled by two VMs of its zone, or of its region where the zone
// has none, chosen by rendezvous hashing over the VMs heard of. With no other VM heard of it polls all.
func (t *Table) AssignPolls(self string, members []peer.Member) {
	members = slices.DeleteFunc(slices.Clone(members), func(m peer.Member) bool {
		return m.VM == self || m.Leaving || m.Health > peer.Alive
	})
	shared := hashMembers(members)
	if shared == t.assignedTo {
		return
	}
	t.assignedTo = shared
	for _, r := range t.records {
		r.PolledHere = polls(self, t.at, r, members)
	}
}

// hashMembers returns a hash of the VMs and their places, whatever their order; it is never 0.
func hashMembers(members []peer.Member) uint64 {
	sum := uint64(1)
	for _, m := range members {
		sum += Mix(xxhash.Sum64String(m.VM + "\x00" + m.Region + "\x00" + m.Zone))
	}
	return max(sum, 1)
}

func polls(self string, at Location, r *Record, members []peer.Member) bool {
	if len(members) == 0 || r.Region != at.Region {
		return len(members) == 0
	}
	for _, wide := range []bool{false, true} {
		within := func(region, zone string) bool { return region == r.Region && (wide || zone == r.Zone) }
		candidates, ahead := 0, 0
		own := xxhash.Sum64String(r.ID + " " + self)
		for _, m := range members {
			if !within(m.Region, m.Zone) {
				continue
			}
			candidates++
			if xxhash.Sum64String(r.ID+" "+m.VM) > own {
				ahead++
			}
		}
		if within(at.Region, at.Zone) {
			return ahead < pollers
		}
		if candidates > 0 {
			return false
		}
	}
	return false
}

// DuePolls returns the polls to start now and marks them as started: suspects first, then the VM's own share,
// then some whose reports are too old, those that a request lacked first and near before far.
func (t *Table) DuePolls(now time.Time, limit int) []Poll {
	first := shortlist[ranked]{limit: min(limit, maxPolls), compare: compareRanked}
	others := shortlist[ranked]{limit: min(limit, maxOtherPolls), compare: compareRanked}
	for _, r := range t.records {
		if r.polling {
			continue
		}
		switch rank := t.rank(r, now); {
		case rank < otherPoll:
			first.add(ranked{rank, r})
		case rank < idle:
			others.add(ranked{rank, r})
		}
	}
	list := append(first.items, others.items...)
	list = list[:min(len(list), first.limit)]
	due := make([]Poll, 0, len(list))
	for _, i := range list {
		i.polling, i.polledAt = true, now
		due = append(due, Poll{ID: i.ID, Address: i.Address, Fresh: i.Suspect})
	}
	return due
}

// ranked is a record with the rank of its poll.
type ranked struct {
	rank int
	*Record
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.polledAt.Compare(b.polledAt), cmp.Compare(a.ID, b.ID))
}

// shortlist keeps the first items in the order of compare, up to limit.
type shortlist[T any] struct {
	limit   int
	compare func(a, b T) int
	items   []T
}

func (s *shortlist[T]) add(item T) {
	full := len(s.items) >= s.limit
	if full && (s.limit == 0 || s.compare(item, s.items[s.limit-1]) >= 0) {
		return
	}
	if full {
		s.items = s.items[:s.limit-1]
	}
	at, _ := slices.BinarySearchFunc(s.items, item, s.compare)
	s.items = slices.Insert(s.items, at, item)
}

// Ranks of polls; otherPoll and above are endpoints that others should ask, by distance.
const (
	probePoll = iota
	ownPoll
	wantedPoll
	otherPoll
	idle = otherPoll + distances
)

func (t *Table) rank(r *Record, now time.Time) int {
	switch {
	case r.Suspect || (!r.probeAt.IsZero() && r.polledAt.Before(r.probeAt)):
		if now.Before(r.probeAt) {
			return idle
		}
		return probePoll
	case now.Sub(r.polledAt) < pollInterval:
		return idle
	case r.PolledHere:
		return ownPoll
	case now.Sub(r.ReportedAt) < unprovedAfter || r.Leaving:
		return idle
	case t.lacked(r, now):
		return wantedPoll
	default:
		return otherPoll + t.at.Distance(r.Region, r.Zone)
	}
}

func (t *Table) lacked(r *Record, now time.Time) bool {
	if len(t.wanted) == 0 {
		return false
	}
	for _, k := range r.keys() {
		at, ok := t.wanted[k]
		if ok && now.Sub(at) < wantedFor {
			return true
		}
	}
	return false
}

// maxReports bounds the endpoint reports of one datagram.
const maxReports = 24

// PeerReports returns what to tell peers: changed reports first, then the VM's own, then those told longest ago.
func (t *Table) PeerReports(now time.Time) []peer.EndpointReport {
	list := shortlist[*Record]{limit: maxReports, compare: compareTold}
	for _, r := range t.records {
		if now.Sub(r.ReportedAt) <= maxReportAge || (r.changed && !r.ReportedAt.IsZero()) {
			list.add(r)
		}
	}
	reports := make([]peer.EndpointReport, 0, len(list.items))
	for _, r := range list.items {
		r.changed, r.collectedAt = false, now
		reports = append(reports, peer.EndpointReport{
			Endpoint: r.ID, Incarnation: r.Incarnation, Queued: r.Queued, Running: r.Running,
			Age: now.Sub(r.ReportedAt), Leaving: r.leavingHere, Suspect: r.Suspect, Versions: r.Versions,
		})
	}
	return reports
}

func compareTold(a, b *Record) int {
	return cmp.Or(boolOrder(a.changed, b.changed), boolOrder(a.PolledHere, b.PolledHere), a.collectedAt.Compare(b.collectedAt), cmp.Compare(a.ID, b.ID))
}

// boolOrder puts true before false.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

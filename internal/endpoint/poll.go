package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/peer"
)

const (
	// pollersPerEndpoint is how many VMs of its zone poll an endpoint.
	pollersPerEndpoint = 2
	// pollInterval is the time between two rounds of polls, and the least time between two polls of an endpoint other
	// than probes.
	pollInterval = 500 * time.Millisecond
	// staleReportAge is the age of a report at which the VM polls an endpoint that is assigned to other VMs.
	staleReportAge = 1500 * time.Millisecond
	// maxPollsPerInterval bounds the polls that one call of DuePolls starts, maxOtherPolls those among them of
	// endpoints assigned to other VMs.
	maxPollsPerInterval = 128
	maxOtherPolls       = 16
	// unplacedTTL is how long endpoints assigned to other VMs are polled before others of these after a run for them
	// could not be placed.
	unplacedTTL = 10 * time.Second
)

// Poll is one request for a load report. Fresh asks for a new connection.
type Poll struct {
	ID      string
	Address string
	Fresh   bool
}

// AssignPolls sets which endpoints this VM polls. Each endpoint is polled by two VMs of its zone, or of its region if
// the zone has none. They are selected by rendezvous hashing over the VMs that are neither leaving nor suspected. A VM
// that knows no other polls all endpoints. Nothing is recomputed until the members or the endpoints change. The
// Controller calls it with each list of members.
func (t *Table) AssignPolls(self string, members []peer.Member) {
	members = slices.DeleteFunc(slices.Clone(members), func(m peer.Member) bool {
		return m.VM == self || m.Leaving || m.Health > peer.Alive
	})
	hash := hashMembers(members)
	if hash == t.assignedHash {
		return
	}
	t.assignedHash = hash
	for _, r := range t.records {
		r.PolledHere = isPoller(self, t.location, r, members)
	}
}

// hashMembers returns a hash of the VMs and their locations that does not depend on their order. It is never 0.
func hashMembers(members []peer.Member) uint64 {
	sum := uint64(1)
	for _, m := range members {
		sum += Mix(xxhash.Sum64String(m.VM + "\x00" + m.Region + "\x00" + m.Zone))
	}
	return max(sum, 1)
}

// isPoller reports whether the VM is among the pollers of the endpoint. It looks at the VMs of the endpoint's zone
// first, and at those of its region if the zone has none. AssignPolls calls it for each endpoint.
func isPoller(self string, location Location, r *Record, members []peer.Member) bool {
	if len(members) == 0 || r.Region != location.Region {
		return len(members) == 0
	}
	for _, wholeRegion := range []bool{false, true} {
		within := func(region, zone string) bool { return region == r.Region && (wholeRegion || zone == r.Zone) }
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
		if within(location.Region, location.Zone) {
			return ahead < pollersPerEndpoint
		}
		if candidates > 0 {
			return false
		}
	}
	return false
}

// DuePolls returns at most limit polls to start now and marks them as started. Suspected and new endpoints come first,
// then those assigned to this VM, then some of those assigned to others whose reports are stale: first those that a run
// lacked, then the nearest. startPolls calls it.
func (t *Table) DuePolls(now time.Time, limit int) []Poll {
	first := shortlist[pollCandidate]{limit: min(limit, maxPollsPerInterval), compare: comparePolls}
	others := shortlist[pollCandidate]{limit: min(limit, maxOtherPolls), compare: comparePolls}
	for _, r := range t.records {
		if r.polling {
			continue
		}
		switch priority := t.pollPriority(r, now); {
		case priority < otherPoll:
			first.add(pollCandidate{priority, r})
		case priority < noPoll:
			others.add(pollCandidate{priority, r})
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

// pollCandidate is an endpoint with the priority of its poll.
type pollCandidate struct {
	priority int
	*Record
}

// comparePolls orders by priority, then by the time of the last poll.
func comparePolls(a, b pollCandidate) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), a.polledAt.Compare(b.polledAt), cmp.Compare(a.ID, b.ID))
}

// shortlist keeps the first limit items in the order of compare.
type shortlist[T any] struct {
	limit   int
	compare func(a, b T) int
	items   []T
}

// add inserts the item at its position and drops the last one if the list is full. Polls, reports to peers and
// placement by affinity use it.
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

// Priorities of polls, most urgent first.
const (
	// probePoll is of an endpoint that is new, or suspected by this VM or a peer.
	probePoll = iota
	// ownPoll is of an endpoint assigned to this VM.
	ownPoll
	// unplacedPoll is of an endpoint assigned to other VMs that a run lacked, otherPoll of any other one, plus its
	// distance.
	unplacedPoll
	otherPoll
	// noPoll means that the endpoint is not polled.
	noPoll = otherPoll + distanceCount
)

// pollPriority returns how urgently the endpoint has to be polled now; noPoll means not at all. DuePolls calls it for
// each endpoint.
func (t *Table) pollPriority(r *Record, now time.Time) int {
	switch {
	case r.Suspect || (!r.nextProbeAt.IsZero() && r.polledAt.Before(r.nextProbeAt)):
		if now.Before(r.nextProbeAt) {
			return noPoll
		}
		return probePoll
	case now.Sub(r.polledAt) < pollInterval:
		return noPoll
	case r.PolledHere:
		return ownPoll
	case now.Sub(r.ReportedAt) < staleReportAge || r.Leaving:
		return noPoll
	case t.recentlyUnplaced(r, now):
		return unplacedPoll
	default:
		return otherPoll + t.location.Distance(r.Region, r.Zone)
	}
}

// recentlyUnplaced reports whether a run that the endpoint could serve was not placed within the last unplacedTTL.
// pollPriority calls it.
func (t *Table) recentlyUnplaced(r *Record, now time.Time) bool {
	if len(t.unplacedAt) == 0 {
		return false
	}
	for _, k := range r.keys() {
		at, ok := t.unplacedAt[k]
		if ok && now.Sub(at) < unplacedTTL {
			return true
		}
	}
	return false
}

// maxPeerReports is the maximum number of endpoint reports in one gossiped state.
const maxPeerReports = 24

// PeerReports returns the reports to send to peers and marks them as sent. Changed ones come first, then those that
// this VM polled, then those not sent for the longest time. The Controller calls it for each gossiped state.
func (t *Table) PeerReports(now time.Time) []peer.EndpointReport {
	list := shortlist[*Record]{limit: maxPeerReports, compare: comparePeerReports}
	for _, r := range t.records {
		if now.Sub(r.ReportedAt) <= maxReportAge || (r.changed && !r.ReportedAt.IsZero()) {
			list.add(r)
		}
	}
	reports := make([]peer.EndpointReport, 0, len(list.items))
	for _, r := range list.items {
		r.changed, r.sentAt = false, now
		reports = append(reports, peer.EndpointReport{
			Endpoint: r.ID, Incarnation: r.Incarnation, Queued: r.Queued, Running: r.Running,
			Age: now.Sub(r.ReportedAt), Leaving: r.leavingReported, Suspect: r.Suspect, Versions: r.Versions,
		})
	}
	return reports
}

// comparePeerReports orders the records by how urgently peers need them.
func comparePeerReports(a, b *Record) int {
	return cmp.Or(compareTrueFirst(a.changed, b.changed), compareTrueFirst(a.PolledHere, b.PolledHere), a.sentAt.Compare(b.sentAt), cmp.Compare(a.ID, b.ID))
}

// compareTrueFirst orders true before false. comparePeerReports calls it.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

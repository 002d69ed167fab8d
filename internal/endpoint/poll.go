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

// Assign settles which endpoints the VM polls: each is polled by two VMs of its zone, or of its region where the zone
// has none, chosen by rendezvous hashing over the VMs heard of. With no other VM heard of it polls all.
func (t *Table) Assign(self string, members []peer.Member) {
	for _, r := range t.records {
		r.mine = polls(self, t.at, r, members)
	}
}

func polls(self string, at Location, r *Record, members []peer.Member) bool {
	for _, wide := range []bool{false, true} {
		within := func(region, zone string) bool { return region == r.Region && (wide || zone == r.Zone) }
		candidates, ahead := 0, 0
		own := xxhash.Sum64String(r.ID + " " + self)
		for _, m := range members {
			if m.VM == self || m.Leaving || !within(m.Region, m.Zone) {
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
	return len(members) == 0
}

// Due returns the polls to start now and marks them as started: suspects first, then the VM's own share,
// then some whose reports are too old, those that a request lacked first and near before far.
func (t *Table) Due(now time.Time, limit int) []Poll {
	var due []*Record
	for _, r := range t.records {
		if !r.polling && t.rank(r, now) != idle {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(t.rank(a, now), t.rank(b, now)), a.polledAt.Compare(b.polledAt), cmp.Compare(a.ID, b.ID))
	})
	var list []Poll
	others := 0
	for _, r := range due {
		if t.rank(r, now) >= otherPoll {
			others++
		}
		if len(list) == min(limit, maxPolls) || others > maxOtherPolls {
			break
		}
		r.polling, r.polledAt = true, now
		list = append(list, Poll{ID: r.ID, Address: r.Address, Fresh: r.Suspect})
	}
	return list
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
	case r.mine:
		return ownPoll
	case now.Sub(r.ReportedAt) < unprovedAfter || r.Leaving:
		return idle
	case t.lacked(r, now):
		return wantedPoll
	default:
		return otherPoll + t.at.distance(&r.Endpoint)
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

// Collect returns what to tell peers: changed reports first, then those told longest ago, none that is too old.
func (t *Table) Collect(now time.Time) []peer.EndpointReport {
	var list []*Record
	for _, r := range t.records {
		if now.Sub(r.ReportedAt) <= maxReportAge || (r.changed && !r.ReportedAt.IsZero()) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(boolOrder(a.changed, b.changed), boolOrder(a.mine, b.mine), a.collectedAt.Compare(b.collectedAt), cmp.Compare(a.ID, b.ID))
	})
	list = list[:min(len(list), maxReports)]
	reports := make([]peer.EndpointReport, 0, len(list))
	for _, r := range list {
		r.changed, r.collectedAt = false, now
		reports = append(reports, peer.EndpointReport{
			Endpoint: r.ID, Incarnation: r.Incarnation, Queued: r.Queued, Running: r.Running,
			Age: now.Sub(r.ReportedAt), Leaving: r.leavingHere, Suspect: r.Suspect, Versions: r.Versions,
		})
	}
	return reports
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

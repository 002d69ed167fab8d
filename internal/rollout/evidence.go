package rollout

import "maps"

// Run identifies a version in one run of a rollout. Each start or resume begins a new run with its own evidence.
// Package shift uses it for traffic shifts, with the service as Model and the revision of the order as StartedAt.
type Run struct {
	Model   string
	Version string
	// StartedAt is the start of the run in Unix seconds.
	StartedAt int64
}

// Evidence counts a version's answers, how many of them failed, and how many were rated and rated badly.
// Package shift counts an answer whose first byte came late as rated badly, and the streams whose time between events is
// known as Paced.
type Evidence struct {
	Answers   uint64 `json:"answers"`
	Failures  uint64 `json:"failures"`
	Rated     uint64 `json:"rated"`
	RatedBad  uint64 `json:"rated_bad"`
	Paced     uint64 `json:"paced,omitempty"`
	PacedSlow uint64 `json:"paced_slow,omitempty"`
}

// Plus returns the sum of both counts.
func (e Evidence) Plus(o Evidence) Evidence {
	return Evidence{
		e.Answers + o.Answers, e.Failures + o.Failures, e.Rated + o.Rated, e.RatedBad + o.RatedBad,
		e.Paced + o.Paced, e.PacedSlow + o.PacedSlow,
	}
}

// Since returns how much each count grew since an earlier one; a count that fell grew by 0.
func (e Evidence) Since(o Evidence) Evidence {
	return Evidence{
		increase(e.Answers, o.Answers), increase(e.Failures, o.Failures), increase(e.Rated, o.Rated), increase(e.RatedBad, o.RatedBad),
		increase(e.Paced, o.Paced), increase(e.PacedSlow, o.PacedSlow),
	}
}

// elementwiseMax returns the greater value of each count.
func (e Evidence) elementwiseMax(o Evidence) Evidence {
	return Evidence{
		max(e.Answers, o.Answers), max(e.Failures, o.Failures), max(e.Rated, o.Rated), max(e.RatedBad, o.RatedBad),
		max(e.Paced, o.Paced), max(e.PacedSlow, o.PacedSlow),
	}
}

// FleetEvidence sums the evidence of this VM and its peers. A peer's counts only grow within its incarnation,
// so lost, repeated or reordered datagrams don't distort the sum.
type FleetEvidence struct {
	local map[Run]Evidence
	peers map[string]peerCounts
	// earlier holds the final counts of earlier incarnations of all peers.
	earlier map[Run]Evidence
}

// peerCounts holds the highest counts received from a peer's current incarnation.
type peerCounts struct {
	incarnation uint64 // start of the peer's process, in Unix nanoseconds
	counts      map[Run]Evidence
}

// NewFleetEvidence creates a FleetEvidence that holds none.
func NewFleetEvidence() *FleetEvidence {
	return &FleetEvidence{local: map[Run]Evidence{}, peers: map[string]peerCounts{}, earlier: map[Run]Evidence{}}
}

// Add adds evidence that this VM observed.
func (t *FleetEvidence) Add(r Run, e Evidence) { t.local[r] = t.local[r].Plus(e) }

// Receive merges a peer's counts for a run, as totals of its incarnation. Counts of the peer's earlier incarnations
// stay in the sum; counts that arrive late from one are ignored. The Controllers of this package and of package shift
// call it for each received state.
func (t *FleetEvidence) Receive(vm string, incarnation uint64, r Run, e Evidence) {
	p := t.peers[vm]
	if incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation || p.counts == nil {
		for run, n := range p.counts {
			t.earlier[run] = t.earlier[run].Plus(n)
		}
		p = peerCounts{incarnation, map[Run]Evidence{}}
	}
	p.counts[r] = p.counts[r].elementwiseMax(e)
	t.peers[vm] = p
}

// Rename moves the evidence about a run to another name of it.
func (t *FleetEvidence) Rename(from, to Run) {
	if from == to {
		return
	}
	counts := []map[Run]Evidence{t.local, t.earlier}
	for _, p := range t.peers {
		counts = append(counts, p.counts)
	}
	for _, c := range counts {
		if e, ok := c[from]; ok {
			c[to] = c[to].elementwiseMax(e)
			delete(c, from)
		}
	}
}

// Local returns the evidence that this VM observed. The caller must not modify it.
func (t *FleetEvidence) Local() map[Run]Evidence { return t.local }

// Sum returns the evidence about a run from all VMs.
func (t *FleetEvidence) Sum(r Run) Evidence {
	sum := t.local[r].Plus(t.earlier[r])
	for _, p := range t.peers {
		sum = sum.Plus(p.counts[r])
	}
	return sum
}

// Retain drops the evidence of every run for which keep returns false. The Controller of this package calls it for each
// new configuration.
func (t *FleetEvidence) Retain(keep func(Run) bool) {
	drop := func(r Run, _ Evidence) bool { return !keep(r) }
	maps.DeleteFunc(t.local, drop)
	maps.DeleteFunc(t.earlier, drop)
	for _, p := range t.peers {
		maps.DeleteFunc(p.counts, drop)
	}
}

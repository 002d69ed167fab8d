package rollout

import "maps"

// Run is one run of a roll-out: a start or a resume begins a new one, with evidence of its own.
type Run struct {
	Model   string
	Version string
	// StartedAt is in Unix seconds.
	StartedAt int64
}

// Evidence is the evidence about a version.
type Evidence struct {
	Answers  uint64 `json:"answers"`
	Failures uint64 `json:"failures"`
	Rated    uint64 `json:"rated"`
	RatedBad uint64 `json:"rated_bad"`
}

func (c Evidence) plus(o Evidence) Evidence {
	return Evidence{c.Answers + o.Answers, c.Failures + o.Failures, c.Rated + o.Rated, c.RatedBad + o.RatedBad}
}

func (c Evidence) atLeast(o Evidence) Evidence {
	return Evidence{max(c.Answers, o.Answers), max(c.Failures, o.Failures), max(c.Rated, o.Rated), max(c.RatedBad, o.RatedBad)}
}

// Tally sums the evidence of this VM and its peers. Counts of a peer only grow within its incarnation,
// so that datagrams may be lost, repeated or reordered.
type Tally struct {
	own   map[Run]Evidence
	peers map[string]peerCounts
	gone  map[Run]Evidence
}

type peerCounts struct {
	incarnation uint64
	counts      map[Run]Evidence
}

// NewTally makes an empty Tally.
func NewTally() *Tally {
	return &Tally{own: map[Run]Evidence{}, peers: map[string]peerCounts{}, gone: map[Run]Evidence{}}
}

// Add counts what happened at this VM.
func (t *Tally) Add(r Run, c Evidence) { t.own[r] = t.own[r].plus(c) }

// Receive takes in what a peer counted; counts of its earlier incarnation stay in the sum.
func (t *Tally) Receive(vm string, incarnation uint64, r Run, c Evidence) {
	p := t.peers[vm]
	if incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation || p.counts == nil {
		for run, n := range p.counts {
			t.gone[run] = t.gone[run].plus(n)
		}
		p = peerCounts{incarnation, map[Run]Evidence{}}
	}
	p.counts[r] = p.counts[r].atLeast(c)
	t.peers[vm] = p
}

// Local returns what this VM counted.
func (t *Tally) Local() map[Run]Evidence { return t.own }

// Sum returns the evidence of all VMs.
func (t *Tally) Sum(r Run) Evidence {
	sum := t.own[r].plus(t.gone[r])
	for _, p := range t.peers {
		sum = sum.plus(p.counts[r])
	}
	return sum
}

// Keep drops the evidence of every run that keep refuses.
func (t *Tally) Keep(keep func(Run) bool) {
	drop := func(r Run, _ Evidence) bool { return !keep(r) }
	maps.DeleteFunc(t.own, drop)
	maps.DeleteFunc(t.gone, drop)
	for _, p := range t.peers {
		maps.DeleteFunc(p.counts, drop)
	}
}

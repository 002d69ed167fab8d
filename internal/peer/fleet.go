package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// deadFactor times the suspect timeout without a state makes a member dead.
	deadFactor = 3
	// minSuspectTimeout is the part of the suspect timeout that doesn't grow with the fleet.
	minSuspectTimeout = 5 * time.Second
	// forgetAfter is the silence after which a member that the platform doesn't list is removed.
	forgetAfter = 2 * time.Hour
	// maxMembers is the maximum number of other VMs that a VM remembers; further ones are ignored.
	maxMembers = 4096
	// maxRelayedEvidence is the maximum number of entries of evidence in a state that is relayed.
	maxRelayedEvidence = 8
	// locationEvery is the mean number of relayed states of a VM per one that holds its zone and addresses; in the
	// first newMemberPeriod all of them do.
	locationEvery   = 8
	newMemberPeriod = 10 * time.Second

	// Numbers of members that each round sends to, by where they are; probeFanout is that of dead members.
	zoneFanout   = 3
	regionFanout = 1
	farFanout    = 1
	probeFanout  = 1
)

// Fleet is what a VM knows of the other VMs. Its methods only decide: they read no clock and no socket.
type Fleet struct {
	Self    Member
	Members map[string]*Record
}

// Record is what a VM knows of one other VM.
type Record struct {
	Member
	// DirectSequence is the highest sequence received from the VM itself, LatestSequence the highest received at all.
	DirectSequence uint64
	LatestSequence uint64
	// Summary is the part of the newest state that is relayed, RelayCount in how many datagrams it was.
	Summary    State
	RelayCount int
	// Listed is set if the platform's list holds the VM.
	Listed bool
	// AddedAt is when the record was made.
	AddedAt time.Time
}

// NewFleet returns a Fleet that knows only the VM itself.
func NewFleet(self Member) *Fleet { return &Fleet{Self: self, Members: map[string]*Record{}} }

// AcceptDirect stores a state received from its own VM, and reports whether it is newer than all received from that VM.
// It is called for each received datagram.
func (f *Fleet) AcceptDirect(s State, now time.Time) bool {
	r := f.recordOf(s, now)
	if r == nil || s.Sequence <= r.DirectSequence {
		return false
	}
	r.DirectSequence = s.Sequence
	if s.Sequence > r.LatestSequence {
		r.update(s, now)
	}
	return true
}

// AcceptRelayed stores a state relayed by another VM, and reports whether it is newer than all known of that VM. It
// returns the state, with the known zone and addresses if it has none.
// It is called for each relayed state in a datagram.
func (f *Fleet) AcceptRelayed(s State, now time.Time) (State, bool) {
	r := f.recordOf(s, now)
	if r == nil || s.Sequence <= r.LatestSequence {
		return State{}, false
	}
	if s.PeerAddress == "" {
		s.Region, s.Zone, s.ControlAddress, s.PeerAddress = r.Region, r.Zone, r.ControlAddress, r.PeerAddress
	}
	r.update(s, now)
	return s, true
}

// recordOf returns the record of the VM of s and makes one if there is none or the VM was restarted. It returns nil if
// s belongs to an older incarnation or to the VM itself, or if there are maxMembers.
// AcceptDirect, AcceptRelayed and ApplyList call it.
func (f *Fleet) recordOf(s State, now time.Time) *Record {
	if s.VM == f.Self.VM {
		return nil
	}
	r, ok := f.Members[s.VM]
	switch {
	case ok && r.Incarnation > s.Incarnation:
		return nil
	case ok && r.Incarnation == s.Incarnation:
		return r
	case !ok && len(f.Members) >= maxMembers:
		return nil
	}
	added := &Record{Member: Member{VM: s.VM, Incarnation: s.Incarnation, Health: Alive}, AddedAt: now}
	added.Listed = ok && r.Listed
	f.Members[s.VM] = added
	return added
}

// update stores a state that is newer than the record, for AcceptDirect and AcceptRelayed. Leaving is never taken back, and
// the revision never falls.
func (r *Record) update(s State, now time.Time) {
	r.LatestSequence, r.RelayCount = s.Sequence, 0
	r.Region, r.Zone = s.Region, s.Zone
	r.ControlAddress, r.PeerAddress = s.ControlAddress, s.PeerAddress
	r.Revision = max(r.Revision, s.Revision)
	r.Leaving = r.Leaving || s.Leaving
	r.HeardAt, r.Health = now, Alive
	r.Summary = summarize(s)
	r.Summary.Leaving, r.Summary.Revision = r.Leaving, r.Revision
}

// summarize returns the part of a state that is relayed. update calls it.
func summarize(s State) State {
	s.Endpoints, s.Sessions, s.Halts, s.Crashes, s.Demand, s.Latencies = nil, nil, nil, nil, nil, nil
	s.LostRuns, s.Clearances, s.BlockQuarantines = nil, nil, nil
	s.Evidence = s.Evidence[:min(len(s.Evidence), maxRelayedEvidence)]
	return s
}

// ApplyList stores the VMs that the platform lists, each time the list was read. The list lags, so it adds members and
// addresses but doesn't show that a VM is alive.
func (f *Fleet) ApplyList(list []Member, now time.Time) {
	for _, r := range f.Members {
		r.Listed = false
	}
	for _, m := range list {
		r := f.recordOf(State{VM: m.VM, Incarnation: m.Incarnation}, now)
		if r == nil {
			continue
		}
		r.Listed = true
		if r.LatestSequence == 0 {
			r.Region, r.Zone = m.Region, m.Zone
			r.ControlAddress, r.PeerAddress = m.ControlAddress, m.PeerAddress
		}
	}
}

// SuspectTimeout returns the silence after which a member is suspected in a fleet of n VMs. A VM receives about 25
// states a second, so the newest state of a member is n/25 s old on average and, with random arrivals, below n/5 s in
// 99 of 100 cases.
func SuspectTimeout(n int) time.Duration {
	return minSuspectTimeout + time.Duration(n)*time.Second/5
}

// UpdateHealth sets the health of each member by its silence. It removes those that left, once they are silent for as
// long as a dead one, and those not heard from for forgetAfter that the platform doesn't list. It is called in each
// round.
func (f *Fleet) UpdateHealth(now time.Time) {
	suspect := SuspectTimeout(len(f.Members) + 1)
	for name, r := range f.Members {
		silence := now.Sub(r.lastHeard())
		switch {
		case silence > forgetAfter && !r.Listed, silence > deadFactor*suspect && r.Leaving:
			delete(f.Members, name)
		case silence > deadFactor*suspect:
			r.Health = Dead
		case silence > suspect:
			r.Health = Suspect
		default:
			r.Health = Alive
		}
	}
}

// lastHeard returns when the last state of the member arrived, or when the record was made if none has.
func (r *Record) lastHeard() time.Time {
	if r.HeardAt.IsZero() {
		return r.AddedAt
	}
	return r.HeardAt
}

// Targets holds the addresses that one round sends to.
type Targets struct {
	// Near are in the VM's region, Far in others.
	Near []string
	Far  []string
}

// ChooseTargets picks the targets of a round at random: some members of the zone, of the region and of other regions,
// and a dead one, so that the VM finds out when a network partition heals. It is called in each round.
func (f *Fleet) ChooseTargets(r *rand.Rand) Targets {
	var zone, region, far, dead []*Record
	for _, name := range f.sortedNames() {
		m := f.Members[name]
		switch {
		case m.PeerAddress == "" || m.Leaving:
		case m.Health == Dead:
			dead = append(dead, m)
		case m.Region != f.Self.Region:
			far = append(far, m)
		case m.Zone != f.Self.Zone:
			region = append(region, m)
		default:
			zone = append(zone, m)
		}
	}
	picks := slices.Concat(
		sample(r, zone, zoneFanout), sample(r, region, regionFanout), sample(r, far, farFanout), sample(r, dead, probeFanout),
	)
	var t Targets
	for _, m := range picks {
		if m.Region == f.Self.Region {
			t.Near = append(t.Near, m.PeerAddress)
		} else {
			t.Far = append(t.Far, m.PeerAddress)
		}
	}
	return t
}

// Addresses returns the address of every member that isn't dead. announceLeaving sends to them.
func (f *Fleet) Addresses() []string {
	var out []string
	for _, name := range f.sortedNames() {
		if m := f.Members[name]; m.PeerAddress != "" && m.Health != Dead {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// sortedNames returns the members' names in a fixed order, so that a choice depends on the random source alone.
func (f *Fleet) sortedNames() []string {
	names := make([]string, 0, len(f.Members))
	for name := range f.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sample returns n random members of from, whose order it changes, or all if there are fewer. ChooseTargets calls it.
func sample(r *rand.Rand, from []*Record, n int) []*Record {
	r.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// SelectRelayed returns at most n states to relay, the least often relayed first. It leaves out members that aren't
// alive, since relayed states would make other VMs believe that they are. Most states omit the zone and addresses,
// which the VM's own datagrams and the platform's list hold too. It is called for each datagram with a collected state.
func (f *Fleet) SelectRelayed(n int, now time.Time, random *rand.Rand) []State {
	var alive []*Record
	for _, r := range f.Members {
		if r.Health == Alive && r.LatestSequence > 0 {
			alive = append(alive, r)
		}
	}
	slices.SortFunc(alive, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.RelayCount, b.RelayCount), b.HeardAt.Compare(a.HeardAt), cmp.Compare(a.VM, b.VM))
	})
	alive = alive[:min(n, len(alive))]
	out := make([]State, 0, len(alive))
	for _, r := range alive {
		s := r.Summary
		if now.Sub(r.AddedAt) > newMemberPeriod && random.IntN(locationEvery) > 0 {
			s.Region, s.Zone, s.ControlAddress, s.PeerAddress = "", "", "", ""
		}
		out = append(out, s)
	}
	return out
}

// MarkRelayed counts the states as relayed. It is called for each datagram, with those that it holds; a state that a newer
// one has replaced meanwhile isn't counted.
func (f *Fleet) MarkRelayed(states []State) {
	for _, s := range states {
		if r, ok := f.Members[s.VM]; ok && r.LatestSequence == s.Sequence {
			r.RelayCount++
		}
	}
}

package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// deadFactor is how many times the suspect silence makes a member dead.
	deadFactor   = 3
	suspectLeast = 5 * time.Second
	forgetAfter  = 2 * time.Hour
	maxMembers   = 4096
	// maxBriefItems bounds each list that is passed on for another VM.
	maxBriefItems = 8
	// placeEvery is how many states are passed on for each one that says where its VM is; youngFor is how long all do.
	placeEvery = 8
	youngFor   = 10 * time.Second

	zoneFanout   = 3
	regionFanout = 1
	farFanout    = 1
	probeFanout  = 1
)

// Fleet is what a VM knows of the others. Its methods are pure decisions over it: they read no clock and no socket.
type Fleet struct {
	Self    Member
	Members map[string]*Record
}

// Record is what a VM knows of one other VM.
type Record struct {
	Member
	// Direct is the highest sequence that came from the VM itself, News the highest that came at all.
	Direct uint64
	News   uint64
	// Brief is the part of the newest state that is passed on, Passed how often it was.
	Brief  State
	Passed int
	Listed bool
	// KnownAt is when the record was made.
	KnownAt time.Time
}

// NewFleet makes a Fleet that knows only the VM itself.
func NewFleet(self Member) *Fleet { return &Fleet{Self: self, Members: map[string]*Record{}} }

// Accept takes in a state that came from its own VM, and reports whether it is newer than every one before.
func (f *Fleet) Accept(s State, now time.Time) bool {
	r := f.record(s, now)
	if r == nil || s.Sequence <= r.Direct {
		return false
	}
	r.Direct = s.Sequence
	if s.Sequence > r.News {
		r.renew(s, now)
	}
	return true
}

// Relayed takes in a state that another VM passed on, and reports whether it is news.
// It returns the state with what is known of where its VM is.
func (f *Fleet) Relayed(s State, now time.Time) (State, bool) {
	r := f.record(s, now)
	if r == nil || s.Sequence <= r.News {
		return State{}, false
	}
	if s.PeerAddress == "" {
		s.Region, s.Zone, s.ControlAddress, s.PeerAddress = r.Region, r.Zone, r.ControlAddress, r.PeerAddress
	}
	r.renew(s, now)
	return s, true
}

// record returns the record that s belongs to, or nil where s is of an older incarnation, of the VM itself or over the bound.
func (f *Fleet) record(s State, now time.Time) *Record {
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
	fresh := &Record{Member: Member{VM: s.VM, Incarnation: s.Incarnation, Health: Alive}, KnownAt: now}
	fresh.Listed = ok && r.Listed
	f.Members[s.VM] = fresh
	return fresh
}

func (r *Record) renew(s State, now time.Time) {
	r.News, r.Passed = s.Sequence, 0
	r.Region, r.Zone = s.Region, s.Zone
	r.ControlAddress, r.PeerAddress = s.ControlAddress, s.PeerAddress
	r.Revision = max(r.Revision, s.Revision)
	r.Leaving = r.Leaving || s.Leaving
	r.HeardAt, r.Health = now, Alive
	r.Brief = brief(s)
	r.Brief.Leaving, r.Brief.Revision = r.Leaving, r.Revision
}

func brief(s State) State {
	s.Endpoints, s.Sessions, s.Halts, s.Crashes, s.Demand = nil, nil, nil, nil, nil
	s.Evidence = s.Evidence[:min(len(s.Evidence), maxBriefItems)]
	return s
}

// Learn takes in the platform's list, which lags: it adds members and addresses but never says that one is alive.
func (f *Fleet) Learn(list []Member, now time.Time) {
	for _, r := range f.Members {
		r.Listed = false
	}
	for _, m := range list {
		r := f.record(State{VM: m.VM, Incarnation: m.Incarnation}, now)
		if r == nil {
			continue
		}
		r.Listed = true
		if r.News == 0 {
			r.Region, r.Zone = m.Region, m.Zone
			r.ControlAddress, r.PeerAddress = m.ControlAddress, m.PeerAddress
		}
	}
}

// SuspectTimeout is the silence that makes a member suspect in a fleet of n VMs. A VM takes in about 25 states a second,
// so news of one member is n/25 s old in the mean and n/5 s in 99 of 100 cases, where arrivals are random.
func SuspectTimeout(n int) time.Duration {
	return suspectLeast + time.Duration(n)*time.Second/5
}

// Judge sets each member's health by its silence and forgets those that are gone for good.
func (f *Fleet) Judge(now time.Time) {
	suspect := SuspectTimeout(len(f.Members) + 1)
	for name, r := range f.Members {
		silence := now.Sub(r.lastSign())
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

func (r *Record) lastSign() time.Time {
	if r.HeardAt.IsZero() {
		return r.KnownAt
	}
	return r.HeardAt
}

// Targets are the members that one round goes to.
type Targets struct {
	// Near stand in the VM's region, Far elsewhere.
	Near []string
	Far  []string
}

// Choose picks the round's targets: some of the zone, of the region and of elsewhere, and a dead one, so that a healed cut is found.
func (f *Fleet) Choose(r *rand.Rand) Targets {
	var zone, region, far, dead []*Record
	for _, name := range f.names() {
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
		pick(r, zone, zoneFanout), pick(r, region, regionFanout), pick(r, far, farFanout), pick(r, dead, probeFanout),
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

// All returns the address of every member that isn't known to be gone.
func (f *Fleet) All() []string {
	var out []string
	for _, name := range f.names() {
		if m := f.Members[name]; m.PeerAddress != "" && m.Health != Dead {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// names returns the members in a fixed order, so that a choice depends on the random source alone.
func (f *Fleet) names() []string {
	names := make([]string, 0, len(f.Members))
	for name := range f.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func pick(r *rand.Rand, from []*Record, n int) []*Record {
	r.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// News returns at most n states to pass on, those least often passed on first.
// Only members that are alive are passed on, so that a dead one isn't kept alive by hearsay. Most of the states leave
// out where the VM is, which its own datagrams and the platform's list say too.
func (f *Fleet) News(n int, now time.Time, random *rand.Rand) []State {
	var alive []*Record
	for _, r := range f.Members {
		if r.Health == Alive && r.News > 0 {
			alive = append(alive, r)
		}
	}
	slices.SortFunc(alive, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.Passed, b.Passed), b.HeardAt.Compare(a.HeardAt), cmp.Compare(a.VM, b.VM))
	})
	alive = alive[:min(n, len(alive))]
	out := make([]State, 0, len(alive))
	for _, r := range alive {
		s := r.Brief
		if now.Sub(r.KnownAt) > youngFor && random.IntN(placeEvery) > 0 {
			s.Region, s.Zone, s.ControlAddress, s.PeerAddress = "", "", "", ""
		}
		out = append(out, s)
	}
	return out
}

// Passed notes that the states were passed on.
func (f *Fleet) Passed(states []State) {
	for _, s := range states {
		if r, ok := f.Members[s.VM]; ok && r.News == s.Sequence {
			r.Passed++
		}
	}
}

// Package endpoint tracks the state of endpoints, places runs on them and calls them over HTTP.
package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is a model runner or a plain service.
type Endpoint struct {
	ID string
	// Address is host:port.
	Address string
	Region  string
	Zone    string
	// Incarnation tells a restarted endpoint from the one before; a later one has a greater number.
	Incarnation uint64
	// Services lists the plain services that it serves, Versions the models as "model/version".
	Services []string
	Versions []string
	// Role is what the endpoint does by its own report, such as prefill or decode.
	Role string
	// Leaving says that the endpoint is shutting down, Suspect that it is believed failing; neither gets new runs.
	Leaving bool
	Suspect bool
	// PolledHere says that this VM polls the endpoint.
	PolledHere bool
	// Queued and Running are the numbers of runs that the endpoint reported. InFlight counts the runs that this VM sent
	// and that have not ended.
	Queued   int
	Running  int
	InFlight int
	// ReportedAt is when the report was made, also if it came by way of a peer.
	ReportedAt time.Time
	// idHash caches the hash of ID; 0 means not computed yet.
	idHash uint64
}

// Query describes a run to place.
type Query struct {
	// Model and Version, or Service, name what the endpoint has to serve.
	Model   string
	Version string
	Service string
	// Affinity makes queries with the same value prefer the same endpoint; "" means no preference.
	Affinity string
	// Priority orders the runs that wait. Unlike in package routing, a greater number goes first.
	Priority int
	// CrossRegion allows endpoints of other regions.
	CrossRegion bool
	// Exclude lists the endpoints that were tried before.
	Exclude []string
	// Deadline is when the request gives up; zero means none.
	Deadline time.Time
}

// Location is the region and availability zone of a VM.
type Location struct {
	Region string
	Zone   string
}

// Distances from the VM to an endpoint, the nearest first. They index the lists of Table; distanceCount is their
// number.
const (
	SameZone = iota
	SameRegion
	OtherRegion
	distanceCount
)

// Limits and parameters of the placement of runs.
const (
	// maxQueued is the number of reported queued runs, and maxInFlight the number of runs of this VM, at which an
	// endpoint counts as full.
	maxQueued   = 32
	maxInFlight = 256
	// maxReportAge is the age up to which a report shows that an endpoint is not leaving. With an older one it gets no
	// runs.
	maxReportAge = 3 * time.Second
	// loadHalfLife is the age at which a reported load counts half; at twice that age it counts a third.
	loadHalfLife = 500 * time.Millisecond
	// affinityLoadFactor bounds the load of the endpoint preferred by affinity, as a multiple of the mean load.
	affinityLoadFactor = 1.25
	// maxAffinityRanks is how many endpoints are tried by affinity before one is picked at random.
	maxAffinityRanks = 4
	// maxRandomDraws bounds the random draws before the candidates are searched in order.
	maxRandomDraws = 8
	// maxLoadSamples is about the number of candidates that are read to estimate the mean load; at most twice as many
	// are.
	maxLoadSamples = 32
)

// Pick returns the index of the candidate for a run, or -1 if none is usable. It prefers the one that the affinity
// ranks first if its load is acceptable. Otherwise it takes the less loaded of two candidates that the random numbers
// r1 and r2 select. Table.Choose calls it for each distance.
func Pick(candidates []*Endpoint, q Query, now time.Time, r1, r2 uint64) int {
	if q.Affinity != "" {
		if i := pickByAffinity(candidates, q, now, r1); i >= 0 {
			return i
		}
	}
	a, b := pickRandom(candidates, q, now, r1), pickRandom(candidates, q, now, r2)
	if a < 0 || candidates[b].load(now) >= candidates[a].load(now) {
		return a
	}
	return b
}

// pickRandom returns a usable candidate selected by the random number r, or -1. After maxRandomDraws unusable ones it
// searches the candidates in order. Pick calls it twice.
func pickRandom(candidates []*Endpoint, q Query, now time.Time, r uint64) int {
	n := uint64(len(candidates))
	for range min(maxRandomDraws, n) {
		if i := r % n; candidates[i].usable(q, now) {
			return int(i)
		}
		r = Mix(r)
	}
	for k := range n {
		if i := (r%n + k) % n; candidates[i].usable(q, now) {
			return int(i)
		}
	}
	return -1
}

// pickByAffinity ranks the candidates by rendezvous hashing and returns the first usable one whose load is acceptable,
// or -1. Pick calls it for a query with an affinity.
func pickByAffinity(candidates []*Endpoint, q Query, now time.Time, r uint64) int {
	key := xxhash.Sum64String(q.Affinity)
	best := shortlist[affinityRank]{limit: maxAffinityRanks, compare: compareAffinityRanks}
	for i, e := range candidates {
		best.add(affinityRank{Mix(key ^ e.hash()), i})
	}
	maxLoad := math.Ceil(affinityLoadFactor * meanLoad(candidates, q, now, r))
	for _, b := range best.items {
		e := candidates[b.index]
		if e.usable(q, now) && e.load(now)+1 <= maxLoad {
			return b.index
		}
	}
	return -1
}

// affinityRank is the rendezvous hash of a candidate for an affinity; the greatest goes first. index is that of the
// candidate in the list.
type affinityRank struct {
	rank  uint64
	index int
}

// compareAffinityRanks orders the highest hash first.
func compareAffinityRanks(a, b affinityRank) int { return cmp.Compare(b.rank, a.rank) }

// meanLoad returns the mean load of the usable candidates after the run is added, in runs. It samples them if there are
// many. pickByAffinity calls it.
func meanLoad(candidates []*Endpoint, q Query, now time.Time, r uint64) float64 {
	n := len(candidates)
	stride := max(1, n/maxLoadSamples)
	sum, usable := 0.0, 0
	for i := int(r % uint64(stride)); i < n; i += stride {
		if candidates[i].usable(q, now) {
			sum += candidates[i].load(now)
			usable++
		}
	}
	return (sum + 1) / float64(max(usable, 1))
}

// Mix mixes the bits of h like the finalizer of SplitMix64.
func Mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// hash returns the hash of the ID.
func (e *Endpoint) hash() uint64 {
	if e.idHash == 0 {
		e.idHash = xxhash.Sum64String(e.ID)
	}
	return e.idHash
}

// load returns the number of runs at the endpoint: the reported ones, weighted less the older the report, and those of
// this VM.
func (e *Endpoint) load(now time.Time) float64 {
	age := max(now.Sub(e.ReportedAt), 0)
	return float64(e.Queued+e.Running)*float64(loadHalfLife)/float64(loadHalfLife+age) + float64(e.InFlight)
}

// usable reports whether the endpoint may get the run, apart from its load.
func (e *Endpoint) usable(q Query, now time.Time) bool {
	return !e.Leaving && !e.Suspect && now.Sub(e.ReportedAt) <= maxReportAge && !slices.Contains(q.Exclude, e.ID)
}

// full reports whether the endpoint has as many runs as it may have.
func (e *Endpoint) full() bool { return e.Queued >= maxQueued || e.InFlight >= maxInFlight }

// Distance returns how far the region and availability zone are from l: SameZone, SameRegion or OtherRegion. Table
// and package pool call it to prefer near endpoints.
func (l Location) Distance(region, zone string) int {
	switch {
	case region != l.Region:
		return OtherRegion
	case zone != l.Zone:
		return SameRegion
	default:
		return SameZone
	}
}

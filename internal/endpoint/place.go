// Package endpoint knows the endpoints, places runs on them and speaks their protocol.
package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one model runner or plain service.
type Endpoint struct {
	ID          string
	Address     string
	Region      string
	Zone        string
	Incarnation uint64
	// Services names the plain services, Versions the "model/version" pairs that it serves.
	Services []string
	Versions []string
	// Role is what the endpoint says that it does, such as prefill or decode.
	Role    string
	Leaving bool
	Suspect bool
	// PolledHere says that this VM polls the endpoint.
	PolledHere bool
	// Queued and Running are the endpoint's own report; InFlight is what this VM sent and has not seen end.
	Queued   int
	Running  int
	InFlight int
	// ReportedAt is when the report was true.
	ReportedAt time.Time
	// idHash is the hash of ID once it was needed.
	idHash uint64
}

// Query describes a run to place.
type Query struct {
	Model       string
	Version     string
	Service     string
	Affinity    string
	Priority    int
	CrossRegion bool
	Exclude     []string
	Deadline    time.Time
}

// Location is where the VM stands.
type Location struct {
	Region string
	Zone   string
}

// Distances from the VM to an endpoint.
const (
	SameZone = iota
	SameRegion
	OtherRegion
	distances
)

// Bounds of what one endpoint is given.
const (
	maxQueued   = 32
	maxInFlight = 256
	// maxReportAge is the age up to which a report shows that an endpoint isn't leaving.
	maxReportAge = 3 * time.Second
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = 500 * time.Millisecond
	// affinityFactor bounds the load of the endpoint that an affinity prefers, as a multiple of the mean.
	affinityFactor = 1.25
	// maxAffine is how many endpoints an affinity ranks before it gives way to a random choice.
	maxAffine  = 4
	maxDraws   = 8
	maxSampled = 32
)

// Pick chooses among candidates: the one that the query's affinity prefers while its load is within the bound, and
// otherwise the less loaded of two drawn by r1 and r2. It returns -1 where none is usable.
func Pick(candidates []*Endpoint, q Query, now time.Time, r1, r2 uint64) int {
	if q.Affinity != "" {
		if i := pickAffine(candidates, q, now, r1); i >= 0 {
			return i
		}
	}
	a, b := draw(candidates, q, now, r1), draw(candidates, q, now, r2)
	if a < 0 || candidates[b].load(now) >= candidates[a].load(now) {
		return a
	}
	return b
}

// draw returns a usable candidate: a random one, or after too many draws the next one from there.
func draw(candidates []*Endpoint, q Query, now time.Time, r uint64) int {
	n := uint64(len(candidates))
	for range min(maxDraws, n) {
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

// pickAffine ranks the candidates by rendezvous hashing and returns the first usable one within the bound, or -1.
func pickAffine(candidates []*Endpoint, q Query, now time.Time, r uint64) int {
	key := xxhash.Sum64String(q.Affinity)
	best := shortlist[affine]{limit: maxAffine, compare: compareAffine}
	for i, e := range candidates {
		best.add(affine{Mix(key ^ e.hash()), i})
	}
	bound := math.Ceil(affinityFactor * meanLoad(candidates, q, now, r))
	for _, b := range best.items {
		e := candidates[b.index]
		if e.usable(q, now) && e.load(now)+1 <= bound {
			return b.index
		}
	}
	return -1
}

// affine is a candidate's rank for one affinity.
type affine struct {
	rank  uint64
	index int
}

func compareAffine(a, b affine) int { return cmp.Compare(b.rank, a.rank) }

// meanLoad is the mean load of the usable candidates once the run is added, taken from a sample where there are many.
func meanLoad(candidates []*Endpoint, q Query, now time.Time, r uint64) float64 {
	n := len(candidates)
	stride := max(1, n/maxSampled)
	sum, usable := 0.0, 0
	for i := int(r % uint64(stride)); i < n; i += stride {
		if candidates[i].usable(q, now) {
			sum += candidates[i].load(now)
			usable++
		}
	}
	return (sum + 1) / float64(max(usable, 1))
}

// Mix spreads the bits of h, as the finaliser of SplitMix64 does.
func Mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

func (e *Endpoint) hash() uint64 {
	if e.idHash == 0 {
		e.idHash = xxhash.Sum64String(e.ID)
	}
	return e.idHash
}

// load is the reported load, which counts less the older it is, and the VM's own runs there.
func (e *Endpoint) load(now time.Time) float64 {
	age := max(now.Sub(e.ReportedAt), 0)
	return float64(e.Queued+e.Running)*float64(loadHalfLife)/float64(loadHalfLife+age) + float64(e.InFlight)
}

func (e *Endpoint) usable(q Query, now time.Time) bool {
	return !e.Leaving && !e.Suspect && now.Sub(e.ReportedAt) <= maxReportAge && !slices.Contains(q.Exclude, e.ID)
}

func (e *Endpoint) full() bool { return e.Queued >= maxQueued || e.InFlight >= maxInFlight }

// Distance says how far something in the region and zone is.
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

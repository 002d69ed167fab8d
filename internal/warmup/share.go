// Package warmup bounds the requests that all VMs together send to a cold endpoint, one that has just started and crashes under its
// typical load. Each VM decides alone by what it knows of the others: no message passes for it. The package has no net, no clock and no
// encoding.
package warmup

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/endpoint"
)

const (
	// Window is the time in which a VM makes at most its share of sends to a cold endpoint: the second that the bound is about, with
	// SendDelay, since sends that were placed apart may begin together.
	Window = time.Second + SendDelay
	// SendDelay is the longest time from the placement of a run to its first byte: PlaceDelay, and the time to connect.
	SendDelay = 800 * time.Millisecond
	// PlaceDelay is how long after its placement a send to a cold endpoint may begin to connect.
	PlaceDelay = 300 * time.Millisecond
	// viewMargin is how many times their share the VMs may take together, because their views of the members differ: VMs that are
	// cut off may have left the view of the others, and they don't know those that have joined since.
	viewMargin = 2
	// maxBound is the greatest number of sends in a second that is distinguished.
	maxBound = 1 << 20
)

// Tolerance says how far the rate of a cold endpoint may be exceeded: in any second it gets at most Overage times its rate, plus Slack
// requests. The zero value says that nothing bounds the rate.
type Tolerance struct {
	Overage float64
	Slack   float64
}

// Bounded reports whether cold endpoints have a bound at all.
func (t Tolerance) Bounded() bool { return t != Tolerance{} }

// Bound returns how many requests an endpoint with a rate, in requests per second, may get in any second.
func (t Tolerance) Bound(rate float64) int {
	n := math.Floor(rate*t.Overage + t.Slack)
	if !(n > 0) {
		return 0
	}
	return int(min(n, maxBound))
}

// Share returns how many sends a VM may make to one incarnation of a cold endpoint in any Window, if all VMs together may make bound
// in any second. members are the VMs that may send there, as this VM knows them, itself among them. While the views of the members
// agree, the shares add up to bound divided by viewMargin at most; they keep within the bound as long as no view lacks more than half
// of the members, nor more than bound divided by viewMargin. VMs that a view holds in excess only make the shares smaller.
func Share(vm string, key uint64, members []string, bound int) int {
	usable := bound / viewMargin
	if n := len(members); n <= usable {
		return usable / max(n, 1)
	}
	own, rank := rendezvousHash(vm, key), 0
	for _, m := range members {
		other := rendezvousHash(m, key)
		if other > own || (other == own && m < vm) {
			rank++
		}
	}
	if rank < usable {
		return 1
	}
	return 0
}

// Key identifies an incarnation of an endpoint in Share, so that other VMs send to each.
func Key(endpointID string, incarnation int64) uint64 {
	return endpoint.Mix(xxhash.Sum64String(endpointID) ^ endpoint.Mix(uint64(incarnation)))
}

// rendezvousHash returns the hash by which a VM ranks for a key, the highest first.
func rendezvousHash(vm string, key uint64) uint64 { return endpoint.Mix(xxhash.Sum64String(vm) ^ key) }

package pool

import (
	"time"

	"cornelmux/internal/endpoint"
)

const (
	// otherZoneDelay and otherRegionDelay are how much later runs outside the VM's availability zone or region are taken to begin, until
	// some were seen.
	otherZoneDelay   = 120 * time.Millisecond
	otherRegionDelay = 260 * time.Millisecond
	// delayStep is by how much one run moves a delay towards what it shows, so that the median of many counts.
	delayStep = 4 * time.Millisecond
	// maxDelay bounds the delays.
	maxDelay = 2 * time.Second
)

// delays holds how much later runs begin outside the VM's zone, by distance: the network, and what is unknown of the loads there.
type delays struct{ otherZone, otherRegion time.Duration }

// newDelays returns the delays before runs were seen.
func newDelays() delays { return delays{otherZoneDelay, otherRegionDelay} }

// of returns the delay of a distance.
func (d *delays) of(distance int) time.Duration {
	switch distance {
	case endpoint.SameZone:
		return 0
	case endpoint.SameRegion:
		return d.otherZone
	default:
		return d.otherRegion
	}
}

// learn moves the delay of a distance towards late, by which a run began later than expected of one in the VM's zone. Table.learn
// calls it.
func (d *delays) learn(distance int, late time.Duration) {
	switch distance {
	case endpoint.SameZone:
	case endpoint.SameRegion:
		d.otherZone = stepTo(d.otherZone, late)
	default:
		d.otherRegion = stepTo(d.otherRegion, late)
	}
}

// stepTo moves a delay by delayStep at most.
func stepTo(d, seen time.Duration) time.Duration {
	d += min(max(seen-d, -delayStep), delayStep)
	return min(max(d, 0), maxDelay)
}

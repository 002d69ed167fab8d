package pool

import (
	"time"

	"cornelmux/internal/endpoint"
)

const (
	// otherZoneDelay and otherRegionDelay are how much later runs outside the VM's availability zone or region are taken to begin, until
	// some were seen.
	otherZoneDelay   = 20 * time.Millisecond
	otherRegionDelay = 60 * time.Millisecond
	// delayShare is the part of one run, 0 to 1, in the moving mean of a delay.
	delayShare = 0.05
	// maxLate bounds by how much later or sooner than expected one run may show.
	maxLate = 500 * time.Millisecond
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

// learn adds a run that began late, compared with what was expected of one in the VM's zone. Table.learnBegin calls it.
func (d *delays) learn(distance int, late time.Duration) {
	switch distance {
	case endpoint.SameZone:
	case endpoint.SameRegion:
		d.otherZone = moveTo(d.otherZone, late)
	default:
		d.otherRegion = moveTo(d.otherRegion, late)
	}
}

// moveTo returns a delay after a run that was late by so much.
func moveTo(d, late time.Duration) time.Duration {
	late = min(max(late, -maxLate), maxLate)
	return max(d+time.Duration(delayShare*float64(late-d)), 0)
}

package pool

import (
	"time"

	"cornelmux/internal/peer"
)

const (
	// zoneLoadShare is the part of one report, 0 to 1, in the moving mean of a zone's load, since each VM there knows only a part.
	zoneLoadShare = 0.4
	// zoneLoadTTL is how long a report of another zone counts as it came. From then until zoneBusyTTL the zone counts as busy, because
	// it may be cut off or overloaded; later nothing is known of it.
	zoneLoadTTL = 2 * time.Second
	zoneBusyTTL = 10 * time.Second
	// maxZoneLoads bounds what is remembered; peers name zones and services.
	maxZoneLoads = 4096
)

// zoneKey identifies the endpoints of a service in an availability zone.
type zoneKey struct {
	zone    string
	service string
}

// zoneLoad is the mean load of the endpoints of a service in another zone, as the VMs there report it.
type zoneLoad struct {
	engineLoad  float64
	utilization float64
	heardAt     time.Time
}

// zoneLoads holds what was heard of other zones. Entries older than zoneBusyTTL count for nothing.
type zoneLoads map[zoneKey]zoneLoad

// hear adds the report of a VM in the zone. Controller calls it for each state of a VM of another zone.
func (z zoneLoads) hear(zone string, l peer.ZoneLoad, now time.Time) {
	key := zoneKey{zone, l.Service}
	before, known := z[key]
	if !known && len(z) >= maxZoneLoads {
		return
	}
	if !known || now.Sub(before.heardAt) > zoneLoadTTL {
		z[key] = zoneLoad{l.EngineLoad, l.Utilization, now}
		return
	}
	z[key] = zoneLoad{
		before.engineLoad + zoneLoadShare*(l.EngineLoad-before.engineLoad), before.utilization + zoneLoadShare*(l.Utilization-before.utilization), now,
	}
}

// of returns the load that an endpoint of the service in the zone is taken to have. A zone that has fallen silent counts as busy: each slot
// is taken. It is all zero if nothing is known.
func (z zoneLoads) of(zone, service string, slots int, now time.Time) (engineLoad, utilization float64) {
	l, known := z[zoneKey{zone, service}]
	switch age := now.Sub(l.heardAt); {
	case !known || age > zoneBusyTTL:
		return 0, 0
	case age > zoneLoadTTL:
		return max(l.engineLoad, float64(slots)), max(l.utilization, 1)
	default:
		return l.engineLoad, l.utilization
	}
}

// ZoneLoads returns the mean loads of the VM's own zone, to send to VMs of other zones. The Controller calls it for each gossiped state.
func (t *Table) ZoneLoads(now time.Time) []peer.ZoneLoad {
	var out []peer.ZoneLoad
	for service, list := range t.services {
		sum, n := peer.ZoneLoad{Service: service}, 0.0
		for _, r := range list {
			if r.Zone != t.location.Zone || !r.acceptsRuns() {
				continue
			}
			inFlight, load, _ := r.peerTotals(now)
			sum.EngineLoad += r.engineLoad + load
			sum.Utilization += slotUtilization(r.InFlight+inFlight, r.Slots)
			n++
		}
		if n > 0 {
			sum.EngineLoad, sum.Utilization = sum.EngineLoad/n, sum.Utilization/n
			out = append(out, sum)
		}
	}
	return out
}

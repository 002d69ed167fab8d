// Package endpoint knows the endpoints, places runs on them and speaks their protocol.
package endpoint

import (
	"slices"

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
	Leaving  bool
	Suspect  bool
	// Queued and Running are the endpoint's own report; InFlight is what this VM sent and has not seen end.
	Queued   int
	Running  int
	InFlight int
}

// Query describes a run to place.
type Query struct {
	Model       string
	Version     string
	Service     string
	Affinity    string
	CrossRegion bool
	Exclude     []string
}

// Location is where the VM stands.
type Location struct {
	Region string
	Zone   string
}

// Place chooses an endpoint: the VM's zone first, then its region, and other regions where the query pays for them;
// within these the less loaded of two drawn by r1 and r2.
func Place(list []Endpoint, at Location, q Query, r1, r2 uint64) (Endpoint, bool) {
	for distance := range 3 {
		if distance == 2 && !q.CrossRegion {
			break
		}
		var near []Endpoint
		for _, e := range list {
			if e.serves(q) && e.usable(q) && at.distance(e) == distance {
				near = append(near, e)
			}
		}
		if len(near) > 0 {
			return pick(near, q, r1, r2), true
		}
	}
	return Endpoint{}, false
}

func pick(near []Endpoint, q Query, r1, r2 uint64) Endpoint {
	n := uint64(len(near))
	a, b := near[r1%n], near[r2%n]
	if q.Affinity != "" {
		a = near[xxhash.Sum64String(q.Affinity)%n]
	}
	if b.load() < a.load() {
		return b
	}
	return a
}

func (e Endpoint) load() int { return e.Queued + e.Running + e.InFlight }

func (e Endpoint) usable(q Query) bool {
	return !e.Leaving && !e.Suspect && !slices.Contains(q.Exclude, e.ID)
}

func (e Endpoint) serves(q Query) bool {
	if q.Service != "" {
		return slices.Contains(e.Services, q.Service)
	}
	return slices.Contains(e.Versions, q.Model+"/"+q.Version)
}

func (l Location) distance(e Endpoint) int {
	switch {
	case e.Region != l.Region:
		return 2
	case e.Zone != l.Zone:
		return 1
	default:
		return 0
	}
}

package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/endpoint"
)

const (
	// MaxLostEvents is the number of events that a run may have brought that was lost at its start, where a prompt that crashes endpoints
	// does so: the one of that moment may still arrive.
	MaxLostEvents = 1
	// StartTime is how long after its first event a run survives its start, if events go on. One that is lost between tells nothing.
	StartTime = 100 * time.Millisecond
)

// Run is one run of a request at an endpoint.
type Run struct {
	Fingerprints endpoint.Fingerprints
	// Blocks are the IDs of the prompt blocks that other requests may share.
	Blocks []uint64
	// Endpoint is the ID of the endpoint, Incarnation that of its process.
	Endpoint    string
	Incarnation int64
	SentAt      time.Time
}

// endpointHash returns the hash of the endpoint and its incarnation.
func (r *Run) endpointHash() uint64 {
	return hashEndpoint(r.Endpoint + "#" + strconv.FormatInt(r.Incarnation, 10))
}

// hashEndpoint returns the hash of an endpoint as reports of crashes name it: its ID, '#' and its incarnation.
func hashEndpoint(name string) uint64 { return xxhash.Sum64String(name) }

// Progress is how much of its answer a run brought before its connection ended.
type Progress int

// Values of Progress: less than a head, a head, or at most MaxLostEvents.
const (
	ProgressNone Progress = iota
	ProgressHead
	ProgressEvents
)

// String returns the name of the progress for logs.
func (p Progress) String() string {
	switch p {
	case ProgressNone:
		return "none"
	case ProgressHead:
		return "head"
	default:
		return "events"
	}
}

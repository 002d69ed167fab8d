package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StartTime is how long after its first event a run still counts as at its start, in which a prompt that crashes endpoints does so. An
// endpoint that sends an event later has outlived the start.
const StartTime = 250 * time.Millisecond

// Run is one run of a request at an endpoint.
type Run struct {
	Fingerprint uint64
	// Blocks are the IDs of the prompt blocks that other requests may share.
	Blocks []uint64
	// Endpoint is the ID of the endpoint, Incarnation that of its process.
	Endpoint    string
	Incarnation int64
	SentAt      time.Time
}

// endpoint returns the hash of the endpoint and its incarnation.
func (r *Run) endpoint() uint64 {
	return hashEndpoint(r.Endpoint + "#" + strconv.FormatInt(r.Incarnation, 10))
}

// hashEndpoint returns the hash of an endpoint as reports of crashes name it: its ID, '#' and its incarnation.
func hashEndpoint(name string) uint64 { return xxhash.Sum64String(name) }

// Progress is how much of its answer a run brought before its connection ended.
type Progress int

// Values of Progress: less than a head, a head, or events for less than StartTime.
const (
	ProgressNone Progress = iota
	ProgressHead
	ProgressEvents
)

// String returns the name of the progress for logs.
func (p Progress) String() string {
	return [...]string{ProgressNone: "none", ProgressHead: "head", ProgressEvents: "events"}[p]
}

// Package pool knows the endpoints that a directory lists, and places runs on them by distance, load, health and the
// parts of prompts that they hold.
package pool

import (
	"fmt"
	"time"

	"cornelmux/pkg/routing"
)

// Entry is what the directory says of an endpoint.
type Entry struct {
	ID      string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	Region  string
	// Version is that of the endpoint's software.
	Version string
	// Incarnation is the endpoint's start in Unix milliseconds; 0 is unknown.
	Incarnation int64
	// Slots is how many requests the endpoint runs at once.
	Slots   int
	Leaving bool
}

// String implements fmt.Stringer.
func (e Entry) String() string {
	return fmt.Sprintf("%s %s %s zone=%s region=%s version=%s incarnation=%d slots=%d leaving=%t",
		e.ID, e.Service, e.Address, e.Zone, e.Region, e.Version, e.Incarnation, e.Slots, e.Leaving)
}

// Query describes a run to place.
type Query struct {
	Service string
	Model   string
	Prompt  routing.Prompt
	// Weight is how much of an engine a run of the model takes, by the strongest model's; 0 counts as 1.
	Weight float64
	// StrongerModel is the model that may be asked next; "" is none.
	StrongerModel string
	// Affinity draws like requests to one endpoint; 0 has none.
	Affinity uint64
	// Version is the only one allowed; "" allows all but Barred.
	Version          string
	ExcludedVersions []string
	// Exclude lists the endpoints that were tried.
	Exclude []string
	// Retry says that the request was sent before, so that this send draws on the budget of repeats.
	Retry bool
	// Escalation says that the repeat asks a stronger model, which was allowed before; it isn't refused.
	Escalation bool
}

// Placement is an endpoint and how loaded it is.
type Placement struct {
	Entry
	// Load is the runs at the endpoint by its slots, as far as this VM and its peers know them.
	Load float64
	// RetryAllowed says that the budget allows another send of the request.
	RetryAllowed bool
	// TypicalLatency is how long such runs usually take, Stronger how long those of the stronger model do.
	TypicalLatency  Latency
	StrongerLatency Latency
}

// Latency is how long runs of a model usually take; 0 is unknown.
type Latency struct {
	// TTFB is the time to the first byte, Gap the mean time between two events.
	TTFB    time.Duration
	MeanGap time.Duration
}

// End says how a run at an endpoint ended.
type End int

// The values of End.
const (
	EndAnswered End = iota + 1
	// EndFailed is the endpoint's own failure.
	EndFailed
	// EndRefused is a refusal by the endpoint, which didn't run the request.
	EndRefused
	// EndUnreachable says that no connection could be made.
	EndUnreachable
	// EndLost says that the answer broke off.
	EndLost
	// EndTimeout says that no answer came in time.
	EndTimeout
	// EndReplaced says that another endpoint has the address.
	EndReplaced
	// EndAbandoned says that the router or the caller ended the run.
	EndAbandoned
)

var endNames = map[End]string{
	EndAnswered: "answered", EndFailed: "failed", EndRefused: "refused", EndUnreachable: "unreached", EndLost: "lost",
	EndTimeout: "silent", EndReplaced: "replaced", EndAbandoned: "abandoned",
}

// String implements fmt.Stringer.
func (e End) String() string { return endNames[e] }

// Outcome tells how a run ended.
type Outcome struct {
	Endpoint    string
	Incarnation int64
	End         End
	Model       string
	Service     string
	Prompt      routing.Prompt
	// Weight is that of the query.
	Weight float64
	// TTFB is the time to the first byte of the answer; 0 where none came.
	TTFB time.Duration
	// MeanGap is the mean time between two events; 0 where there were too few.
	MeanGap     time.Duration
	Fingerprint uint64
}

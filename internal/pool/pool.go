// Package pool tracks the endpoints that a directory lists. It places runs on them by distance, load, health and the
// prompt prefixes that they have cached.
package pool

import (
	"fmt"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/engine"
	"cornelmux/pkg/routing"
)

// Entry is the directory's entry of an endpoint.
type Entry struct {
	ID      string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	Region  string
	// Version is the software version of the endpoint.
	Version string
	// Incarnation is when the endpoint started, in Unix milliseconds; 0 means unknown.
	Incarnation int64
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// Leaving says that the endpoint is shutting down and gets no new runs.
	Leaving bool
	// ColdFor is how much longer the endpoint is cold, from when its entry was read.
	ColdFor time.Duration
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
	// Weight is the share of an engine, 0 to 1, that a run of the model takes, relative to the most expensive model; 0
	// counts as 1.
	Weight float64
	// StrongerModel is the model to which the run may escalate, or "".
	StrongerModel string
	// Affinity makes queries with the same value prefer the same endpoints; 0 means no preference.
	Affinity uint64
	// Version is the only version allowed; "" allows all but ExcludedVersions.
	Version          string
	ExcludedVersions []string
	// Exclude lists the IDs of the endpoints that were tried before.
	Exclude []string
	// Silent is the ID of the endpoint whose silent run is to be replaced, or "".
	Silent string
	// Retry says that the request was sent before, so that this send counts against the retry budget.
	Retry bool
	// Escalation says that the retry goes to a stronger model; it leaves a part of the budget to other retries.
	Escalation bool
	// Waits says that the run may wait until an endpoint has room for it; Again that it was sent before, or placed.
	Waits bool
	Again bool
	// Homes holds the regions whose endpoints may get the run.
	Homes routing.Regions
	// Config is the service's configuration; nil if the route table has none.
	Config *routing.Service
	// Account is the client account, Priority its rank or the route's, where 0 goes first.
	Account  string
	Priority int
	// Deadline is when the caller or the route gives up, Objective when the answer should begin; zero if there is none.
	Deadline  time.Time
	Objective time.Time

	// blocks are those of the prompt as endpoints remember them, sharedTokens the length of its shared prefix, and engine is what
	// was learned of the engines for such runs; Table.Choose sets them.
	blocks       []routing.PrefixBlock
	sharedTokens int
	engine       *engine.Model
}

// Placement is the endpoint chosen for a run and its load.
type Placement struct {
	Entry
	// Running is the number of runs at the endpoint, this one included, as far as this VM and its peers know them; Load is
	// that number divided by the endpoint's slots.
	Running int
	Load    float64
	// Waited is how long the run waited for room.
	Waited time.Duration
	// RetryAllowed says that the retry budget has room for an escalation or another send of the request.
	RetryAllowed bool
	// TypicalLatency is that of such runs, StrongerLatency that of runs of the stronger model.
	TypicalLatency  Latency
	StrongerLatency Latency
	// Number tells the placements of this VM apart.
	Number uint64
	// Run is what the run asks of the endpoint and finds there, Forecast when it is expected to begin and end.
	Run      engine.Run
	Forecast engine.Forecast
	// SendBy is when the send has to begin, because the endpoint is cold and its runs are spaced; zero if there is no bound.
	SendBy time.Time
	// PrefillTime is how long the endpoint's most expensive model takes at least to process the part of the prompt that it has
	// not cached.
	PrefillTime time.Duration
}

// Latency is a moving mean over the runs of a model; 0 means unknown.
type Latency struct {
	// TTFB is the time to first byte, MeanGap the mean time between two events.
	TTFB    time.Duration
	MeanGap time.Duration
}

// End says how a run at an endpoint ended.
type End int

// The values of End.
const (
	// EndAnswered means that the endpoint answered, if only with an error status below 500.
	EndAnswered End = iota + 1
	// EndFailed means that the endpoint answered with a status of 500 or above.
	EndFailed
	// EndRefused means that the endpoint refused the request and did not run it.
	EndRefused
	// EndUnreachable means that no connection could be made.
	EndUnreachable
	// EndLost means that the call was sent, and its answer broke off or never began.
	EndLost
	// EndTimeout means that no byte came within the silence timeout.
	EndTimeout
	// EndReplaced means that another endpoint answers on the address.
	EndReplaced
	// EndMisdirected means that whoever answers on the address doesn't take such runs.
	EndMisdirected
	// EndAbandoned means that the router or the caller ended the run.
	EndAbandoned
	// EndUnused means that a retry was placed and nothing was sent; the retry budget gets it back.
	EndUnused
)

// endNames are the values in logs.
var endNames = map[End]string{
	EndAnswered: "answered", EndFailed: "failed", EndRefused: "refused", EndUnreachable: "unreached", EndLost: "lost",
	EndTimeout: "silent", EndReplaced: "replaced", EndMisdirected: "misdirected", EndAbandoned: "abandoned", EndUnused: "unused",
}

// String implements fmt.Stringer.
func (e End) String() string { return endNames[e] }

// Outcome says how a run ended.
type Outcome struct {
	// Endpoint is the ID of the endpoint, Incarnation that of its Entry when the run was placed.
	Endpoint    string
	Incarnation int64
	End         End
	Model       string
	Service     string
	Prompt      routing.Prompt
	// Weight is the same as in the Query.
	Weight float64
	// Number and Run are those of the Placement.
	Number uint64
	Run    engine.Run
	// SendBy is that of the placement.
	SendBy time.Time
	// TTFB is the time to first byte; 0 if none arrived.
	TTFB time.Duration
	// MeanGap is the mean time between two events; 0 if there were too few.
	MeanGap time.Duration
	// SentAt is when the run was sent. Events counts the events of its answer that arrived.
	SentAt time.Time
	Events int
	// Fingerprints identify the request, to count the crashes that it causes.
	Fingerprints endpoint.Fingerprints
}

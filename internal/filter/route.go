package filter

import (
	"context"
	"time"

	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// Routed holds the state of a request that a route table decides on. The front end sets Host, Key, CallerTimeout, Body,
// Prompt and LastEventID, Route sets Table to Priority, and Forward the rest.
type Routed struct {
	Host string
	// Key is the caller's API key.
	Key string
	// CallerTimeout is how long the caller waits, from the request's arrival; 0 if unknown.
	CallerTimeout time.Duration
	// Body reads the request's body.
	Body Body

	Table *routing.Table
	// TableReadAt is when Table was read.
	TableReadAt time.Time
	Route       *routing.Route
	Service     string
	Account     string
	// Priority is that of the client account, or else of the route; 0 goes first, unlike in package endpoint.
	Priority int
	// AccountHomes holds the regions that the client account allows, Homes those that it and the route both allow.
	AccountHomes routing.Regions
	Homes        routing.Regions
	Prompt       routing.Prompt
	// LastEventID is the ID of the last event that the caller has of an earlier answer.
	LastEventID string
	// Attempts counts how often the request was placed on an endpoint, also if nothing was sent there.
	Attempts int
	// Unreached counts those of them to whose endpoint no connection could be made.
	Unreached int
	// CallerLeft is closed when the caller of a run that goes on without it has left; nil for other runs.
	CallerLeft <-chan struct{}
	// MayHaveRun reports that an endpoint ran the request, or may have.
	MayHaveRun bool
	// TableWait, CheckWait and Placing are how long the request waited in all for the route table, for the quarantine's reply before
	// its first send, and for its placements, also for those that it didn't get.
	TableWait time.Duration
	CheckWait time.Duration
	Placing   time.Duration
	// MemoryWait is how long the body waited for its memory.
	MemoryWait time.Duration
	// Trace lists the sends, for the log.
	Trace []Step
}

// attemptsLeft returns how many more endpoints the request may be sent to. One that couldn't be reached doesn't count, since
// nothing was sent there.
func (r *Routed) attemptsLeft() int { return r.Route.MaxAttempts - (r.Attempts - r.Unreached) }

// callerLeft reports whether CallerLeft is closed.
func (r *Routed) callerLeft() bool {
	select {
	case <-r.CallerLeft:
		return true
	default:
		return false
	}
}

// Step describes one send of a request and its outcome, for the log.
type Step struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	End      string `json:"end"`
	// Load is the endpoint's load at the time of placement, as a share of its slots.
	Load float64 `json:"load"`
	// Placing is how long the send waited for its placement.
	Placing time.Duration `json:"placing_ns"`
	// Uncached is the number of prompt tokens that the endpoint was expected to process, EngineLoad the load of the other runs there as
	// the forecast took it: their weights, or for a plain service the share of the slots.
	Uncached   int     `json:"uncached_tokens"`
	EngineLoad float64 `json:"engine_load"`
	// Forecast is the time after which the answer was expected to begin.
	Forecast time.Duration `json:"forecast_ns"`
	// TTFB and Duration are the times to the head of the answer and to its end.
	TTFB     time.Duration `json:"first_ns"`
	Duration time.Duration `json:"took_ns"`
	// Events counts the events that were read. MeanGap is the mean time between them; 0 for fewer than three.
	Events  int           `json:"events"`
	MeanGap time.Duration `json:"gap_ns"`
	// Silent is the longest time without progress: before the first event, between two, or until the send ended.
	Silent time.Duration `json:"silent_ns"`
	// Refused counts the tries to place a silent send elsewhere that found no endpoint or no retry budget.
	// RefusedErr is the reason of the last.
	Refused    int    `json:"replacements_refused"`
	RefusedErr string `json:"replacement_error,omitempty"`
	// Confidence is the model's confidence in its answer, 0 to 100; -1 if there is none.
	Confidence int `json:"confidence"`
	// Verdict is the decision on the answer by its confidence.
	Verdict string `json:"ruling,omitempty"`
	Err     string `json:"error"`
}

// Routes returns the newest route table; nil before the first.
type Routes interface {
	Current(ctx context.Context) (*routing.Table, error)
}

// Route finds the route and the client account of a request, and sets its service and deadline. ReadBody reads the body after it.
type Route struct {
	Routes Routes
	// Loaded is closed once the VM has loaded what it needs to serve.
	Loaded <-chan struct{}
	// Rand returns a random number in [0, 1), for the choice among a route's services.
	Rand func() float64
}

// Handle implements Filter. The rest of the chain runs with the deadline of the request, if it has one.
func (f Route) Handle(ctx context.Context, x *Exchange, next Next) error {
	if !f.waitLoaded(ctx) {
		return result.Errorf(result.NotReady, "the VM has not read the platform yet").WithRetryAfter(startupWait)
	}
	t, err := f.table(ctx, x)
	if err != nil {
		return err
	}
	if t == nil {
		return result.Errorf(result.NotReady, "no configuration has been loaded yet")
	}
	r := t.Match(x.Routed.Host, x.Request.Path)
	if r == nil {
		return result.Errorf(result.NoSuchRoute, "no route matches in configuration %d", t.Version)
	}
	x.Routed.Table, x.Routed.Route, x.Routed.TableReadAt = t, r, time.Now()
	x.Routed.Priority = r.Priority
	x.Routed.Homes = requestHomes(r, nil)
	if err := findAccount(x, t, r); err != nil {
		return err
	}
	if err := checkHomes(x); err != nil {
		return err
	}
	x.Idempotent = r.Idempotent()
	x.Routed.Service = r.Pick(f.Rand())
	x.Request.Service = x.Routed.Service
	x.Request.Deadline = deadline(x.Arrived, x.Routed.CallerTimeout, r.Timeout)
	if x.Request.Deadline.IsZero() {
		return next(ctx, x)
	}
	run := ctx
	if r.Kind == routing.KindNonIdempotent {
		run, x.Routed.CallerLeft = context.WithoutCancel(ctx), ctx.Done() // a run that can't be repeated is not broken off
	}
	run, stop := context.WithDeadline(run, x.Request.Deadline)
	defer stop()
	return next(run, x)
}

// table returns the newest route table, and notes how long the request waited for it. Handle calls it once.
func (f Route) table(ctx context.Context, x *Exchange) (*routing.Table, error) {
	asked := time.Now()
	ctx, cancel := ownerContext(ctx, x)
	defer cancel()
	t, err := f.Routes.Current(ctx)
	x.Routed.TableWait = time.Since(asked)
	if err != nil {
		return nil, ownerError("read the route table", err)
	}
	return t, nil
}

// startupWait is how long a request waits for a VM that has just started, and the Retry-After of a request that waited
// in vain.
const startupWait = 600 * time.Millisecond

// waitLoaded waits up to startupWait until the VM has loaded its data, and reports whether it has. Handle calls it
// first.
func (f Route) waitLoaded(ctx context.Context) bool {
	select {
	case <-f.Loaded:
		return true
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, startupWait)
	defer cancel()
	select {
	case <-f.Loaded:
		return true
	case <-ctx.Done():
		return false
	}
}

// findAccount finds the client account by its key. The account's priority takes precedence over the route's, its
// homes bind beside them. A table without accounts lets every request through. Handle calls it once.
func findAccount(x *Exchange, t *routing.Table, r *routing.Route) error {
	if len(t.Accounts) == 0 {
		return nil
	}
	a := t.Account(x.Routed.Key)
	if a == nil {
		if r.Anonymous {
			return nil
		}
		return result.Errorf(result.BadKey, "no client account has this key in configuration %d", t.Version)
	}
	x.Routed.Account = a.Name
	x.Account = catalog.ClientAccount{Name: a.Name}
	x.Routed.AccountHomes, x.Routed.Homes = a.Homes, requestHomes(r, a)
	if a.HasPriority {
		x.Routed.Priority = a.Priority
	}
	return nil
}

// deadline returns when the caller's or the route's timeout ends, whichever is first; zero if there is neither. Both
// start with the request's arrival. Handle calls it once the route is known.
func deadline(arrived time.Time, callerTimeout, timeout time.Duration) time.Time {
	switch {
	case callerTimeout <= 0 && timeout <= 0:
		return time.Time{}
	case callerTimeout <= 0 || (timeout > 0 && timeout < callerTimeout):
		return arrived.Add(timeout)
	default:
		return arrived.Add(callerTimeout)
	}
}

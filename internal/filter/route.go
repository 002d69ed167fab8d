package filter

import (
	"context"
	"errors"
	"time"

	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// Routed is what filters know of a request that a route table decides on.
type Routed struct {
	Host string
	// Key is the caller's key.
	Key string
	// CallerTimeout is how long the caller waits, counted from its arrival; 0 is unknown.
	CallerTimeout time.Duration
	// Body gives the caller's body.
	Body Body

	Table   *routing.Table
	Route   *routing.Route
	Service string
	Account string
	// Priority is the rank of the client account, or else of the route; 0 is first.
	Priority int
	Prompt   routing.Prompt
	// LastEventID is the last event that the caller has of an earlier answer.
	LastEventID string
	// Attempts counts the endpoints that the request was sent to.
	Attempts int
	// Ran says that an endpoint ran the request, or may have.
	Ran bool
	// Trace collects what was decided, for the log.
	Trace []Step
}

// Step is one send of a request and what became of it.
type Step struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	End      string `json:"end"`
	// Load is the endpoint's load by this VM's runs, at the time of the choice.
	Load float64 `json:"load"`
	// First and Took are the times to the first byte and to the end.
	First time.Duration `json:"first_ns"`
	Took  time.Duration `json:"took_ns"`
	// Events counts the events that were passed on, Gap is the mean time between them.
	Events int           `json:"events"`
	Gap    time.Duration `json:"gap_ns"`
	// Confidence is the model's own opinion of its answer; negative is none.
	Confidence int `json:"confidence"`
	// Ruling is what became of the answer by its confidence.
	Ruling string `json:"ruling,omitempty"`
	Err    string `json:"error"`
}

// ErrBodyTooLarge reports a body over the limit.
var ErrBodyTooLarge = errors.New("body over the limit")

// Body is what a front end received behind a request's head.
type Body interface {
	// Read returns the whole body, or ErrBodyTooLarge.
	Read(limit int64) ([]byte, error)
}

// Routes gives the newest route table; nil before the first.
type Routes interface {
	Current(ctx context.Context) (*routing.Table, error)
}

// Route finds the route and the client account of a request, and sets its deadline.
type Route struct {
	Routes Routes
	// Loaded is closed once the VM has read what it needs to serve.
	Loaded <-chan struct{}
	// Rand gives a number from 0 up to 1 for the choice among a route's services.
	Rand func() float64
}

// bodyLimit holds where the table sets none.
const bodyLimit = 4 << 20

// Handle implements Filter.
func (f Route) Handle(ctx context.Context, x *Exchange, next Next) error {
	if !f.started(ctx) {
		return result.Errorf(result.NotReady, "nothing was read of the platform yet").WithRetryAfter(startWait)
	}
	t, err := f.Routes.Current(ctx)
	if err != nil {
		return result.Errorf(result.QueueFull, "routes: %v", err)
	}
	if t == nil {
		return result.Errorf(result.NotReady, "no configuration yet")
	}
	r := t.Match(x.Routed.Host, x.Request.Path)
	if r == nil {
		return result.Errorf(result.NoSuchRoute, "configuration %d", t.Version)
	}
	x.Routed.Table, x.Routed.Route = t, r
	x.Routed.Priority = r.Priority
	if err := admit(x, t, r); err != nil {
		return err
	}
	limit := t.Limits.BodyBytes
	if limit <= 0 {
		limit = bodyLimit
	}
	body, err := x.Routed.Body.Read(limit)
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return result.Errorf(result.TooLarge, "over %d bytes", limit)
	case err != nil:
		return result.Errorf(result.BadRequest, "body: %v", err)
	}
	x.Request.Body = body
	x.Idempotent = r.Idempotent()
	x.Routed.Service = r.Pick(f.Rand())
	x.Request.Service = x.Routed.Service
	x.Request.Deadline = deadline(x.Arrived, x.Routed.CallerTimeout, r.Timeout)
	if x.Request.Deadline.IsZero() {
		return next(ctx, x)
	}
	run, cancel := runContext(ctx, x)
	defer cancel()
	run, stop := context.WithDeadline(run, x.Request.Deadline)
	defer stop()
	return next(run, x)
}

// startWait is how long a request waits for a VM that has just started.
const startWait = 600 * time.Millisecond

// started waits a moment for a VM that has just started.
func (f Route) started(ctx context.Context) bool {
	select {
	case <-f.Loaded:
		return true
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	select {
	case <-f.Loaded:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit finds the client account; its priority goes before the route's.
func admit(x *Exchange, t *routing.Table, r *routing.Route) error {
	if len(t.Accounts) == 0 {
		return nil
	}
	a := t.Account(x.Routed.Key)
	if a == nil {
		if r.Anonymous {
			return nil
		}
		return result.Errorf(result.BadKey, "unknown key at configuration %d", t.Version)
	}
	x.Routed.Account = a.Name
	x.Account = catalog.ClientAccount{Name: a.Name}
	if a.HasPriority {
		x.Routed.Priority = a.Priority
	}
	return nil
}

// deadline is when the caller or the route's timeout ends the wait, whichever is first; zero where neither does.
func deadline(arrived time.Time, patience, timeout time.Duration) time.Time {
	switch {
	case patience <= 0 && timeout <= 0:
		return time.Time{}
	case patience <= 0 || (timeout > 0 && timeout < patience):
		return arrived.Add(timeout)
	default:
		return arrived.Add(patience)
	}
}

// Package filter implements the filter chain for requests, one filter per file.
// Filters work on plain structs; a front end decodes requests and encodes answers.
package filter

import (
	"context"
	"time"

	"cornelmux/internal/cascade"
	"cornelmux/internal/configuration"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/journal"
	"cornelmux/internal/pool"
	"cornelmux/pkg/catalog"
)

// Filter handles one step of a request: it answers, fails, or calls next.
// Failures are reported as a *result.Error.
type Filter interface {
	Handle(ctx context.Context, x *Exchange, next Next) error
}

// Next runs the rest of the chain.
type Next func(ctx context.Context, x *Exchange) error

// Chain joins filters to one Next, in order. The next of the last filter does nothing. A VM calls it once when it is
// made; its front end calls the Next for each request.
func Chain(filters ...Filter) Next {
	next := Next(func(context.Context, *Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, x *Exchange) error { return f.Handle(ctx, x, rest) }
	}
	return next
}

// Kind tells chat requests from requests to plain services.
type Kind int

// The values of Kind.
const (
	// KindChat requests ask a model or a cascade.
	KindChat Kind = iota + 1
	// KindService requests go to a plain service.
	KindService
)

// Request is a caller's request as the front end decoded it.
type Request struct {
	// ID is the request ID, unique within the client account; a resend by the caller has the same. Assigned reports
	// that the entry VM generated it.
	ID       string
	Assigned bool
	Session  string
	// Transient reports that the entry VM generated Session for this request alone.
	Transient bool
	Kind      Kind
	// Model is the name of a model or a cascade.
	Model   string
	Service string
	Method  string
	Path    string
	Query   string
	// ForceQuery says that a question mark ends the path even if Query is empty.
	ForceQuery  bool
	ContentType string
	// Fields are the other header fields to pass to a plain service.
	Fields []endpoint.Field
	Body   []byte
	// Prompt is the text of a chat request.
	Prompt string
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
}

// Decoder decodes the request that a front end received, once the client account is known.
type Decoder interface {
	Decode(a catalog.ClientAccount) (Request, error)
}

// Head is the part of an answer before its first chunk.
type Head struct {
	RequestID   string
	Status      int
	ContentType string
	Model       string
	Version     string
	// Fields are the other header fields of a plain service's answer.
	Fields []endpoint.Field
	// Confidence is the model's confidence in its answer, 0 to 100. It is valid only if HasConfidence is set.
	Confidence    int
	HasConfidence bool
}

// Failed reports whether the endpoint answered with an error status.
func (h Head) Failed() bool { return h.Status >= 400 }

// Sink receives one answer: the head, then the chunks in order; the last chunk is marked.
type Sink interface {
	Begin(ctx context.Context, h Head) error
	Chunk(ctx context.Context, p endpoint.Chunk) error
}

// Attempt is one run of a model or service at one endpoint.
type Attempt struct {
	// Level is the level of the cascade, from 0; 0 without a cascade.
	Level    int
	Model    string
	Version  string
	Endpoint endpoint.Endpoint
	// Load is the endpoint's load at the time of placement, as a share of its slots; it can exceed 1. RetryAllowed
	// reports that the retry budget allows another send. Only Forward sets the two.
	Load         float64
	RetryAllowed bool
	// Verdict is the decision on the answer by its model's confidence; 0 if there was none.
	Verdict cascade.Verdict
	// StrongerLatency holds the typical latencies of the cascade's strongest model.
	StrongerLatency pool.Latency
}

// Exchange is a request on its way through the chain. Only the goroutine of the request uses it.
type Exchange struct {
	// Credential is the caller's bearer key.
	Credential string
	Decoder    Decoder
	Sink       Sink
	// Arrived is when the front end received the request.
	Arrived time.Time

	Request Request
	// Account and Snapshot are set by Authenticate, Idempotent by Authorize. If a route table decides, Route sets
	// Account and Idempotent.
	Account    catalog.ClientAccount
	Snapshot   configuration.Snapshot
	Idempotent bool
	// Claim permits sending a non-idempotent request until it expires.
	Claim journal.Claim
	// Attempt is the current run.
	Attempt Attempt
	// Sent reports that a byte of the request may have reached an endpoint.
	Sent bool
	// Sends counts how often a first byte was sent to an endpoint, resumptions of a stream by Send excluded.
	Sends int
	// Relayed reports that a part of the answer was passed to Sink.
	Relayed bool
	// Buffered reports that Sink buffers the answer, so that a failed run may be retried from its first chunk.
	Buffered bool
	// Runs lists the runs for the bill: those that an endpoint did, and those sent that it may have done. Send adds
	// them.
	Runs []journal.Run
	// Routed is set if a route table decides on the request.
	Routed Routed
	// Flight is the request's entry among those in flight; Drain sets it.
	Flight *Flight
}

// Key returns the request's key in the journal.
func (x *Exchange) Key() journal.Key {
	return journal.Key{Region: x.Account.HomeRegion, Account: x.Account.Name, Request: x.Request.ID}
}

// Configurations returns the newest configuration.
type Configurations interface {
	Current(ctx context.Context) (configuration.Snapshot, error)
}

// Package filter is the chain that a request goes through, one file a filter.
// Filters work on plain structs: a front end decodes requests and encodes answers.
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

// Filter does one step of a request: it answers, fails, or calls next.
// A failure is a *result.Error.
type Filter interface {
	Handle(ctx context.Context, x *Exchange, next Next) error
}

// Next continues with the rest of the chain.
type Next func(ctx context.Context, x *Exchange) error

// Chain makes one Next of filters; the last filter's next does nothing.
func Chain(filters ...Filter) Next {
	next := Next(func(context.Context, *Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, x *Exchange) error { return f.Handle(ctx, x, rest) }
	}
	return next
}

// Kind says what a request asks for.
type Kind int

// The values of Kind.
const (
	KindChat Kind = iota + 1
	KindService
)

// Request is a caller's request in plain form.
type Request struct {
	// ID is unique within the client account; Assigned says that the entry VM made it.
	ID       string
	Assigned bool
	Session  string
	// Transient says that the entry VM made the session for this request alone.
	Transient bool
	Kind      Kind
	// Model names a model or a cascade.
	Model       string
	Service     string
	Method      string
	Path        string
	Query       string
	ContentType string
	// Fields are the other header fields that a plain service gets.
	Fields []endpoint.Field
	Body   []byte
	// Prompt is the text of a chat request.
	Prompt   string
	Deadline time.Time
}

// Decoder turns what a front end received into a Request, once the client account is known.
type Decoder interface {
	Decode(a catalog.ClientAccount) (Request, error)
}

// Head opens an answer.
type Head struct {
	RequestID   string
	Status      int
	ContentType string
	Model       string
	Version     string
	// Fields are the other header fields of a plain service's answer.
	Fields []endpoint.Field
	// Confidence is the model's own opinion of the answer, 0 to 100, where Rated is true.
	Confidence int
	Rated      bool
}

// Failed reports whether the endpoint answered with an error of its own.
func (h Head) Failed() bool { return h.Status >= 400 }

// Sink receives one answer: a head, then pieces in order, the last one marked.
type Sink interface {
	Begin(ctx context.Context, h Head) error
	Chunk(ctx context.Context, p endpoint.Chunk) error
}

// Attempt is one run of a model or service at one endpoint.
type Attempt struct {
	Level    int
	Model    string
	Version  string
	Endpoint endpoint.Endpoint
	// Load is the endpoint's load at the time of the choice; Spare says that the budget allows another send.
	Load  float64
	Spare bool
	// Ruling says what became of the answer by its own confidence; 0 where it has none.
	Ruling cascade.Ruling
	// Stronger is how long runs of the cascade's strongest model usually take.
	Stronger pool.Latency
}

// Exchange is a request on its way through the chain. Only the goroutine of the request uses it.
type Exchange struct {
	Credential string
	Decoder    Decoder
	Sink       Sink
	Arrived    time.Time

	Request    Request
	Account    catalog.ClientAccount
	Snapshot   configuration.Snapshot
	Idempotent bool
	// Claim lets a non-idempotent request be sent until it expires.
	Claim journal.Claim
	// Attempt is the run in progress.
	Attempt Attempt
	// Sent says that a byte of the request may have reached an endpoint.
	Sent bool
	// Sends counts how often a first byte went to an endpoint.
	Sends int
	// Relayed says that a piece of the answer was passed to Sink.
	Relayed bool
	// Held says that Sink keeps the answer back, so that a run that failed may be done again from its first piece.
	Held bool
	// Runs lists every run that an endpoint did for the request.
	Runs []journal.Run
	// Routed is set where a route table decides on the request.
	Routed Routed
}

// Key returns the journal's key of the request.
func (x *Exchange) Key() journal.Key {
	return journal.Key{Region: x.Account.HomeRegion, Account: x.Account.Name, Request: x.Request.ID}
}

// Configurations gives the newest configuration.
type Configurations interface {
	Current(ctx context.Context) (configuration.Snapshot, error)
}

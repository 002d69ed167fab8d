// Package journal remembers which requests may have been sent and what each cost, in logs that the platform keeps.
package journal

import (
	"time"

	"cornelmux/internal/endpoint"
)

// Key names a request.
type Key struct {
	Account string `json:"account"`
	Request string `json:"request"`
}

// Claim lets its holder send a request until it expires by the holder's own monotonic clock.
type Claim struct {
	Key   Key
	Until time.Time
}

// Valid reports whether the claim may still be used.
func (c Claim) Valid(now time.Time) bool { return now.Before(c.Until) }

// Answer is the whole answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Model       string
	Version     string
	Pieces      []endpoint.Piece
}

// Opening is what Open found: a kept answer, or a claim to run the request.
type Opening struct {
	Answer *Answer
	Claim  Claim
}

// Run is one run that an endpoint did for a request.
type Run struct {
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Service  string `json:"service,omitempty"`
	Level    int    `json:"level,omitempty"`
	Tokens   int    `json:"tokens,omitempty"`
	Endpoint string `json:"endpoint"`
}

// Bill lists what a request cost.
type Bill struct {
	Key  Key   `json:"key"`
	Runs []Run `json:"runs"`
}

// EntryKind is what an entry of the log says.
type EntryKind string

// The values of EntryKind.
const (
	EntryStarted  EntryKind = "started"
	EntryReleased EntryKind = "released"
	EntryBilled   EntryKind = "billed"
)

// Entry is one record of a partition's log.
type Entry struct {
	ID          string    `json:"id"`
	Kind        EntryKind `json:"kind"`
	Key         Key       `json:"key"`
	VM          string    `json:"vm"`
	Fingerprint uint64    `json:"fingerprint,omitempty"`
	UnixMs      int64     `json:"unix_ms"`
	Runs        []Run     `json:"runs,omitempty"`
}

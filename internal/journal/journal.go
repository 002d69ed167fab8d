// Package journal remembers which requests may have been sent and what each cost, in logs that the platform keeps.
package journal

import (
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// outageRetry is when a caller may come back that was refused because of the platform.
const outageRetry = 2 * time.Second

// Key names a request. Region is the client account's home region, which holds the request's entries.
type Key struct {
	Region  string `json:"region"`
	Account string `json:"account"`
	Request string `json:"request"`
}

// Claim lets its holder send a request until it expires by the holder's own monotonic clock.
type Claim struct {
	Key Key
	// ID is that of the entry that recorded the claim; it is empty where none was needed.
	ID    string
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
	Fields      []endpoint.Field
	Chunks      []endpoint.Chunk
}

func (a *Answer) bytes() int {
	n := len(a.ContentType) + len(a.Model) + len(a.Version)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	for _, p := range a.Chunks {
		n += len(p.Text) + len(p.Data) + pieceBytes
	}
	return n
}

// OpenResult is what Open found: a kept answer, or a claim to run the request.
type OpenResult struct {
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
	// OperatorCost marks a run whose answer the caller did not get, so that the client account doesn't pay for it.
	OperatorCost bool `json:"operator_cost,omitempty"`
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

// Entry is one record of a partition's log. Its ID is unique, so that it is appended once however often it is tried.
type Entry struct {
	ID   string    `json:"id"`
	Kind EntryKind `json:"kind"`
	Key  Key       `json:"key"`
	// Claim is the ID of the started entry that a released one takes back.
	Claim string `json:"claim,omitempty"`
	VM    string `json:"vm,omitempty"`
	// Address is where VM answers other entry VMs.
	Address     string `json:"address,omitempty"`
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	UnixMs      int64  `json:"unix_ms"`
	Runs        []Run  `json:"runs,omitempty"`
}

func (e Entry) bytes() int {
	n := entryBytes + 2*len(e.ID) + len(e.Key.Region) + len(e.Key.Account) + len(e.Key.Request) + len(e.VM) + len(e.Address)
	for _, r := range e.Runs {
		n += runBytes + len(r.Model) + len(r.Version) + len(r.Service) + len(r.Endpoint)
	}
	return n
}

// Outcome is what became of an entry: it stands in the log, or Code says why not.
type Outcome struct {
	Appended bool        `json:"appended"`
	Code     result.Code `json:"code,omitempty"`
	Detail   string      `json:"detail,omitempty"`
	// Holder is the claim that stands in the way of another one.
	Holder Holder `json:"holder,omitzero"`
	// Billed says that the request was answered whole.
	Billed bool `json:"billed,omitempty"`
	// Failed says that the log could not be written, so that the entry may or may not follow.
	Failed bool `json:"-"`
}

func (o Outcome) err() error {
	if o.Appended {
		return nil
	}
	e := result.Errorf(o.Code, "%s", o.Detail)
	if o.Failed {
		return e.WithRetryAfter(outageRetry)
	}
	return e
}

// Holder names the VM that may have sent a request.
type Holder struct {
	ID          string `json:"id"`
	VM          string `json:"vm"`
	Address     string `json:"address"`
	Fingerprint uint64 `json:"fingerprint"`
}

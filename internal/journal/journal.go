// Package journal records which requests may have been sent to endpoints and what each cost, so that a non-idempotent
// request is not sent twice within the resend window and each request is billed once.
//
// The records of a region are in append-only logs in the platform, one for each partition; a request belongs to the
// partition that its key hashes to. A log consists of a head, which VMs change by compare-and-swap, and of sealed batches,
// which don't change. The Controller owns the requests of this VM; one task for each partition writes to its log.
package journal

import (
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// outageRetry is the retry delay told to callers that are refused because the platform can't be written.
const outageRetry = 2 * time.Second

// Key identifies a request.
type Key struct {
	// Region is the client account's home region, which holds the request's entries.
	Region string `json:"region"`
	// Account is the name of the client account, Request the request ID that the caller chose.
	Account string `json:"account"`
	Request string `json:"request"`
}

// Claim is the permission to send a request until a time on the holder's own monotonic clock.
type Claim struct {
	Key Key
	// ID is the ID of the entry that recorded the claim. It is empty for idempotent requests, which are not recorded.
	ID    string
	Until time.Time
}

// Valid reports whether the claim may still be used.
func (c Claim) Valid(now time.Time) bool { return now.Before(c.Until) }

// Answer is the complete answer to a request, as it is kept for resends. Status is its HTTP status; Fields are the other
// header fields of a plain service's answer.
type Answer struct {
	Status      int
	ContentType string
	Model       string
	Version     string
	Fields      []endpoint.Field
	Chunks      []endpoint.Chunk
}

// size estimates the memory that the answer takes, in bytes. finish and evict count the kept answers with it.
func (a *Answer) size() int {
	n := len(a.ContentType) + len(a.Model) + len(a.Version)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	for _, c := range a.Chunks {
		n += len(c.Text) + len(c.Data) + chunkOverheadBytes
	}
	return n
}

// OpenResult is the result of Open: a kept answer, or a claim to run the request.
type OpenResult struct {
	Answer *Answer
	Claim  Claim
}

// Run is one execution of a request by an endpoint, of a model or of a plain service.
type Run struct {
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Service string `json:"service,omitempty"`
	// Level is the level of the cascade, from 0; 0 without a cascade.
	Level int `json:"level,omitempty"`
	// Tokens is the number of tokens of the run's answer, or 0 if unknown.
	Tokens int `json:"tokens,omitempty"`
	// Endpoint is the ID of the endpoint.
	Endpoint string `json:"endpoint"`
	// OperatorCost is set for a run whose answer the caller did not get: the operator pays for it, not the client account.
	OperatorCost bool `json:"operator_cost,omitempty"`
}

// Bill lists the runs that a request is charged for.
type Bill struct {
	Key  Key   `json:"key"`
	Runs []Run `json:"runs"`
}

// EntryKind is the kind of a log entry.
type EntryKind string

// The values of EntryKind.
const (
	// EntryStarted records a claim: the VM may have sent the request.
	EntryStarted EntryKind = "started"
	// EntryReleased takes a claim back: the VM did not send the request.
	EntryReleased EntryKind = "released"
	// EntryBilled records the runs of a request.
	EntryBilled EntryKind = "billed"
)

// Entry is one record of a partition's log.
type Entry struct {
	// ID is unique, so that retries of an append don't add the entry twice.
	ID   string    `json:"id"`
	Kind EntryKind `json:"kind"`
	Key  Key       `json:"key"`
	// Claim is the ID of the started entry that a released entry takes back.
	Claim string `json:"claim,omitempty"`
	// VM is the VM that made the entry.
	VM string `json:"vm,omitempty"`
	// Address is the address at which VM serves other entry VMs.
	Address string `json:"address,omitempty"`
	// Fingerprint identifies the request.
	Fingerprint
	// UnixMs is when the entry was made, in milliseconds of VM's wall clock.
	UnixMs int64 `json:"unix_ms"`
	Runs   []Run `json:"runs,omitempty"`
}

// size estimates the length of the entry as JSON, in bytes. The ID counts twice, since a released entry also holds the
// ID of its claim.
func (e Entry) size() int {
	n := entryOverheadBytes + 2*len(e.ID) + len(e.Key.Region) + len(e.Key.Account) + len(e.Key.Request) + len(e.VM) + len(e.Address)
	for _, r := range e.Runs {
		n += runOverheadBytes + len(r.Model) + len(r.Version) + len(r.Service) + len(r.Endpoint)
	}
	return n
}

// Outcome is the result of appending an entry.
type Outcome struct {
	// Appended reports whether the entry is in the log; if not, Code and Detail say why.
	Appended bool        `json:"appended"`
	Code     result.Code `json:"code,omitempty"`
	Detail   string      `json:"detail,omitempty"`
	// Holder is the existing claim because of which this one was refused.
	Holder Holder `json:"holder,omitzero"`
	// Billed reports that the log holds a bill of the request, which is taken to mean that it was answered completely.
	Billed bool `json:"billed,omitempty"`
	// Failed reports that the log could not be written. The entry may still be in the log, or be written later.
	Failed bool `json:"-"`
}

// err returns nil if the entry was appended, otherwise the error for the caller, with a time to retry after if the log could
// not be written. claim and Release call it.
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

// Holder is a claim that was recorded, and the VM that made it and may have sent the request.
type Holder struct {
	// ID is the ID of the started entry.
	ID      string `json:"id"`
	VM      string `json:"vm"`
	Address string `json:"address"`
	Fingerprint
}

// Fingerprint identifies a request, by which a resend is told from another request with the same ID.
type Fingerprint struct {
	// Path is a hash of the request without its query.
	Path uint64 `json:"fingerprint,omitempty"`
	// Target is one with the query. It is 0 if it isn't known, as in entries of VMs of an earlier version.
	Target uint64 `json:"target,omitempty"`
}

// matches reports whether both may be of the same request.
func (f Fingerprint) matches(other Fingerprint) bool {
	return f.Path == other.Path && (f.Target == other.Target || f.Target == 0 || other.Target == 0)
}

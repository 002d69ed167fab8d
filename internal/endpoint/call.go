package endpoint

import (
	"context"
	"errors"
	"time"
)

// Errors of a call.
var (
	// ErrNotSent reports that no byte of the call was sent.
	ErrNotSent = errors.New("call not sent")
	// ErrBroken reports that the call was sent, and its answer ended early, stalled or belongs to another run.
	ErrBroken = errors.New("answer broken")
	// ErrWithinEvent reports, beside ErrBroken, that the answer ended in the middle of an event.
	ErrWithinEvent = errors.New("answer ended within an event")
	// ErrConnectionLost reports, beside ErrBroken, that the connection ended, in order or by a reset, before the answer was complete.
	ErrConnectionLost = errors.New("connection lost")
	// ErrUnknownRun reports that the endpoint does not know the run that a call resumes.
	ErrUnknownRun = errors.New("run unknown to the endpoint")
	// ErrConnectionRefused reports that nothing listens on the endpoint's address.
	ErrConnectionRefused = errors.New("connection refused by endpoint")
	// ErrReplaced reports that another endpoint answers on the address. It did not run the call.
	ErrReplaced = errors.New("another endpoint answers on the address")
	// ErrMisdirected reports that whoever answers on the address doesn't take such calls, and didn't run this one. It doesn't say
	// whether the call or the address is at fault.
	ErrMisdirected = errors.New("such calls aren't taken on the address")
	// ErrNoMemory reports that this VM has no memory for the answer. The endpoint isn't at fault.
	ErrNoMemory = errors.New("no memory for the answer")
)

// Memory accounts for what is held of one answer.
type Memory interface {
	// Reserve waits until n bytes in all may be held, which is no less than before. It fails with ErrNoMemory if there is none in time.
	Reserve(ctx context.Context, n int64) error
}

// SendCheck is called right before the first byte of a call is sent. An error prevents the send.
type SendCheck func() error

// Field is a header field of a request to a plain service, or of its answer.
type Field struct {
	Name  string
	Value string
}

// Call is one run at an endpoint, independent of the protocol.
type Call struct {
	// RunID identifies one run of a request at endpoints. Every send of the run has the same, retries included, and a
	// resumed stream continues it.
	RunID string
	// Chat is set for a chat completion at a model engine. Any other call is passed on as the caller sent it.
	Chat       bool
	Idempotent bool
	Model      string
	Version    string
	// Method, Path, ContentType and Fields are those of the caller's request; a chat completion does not use them.
	Method      string
	Path        string
	ContentType string
	Fields      []Field
	Body        []byte
	// Priority is that of the client account, a greater number first. Only a chat completion carries it.
	Priority int
	// Resume asks for the rest of a run, starting at chunk Offset. The endpoint refuses it if it does not know the run.
	Resume bool
	Offset int
	RouteOptions
}

// RouteOptions holds the fields that only calls of routed requests have.
type RouteOptions struct {
	// Host is the host that the caller addressed.
	Host string
	// Account is the name of the client account, or "" for a request without an API key.
	Account string
	// Deadline is when the endpoint stops working on the run; zero sets none.
	Deadline time.Time
	// Urgency orders calls at a model engine, 0 first, unlike Priority; a negative value leaves it unset.
	Urgency int
	// LastEventID is the last event that the caller has; the answer continues after it.
	LastEventID string
	// EventStream says that the answer is a stream of events.
	EventStream bool
	// Memory accounts for the answer; nil counts nothing.
	Memory Memory
}

// Head is the start of an answer: its status and header fields.
type Head struct {
	Status      int
	ContentType string
	Fields      []Field
	// Confidence is the model's confidence in its own answer, 0 to 100. It is valid only if HasConfidence is set.
	Confidence    int
	HasConfidence bool
	Notice        Notice
}

// Fragment is a chunk as it arrived, possibly out of order or twice.
type Fragment struct {
	RunID string
	// Offset is the number of chunks of the run before this one.
	Offset int
	Chunk  Chunk
}

// Chunk is one part of an answer. Data is passed on unchanged; Text is the text in it, if it is known.
type Chunk struct {
	Text string
	Data []byte
	// Tokens is the total of tokens that the endpoint reported for the run; only the last chunk has it.
	Tokens int
	Last   bool
	// Event is the ID of the last complete event in Data, or "".
	Event string
}

// Stream returns the fragments of an answer. Next fails with ErrBroken, or with io.EOF after the last fragment.
type Stream interface {
	Head() Head
	Next() (Fragment, error)
	Close()
}

// Outcome says how a call ended.
type Outcome struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Incarnation is that of the endpoint when the call was sent.
	Incarnation uint64
	// Failed says that the endpoint failed; a refusal or a passed deadline is no failure.
	Failed bool
	// ConnectionLost says that the connection broke after the send, as it does when the endpoint crashes.
	ConnectionLost bool
	// Fingerprints identify the request, to count the crashes that it causes.
	Fingerprints Fingerprints
}

// crashes returns the crash that the outcome shows once the endpoint is known to have restarted.
func (o Outcome) crashes() []Crash {
	if !o.ConnectionLost {
		return nil
	}
	return []Crash{newCrash(o.Fingerprints, o.Endpoint, o.Incarnation)}
}

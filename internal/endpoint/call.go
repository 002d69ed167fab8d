package endpoint

import (
	"errors"
	"time"
)

// Errors of a call.
var (
	// ErrNotSent reports that no byte of the call left.
	ErrNotSent = errors.New("not sent")
	// ErrBroken reports that the call was sent and its answer ended early, went silent or belongs to another run.
	ErrBroken = errors.New("answer broken")
	// ErrUnknownRun reports that the endpoint doesn't know the run that a call resumes.
	ErrUnknownRun = errors.New("run unknown to the endpoint")
	// ErrDown reports that nothing listens at the endpoint's address.
	ErrDown = errors.New("endpoint down")
	// ErrReplaced reports that another endpoint has the address; it didn't run the call.
	ErrReplaced = errors.New("another endpoint has the address")
)

// SendCheck is asked immediately before the first byte of a call.
type SendCheck func() error

// Field is a header field of a call to a plain service or of its answer.
type Field struct {
	Name  string
	Value string
}

// Call is one run at an endpoint, in plain form.
type Call struct {
	// RunID names the run, so that a resumed stream continues it.
	RunID       string
	Chat        bool
	Idempotent  bool
	Model       string
	Version     string
	Method      string
	Path        string
	ContentType string
	Fields      []Field
	Body        []byte
	Priority    int
	// Resume asks for the rest of a run from Offset; the endpoint refuses it if it doesn't know the run.
	Resume bool
	Offset int
	RouteOptions
}

// RouteOptions holds what a call of a routed request has besides.
type RouteOptions struct {
	// Host is the one that the caller named.
	Host string
	// Account is the client account's name; "" for requests without a key.
	Account string
	// Deadline ends the work at the endpoint; 0 sets none.
	Deadline time.Time
	// Urgency ranks the call at a model engine, 0 first; negative sets none.
	Urgency int
	// LastEventID is the last event that the caller has; the answer goes on behind it.
	LastEventID string
	// EventStream says that the answer is a stream of events.
	EventStream bool
}

// Head opens the answer of an endpoint.
type Head struct {
	Status      int
	ContentType string
	Fields      []Field
	// Confidence is a model's own opinion of its answer, 0 to 100, where Rated is true.
	Confidence    int
	HasConfidence bool
}

// Fragment is one part of an answer as it arrived, perhaps out of order or twice.
type Fragment struct {
	RunID  string
	Offset int
	Chunk  Chunk
}

// Chunk is one part of an answer in order. Data is passed on as it is; Text is the text in it.
type Chunk struct {
	Text string
	Data []byte
	// Tokens counts the whole answer's tokens; it stands in the last piece.
	Tokens int
	Last   bool
	// Event is the ID of the last whole event in Data; "" where there is none.
	Event string
}

// Stream gives the fragments of an answer. Next fails with ErrBroken, or io.EOF after the last one.
type Stream interface {
	Head() Head
	Next() (Fragment, error)
	Close()
}

// Outcome tells how a call ended.
type Outcome struct {
	Endpoint string
	// Incarnation is the endpoint's at the time of the send.
	Incarnation uint64
	Failed      bool
	// ConnectionLost says that the connection was lost after the send, as a crash would show.
	ConnectionLost bool
	Fingerprint    uint64
}

func (o Outcome) crashes() []Crash {
	if !o.ConnectionLost {
		return nil
	}
	return []Crash{newCrash(o.Fingerprint, o.Endpoint, o.Incarnation)}
}

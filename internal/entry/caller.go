// Package entry is the entry VM. It connects filters and controllers, and serves callers, operators and other VMs.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/drain"
	"cornelmux/internal/filter"
	"cornelmux/pkg/result"
)

const (
	// Header fields of answers: the request ID, the session, and the model version that answered, as model/version.
	headerRequestID = "X-Request-Id"
	headerSession   = "X-Session-Id"
	headerVersion   = "X-Cornelmux-Version"

	// bodyMemoryTimeout is how long a body waits for its memory, at most one of bodyPatienceParts of a request's time.
	bodyMemoryTimeout      = 3 * time.Second
	bodyMemoryTimeoutParts = 3
	// defaultRetryAfter is the Retry-After of an overload response whose error has no time of its own.
	defaultRetryAfter = time.Second
)

// callerHandler is the HTTP front end for callers: it decodes requests, runs the filter chain and encodes answers.
type callerHandler struct {
	chain filter.Next
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes int
	// timeout is how long a request may take from its arrival.
	timeout time.Duration
	// newRoom returns the memory for the body of a request, which waits so long for it.
	newRoom func(timeout time.Duration) room
	log     logr.Logger
}

// ServeHTTP implements http.Handler. It logs each failed request.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	decoder := &decoder{
		w: w, r: r, maxBodyBytes: c.maxBodyBytes, deadline: arrived.Add(c.timeout), room: c.newRoom(min(bodyMemoryTimeout, c.timeout/bodyMemoryTimeoutParts)),
	}
	defer decoder.room.Release()
	sink := &sink{w: w, decoder: decoder}
	x := &filter.Exchange{Credential: bearer(r), Decoder: decoder, Sink: sink, Arrived: arrived}
	err := c.chain(r.Context(), x)
	if err == nil && sink.joinErr != nil {
		err = sink.joinErr
	}
	if err != nil {
		e := result.From(err)
		c.log.Info("request refused", "account", x.Account.Name, "request_id", x.Request.ID,
			"revision", x.Snapshot.Revision, "code", int(e.Code), "run", e.Run, "detail", e.Detail)
		sink.fail(e)
	}
}

// bearer returns the request's bearer key, or "" if it has none.
func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// failure is the JSON body of an error response, and the data of an error event in a stream.
type failure struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Run     result.Run  `json:"run"`
	Message string      `json:"message"`
}

func newFailure(e *result.Error) failure {
	return failure{failureBody{Code: e.Code, Name: result.Describe(e.Code).Name, Run: e.Run, Message: e.Detail}}
}

// writeError writes an error response, with Retry-After if the error says when to retry or is a shortage.
func writeError(w http.ResponseWriter, e *result.Error) {
	status := result.Describe(e.Code).Status
	if wait := retryAfter(e, status); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newFailure(e)) // fails only if the caller has disconnected
}

// retryAfter returns the time after which the caller may retry, or 0 for none. Every shortage (codes 3xxx) has one.
func retryAfter(e *result.Error, status int) time.Duration {
	overloaded := e.Code/1000 == 3 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
	if e.RetryAfter == 0 && overloaded {
		return defaultRetryAfter
	}
	return e.RetryAfter
}

// syncer reports whether this VM has the sessions of the other VMs.
type syncer interface {
	Synced(ctx context.Context) (bool, error)
}

// drainState says whether the VM is leaving, and how many requests are in flight.
type drainState interface {
	State(ctx context.Context) (drain.State, error)
}

// health returns the handler of the load balancer's check: 200 while the VM takes requests. Before that, the configuration
// or the sessions of other VMs are missing; after that, the VM is shutting down. callersHandler uses it.
func health(d drainState, configurations filter.Configurations, sessions syncer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		defer cancel()
		s, err := configurations.Current(ctx)
		state, stateErr := d.State(ctx)
		synced, syncErr := sessions.Synced(ctx)
		switch {
		case err != nil || stateErr != nil || s.Revision == 0:
			writeError(w, result.Errorf(result.NotReady, "no configuration yet"))
		case state.Leaving:
			writeError(w, result.Errorf(result.Leaving, "%d requests in flight", state.InFlight))
		case syncErr != nil || !synced:
			writeError(w, result.Errorf(result.NotReady, "sessions of other VMs are not known yet"))
		default:
			_, _ = io.WriteString(w, "ready\n") // fails only if the load balancer has disconnected
		}
	}
}

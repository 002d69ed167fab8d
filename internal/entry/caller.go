// Package entry is the entry VM: its front ends, and the wiring of filters and controllers.
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

	"cornelmux/internal/filter"
	"cornelmux/pkg/result"
)

const (
	headerRequestID = "X-Request-Id"
	headerSession   = "X-Session-Id"
	headerVersion   = "X-Cornelmux-Version"

	// defaultRetryAfter is what a refusal says that names no wait of its own.
	defaultRetryAfter = time.Second
)

// callers is the HTTP front end for callers: it decodes requests, runs the chain and encodes answers.
type callers struct {
	chain     filter.Next
	bodyBytes int
	timeout   time.Duration
	log       logr.Logger
}

// ServeHTTP implements http.Handler.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	decoder := &decoder{w: w, r: r, bodyBytes: c.bodyBytes, deadline: arrived.Add(c.timeout)}
	sink := &sink{w: w, decoder: decoder}
	x := &filter.Exchange{Credential: bearer(r), Decoder: decoder, Sink: sink, Arrived: arrived}
	err := c.chain(r.Context(), x)
	if err == nil && sink.broken != nil {
		err = sink.broken
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

// failure is the body of a refusal or failure.
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

func writeError(w http.ResponseWriter, e *result.Error) {
	status := result.Describe(e.Code).Status
	if wait := retryAfter(e, status); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newFailure(e)) // the caller is gone if this fails
}

// retryAfter is how long the caller is asked to wait, which every shortage says.
func retryAfter(e *result.Error, status int) time.Duration {
	shortage := e.Code/1000 == 3 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
	if e.RetryAfter == 0 && shortage {
		return defaultRetryAfter
	}
	return e.RetryAfter
}

// health answers the balancer: 200 while the VM takes requests.
func health(d *drain, configurations filter.Configurations) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		defer cancel()
		s, err := configurations.Current(ctx)
		state, stateErr := d.state(ctx)
		switch {
		case err != nil || stateErr != nil || s.Revision == 0:
			writeError(w, result.Errorf(result.NotReady, "no configuration yet"))
		case state.leaving:
			writeError(w, result.Errorf(result.Leaving, "%d requests in flight", state.inFlight))
		default:
			_, _ = io.WriteString(w, "ready\n") // the balancer is gone if this fails
		}
	}
}

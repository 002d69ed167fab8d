// Package entry is the entry VM: its front ends, and the wiring of filters and controllers.
package entry

import (
	"context"
	"encoding/json"
	"errors"
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(c.bodyBytes)))
	if err != nil {
		writeError(w, bodyError(err, c.bodyBytes))
		return
	}
	decoder := &decoder{r: r, body: body, deadline: arrived.Add(c.timeout)}
	sink := &sink{w: w, decoder: decoder}
	x := &filter.Exchange{Credential: bearer(r), Decoder: decoder, Sink: sink, Arrived: arrived}
	if err := c.chain(r.Context(), x); err != nil {
		e := result.From(err)
		c.log.Info("request refused", "account", x.Account.Name, "request_id", x.Request.ID,
			"revision", x.Snapshot.Revision, "code", int(e.Code), "run", e.Run, "detail", e.Detail)
		sink.fail(e)
	}
}

func bodyError(err error, limit int) *result.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.TooLarge, "over %d bytes", limit)
	}
	return result.Errorf(result.BadRequest, "body: %v", err)
}

func bearer(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
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
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.Describe(e.Code).Status)
	_ = json.NewEncoder(w).Encode(newFailure(e)) // the caller is gone if this fails
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

package endpoint

import (
	"net/http"
	"strings"
	"time"
)

// Verdict says what the status of an answer means for its run.
type Verdict int

// The values of Verdict.
const (
	// VerdictEvents is a stream of chat events.
	VerdictEvents Verdict = iota + 1
	// VerdictWhole is an answer that is passed on as it is.
	VerdictWhole
	// VerdictRefused says that the endpoint didn't run the call.
	VerdictRefused
	// VerdictUnknownRun says that the endpoint doesn't know the run to resume.
	VerdictUnknownRun
	// VerdictBroken leaves open what the endpoint did.
	VerdictBroken
)

// Judge decides what a status means. Model engines say truthfully by 429 and 503 that a call didn't run. A plain
// service may have run a call whatever its status, so a call that may not be repeated takes any status as its answer.
func Judge(call Call, status int, contentType string) Verdict {
	busy := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	switch {
	case call.Resume && busy:
		return VerdictBroken
	case call.Resume && status != http.StatusOK:
		return VerdictUnknownRun
	case !call.Chat && call.Idempotent && status >= http.StatusInternalServerError:
		return VerdictBroken
	case !call.Chat:
		return VerdictWhole
	case status == http.StatusOK && strings.HasPrefix(contentType, eventStream):
		return VerdictEvents
	case busy:
		return VerdictRefused
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout:
		return VerdictWhole
	default:
		return VerdictBroken
	}
}

// RefusedError is a refusal of the endpoint, which didn't run the call.
type RefusedError struct {
	Status     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused with status " + http.StatusText(e.Status) }

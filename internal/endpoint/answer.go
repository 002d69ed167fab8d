package endpoint

import (
	"net/http"
	"strings"
	"time"
)

// AnswerClass says what the head of an answer means for its call.
type AnswerClass int

// The values of AnswerClass.
const (
	// ClassEvents is a stream of chat events.
	ClassEvents AnswerClass = iota + 1
	// ClassPassThrough is an answer that the caller gets unchanged.
	ClassPassThrough
	// ClassRefused means that the endpoint did not run the call.
	ClassRefused
	// ClassUnknownRun means that the endpoint does not know the run to resume.
	ClassUnknownRun
	// ClassBroken means that the call may or may not have run.
	ClassBroken
)

// ClassifyAnswer classifies an answer by its status and content type. A status of 429 or 503 from a model engine means
// that the call did not run. A plain service may have run a call whatever its status, so any status is the final answer
// to a non-idempotent call; one below 200 is no answer. httpStream.checkHead calls it for each answer.
func ClassifyAnswer(call Call, status int, contentType string) AnswerClass {
	busy := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	switch {
	case status < http.StatusOK:
		return ClassBroken
	case call.Resume && busy:
		return ClassBroken
	case call.Resume && status != http.StatusOK:
		return ClassUnknownRun
	case !call.Chat && call.Idempotent && status >= http.StatusInternalServerError:
		return ClassBroken
	case !call.Chat:
		return ClassPassThrough
	case status == http.StatusOK && strings.HasPrefix(contentType, eventStreamType):
		return ClassEvents
	case busy:
		return ClassRefused
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout:
		return ClassPassThrough
	default:
		return ClassBroken
	}
}

// RefusedError reports that the endpoint refused the call and did not run it.
type RefusedError struct {
	Status int
	// RetryAfter is the delay that the endpoint asked for, or 0.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "endpoint refused the call: " + http.StatusText(e.Status)
}

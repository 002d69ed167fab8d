// Package result defines the numbered result codes that callers and operators see.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is the number of a result; docs/RESULT_CODES.md lists all.
type Code int

// Run is the run state of a request: whether an endpoint did its work. It tells callers whether they may send the
// request again.
type Run string

// The values of Run.
const (
	// NotRun means that no endpoint ran the request.
	NotRun Run = "not_run"
	// Unknown means that an endpoint may have run it.
	Unknown Run = "unknown"
	// Ran means that an endpoint ran it.
	Ran Run = "ran"
)

// The result codes: 1xxx are faults of the request, 2xxx refusals by policy, 3xxx shortages, 4xxx failures after a
// send, 5xxx failures of configuration changes, 9xxx faults of the system.
const (
	OK                 Code = 0
	BadRequest         Code = 1001
	TooLarge           Code = 1002
	NoSuchRoute        Code = 1003
	RequestIDReused    Code = 1004
	ModelNotServed     Code = 1005
	BadKey             Code = 2001
	ModelNotAllowed    Code = 2002
	VersionNotAllowed  Code = 2003
	ServiceNotAllowed  Code = 2004
	VersionWithdrawn   Code = 2005
	RequestQuarantined Code = 2006
	NoHome             Code = 2007
	LimitReached       Code = 3001
	QueueFull          Code = 3002
	NoEndpoint         Code = 3003
	JournalUnavailable Code = 3004
	NotReady           Code = 3005
	Leaving            Code = 3006
	DeadlinePassed     Code = 3007
	BillsFull          Code = 3008
	QualityNotMet      Code = 3009
	NoMemory           Code = 3010
	EndpointFailed     Code = 4001
	OutcomeUnknown     Code = 4002
	AnswerBroken       Code = 4003
	AnswerGone         Code = 4004
	BadConfiguration   Code = 5001
	Conflict           Code = 5002
	PlatformDown       Code = 5003
	ChangeUnknown      Code = 5004
	BadOperatorKey     Code = 5005
	Internal           Code = 9001
)

// Entry describes one code: its name in snake case, its HTTP status, and the run state that it reports unless an error
// overrides it. Meaning is the sentence on the page of the codes.
type Entry struct {
	Code    Code
	Name    string
	Status  int
	Run     Run
	Meaning string
}

// Table lists every code in numeric order. Describe relies on Internal being the last.
var Table = []Entry{
	{OK, "ok", http.StatusOK, Ran, "The request was answered."},
	{BadRequest, "bad_request", http.StatusBadRequest, NotRun, "The request can't be read; the detail names the field."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, NotRun, "The body is over the limit in the settings."},
	{NoSuchRoute, "no_such_route", http.StatusNotFound, NotRun, "No model interface or service has this path."},
	{RequestIDReused, "request_id_reused", http.StatusUnprocessableEntity, NotRun, "The request ID was used with another query or body."},
	{ModelNotServed, "model_not_served", http.StatusMisdirectedRequest, NotRun, "The route, or each endpoint that was asked, doesn't offer the model that the caller names."},
	{BadKey, "bad_key", http.StatusUnauthorized, NotRun, "No client account has this key."},
	{ModelNotAllowed, "model_not_allowed", http.StatusForbidden, NotRun, "The client account may not use this model or cascade."},
	{VersionNotAllowed, "version_not_allowed", http.StatusForbidden, NotRun, "The client account may use no version of this model that is in service."},
	{ServiceNotAllowed, "service_not_allowed", http.StatusForbidden, NotRun, "The client account may not use this service or route."},
	{VersionWithdrawn, "version_withdrawn", http.StatusServiceUnavailable, NotRun, "The version was withdrawn and no other is allowed."},
	{RequestQuarantined, "request_quarantined", http.StatusUnprocessableEntity, NotRun, "The request, or a block of its prompt, crashed endpoints before and is refused for a while."},
	{NoHome, "no_home", http.StatusServiceUnavailable, NotRun, "No endpoint is in a region in which the route and the client account both let the request be served; the detail names the regions."},
	{LimitReached, "limit_reached", http.StatusTooManyRequests, NotRun, "The client account's limit is reached; Retry-After says when to come back."},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, NotRun, "The queue for the model is full; Retry-After says when to come back."},
	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, NotRun, "No endpoint in reach serves the version."},
	{JournalUnavailable, "journal_unavailable", http.StatusServiceUnavailable, NotRun, "A non-idempotent request can't be recorded, so it was not sent."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, NotRun, "The VM has no configuration yet."},
	{Leaving, "leaving", http.StatusServiceUnavailable, NotRun, "The VM is shutting down; another VM answers."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, NotRun, "The deadline passed before the request was sent."},
	{BillsFull, "bills_full", http.StatusServiceUnavailable, NotRun, "Too many bills wait for the platform."},
	{QualityNotMet, "quality_not_met", http.StatusBadGateway, Ran, "No level of the cascade reached the quality target."},
	{NoMemory, "no_memory", http.StatusBadGateway, Unknown, "An endpoint ran the request, and the VM has no memory for the answer."},
	{EndpointFailed, "endpoint_failed", http.StatusBadGateway, Unknown, "Every attempt failed after a byte was sent; the request is idempotent and may be sent again."},
	{OutcomeUnknown, "outcome_unknown", http.StatusGatewayTimeout, Unknown, "A non-idempotent request was sent and its answer is lost; it is never sent again."},
	{AnswerBroken, "answer_broken", http.StatusBadGateway, Unknown, "The endpoint's answer ended early or belongs to another request."},
	{AnswerGone, "answer_gone", http.StatusGone, Ran, "The request ran and was answered; the answer is no longer kept."},
	{BadConfiguration, "bad_configuration", http.StatusBadRequest, NotRun, "The configuration or change is invalid; the detail lists every error."},
	{Conflict, "conflict", http.StatusConflict, NotRun, "Another change of the same object came first; the detail names it."},
	{PlatformDown, "platform_down", http.StatusServiceUnavailable, NotRun, "The platform can't be reached; the change was not accepted."},
	{ChangeUnknown, "change_unknown", http.StatusGatewayTimeout, Unknown, "The platform's answer is lost; submit again with the same change ID."},
	{BadOperatorKey, "bad_operator_key", http.StatusUnauthorized, NotRun, "The operator key is wrong."},
	{Internal, "internal", http.StatusInternalServerError, Unknown, "A fault of the system itself; the log has the cause."},
}

// Describe returns the entry for c, or that of Internal if there is none.
func Describe(c Code) Entry {
	last := Table[len(Table)-1]
	for _, e := range Table {
		if e.Code == c {
			return e
		}
	}
	return last
}

// Error is a refusal or failure as the caller sees it.
type Error struct {
	Code   Code
	Run    Run
	Detail string
	// RetryAfter is how long the caller should wait before a retry; 0 means no advice.
	RetryAfter time.Duration
}

// Errorf returns an Error with the code's default run state, without advice on when to retry.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: Describe(c).Run, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, Describe(e.Code).Name, e.Detail)
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error in err's chain, or wraps err as Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Errorf(Internal, "%v", err)
}

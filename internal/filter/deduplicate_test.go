package filter

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/journal"
	"cornelmux/pkg/result"
)

// TestCallerError guards against wrong run states: callers resend a request that is reported as not run.
func TestCallerError(t *testing.T) {
	rows := []struct {
		name       string
		idempotent bool
		sent       bool
		code       result.Code
		want       result.Code
		run        result.Run
	}{
		{"refused before the send", false, false, result.NoEndpoint, result.NoEndpoint, result.NotRun},
		{"failed before the send", false, false, result.EndpointFailed, result.EndpointFailed, result.NotRun},
		{"failed after the send", false, true, result.EndpointFailed, result.OutcomeUnknown, result.Unknown},
		{"refused after the send", false, true, result.DeadlinePassed, result.OutcomeUnknown, result.Unknown},
		{"idempotent, refused before the send", true, false, result.QueueFull, result.QueueFull, result.NotRun},
		{"idempotent, failed after the send", true, true, result.EndpointFailed, result.EndpointFailed, result.Unknown},
		{"idempotent, refused after a failed attempt", true, true, result.NoEndpoint, result.NoEndpoint, result.Unknown},
		{"idempotent, no level met the target", true, true, result.QualityNotMet, result.QualityNotMet, result.Ran},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			e := CallerError(row.idempotent, row.sent, result.Errorf(row.code, "x"))
			qt.Assert(t, e.Code, qt.Equals, row.want)
			qt.Assert(t, e.Run, qt.Equals, row.run)
		})
	}
}

// TestAssignCosts checks that the client account pays only for the answer that its caller got.
func TestAssignCosts(t *testing.T) {
	runs := []journal.Run{{Level: 0}, {Level: 1, OperatorCost: true}, {Level: 1}}
	rows := []struct {
		name     string
		answered *Attempt
		want     []bool
	}{
		{"answered by the second level", &Attempt{Level: 1}, []bool{true, true, false}},
		{"answered by the first level", &Attempt{Level: 0}, []bool{false, true, true}},
		{"not answered", nil, []bool{true, true, true}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			for i, r := range AssignCosts(runs, row.answered) {
				qt.Check(t, r.OperatorCost, qt.Equals, row.want[i])
			}
		})
	}
}

// openRecorder is a Journal that notes the fingerprints of the requests, and opens none.
type openRecorder struct {
	Journal
	fingerprints []journal.Fingerprint
}

func (j *openRecorder) Open(_ context.Context, _ journal.Key, _ bool, f journal.Fingerprint) (journal.OpenResult, error) {
	j.fingerprints = append(j.fingerprints, f)
	return journal.OpenResult{}, errRecorded
}

var errRecorded = errors.New("recorded")

// TestRequestWithAnotherQueryIsNoResend guards against a caller that gets the answer to another request, which had the same request ID and
// differed by its query alone.
func TestRequestWithAnotherQueryIsNoResend(t *testing.T) {
	tests := []struct {
		name          string
		first, second Request
		resend        bool
	}{
		{"same", Request{Path: "/look", Query: "item=5"}, Request{Path: "/look", Query: "item=5"}, true},
		{"another query", Request{Path: "/look", Query: "item=5"}, Request{Path: "/look", Query: "item=6"}, false},
		{"no query", Request{Path: "/look", Query: "item=5"}, Request{Path: "/look"}, false},
		{"another body", Request{Path: "/look", Body: []byte("a")}, Request{Path: "/look", Body: []byte("b")}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := &openRecorder{}
			for _, r := range []Request{test.first, test.second} {
				err := Deduplicate{Journal: j}.Handle(t.Context(), &Exchange{Request: r}, nil)
				qt.Assert(t, err, qt.ErrorIs, errRecorded)
			}
			qt.Check(t, j.fingerprints[0] == j.fingerprints[1], qt.Equals, test.resend)
		})
	}
}

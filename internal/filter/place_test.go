package filter

import (
	"context"
	"flag"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// fixSeed makes rapid check the same cases in each run.
func fixSeed(c *qt.C) {
	for _, f := range []struct{ name, value string }{{"seed", "20261204"}, {"checks", "2000"}, {"nofailfile", "true"}} {
		c.Assert(flag.Set("rapid."+f.name, f.value), qt.IsNil)
	}
}

// endpointList places requests on its endpoints in order and counts those in flight.
type endpointList struct {
	ids      []string
	inFlight int
	outcomes []endpoint.Outcome
}

func (f *endpointList) Choose(_ context.Context, q endpoint.Query) (endpoint.Endpoint, error) {
	i := slices.IndexFunc(f.ids, func(id string) bool { return !slices.Contains(q.Exclude, id) })
	if i < 0 {
		return endpoint.Endpoint{}, result.Errorf(result.NoEndpoint, "none")
	}
	f.inFlight++
	return endpoint.Endpoint{ID: f.ids[i]}, nil
}

func (f *endpointList) Done(_ context.Context, o endpoint.Outcome) error {
	f.inFlight--
	f.outcomes = append(f.outcomes, o)
	return nil
}

// sendEnd is one way in which a simulated send ends.
type sendEnd struct {
	name    string
	err     *result.Error
	sent    bool
	relayed bool
}

var sendEnds = []sendEnd{
	{name: "answered", sent: true, relayed: true},
	{name: "not connected", err: notRun(result.Errorf(result.EndpointFailed, ""))},
	{name: "refused", err: result.Errorf(result.QueueFull, "")},
	{name: "lost", err: result.Errorf(result.EndpointFailed, ""), sent: true},
	{name: "broken", err: result.Errorf(result.AnswerBroken, ""), sent: true, relayed: true},
	{name: "withdrawn", err: result.Errorf(result.VersionWithdrawn, "")},
	{name: "deadline", err: result.Errorf(result.DeadlinePassed, ""), sent: true},
}

// TestPlaceNeverRetriesAfterASendUnlessIdempotent ends sends at random. It guards against non-idempotent requests sent
// twice, a retry after a part of the answer was passed on, endpoints that are never released, and a request that
// crashes one endpoint after another.
func TestPlaceNeverRetriesAfterASendUnlessIdempotent(t *testing.T) {
	fixSeed(qt.New(t))
	rapid.Check(t, func(t *rapid.T) {
		e := &endpointList{ids: []string{"e1", "e2", "e3", "e4"}}
		x := &Exchange{Idempotent: rapid.Bool().Draw(t, "idempotent"), Request: Request{Kind: KindChat}}
		var used []string
		sent, lost := 0, 0
		next := func(_ context.Context, x *Exchange) error {
			if x.Relayed {
				t.Fatalf("sent again after a chunk of the answer was passed on")
			}
			used = append(used, x.Attempt.Endpoint.ID)
			end := rapid.SampledFrom(sendEnds).Draw(t, "end")
			x.Sent, x.Relayed = x.Sent || end.sent, end.relayed
			if end.sent {
				sent++
			}
			if end.name == "lost" {
				lost++
			}
			if end.err == nil {
				return nil
			}
			return end.err
		}
		err := Place{Endpoints: e, MaxAttempts: 4}.Handle(context.Background(), x, next)
		if !x.Idempotent && sent > 1 {
			t.Fatalf("sent %d times", sent)
		}
		if lost > maxLostEndpoints {
			t.Fatalf("%d endpoints lost", lost)
		}
		if e.inFlight != 0 || len(e.outcomes) != len(used) {
			t.Fatalf("%d in flight after %d sends, %d ended", e.inFlight, len(used), len(e.outcomes))
		}
		if len(slices.Compact(slices.Sorted(slices.Values(used)))) != len(used) {
			t.Fatalf("an endpoint was tried twice: %v", used)
		}
		if err != nil && sent > 0 && result.From(err).Run == result.NotRun {
			t.Fatalf("%v says not_run after a send", err)
		}
	})
}

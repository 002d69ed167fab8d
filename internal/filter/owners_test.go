package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/pool"
	"cornelmux/internal/quarantine"
	"cornelmux/internal/shift"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// heldRoutes, heldCheck, heldShifts and heldPool never reply.
type heldRoutes struct{}

func (heldRoutes) Current(ctx context.Context) (*routing.Table, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

type heldCheck struct{ noQuarantine }

func (heldCheck) Check(ctx context.Context, _ quarantine.Query) error {
	<-ctx.Done()
	return result.Errorf(result.DeadlinePassed, "%v", ctx.Err())
}

type heldShifts struct{ noShift }

func (heldShifts) Bind(ctx context.Context, _, _ string) (shift.Binding, error) {
	<-ctx.Done()
	return shift.Binding{}, ctx.Err()
}

type heldPool struct{ *fakePool }

func (heldPool) Choose(ctx context.Context, _ pool.Query) (pool.Placement, error) {
	<-ctx.Done()
	return pool.Placement{}, result.Errorf(result.DeadlinePassed, "%v", ctx.Err())
}

// TestRefusalReachesTheCallerWhileAnOwnerIsHeldUp checks when a request gives up an owner of state that doesn't reply, and with which
// error: early enough that its caller hears of it.
func TestRefusalReachesTheCallerWhileAnOwnerIsHeldUp(t *testing.T) {
	fixed := slowRoutes{}
	owners := []struct {
		name   string
		routes Routes
		check  Quarantines
		shifts Shifts
		pool   Pool
	}{
		{"routes", heldRoutes{}, noQuarantine{}, noShift{}, &fakePool{}},
		{"quarantine", nil, heldCheck{}, noShift{}, &fakePool{}},
		{"shifts", nil, noQuarantine{}, heldShifts{}, &fakePool{}},
		{"pool", nil, noQuarantine{}, noShift{}, heldPool{&fakePool{}}},
	}
	tests := []struct {
		name string
		// caller and route are the timeouts of both.
		caller, route time.Duration
		// after is the time after which the request has failed; that of one without the route is for a request whose route isn't known.
		after, withoutRoute time.Duration
	}{
		{"short timeout of the caller", 400 * time.Millisecond, 0, 380 * time.Millisecond, 380 * time.Millisecond},
		{"long timeout of the caller", 4 * time.Second, 5 * time.Second, 3975 * time.Millisecond, 3975 * time.Millisecond},
		{"shorter timeout of the route", 4 * time.Second, 2 * time.Second, 2 * time.Second, 3975 * time.Millisecond},
		{"timeout of the route only", 0, 2 * time.Second, 2 * time.Second, ownerTimeout},
	}
	for _, owner := range owners {
		for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindNonIdempotent, routing.KindStream} {
			for _, test := range tests {
				t.Run(owner.name+"/"+kind.String()+"/"+test.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						x, _ := routedExchange(kind)
						route := x.Routed.Route
						route.Host, route.PathPrefix, route.Timeout, route.Targets = "h", "/", test.route, []routing.Target{{Service: "s", Weight: 1}}
						fixed.table = (&routing.Table{Version: 1, Routes: []routing.Route{*route}}).Index()
						x.Routed.Host, x.Request.Path, x.Routed.Body, x.Routed.CallerTimeout = "h", "/", emptyBody{}, test.caller
						routes, want := owner.routes, test.after
						if routes == nil {
							routes = fixed
						} else {
							want = test.withoutRoute
						}
						loaded := make(chan struct{})
						close(loaded)
						err := Chain(
							Route{routes, loaded, func() float64 { return 0 }}, Quarantine{owner.check},
							Forward{owner.pool, owner.shifts, &scriptedSender{}, noQuarantine{}, nil, nil},
						)(t.Context(), x)
						qt.Assert(t, err, qt.IsNotNil)
						qt.Check(t, result.From(err).Code, qt.Equals, result.DeadlinePassed)
						qt.Check(t, result.From(err).Run, qt.Equals, result.NotRun)
						qt.Check(t, time.Since(x.Arrived), qt.Equals, want)
					})
				})
			}
		}
	}
}

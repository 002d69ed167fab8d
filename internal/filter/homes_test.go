package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// limitedTo returns homes in the regions only.
func limitedTo(regions ...string) routing.Regions {
	return routing.Regions{Limited: true, Names: regions}
}

// tableWith returns a table with one route and one account, of key k.
func tableWith(route, account routing.Regions) *routing.Table {
	return (&routing.Table{
		Version: 7, Routes: []routing.Route{{Name: "r", Host: "h", PathPrefix: "/p/", Homes: route}},
		Accounts: []routing.Account{{Name: "a", Keys: []string{"k"}, Homes: account}},
	}).Index()
}

// newestRoutes provides a table.
type newestRoutes struct{ table *routing.Table }

func (r newestRoutes) Current(context.Context) (*routing.Table, error) { return r.table, nil }

// TestRouteAndAccountBothBind guards against a request that may be served nowhere and is sent even so, or told to come back.
func TestRouteAndAccountBothBind(t *testing.T) {
	tests := []struct {
		name           string
		route, account routing.Regions
		key            string
		want           routing.Regions
		code           result.Code
	}{
		{"neither", routing.Regions{}, routing.Regions{}, "k", routing.Regions{}, 0},
		{"route", limitedTo("x"), routing.Regions{}, "k", limitedTo("x"), 0},
		{"account", routing.Regions{}, limitedTo("x"), "k", limitedTo("x"), 0},
		{"both", limitedTo("x", "y"), limitedTo("y", "z"), "k", limitedTo("y"), 0},
		{"none in both", limitedTo("x"), limitedTo("z"), "k", limitedTo(), result.NoHome},
		{"anonymous", limitedTo("x"), limitedTo("z"), "", limitedTo("x"), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := tableWith(test.route, test.account)
			table.Routes[0].Targets, table.Routes[0].Anonymous = []routing.Target{{Service: "s", Weight: 1}}, true
			loaded := make(chan struct{})
			close(loaded)
			x := &Exchange{Arrived: time.Now()}
			x.Routed.Host, x.Request.Path, x.Routed.Key = "h", "/p/x", test.key
			went := false
			err := Route{newestRoutes{table}, loaded, func() float64 { return 0 }}.Handle(t.Context(), x, func(context.Context, *Exchange) error {
				went = true
				return nil
			})
			qt.Check(t, x.Routed.Homes.Names, qt.ContentEquals, test.want.Names)
			qt.Check(t, x.Routed.Homes.Limited, qt.Equals, test.want.Limited)
			qt.Check(t, went, qt.Equals, test.code == 0)
			if test.code != 0 {
				e := result.From(err)
				qt.Check(t, e.Code, qt.Equals, test.code)
				qt.Check(t, e.Run, qt.Equals, result.NotRun)
				qt.Check(t, e.RetryAfter, qt.Equals, time.Duration(0))
				qt.Check(t, e.Detail, qt.Equals, `route r allows regions ["x"], account a allows ["z"]: none is in both`)
			}
		})
	}
}

// TestNewestConfigurationNarrowsHomes guards against a retry, a resumed stream or a request that waited which goes by the homes of a
// configuration that operators have replaced meanwhile.
func TestNewestConfigurationNarrowsHomes(t *testing.T) {
	tests := []struct {
		name    string
		age     time.Duration
		arrived routing.Regions
		newest  *routing.Table
		want    routing.Regions
		code    result.Code
	}{
		{"fresh", freshFor - 1, limitedTo("x"), tableWith(limitedTo("y"), routing.Regions{}), limitedTo("x"), 0},
		{"the same", freshFor, limitedTo("x"), tableWith(limitedTo("x"), routing.Regions{}), limitedTo("x"), 0},
		{"limited meanwhile", freshFor, routing.Regions{}, tableWith(routing.Regions{}, limitedTo("x")), limitedTo("x"), 0},
		{"fewer", freshFor, limitedTo("x", "y"), tableWith(limitedTo("y"), routing.Regions{}), limitedTo("y"), 0},
		{"more", freshFor, limitedTo("x"), tableWith(limitedTo("x", "y"), routing.Regions{}), limitedTo("x"), 0},
		{"moved", freshFor, limitedTo("x"), tableWith(limitedTo("y"), routing.Regions{}), limitedTo(), result.NoHome},
		{"the route is gone", freshFor, limitedTo("x"), (&routing.Table{}).Index(), limitedTo("x"), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := homeKeeper{newestRoutes{test.newest}, time.Now().Add(-test.age), "h", "/p/x", "k"}
				homes, err := k.narrow(t.Context(), test.arrived)
				qt.Check(t, homes.Names, qt.ContentEquals, test.want.Names)
				qt.Check(t, homes.Limited, qt.Equals, test.want.Limited)
				qt.Check(t, err != nil, qt.Equals, test.code != 0)
				if err != nil {
					qt.Check(t, result.From(err).Code, qt.Equals, test.code)
				}
			})
		})
	}
}

// outdatedPool takes a time to place a run, and confirms no placement on the endpoints in gone.
type outdatedPool struct {
	*fakePool
	takes time.Duration
	gone  string
	asked int
}

func (p *outdatedPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	time.Sleep(p.takes)
	return p.fakePool.Choose(ctx, q)
}

func (p *outdatedPool) Confirm(_ context.Context, _ pool.Query, id string) (bool, error) {
	p.asked++
	return id != p.gone, nil
}

// TestAgedPlacementIsConfirmed guards against a send to an endpoint whose zone was evacuated while the request waited for its placement:
// the request goes to another one, and the endpoint isn't blamed.
func TestAgedPlacementIsConfirmed(t *testing.T) {
	answer := scriptedSend{head: head(200, "s"), chunks: []endpoint.Chunk{end}}
	tests := []struct {
		name  string
		takes time.Duration
		gone  string
		to    []string
		ends  []pool.End
		asked int
	}{
		{"fresh", freshFor - 1, "e1", []string{"e1"}, []pool.End{pool.EndAnswered}, 0},
		{"aged and confirmed", freshFor, "", []string{"e1"}, []pool.End{pool.EndAnswered}, 1},
		{"aged and gone", freshFor, "e1", []string{"e2"}, []pool.End{pool.EndAbandoned, pool.EndAnswered}, 2},
	}
	for _, test := range tests {
		for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindNonIdempotent, routing.KindStream} {
			t.Run(test.name+" "+kind.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := &outdatedPool{&fakePool{}, test.takes, test.gone, 0}
					sender := &scriptedSender{script: []scriptedSend{answer}}
					x, _ := routedExchange(kind)
					err := Forward{Pool: p, Shifts: noShift{}, Sender: sender, Quarantines: noQuarantine{}}.Handle(t.Context(), x, nil)
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, sender.to, qt.DeepEquals, test.to)
					qt.Check(t, p.ends, qt.DeepEquals, test.ends)
					qt.Check(t, p.asked, qt.Equals, test.asked)
				})
			})
		}
	}
}

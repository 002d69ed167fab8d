package filter

import (
	"context"
	"time"

	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// requestHomes returns the regions in which a request of the route and the client account may be served: both bind. a is nil without an
// account. findAccount calls it once for each request.
func requestHomes(r *routing.Route, a *routing.Account) routing.Regions {
	if a == nil {
		return r.Homes
	}
	return r.Homes.Intersect(a.Homes)
}

// checkHomes refuses a request that may be served nowhere, without advice on when to retry: only another configuration changes that.
// Route calls it before anything of the request is read.
func checkHomes(x *Exchange) error {
	if h := x.Routed.Homes; h.Limited && len(h.Names) == 0 {
		return result.Errorf(result.NoHome, "route %s allows regions %q, account %s allows %q: none is in both",
			x.Routed.Route.Name, x.Routed.Route.Homes.Names, x.Routed.Account, x.Routed.AccountHomes.Names)
	}
	return nil
}

// freshFor is how long a route table that was read, or a placement that was asked for, counts as the newest: short against the time
// within which a change has to take effect, and longer than a send takes to begin unless the request waits. A send that begins later
// asks again: operators may have changed the configuration or evacuated a zone meanwhile.
const freshFor = time.Second

// currentHomes returns the regions in which the newest table lets a request with the host, path and key be served; any, if it no longer
// has the route. homeKeeper calls it.
func currentHomes(t *routing.Table, host, path, key string) routing.Regions {
	r := t.Match(host, path)
	if r == nil {
		return routing.Regions{}
	}
	return requestHomes(r, t.Account(key))
}

// homeKeeper keeps a request that goes on for long within its homes though the configuration changes: those that it arrived under and
// those of the newest one both bind its next sends. What it holds doesn't change while the request runs.
type homeKeeper struct {
	// routes may be nil, which keeps the homes as they are.
	routes Routes
	// readAt is when the request's route table was read.
	readAt          time.Time
	host, path, key string
}

// newHomeKeeper returns the homeKeeper of a request. Forward makes one for each.
func newHomeKeeper(routes Routes, x *Exchange) homeKeeper {
	return homeKeeper{routes, x.Routed.TableReadAt, x.Routed.Host, x.Request.Path, x.Routed.Key}
}

// narrow returns the homes, narrowed by the newest configuration if the request's has aged. placer calls it before each placement.
func (k homeKeeper) narrow(ctx context.Context, homes routing.Regions) (routing.Regions, error) {
	if k.routes == nil || time.Since(k.readAt) < freshFor {
		return homes, nil
	}
	t, err := k.routes.Current(ctx)
	if err != nil {
		return routing.Regions{}, ownerError("read the newest route table", err)
	}
	now := homes.Intersect(currentHomes(t, k.host, k.path, k.key))
	if now.Limited && len(now.Names) == 0 {
		return now, result.Errorf(result.NoHome, "no region that configuration %d allows is in %q, which the request arrived under", t.Version, homes.Names)
	}
	return now, nil
}

package filter

import (
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

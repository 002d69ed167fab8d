package filter

import (
	"context"
	"slices"
	"strings"

	"cornelmux/internal/configuration"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// Authorize refuses requests that the client account may not make, and sets whether the request is idempotent.
type Authorize struct{}

// Handle implements Filter.
func (Authorize) Handle(ctx context.Context, x *Exchange, next Next) error {
	idempotent, err := Permit(x.Snapshot, x.Account, x.Request)
	if err != nil {
		return err
	}
	x.Idempotent = idempotent
	return next(ctx, x)
}

// Permit reports whether the request is idempotent, or an error if the client account may not make it.
// Authorize calls it once, and CheckAllowed again before each send that doesn't resume a stream.
func Permit(s configuration.Snapshot, a catalog.ClientAccount, r Request) (idempotent bool, err error) {
	if r.Kind == KindService {
		return permitService(s, a, r)
	}
	if slices.Contains(a.Cascades, r.Model) {
		return a.ChatIdempotent, nil
	}
	granted := slices.ContainsFunc(a.Grants, func(g catalog.Grant) bool { return g.Model == r.Model })
	if !granted {
		return false, result.Errorf(result.ModelNotAllowed, "the client account may not use model %q", r.Model)
	}
	return a.ChatIdempotent, nil
}

// permitService checks a request to a plain service. The route with the longest matching path decides whether the
// request is idempotent. Permit calls it.
func permitService(s configuration.Snapshot, a catalog.ClientAccount, r Request) (bool, error) {
	service, ok := s.Catalog.FindService(r.Service)
	if !ok || !slices.Contains(a.Services, r.Service) {
		return false, result.Errorf(result.ServiceNotAllowed, "the client account may not use service %q", r.Service)
	}
	best := catalog.Route{}
	for _, route := range service.Routes {
		below := r.Path == route.Path || strings.HasPrefix(r.Path, strings.TrimSuffix(route.Path, "/")+"/")
		if route.Method == r.Method && below && len(route.Path) > len(best.Path) {
			best = route
		}
	}
	if best.Path == "" {
		return false, result.Errorf(result.ServiceNotAllowed, "service %q has no route %s %s", r.Service, r.Method, r.Path)
	}
	return best.Idempotent, nil
}

package filter

import (
	"context"
	"slices"
	"strings"

	"cornelmux/internal/configuration"
	"cornelmux/pkg/catalog"
	"cornelmux/pkg/result"
)

// Authorize lets through only what the client account may use, and settles whether the request is idempotent.
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

// Permit decides whether the client account may make the request, and whether the request is idempotent.
func Permit(s configuration.Snapshot, a catalog.ClientAccount, r Request) (idempotent bool, err error) {
	if r.Kind == KindService {
		return permitService(s, a, r)
	}
	if slices.Contains(a.Cascades, r.Model) {
		return a.ChatIdempotent, nil
	}
	granted := slices.ContainsFunc(a.Grants, func(g catalog.Grant) bool { return g.Model == r.Model })
	if !granted {
		return false, result.Errorf(result.ModelNotAllowed, "model %q", r.Model)
	}
	return a.ChatIdempotent, nil
}

func permitService(s configuration.Snapshot, a catalog.ClientAccount, r Request) (bool, error) {
	service, ok := s.Catalog.FindService(r.Service)
	if !ok || !slices.Contains(a.Services, r.Service) {
		return false, result.Errorf(result.ServiceNotAllowed, "service %q", r.Service)
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

package entry

import (
	"context"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/order"
)

// TestOrderLoadsVersionAtEndpoint submits an order at one VM and waits until every VM sees its effect at the endpoint.
func TestOrderLoadsVersionAtEndpoint(t *testing.T) {
	s := newSite(t)
	s.configure()
	load := order.Order{Kind: order.KindLoad, Endpoint: "engine-1", Version: "composer/v2"}
	_, err := s.vms[1].orders.Submit(context.Background(), load)
	s.c.Assert(err, qt.IsNil)
	for _, vm := range s.vms {
		s.waitFor(func() error {
			list, err := vm.endpoints.Snapshot(context.Background())
			for _, e := range list {
				if e.ID == load.Endpoint && slices.Contains(e.Versions, load.Version) {
					return nil
				}
			}
			return fmt.Errorf("not loaded: %v", err)
		}, "the version is loaded")
	}
}

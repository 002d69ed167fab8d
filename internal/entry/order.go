package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/order"
	"cornelmux/internal/settings"
	"cornelmux/internal/wire"
	"cornelmux/pkg/result"
)

// orderTimeout bounds an HTTP request that sends an order to an endpoint.
const orderTimeout = 30 * time.Second

// newOrders returns the controller of orders to endpoints.
func newOrders(store order.Store, endpoints *endpoint.Controller, cfg settings.Settings, log logr.Logger) *order.Controller {
	ledger := order.Ledger{Store: store, LoadInterval: cfg.Limits.LoadInterval}
	client := order.Client{HTTP: &http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	return order.New(ledger, endpoints, client, log.WithName("order"))
}

// Order implements wireconnect.ControlServiceHandler. It records an order; the controller sends it to the endpoint later.
func (c *control) Order(ctx context.Context, r *wire.OrderRequest) (*wire.OrderResponse, error) {
	o := order.Order{Kind: order.Kind(r.Kind), Endpoint: r.Endpoint, Version: r.Version, Role: r.Role}
	if err := o.Validate(); err != nil {
		return nil, connectError(result.Errorf(result.BadConfiguration, "%v", err))
	}
	n, err := c.vm.orders.Submit(ctx, o)
	if err != nil {
		return nil, connectError(result.Errorf(result.PlatformDown, "%v", err))
	}
	c.vm.log.Info("order recorded", "endpoint", o.Endpoint, "kind", o.Kind, "version", o.Version, "role", o.Role, "fence", n.Fence)
	return &wire.OrderResponse{Fence: n.Fence}, nil
}

// Package order has endpoints load or unload versions or change their role. An order is recorded in the platform before
// it is sent, carries a fencing number, and is compared with what the endpoint reports, since some ignore the number.
package order

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cornelmux/internal/endpoint"
)

// Kind says what an order asks for.
type Kind string

// The values of Kind.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
	KindRole   Kind = "role"
)

// Order asks one endpoint for one thing. Doing it twice does no harm.
type Order struct {
	Kind     Kind   `json:"kind"`
	Endpoint string `json:"endpoint"`
	// Version is a model/version pair to load or unload.
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// RecordedOrder is a recorded order with its fencing number.
type RecordedOrder struct {
	Order
	Fence uint64 `json:"fence"`
}

// Record holds the newest order for each version and for the role of one endpoint. Fence never falls.
type Record struct {
	Fence  uint64          `json:"fence"`
	Orders []RecordedOrder `json:"orders"`
}

// Errors of a send.
var (
	// ErrFenced reports that the endpoint has taken an order with a higher number.
	ErrFenced = errors.New("order is older than one that the endpoint took")
	// ErrNoSlot reports that other loads have reserved the weight store for now.
	ErrNoSlot = errors.New("weight store is reserved")
)

// maxOrders bounds the versions that one endpoint has orders for.
const maxOrders = 64

// Validate checks an order's fields.
func (o Order) Validate() error {
	switch {
	case o.Endpoint == "":
		return errors.New("an order names its endpoint")
	case strings.ContainsAny(o.Endpoint, "/ "):
		return fmt.Errorf("endpoint %q has a slash or space", o.Endpoint)
	case o.Kind == KindRole && o.Role != "" && o.Version == "":
		return nil
	case (o.Kind == KindLoad || o.Kind == KindUnload) && strings.Count(o.Version, "/") == 1 && o.Role == "":
		return nil
	default:
		return fmt.Errorf("kind %q: load and unload take a model/version, role takes a role", o.Kind)
	}
}

// subject names what an order is about; a later order about it replaces an earlier one.
func (o Order) subject() string {
	if o.Kind == KindRole {
		return "role"
	}
	return "version " + o.Version
}

// Add records an order under the next number. An order that is the newest about its subject keeps its number.
func (r Record) Add(o Order) (Record, RecordedOrder, error) {
	i := slices.IndexFunc(r.Orders, func(n RecordedOrder) bool { return n.subject() == o.subject() })
	if i >= 0 && r.Orders[i].Order == o {
		return r, r.Orders[i], nil
	}
	n := RecordedOrder{Order: o, Fence: r.Fence + 1}
	next := Record{Fence: n.Fence, Orders: slices.Clone(r.Orders)}
	switch {
	case i >= 0:
		next.Orders[i] = n
	case len(r.Orders) >= maxOrders:
		return r, RecordedOrder{}, fmt.Errorf("endpoint %s has orders for %d versions", o.Endpoint, maxOrders)
	default:
		next.Orders = append(next.Orders, n)
	}
	return next, n, nil
}

// Renew gives an order that still stands the next number, for an endpoint that has taken a higher one.
func (r Record) Renew(n RecordedOrder) Record {
	i := slices.Index(r.Orders, n)
	if i < 0 {
		return r
	}
	next := Record{Fence: r.Fence + 1, Orders: slices.Clone(r.Orders)}
	next.Orders[i].Fence = next.Fence
	return next
}

// Newest reports whether n still stands in the record.
func (r Record) Newest(n RecordedOrder) bool { return slices.Contains(r.Orders, n) }

// Done reports whether the endpoint's report shows the order's effect.
func (o Order) Done(e endpoint.Endpoint) bool {
	switch o.Kind {
	case KindLoad:
		return slices.Contains(e.Versions, o.Version)
	case KindUnload:
		return !slices.Contains(e.Versions, o.Version)
	default:
		return e.Role == o.Role
	}
}

// Pending returns the orders whose effect a fresh report of the endpoint doesn't show, the oldest first.
func (r Record) Pending(e endpoint.Endpoint, now time.Time) []RecordedOrder {
	if e.Leaving || e.Suspect || now.Sub(e.ReportedAt) > maxReportAge {
		return nil
	}
	var list []RecordedOrder
	for _, n := range r.Orders {
		if !n.Done(e) {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b RecordedOrder) int { return cmp.Compare(a.Fence, b.Fence) })
	return list
}

// maxReportAge is the age up to which a report shows what an endpoint has.
const maxReportAge = 3 * time.Second

// Slots spreads loads over time, so that the fleet stays within the weight store's rate.
type Slots struct {
	// NextUnixMs is when the next load may start.
	NextUnixMs int64 `json:"next_unix_ms"`
}

// maxSlotWait bounds how far ahead loads are reserved.
const maxSlotWait = 30 * time.Second

// Take reserves the next slot and returns how long to wait for it, or false where it is too far ahead.
func (s Slots) Take(now time.Time, interval time.Duration) (Slots, time.Duration, bool) {
	start := max(s.NextUnixMs, now.UnixMilli())
	wait := time.Duration(start-now.UnixMilli()) * time.Millisecond
	if wait > maxSlotWait {
		return s, 0, false
	}
	return Slots{NextUnixMs: start + interval.Milliseconds()}, wait, true
}

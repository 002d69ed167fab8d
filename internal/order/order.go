// Package order makes endpoints load or unload versions or change their role. An order is recorded in the platform
// before it is sent and carries a fencing number. Some endpoints ignore the number, so the order is sent until the
// endpoint's reports show its effect.
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

// Kind is what an order asks for.
type Kind string

// Values of Kind.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
	KindRole   Kind = "role"
)

// Order asks one endpoint, given by its ID, for one thing. It is idempotent.
type Order struct {
	Kind     Kind   `json:"kind"`
	Endpoint string `json:"endpoint"`
	// Version is the model/version to load or unload.
	Version string `json:"version,omitempty"`
	// Role is the role to take on.
	Role string `json:"role,omitempty"`
}

// RecordedOrder is an order with the fencing number that it was recorded under.
type RecordedOrder struct {
	Order
	// Fence is the fencing number; a later order to the same endpoint has a greater one.
	Fence uint64 `json:"fence"`
}

// Record holds the newest order for each version and for the role of one endpoint. Fence is the highest number given;
// it never falls.
type Record struct {
	Fence  uint64          `json:"fence"`
	Orders []RecordedOrder `json:"orders"`
}

// Errors of sending an order.
var (
	// ErrFenced reports that the endpoint has accepted an order with a higher number, or that a newer order is
	// recorded.
	ErrFenced = errors.New("order is outdated: a later one was accepted")
	// ErrNoLoadSlot reports that the slots for loads are reserved for the next maxSlotWait.
	ErrNoLoadSlot = errors.New("no free slot to load from the weight store")
)

// maxOrders is the maximum number of orders that are recorded for one endpoint.
const maxOrders = 64

// Validate checks the fields of an order. Submit calls it, and package entry before that.
func (o Order) Validate() error {
	switch {
	case o.Endpoint == "":
		return errors.New("order has no endpoint")
	case strings.ContainsAny(o.Endpoint, "/ "):
		return fmt.Errorf("endpoint %q contains a slash or space", o.Endpoint)
	case o.Kind == KindRole && o.Role != "" && o.Version == "":
		return nil
	case (o.Kind == KindLoad || o.Kind == KindUnload) && strings.Count(o.Version, "/") == 1 && o.Role == "":
		return nil
	default:
		return fmt.Errorf("order of kind %q: load and unload need a model/version only, role needs a role only", o.Kind)
	}
}

// subject returns what an order is about; a later order about the same subject replaces an earlier one.
func (o Order) subject() string {
	if o.Kind == KindRole {
		return "role"
	}
	return "version " + o.Version
}

// Add returns the record with the order under the next number. An order that is the newest about its subject keeps its
// number. Ledger.Add calls it.
func (r Record) Add(o Order) (Record, RecordedOrder, error) {
	i := slices.IndexFunc(r.Orders, func(old RecordedOrder) bool { return old.subject() == o.subject() })
	if i >= 0 && r.Orders[i].Order == o {
		return r, r.Orders[i], nil
	}
	recorded := RecordedOrder{Order: o, Fence: r.Fence + 1}
	next := Record{Fence: recorded.Fence, Orders: slices.Clone(r.Orders)}
	switch {
	case i >= 0:
		next.Orders[i] = recorded
	case len(r.Orders) >= maxOrders:
		return r, RecordedOrder{}, fmt.Errorf("endpoint %s already has %d orders", o.Endpoint, maxOrders)
	default:
		next.Orders = append(next.Orders, recorded)
	}
	return next, recorded, nil
}

// Renumber returns the record with the next number for an order that still stands. It is called if the endpoint has
// accepted a higher number.
func (r Record) Renumber(o RecordedOrder) Record {
	i := slices.Index(r.Orders, o)
	if i < 0 {
		return r
	}
	next := Record{Fence: r.Fence + 1, Orders: slices.Clone(r.Orders)}
	next.Orders[i].Fence = next.Fence
	return next
}

// IsNewest reports whether no later order about the subject of o is recorded.
func (r Record) IsNewest(o RecordedOrder) bool { return slices.Contains(r.Orders, o) }

// TookEffect reports whether the endpoint's last report shows the effect of the order.
func (o Order) TookEffect(e endpoint.Endpoint) bool {
	switch o.Kind {
	case KindLoad:
		return slices.Contains(e.Versions, o.Version)
	case KindUnload:
		return !slices.Contains(e.Versions, o.Version)
	default:
		return e.Role == o.Role
	}
}

// Pending returns the orders that haven't taken effect, the oldest first. It returns none while the endpoint is leaving
// or suspected or its report is too old. The Controller calls it after each poll.
func (r Record) Pending(e endpoint.Endpoint, now time.Time) []RecordedOrder {
	if e.Leaving || e.Suspect || now.Sub(e.ReportedAt) > maxReportAge {
		return nil
	}
	var list []RecordedOrder
	for _, o := range r.Orders {
		if !o.TookEffect(e) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b RecordedOrder) int { return cmp.Compare(a.Fence, b.Fence) })
	return list
}

// maxReportAge is the age up to which a report counts as what the endpoint has now.
const maxReportAge = 3 * time.Second

// LoadSchedule spreads the loads of the fleet over time, to keep within the weight store's rate.
type LoadSchedule struct {
	// NextUnixMs is when the next load may start, in Unix milliseconds.
	NextUnixMs int64 `json:"next_unix_ms"`
}

// maxSlotWait bounds how far ahead loads are reserved.
const maxSlotWait = 30 * time.Second

// Reserve returns the schedule with the next slot taken and the time until that slot, or false if that is over
// maxSlotWait. Ledger.ReserveLoad calls it.
func (s LoadSchedule) Reserve(now time.Time, interval time.Duration) (LoadSchedule, time.Duration, bool) {
	start := max(s.NextUnixMs, now.UnixMilli())
	wait := time.Duration(start-now.UnixMilli()) * time.Millisecond
	if wait > maxSlotWait {
		return s, 0, false
	}
	return LoadSchedule{NextUnixMs: start + interval.Milliseconds()}, wait, true
}

package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"cornelmux/internal/consul"
)

const (
	// recordPrefix begins the key of an endpoint's record, before the endpoint's ID.
	recordPrefix = "orders/endpoint/"
	// slotsKey is the key of the LoadSchedule.
	slotsKey = "orders/slots"
	// maxAttempts is the number of compare-and-swap attempts of one update.
	maxAttempts = 8
)

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (consul.Value, error)
	List(ctx context.Context, prefix string) ([]consul.Value, error)
	// CAS writes a key if it still has the version, and reports whether it did.
	CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error)
}

// Ledger reads and writes the records of orders in the platform. It holds no state of its own.
type Ledger struct {
	Store Store
	// LoadInterval is the shortest time between two loads in the fleet.
	LoadInterval time.Duration
}

// Add records an order that an operator submits, and returns it with its number. If the platform's answer is lost, it
// reads the record again. Controller.Submit calls it.
func (l Ledger) Add(ctx context.Context, o Order) (RecordedOrder, error) {
	var added RecordedOrder
	err := l.update(ctx, recordPrefix+o.Endpoint, func(data []byte) ([]byte, error) {
		r, err := parseRecord(data)
		if err != nil {
			return nil, err
		}
		next, recorded, err := r.Add(o)
		added = recorded
		if err != nil || next.Fence == r.Fence {
			return nil, err
		}
		return json.Marshal(next)
	})
	return added, err
}

// Renumber gives an order the next number if it still stands. It is called if the endpoint rejected it as outdated.
func (l Ledger) Renumber(ctx context.Context, o RecordedOrder) error {
	return l.update(ctx, recordPrefix+o.Endpoint, func(data []byte) ([]byte, error) {
		r, err := parseRecord(data)
		if err != nil || !r.IsNewest(o) {
			return nil, err
		}
		return json.Marshal(r.Renumber(o))
	})
}

// IsNewest reports whether the order is still the newest about its subject. The Controller calls it just before an order is
// sent.
func (l Ledger) IsNewest(ctx context.Context, o RecordedOrder) (bool, error) {
	v, err := l.Store.Get(ctx, recordPrefix+o.Endpoint)
	if err != nil {
		return false, err
	}
	r, err := parseRecord(v.Data)
	return r.IsNewest(o), err
}

// Records returns the record of each endpoint that has one, by endpoint. poll calls it in each interval. One record that
// can't be decoded fails the whole call.
func (l Ledger) Records(ctx context.Context) (map[string]Record, error) {
	values, err := l.Store.List(ctx, recordPrefix)
	if err != nil {
		return nil, err
	}
	records := make(map[string]Record, len(values))
	for _, v := range values {
		r, err := parseRecord(v.Data)
		if err != nil {
			return nil, err
		}
		records[strings.TrimPrefix(v.Key, recordPrefix)] = r
	}
	return records, nil
}

// ReserveLoad reserves a slot for a load and returns the time until it. It is called before each load is sent. It fails
// with ErrNoLoadSlot if the next free slot is too far ahead.
func (l Ledger) ReserveLoad(ctx context.Context) (time.Duration, error) {
	var wait time.Duration
	err := l.update(ctx, slotsKey, func(data []byte) ([]byte, error) {
		var s LoadSchedule
		if len(data) > 0 {
			if err := json.Unmarshal(data, &s); err != nil {
				return nil, fmt.Errorf("decode load schedule: %w", err)
			}
		}
		next, d, ok := s.Reserve(time.Now(), l.LoadInterval)
		if !ok {
			return nil, ErrNoLoadSlot
		}
		wait = d
		return json.Marshal(next)
	})
	return wait, err
}

// update changes a key by compare-and-swap. change returns the new value, or nil to leave it; it is called again if
// another VM wrote first or the answer was lost. It gives up after maxAttempts.
func (l Ledger) update(ctx context.Context, key string, change func([]byte) ([]byte, error)) error {
	for range maxAttempts {
		v, err := l.Store.Get(ctx, key)
		if err != nil {
			return err
		}
		data, err := change(v.Data)
		if err != nil || data == nil {
			return err
		}
		ok, err := l.Store.CAS(ctx, key, data, v.Version)
		if ok {
			return nil
		}
		if err != nil && !errors.Is(err, consul.ErrOutcomeUnknown) {
			return err
		}
	}
	return fmt.Errorf("update %s: too many concurrent writers", key)
}

// parseRecord decodes a record; no data is an empty one.
func parseRecord(data []byte) (Record, error) {
	var r Record
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode order record: %w", err)
	}
	return r, nil
}

package entry

import (
	"context"
	"maps"
	"slices"

	"cornelmux/internal/journal"
	"cornelmux/internal/wire"
	"cornelmux/pkg/result"
)

// Bills implements wireconnect.ControlServiceHandler. With positions it drains the bills up to them, otherwise it returns the bills
// of one client account or of all.
func (c *control) Bills(ctx context.Context, r *wire.BillsRequest) (*wire.BillsResponse, error) {
	if len(r.Drained) > 0 {
		return c.drainBills(ctx, r.Drained)
	}
	s, err := c.vm.configurations.Current(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	regions := map[string]struct{}{}
	for _, a := range s.Catalog.Accounts {
		if r.Account == "" || r.Account == a.Name {
			regions[a.HomeRegion] = struct{}{}
		}
	}
	resp := &wire.BillsResponse{}
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		if err := c.readBills(ctx, resp, region, r.Account); err != nil {
			return nil, connectError(err)
		}
	}
	return resp, nil
}

// readBills appends the region's bills to the response. Without an account it also appends the positions up to which they
// were read, which the operator sends back to drain them. Bills calls it for each region.
func (c *control) readBills(ctx context.Context, resp *wire.BillsResponse, region, account string) error {
	bills, read, err := journal.ReadBills(ctx, c.vm.store, region)
	if err != nil {
		return result.Errorf(result.PlatformDown, "read bills of region %s: %v", region, err)
	}
	if account != "" {
		bills = slices.DeleteFunc(bills, func(b journal.Bill) bool { return b.Key.Account != account })
		read = nil
	}
	encodedBills, err := encodeEach(bills)
	if err != nil {
		return err
	}
	encodedRead, err := encodeEach(read)
	if err != nil {
		return err
	}
	resp.Bills = append(resp.Bills, encodedBills...)
	resp.Read = append(resp.Read, encodedRead...)
	return nil
}

// drainBills deletes the bills up to each position, which the operator has stored. Bills calls it. At the first failure it
// returns an error; the bills of the positions before it are deleted by then.
func (c *control) drainBills(ctx context.Context, drained [][]byte) (*wire.BillsResponse, error) {
	positions, err := decodeEach[journal.Position](drained)
	if err != nil {
		return nil, connectError(result.Errorf(result.BadRequest, "drained positions: %v", err))
	}
	for _, p := range positions {
		if err := journal.Drain(ctx, c.vm.store, p); err != nil {
			return nil, connectError(result.Errorf(result.PlatformDown, "drain bills of region %s: %v", p.Region, err))
		}
	}
	return &wire.BillsResponse{}, nil
}

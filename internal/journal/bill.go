package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cornelmux/internal/consul"
)

// drainAttempts bounds the reads and conditional writes of a head in one Drain.
const drainAttempts = 8

// DeletableStore is a Store whose keys can also be deleted, as Drain needs it.
type DeletableStore interface {
	Store
	// Delete removes the key if its version is still the given one, and reports whether it did.
	Delete(ctx context.Context, key string, version uint64) (bool, error)
}

// Position names the sealed batches of a partition whose bills were read: those from Floor to Sequence-1.
type Position struct {
	Region    string `json:"region"`
	Partition int    `json:"partition"`
	Floor     uint64 `json:"floor"`
	Sequence  uint64 `json:"sequence"`
}

// ReadBills reads all bills of a region from the platform, one for each request, and returns the position read up to in each
// partition, to which Drain may be called. It writes nothing. The control service calls it when an operator lists bills.
func ReadBills(ctx context.Context, s Store, region string) (bills []Bill, read []Position, err error) {
	for n := range partitions {
		id := partitionID{region, n}
		head, _, err := readHead(ctx, s, id)
		if err != nil {
			return nil, nil, err
		}
		batches, err := readBatches(ctx, s, id, head.Floor, head.Sequence)
		if err != nil {
			return nil, nil, err
		}
		var entries []Entry
		for _, b := range batches {
			entries = append(entries, b.Entries...)
		}
		bills = append(bills, MergeBills(append(entries, head.Entries...))...)
		read = append(read, Position{region, n, head.Floor, head.Sequence})
	}
	return bills, read, nil
}

// AdvanceFloor returns the head with its floor raised to sequence, but not past the first batch that may hold an entry of
// the resend window. Batches below the floor may be deleted. Drain calls it.
func AdvanceFloor(h Head, sequence uint64) Head {
	h.Floor = max(h.Floor, min(sequence, h.Live))
	return h
}

// Drain deletes the sealed batches up to the position, whose bills have been stored elsewhere; batches that may hold an
// entry of the resend window stay. It raises the floor in the head first, then deletes the batches below it. An interrupted
// drain is completed by calling Drain again with the same position. The control service calls it for each position that an
// operator drains.
func Drain(ctx context.Context, s DeletableStore, p Position) error {
	id := partitionID{p.Region, p.Partition}
	for range drainAttempts {
		head, version, err := readHead(ctx, s, id)
		if err != nil {
			return err
		}
		updated := AdvanceFloor(head, p.Sequence)
		if updated.Floor == head.Floor {
			return deleteBatches(ctx, s, id, p.Floor, min(p.Sequence, head.Floor))
		}
		_, err = writeHead(ctx, s, id, updated, version)
		if err != nil && !errors.Is(err, consul.ErrOutcomeUnknown) {
			return err
		}
	}
	return fmt.Errorf("%w: drain of %s: too many conflicting writes", consul.ErrUnavailable, id.key("head"))
}

// writeHead writes the head if its key still has the given version, and reports whether it did. Partitions and Drain call
// it.
func writeHead(ctx context.Context, s Store, id partitionID, h Head, version uint64) (bool, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return false, err
	}
	return s.CAS(ctx, id.key("head"), data, version)
}

// deleteBatches deletes the sealed batches from..to-1 for Drain. Batches that no longer exist are skipped, so that Drain can
// be called again.
func deleteBatches(ctx context.Context, s DeletableStore, id partitionID, from, to uint64) error {
	for n := from; n < to; n++ {
		v, err := s.Get(ctx, id.sealedKey(n))
		if err != nil {
			return err
		}
		if v.Version == 0 {
			continue
		}
		if _, err := s.Delete(ctx, id.sealedKey(n), v.Version); err != nil {
			return err
		}
	}
	return nil
}

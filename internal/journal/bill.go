package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cornelmux/internal/consul"
)

const dropAttempts = 8

// DeletableStore is the part of the platform that the bills are read and dropped from.
type DeletableStore interface {
	Store
	Delete(ctx context.Context, key string, version uint64) (bool, error)
}

// Position says from and up to which sealed batch the bills of a partition were read.
type Position struct {
	Region    string `json:"region"`
	Partition int    `json:"partition"`
	Floor     uint64 `json:"floor"`
	Sequence  uint64 `json:"sequence"`
}

// ReadBills reads the bills of a region from the platform and folds them. It changes nothing.
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
		bills = append(bills, Fold(append(entries, head.Entries...))...)
		read = append(read, Position{region, n, head.Floor, head.Sequence})
	}
	return bills, read, nil
}

// Drop forgets the sealed batches that were drained, but for those within the resend window.
func Drop(h Head, sequence uint64) Head {
	h.Floor = max(h.Floor, min(sequence, h.Live))
	return h
}

// Drain drops the batches whose bills were read up to the position and stored elsewhere. Repeated, it ends what a
// drain that was interrupted began.
func Drain(ctx context.Context, s DeletableStore, p Position) error {
	id := partitionID{p.Region, p.Partition}
	for range dropAttempts {
		head, version, err := readHead(ctx, s, id)
		if err != nil {
			return err
		}
		next := Drop(head, p.Sequence)
		if next.Floor == head.Floor {
			return deleteBatches(ctx, s, id, p.Floor, min(p.Sequence, head.Floor))
		}
		_, err = writeHead(ctx, s, id, next, version)
		if err != nil && !errors.Is(err, consul.ErrOutcomeUnknown) {
			return err
		}
	}
	return fmt.Errorf("%w: %s is contended", consul.ErrUnavailable, id.key("head"))
}

func writeHead(ctx context.Context, s Store, id partitionID, h Head, version uint64) (bool, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return false, err
	}
	return s.CAS(ctx, id.key("head"), data, version)
}

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

package journal

import (
	"context"
	"encoding/json"
	"fmt"

	"cornelmux/internal/consul"
	"cornelmux/internal/task"
)

// readHead reads the head of a partition and the version of its key. A partition without one has an empty head and version
// 0. Partitions, ReadBills and Drain call it.
func readHead(ctx context.Context, s Store, id partitionID) (Head, uint64, error) {
	v, err := s.Get(ctx, id.key("head"))
	if err != nil || v.Version == 0 {
		return Head{}, 0, err
	}
	var h Head
	if err := json.Unmarshal(v.Data, &h); err != nil {
		return Head{}, 0, fmt.Errorf("decode %s: %w", v.Key, err)
	}
	return h, v.Version, nil
}

// readBatch reads one sealed batch. A missing batch is reported as ErrUnavailable, for example if it was drained after the
// caller read the head. readBatches and seal call it.
func readBatch(ctx context.Context, s Store, id partitionID, sequence uint64) (Batch, error) {
	v, err := s.Get(ctx, id.sealedKey(sequence))
	if err != nil {
		return Batch{}, err
	}
	if v.Version == 0 {
		return Batch{}, fmt.Errorf("%w: sealed batch %s is missing", consul.ErrUnavailable, id.sealedKey(sequence))
	}
	var b Batch
	if err := json.Unmarshal(v.Data, &b); err != nil {
		return Batch{}, fmt.Errorf("decode %s: %w", v.Key, err)
	}
	return b, nil
}

// readBatches reads the sealed batches from..to-1 with batchReaders tasks, and returns them in order. The first error
// cancels the other reads. Partitions and ReadBills call it.
func readBatches(ctx context.Context, s Store, id partitionID, from, to uint64) ([]Batch, error) {
	type result struct {
		sequence uint64
		batch    Batch
	}
	if from == to {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan task.End, batchReaders)
	results := make(chan result, to-from)
	for r := range uint64(batchReaders) {
		task.Start(ctx, "reader", ends, func(ctx context.Context) error {
			for sequence := from + r; sequence < to; sequence += batchReaders {
				b, err := readBatch(ctx, s, id, sequence)
				if err != nil {
					return err
				}
				results <- result{sequence, b}
			}
			return nil
		})
	}
	if err := waitForReaders(cancel, ends); err != nil {
		return nil, err
	}
	batches := make([]Batch, to-from)
	for range batches {
		r := <-results
		batches[r.sequence-from] = r.batch
	}
	return batches, nil
}

// waitForReaders waits until all batchReaders have ended and returns the first error, at which it cancels the other readers.
// readBatches calls it.
func waitForReaders(cancel context.CancelFunc, ends <-chan task.End) error {
	var first error
	for range batchReaders {
		if end := <-ends; end.Err != nil && first == nil {
			first = end.Err
			cancel()
		}
	}
	return first
}

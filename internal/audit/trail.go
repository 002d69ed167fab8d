package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"cornelmux/internal/consul"
)

// Store reads values from the platform.
type Store interface {
	Get(ctx context.Context, key string) (consul.Value, error)
}

// Read follows the chain back from the record with the digest newest. It returns at most limit records with a revision
// above after, the oldest first. If there are more, the oldest ones are left out. The configuration's Controller calls it
// for operators. A record that is missing or doesn't match its digest fails the whole read.
func Read(ctx context.Context, store Store, newest string, after uint64, limit int) ([]Record, error) {
	var list []Record
	for digest := newest; digest != "" && len(list) < limit; {
		r, err := fetch(ctx, store, digest)
		if err != nil {
			return nil, err
		}
		if r.Revision <= after {
			break
		}
		list = append(list, r)
		digest = r.Previous
	}
	slices.Reverse(list)
	return list, nil
}

// fetch reads a record and checks it against its digest. Read calls it.
func fetch(ctx context.Context, store Store, digest string) (Record, error) {
	v, err := store.Get(ctx, Key(digest))
	if err != nil {
		return Record{}, err
	}
	if digestOf(v.Data) != digest {
		return Record{}, fmt.Errorf("audit record %s is missing or was altered", digest)
	}
	var r Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return Record{}, fmt.Errorf("audit record %s: %w", digest, err)
	}
	return r, nil
}

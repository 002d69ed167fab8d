package session

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

const (
	// falsePositives is low, since a session that is taken for another one may stay on a halted version.
	falsePositives  = 1e-6
	maxFilterBytes  = 4 << 20
	maxForeignBytes = 16 << 20
)

// Set is a Bloom filter of the sessions that were active on a version at a VM, Age ago.
type Set struct {
	VM          string
	Incarnation uint64
	Model       string
	Version     string
	Filter      []byte
	Age         time.Duration
}

type origin struct {
	vm          string
	incarnation uint64
	model       string
	version     string
}

type foreignSet struct {
	set     Set
	filter  *bloom.BloomFilter
	takenAt time.Time
}

// foreign holds the sets of other VMs, also of those that are gone, until they are older than the idle time.
type foreign struct {
	idle     time.Duration
	byOrigin map[origin]foreignSet
	byModel  map[string][]foreignSet
}

func newForeign(idle time.Duration) *foreign {
	return &foreign{idle: idle, byOrigin: map[origin]foreignSet{}}
}

// add takes sets in; of two sets of one origin the later stands.
func (f *foreign) add(sets []Set, now time.Time) error {
	var bad error
	for _, s := range sets {
		key := origin{s.VM, s.Incarnation, s.Model, s.Version}
		takenAt := now.Add(-s.Age)
		if old, ok := f.byOrigin[key]; ok && !takenAt.After(old.takenAt) {
			continue
		}
		filter, err := parseFilter(s.Filter)
		if err != nil {
			bad = fmt.Errorf("sessions of %s: %w", s.VM, err)
			continue
		}
		f.byOrigin[key] = foreignSet{s, filter, takenAt}
	}
	f.age(now)
	return bad
}

// parseFilter refuses a filter whose own figures don't fit its size, before the library allocates for them.
func parseFilter(data []byte) (*bloom.BloomFilter, error) {
	const header, maxHashes = 24, 64
	if len(data) < header || len(data) > maxFilterBytes {
		return nil, fmt.Errorf("filter of %d bytes", len(data))
	}
	bits, length := binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[header-8:])
	hashes := binary.BigEndian.Uint64(data[8:])
	words := uint64(len(data)-header) / 8
	if bits != length || bits == 0 || bits > words*64 || hashes > maxHashes {
		return nil, fmt.Errorf("filter of %d bits in %d words", bits, words)
	}
	var filter bloom.BloomFilter
	return &filter, filter.UnmarshalBinary(data)
}

// age drops sets that are older than the idle time, and the oldest while they are too large together.
func (f *foreign) age(now time.Time) {
	list := make([]foreignSet, 0, len(f.byOrigin))
	for _, s := range f.byOrigin {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b foreignSet) int { return b.takenAt.Compare(a.takenAt) })
	f.byModel = map[string][]foreignSet{}
	size := 0
	for _, s := range list {
		size += len(s.set.Filter)
		if now.Sub(s.takenAt) > f.idle || size > maxForeignBytes {
			delete(f.byOrigin, origin{s.set.VM, s.set.Incarnation, s.set.Model, s.set.Version})
			continue
		}
		f.byModel[s.set.Model] = append(f.byModel[s.set.Model], s)
	}
}

// drop forgets the sets of sessions that have the binding.
func (f *foreign) drop(b binding, now time.Time) {
	maps.DeleteFunc(f.byOrigin, func(o origin, _ foreignSet) bool { return o.model == b.model && o.version == b.version })
	f.age(now)
}

// seen returns the versions that the session may have had elsewhere, the latest first.
func (f *foreign) seen(model string, key uint64) []string {
	var versions []string
	data := binary.BigEndian.AppendUint64(nil, key)
	for _, s := range f.byModel[model] {
		if !slices.Contains(versions, s.set.Version) && s.filter.Test(data) {
			versions = append(versions, s.set.Version)
		}
	}
	return versions
}

// list returns the sets with their present age.
func (f *foreign) list(now time.Time) []Set {
	sets := make([]Set, 0, len(f.byOrigin))
	for _, s := range f.byOrigin {
		s.set.Age = now.Sub(s.takenAt)
		sets = append(sets, s.set)
	}
	return sets
}

// activeSets makes the sets of a VM's own sessions.
func activeSets(t *table, vm string, incarnation uint64) ([]Set, error) {
	keys := map[binding][]uint64{}
	t.each(func(key uint64, b binding) { keys[b] = append(keys[b], key) })
	sets := make([]Set, 0, len(keys))
	for b, list := range keys {
		filter := bloom.NewWithEstimates(uint(len(list)), falsePositives)
		for _, key := range list {
			filter.Add(binary.BigEndian.AppendUint64(nil, key))
		}
		data, err := filter.MarshalBinary()
		if err != nil {
			return nil, fmt.Errorf("set of %s/%s: %w", b.model, b.version, err)
		}
		sets = append(sets, Set{VM: vm, Incarnation: incarnation, Model: b.model, Version: b.version, Filter: data})
	}
	return sets, nil
}

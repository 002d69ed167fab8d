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
	// falsePositiveRate is per set, 0 to 1. It is low, since a new session that is found in a set by mistake may get a
	// halted version.
	falsePositiveRate = 1e-6
	// maxFilterBytes is the maximum size of one encoded filter, in bytes.
	maxFilterBytes = 4 << 20
	// maxRemoteBytes bounds the filters of all remote sets together, in bytes; expire drops the oldest beyond it.
	maxRemoteBytes = 16 << 20
)

// Set is a Bloom filter of the sessions that were active on a version on a VM.
type Set struct {
	VM string
	// Incarnation is the start of VM's process, in Unix nanoseconds.
	Incarnation uint64
	Model       string
	Version     string
	// Filter is the encoded Bloom filter of the sessions' keys.
	Filter []byte
	// Age is how long ago the VM built the set.
	Age time.Duration
}

// origin identifies a set; a VM's later set of the same origin replaces it.
type origin struct {
	vm          string
	incarnation uint64
	model       string
	version     string
}

// remoteSet is a set with its decoded filter. takenAt is when it was built, by this VM's clock.
type remoteSet struct {
	set     Set
	filter  *bloom.BloomFilter
	takenAt time.Time
}

// remoteSets holds the sets of other VMs, including VMs that have stopped, until they are older than the idle timeout.
type remoteSets struct {
	idleTimeout time.Duration
	byOrigin    map[origin]remoteSet
	// byModel has the sets of each model, the latest first.
	byModel map[string][]remoteSet
}

func newRemoteSets(idleTimeout time.Duration) *remoteSets {
	return &remoteSets{idleTimeout: idleTimeout, byOrigin: map[origin]remoteSet{}}
}

// add takes in the sets pulled from other VMs, keeps the later of two sets of the same origin, and removes expired
// ones. It returns the error of the last invalid set, if any; the others are kept. The Controller calls it after each
// pull.
func (r *remoteSets) add(sets []Set, now time.Time) error {
	var bad error
	for _, s := range sets {
		key := origin{s.VM, s.Incarnation, s.Model, s.Version}
		takenAt := now.Add(-s.Age)
		if old, ok := r.byOrigin[key]; ok && !takenAt.After(old.takenAt) {
			continue
		}
		filter, err := parseFilter(s.Filter)
		if err != nil {
			bad = fmt.Errorf("session set of VM %s: %w", s.VM, err)
			continue
		}
		r.byOrigin[key] = remoteSet{s, filter, takenAt}
	}
	r.expire(now)
	return bad
}

// parseFilter decodes a filter from another VM. It first checks the header against the size of the data,
// since the library allocates whatever the header asks for. add calls it.
func parseFilter(data []byte) (*bloom.BloomFilter, error) {
	// header is the bytes of the header: the number of bits, of hash functions, and of bits again, 8 bytes each.
	// maxHashes is the maximum number of hash functions.
	const header, maxHashes = 24, 64
	if len(data) < header || len(data) > maxFilterBytes {
		return nil, fmt.Errorf("session filter size of %d bytes is out of range", len(data))
	}
	bits, length := binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[header-8:])
	hashes := binary.BigEndian.Uint64(data[8:])
	words := uint64(len(data)-header) / 8
	if bits != length || bits == 0 || bits > words*64 || hashes > maxHashes {
		return nil, fmt.Errorf("session filter header is invalid: %d bits in %d words", bits, words)
	}
	var filter bloom.BloomFilter
	return &filter, filter.UnmarshalBinary(data)
}

// expire drops the sets older than the idle timeout, and the oldest ones beyond maxRemoteBytes. It rebuilds byModel.
// It is called every expireInterval and after each change of the sets.
func (r *remoteSets) expire(now time.Time) {
	list := make([]remoteSet, 0, len(r.byOrigin))
	for _, s := range r.byOrigin {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b remoteSet) int { return b.takenAt.Compare(a.takenAt) })
	r.byModel = map[string][]remoteSet{}
	size := 0
	for _, s := range list {
		size += len(s.set.Filter)
		if now.Sub(s.takenAt) > r.idleTimeout || size > maxRemoteBytes {
			delete(r.byOrigin, origin{s.set.VM, s.set.Incarnation, s.set.Model, s.set.Version})
			continue
		}
		r.byModel[s.set.Model] = append(r.byModel[s.set.Model], s)
	}
}

// drop removes the sets of sessions with the binding. The Controller calls it when the version is withdrawn.
func (r *remoteSets) drop(b binding, now time.Time) {
	maps.DeleteFunc(r.byOrigin, func(o origin, _ remoteSet) bool { return o.model == b.model && o.version == b.version })
	r.expire(now)
}

// possibleVersions returns the versions that the session may have had on other VMs, the latest first. The Controller
// calls it for a session without a usable version on this VM.
func (r *remoteSets) possibleVersions(model string, key uint64) []string {
	var versions []string
	data := binary.BigEndian.AppendUint64(nil, key)
	for _, s := range r.byModel[model] {
		if !slices.Contains(versions, s.set.Version) && s.filter.Test(data) {
			versions = append(versions, s.set.Version)
		}
	}
	return versions
}

// withAge returns the sets with their current age, to be passed on to a VM that pulls them.
func (r *remoteSets) withAge(now time.Time) []Set {
	sets := make([]Set, 0, len(r.byOrigin))
	for _, s := range r.byOrigin {
		s.set.Age = now.Sub(s.takenAt)
		sets = append(sets, s.set)
	}
	return sets
}

// activeSets builds one set per version from this VM's sessions. The Controller calls it when another VM pulls the sets
// and a binding has changed. On an error that VM gets no sets.
func activeSets(t *table, vm string, incarnation uint64) ([]Set, error) {
	keys := map[binding][]uint64{}
	t.each(func(key uint64, b binding) { keys[b] = append(keys[b], key) })
	sets := make([]Set, 0, len(keys))
	for b, list := range keys {
		filter := bloom.NewWithEstimates(uint(len(list)), falsePositiveRate)
		for _, key := range list {
			filter.Add(binary.BigEndian.AppendUint64(nil, key))
		}
		data, err := filter.MarshalBinary()
		if err != nil {
			return nil, fmt.Errorf("session set of version %s/%s: %w", b.model, b.version, err)
		}
		sets = append(sets, Set{VM: vm, Incarnation: incarnation, Model: b.model, Version: b.version, Filter: data})
	}
	return sets, nil
}

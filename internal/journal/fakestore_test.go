package journal_test

import (
	"context"
	"sync"
	"time"

	"cornelmux/internal/consul"
	"cornelmux/internal/task"
)

// fakeStore simulates the platform with a fixed latency. Each call gets the next of the faults, in turn; an empty one means
// that the call succeeds.
type fakeStore struct {
	mu      sync.Mutex
	values  map[string]consul.Value
	version uint64
	latency time.Duration
	faults  []string
	// callCount counts all calls, writeCount the writes that reached the store, conflicts included.
	callCount  int
	writeCount int
	// down makes every call fail.
	down bool
	// lateWrites counts the writes that take effect after their call has returned.
	lateWrites sync.WaitGroup
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]consul.Value{}, latency: time.Millisecond}
}

// nextFault returns the fault of the next call.
func (s *fakeStore) nextFault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	if s.down {
		return "unavailable"
	}
	if len(s.faults) == 0 {
		return ""
	}
	return s.faults[s.callCount%len(s.faults)]
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) setFaults(faults []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// simulateCall waits for the latency of a call, 7 seconds for a slow one, and returns an error if it is to fail.
func (s *fakeStore) simulateCall(ctx context.Context, fault string) error {
	d := s.latency
	if fault == "slow" {
		d = 7 * time.Second
	}
	if !task.Sleep(ctx, d) || fault == "unavailable" {
		return consul.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (consul.Value, error) {
	if err := s.simulateCall(ctx, s.nextFault()); err != nil {
		return consul.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], nil
}

// compareAndSwap writes the key if it has the version, and reports whether it did.
func (s *fakeStore) compareAndSwap(key string, data []byte, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeCount++
	if s.values[key].Version != version {
		return false
	}
	s.version++
	s.values[key] = consul.Value{Key: key, Data: data, Version: s.version}
	return true
}

// CAS implements journal.Store, with the faults that a write can meet.
func (s *fakeStore) CAS(ctx context.Context, key string, data []byte, version uint64) (bool, error) {
	fault := s.nextFault()
	if err := s.simulateCall(ctx, fault); err != nil {
		return false, err
	}
	switch fault {
	case "answer lost":
		s.compareAndSwap(key, data, version)
		return false, consul.ErrOutcomeUnknown
	case "late":
		s.lateWrites.Go(func() {
			task.Sleep(context.Background(), 100*time.Millisecond)
			s.compareAndSwap(key, data, version)
		})
		return false, consul.ErrOutcomeUnknown
	default:
		return s.compareAndSwap(key, data, version), nil
	}
}

func (s *fakeStore) Delete(_ context.Context, key string, version uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Version != version {
		return false, nil
	}
	delete(s.values, key)
	return true, nil
}

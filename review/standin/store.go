//go:build review

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store or, as a tombstone, its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_rev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease ends at expires; a renewal moves that to ttl after the renewal.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's key-value store, in memory. Each VM calls it at an address of its own, so that it can turn one VM away.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	// refused holds the VMs whose calls get 503.
	refused map[string]bool
}

// newStore returns an empty store whose leases expire until ctx ends.
func newStore(ctx context.Context) *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, refused: map[string]bool{}}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			s.expire(time.Now())
		}
	}()
	return s
}

// listen serves the store to one VM and returns the address.
func (s *store) listen(ctx context.Context, vm, ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.Calls+"key", s.key)
	mux.HandleFunc("GET "+wire.Calls+"range", s.keyRange)
	mux.HandleFunc("GET "+wire.Calls+"watch", s.watch)
	mux.HandleFunc("POST "+wire.Calls+"txn", s.transaction)
	mux.HandleFunc("POST "+wire.Calls+"lease", s.grant)
	mux.HandleFunc("POST "+wire.Calls+"keep/{lease}", s.keep)
	mux.HandleFunc("DELETE "+wire.Calls+"lease-end/{lease}", s.end)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuses(vm) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { server.Close() })
	return l.Addr().String(), nil
}

func (s *store) refuses(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[vm]
}

// refuse sets whether the calls of a VM get 503. Watches that wait are cut.
func (s *store) refuse(vm string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[vm] = on
}

// put sets a key to value as JSON, as the operator and the runners do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the program's own types always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, data, 0)
}

// delete removes a key.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) set(key string, value []byte, leaseID uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
}

// expire ends the leases that have run out, with their keys.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the VM has disconnected
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, i)
}

// pageItems is the greatest number of items of one page.
const pageItems = 500

func (s *store) keyRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	list := []item{}
	s.mu.Lock()
	revision := s.revision
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			list = append(list, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": list, "more_pages": more, "store_revision": revision})
}

// watch waits until there are changes after a revision.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		events := []item{}
		s.mu.Lock()
		revision := s.revision
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": max(revision, after)})
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected_revision"`
		Put      []item   `json:"put"`
		Delete   []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range body.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, wire.Runners) {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range body.Put {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Delete {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

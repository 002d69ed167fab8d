package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_rev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease ends at expires unless it is renewed for another ttl.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// content is all that a copy of the store holds.
type content struct {
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
}

// clone returns a copy that shares nothing which changes.
func (c content) clone() content {
	c.items, c.leases, c.history = maps.Clone(c.items), maps.Clone(c.leases), slices.Clone(c.history)
	return c
}

const (
	// pageItems is the number of items on a page, pollInterval how often a watch looks for changes.
	pageItems    = 500
	pollInterval = 5 * time.Millisecond
	// callPrefix begins the paths of the store's calls.
	callPrefix = "/v1/kv"
)

// store is the platform's store. Its revisions go back when it is restored from a copy.
type store struct {
	address string

	mu      sync.Mutex
	content content
	era     int
	away    bool
}

// newStore returns a store that listens on a free port of host.
func newStore(host string) (*store, error) {
	s := &store{era: 1, content: content{revision: 1, items: map[string]item{}, leases: map[uint64]lease{}}}
	mux := http.NewServeMux()
	for path, call := range map[string]func(*http.Request) (int, any){
		"GET " + callPrefix + "-key": s.key, "GET " + callPrefix + "-range": s.page, "GET " + callPrefix + "-watch": s.watch,
		"POST " + callPrefix + "-txn": s.commit, "POST " + callPrefix + "-lease": s.grant,
		"POST " + callPrefix + "-keep/{lease}": s.keep, "DELETE " + callPrefix + "-lease-end/{lease}": s.end,
	} {
		mux.HandleFunc(path, s.serve(call))
	}
	address, err := listen(host, mux)
	s.address = address
	return s, err
}

// serve answers a call; while the store is away, it closes the connection instead, with nothing done.
func (s *store) serve(call func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.isAway() {
			panic(http.ErrAbortHandler)
		}
		status, body := call(r)
		if s.isAway() {
			panic(http.ErrAbortHandler) // a watch that was waiting is cut
		}
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if body != nil {
			_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
		}
	}
}

// isAway reports whether the store is away, and ends leases that have run out.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.content.expire(time.Now())
	}
	return s.away
}

// expire ends the leases that have run out, with their keys.
func (c *content) expire(now time.Time) {
	for id, l := range c.leases {
		if now.Before(l.expires) {
			continue
		}
		c.endLease(id)
	}
}

func (c *content) endLease(id uint64) {
	delete(c.leases, id)
	for key, i := range c.items {
		if i.Lease == id {
			c.remove(key)
		}
	}
}

func (c *content) put(key string, value []byte, leaseID uint64) uint64 {
	c.revision++
	i := item{Key: key, Value: value, Revision: c.revision, Created: c.revision, Lease: leaseID}
	if before, ok := c.items[key]; ok {
		i.Created = before.Created
	}
	c.items[key] = i
	c.history = append(c.history, i)
	return c.revision
}

func (c *content) remove(key string) {
	if _, ok := c.items[key]; !ok {
		return
	}
	c.revision++
	delete(c.items, key)
	c.history = append(c.history, item{Key: key, Revision: c.revision, Tombstone: true})
}

// put sets a key, as the operator and the runners do, and returns its revision; false while the store is away.
func (s *store) put(key string, value any) (uint64, bool) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	return s.content.put(key, data, 0), true
}

// copyNow returns a copy of what the store holds now.
func (s *store) copyNow() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// leave takes the store away. comeBack brings it back from a copy, in the next era.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

func (s *store) comeBack(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content, s.away = c.clone(), false
	s.era++
}

// listBody answers reads of several items.
type listBody struct {
	Items    []item `json:"items,omitempty"`
	Events   []item `json:"events,omitempty"`
	More     bool   `json:"more_pages"`
	Revision uint64 `json:"store_revision"`
}

func (s *store) key(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.content.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, i
}

func (s *store) page(r *http.Request) (int, any) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	body := listBody{Revision: s.content.revision}
	for key, i := range s.content.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			body.Items = append(body.Items, i)
		}
	}
	slices.SortFunc(body.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(body.Items) > pageItems {
		body.Items, body.More = body.Items[:pageItems], true
	}
	return http.StatusOK, body
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		return http.StatusBadRequest, nil
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		body, gone, away := s.changes(after, q.Get("path_prefix"))
		switch {
		case gone:
			return http.StatusGone, nil
		case away, len(body.Events) > 0, time.Now().After(deadline), r.Context().Err() != nil:
			return http.StatusOK, body
		}
		time.Sleep(pollInterval)
	}
}

// changes returns what changed after a revision; gone says that the store doesn't have that revision.
func (s *store) changes(after uint64, prefix string) (body listBody, gone, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body.Revision = s.content.revision
	for _, i := range s.content.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			body.Events = append(body.Events, i)
		}
	}
	return body, after > s.content.revision, s.away
}

func (s *store) commit(r *http.Request) (int, any) {
	var body struct {
		Expected []item   `json:"expected_revision"`
		Put      []item   `json:"put"`
		Delete   []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.content
	for _, e := range body.Expected {
		if c.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, listBody{Items: []item{c.items[e.Key]}, Revision: c.revision}
		}
	}
	for _, p := range body.Put {
		if strings.HasPrefix(p.Key, operatorPrefix) || strings.HasPrefix(p.Key, runnerPrefix) {
			return http.StatusForbidden, nil
		}
		if _, ok := c.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range body.Put {
		c.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Delete {
		c.remove(key)
	}
	return http.StatusOK, map[string]uint64{"revision": c.revision}
}

// leaseBody is a lease; the TTL is in milliseconds.
type leaseBody struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttl_ms"`
}

func (s *store) grant(r *http.Request) (int, any) {
	var body leaseBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.revision++
	body.Lease = s.content.revision
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.content.leases[body.Lease] = lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, body
}

func (s *store) keep(r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.content.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	s.content.leases[id] = l
	return http.StatusOK, leaseBody{TTL: l.ttl.Milliseconds()}
}

func (s *store) end(r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.endLease(id)
	return http.StatusOK, nil
}

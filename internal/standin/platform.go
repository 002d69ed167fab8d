package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cornelmux/internal/consul"
	"cornelmux/internal/task"
)

// platformMailboxSize is the maximum number of messages that wait for a Platform; a call fails beyond it.
const platformMailboxSize = 1024

// record is a stored key as clients read it: its field names are the names in the JSON.
type record struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Platform is a stand-in of the platform: a key-value store with compare-and-swap and blocking queries, and a list of service
// instances. Run owns the state; ServeHTTP reaches it through the mailbox.
type Platform struct {
	mailbox chan platformMessage
	// index counts the changes.
	index   uint64
	records map[string]record
	// changedAt holds the index of the last change by scope: a key, or serviceScope of a service.
	changedAt map[string]uint64
	// instances are the registered instances by ID.
	instances map[string]consul.Instance
	// waiters are the open blocking queries.
	waiters []waiter
	counts  PlatformCounts
	faults  PlatformFaults
	// faultsChanged is closed when the faults are set, and then replaced.
	faultsChanged chan struct{}
}

// PlatformCounts counts the calls that the stand-in served. Writes include registrations and failed compare-and-swaps.
type PlatformCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// platformMessage is a message to the goroutine that owns a platform's state.
type platformMessage interface{ handle(*Platform) }

// waiter is a blocking query that waits until its scope changes beyond the index after.
type waiter struct {
	scope string
	after uint64
	wake  chan<- struct{}
}

// NewPlatform returns a platform with an empty store and no instances.
func NewPlatform() *Platform {
	return &Platform{
		mailbox:   make(chan platformMessage, platformMailboxSize),
		records:   map[string]record{},
		changedAt: map[string]uint64{},
		instances: map[string]consul.Instance{},

		faultsChanged: make(chan struct{}),
	}
}

// Run owns the state and handles messages until ctx ends.
func (p *Platform) Run(ctx context.Context) error { return handleAll(ctx, p.mailbox, p) }

type (
	// readMessage reads a key or, with recurse, every key with the prefix.
	readMessage struct {
		prefix  string
		recurse bool
		reply   chan<- readReply
	}
	readReply struct {
		records []record
		index   uint64
	}
	// writeMessage sets or removes a key. With cas it does so only if the key's index equals cas; 0 stands for no key.
	writeMessage struct {
		key    string
		data   []byte
		remove bool
		cas    *uint64
		reply  chan<- bool
	}
	// registerMessage registers or removes an instance.
	registerMessage struct {
		instance consul.Instance
		remove   bool
		reply    chan<- bool
	}
	// listMessage lists the instances of a service.
	listMessage struct {
		service string
		reply   chan<- listReply
	}
	listReply struct {
		instances []consul.Instance
		index     uint64
	}
	// watchMessage adds a waiter, or wakes it at once if its scope has already changed.
	watchMessage   struct{ waiter }
	unwatchMessage struct{ wake chan<- struct{} }
	countsMessage  struct{ reply chan<- PlatformCounts }
)

// handle replies with the records and the index of the key's last change. serveRead sends the message.
func (m readMessage) handle(p *Platform) {
	p.counts.Reads++
	r := readReply{index: max(p.changedAt[m.prefix], 1)}
	if !m.recurse {
		if rec, ok := p.records[m.prefix]; ok {
			r.records = append(r.records, rec)
		}
		m.reply <- r
		return
	}
	for k, rec := range p.records {
		if strings.HasPrefix(k, m.prefix) {
			r.records = append(r.records, rec)
		}
	}
	m.reply <- r
}

// handle writes the key unless compare-and-swap fails, and wakes those that wait for it. serveWrite sends the message.
func (m writeMessage) handle(p *Platform) {
	p.counts.Writes++
	if m.cas != nil && *m.cas != p.records[m.key].ModifyIndex {
		m.reply <- false
		return
	}
	p.index++
	if m.remove {
		delete(p.records, m.key)
	} else {
		p.records[m.key] = record{Key: m.key, Value: m.data, ModifyIndex: p.index}
	}
	p.markChanged(m.key)
	m.reply <- true
}

// handle changes the list and wakes those that wait for the service. A removal names only the ID. changeInstance sends the
// message.
func (m registerMessage) handle(p *Platform) {
	p.counts.Writes++
	p.index++
	service := m.instance.Service
	if old, ok := p.instances[m.instance.ID]; ok {
		service = old.Service
	}
	if m.remove {
		delete(p.instances, m.instance.ID)
	} else {
		p.instances[m.instance.ID] = m.instance
	}
	p.markChanged(serviceScope(service))
	m.reply <- true
}

// handle replies with the instances and the index of the service's last change.
func (m listMessage) handle(p *Platform) {
	p.counts.Reads++
	r := listReply{index: max(p.changedAt[serviceScope(m.service)], 1)}
	for _, i := range p.instances {
		if i.Service == m.service {
			r.instances = append(r.instances, i)
		}
	}
	m.reply <- r
}

func (m watchMessage) handle(p *Platform) {
	p.counts.Watches++
	if max(p.changedAt[m.scope], 1) > m.after {
		m.wake <- struct{}{}
		return
	}
	p.waiters = append(p.waiters, m.waiter)
}

func (m unwatchMessage) handle(p *Platform) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool { return w.wake == m.wake })
}

func (m countsMessage) handle(p *Platform) { m.reply <- p.counts }

// serviceScope is the scope of a service's instances. No key begins with a zero byte.
func serviceScope(service string) string { return "\x00" + service }

// markChanged records that the scope changed now, and wakes those that wait for it. Writes of a key and changes of
// the list of instances call it.
func (p *Platform) markChanged(scope string) {
	p.changedAt[scope] = p.index
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if w.scope == scope {
			w.wake <- struct{}{}
			continue
		}
		kept = append(kept, w)
	}
	p.waiters = kept
}

// Counts returns how many calls were served.
func (p *Platform) Counts(ctx context.Context) (PlatformCounts, error) {
	return task.Ask(ctx, p.mailbox, func(reply chan<- PlatformCounts) platformMessage { return countsMessage{reply} })
}

// ServeHTTP serves the key-value store, the list of instances, the call counts and the faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if path == "/faults" {
		p.serveFaults(w, r)
		return
	}
	if path != "/counts" && !p.applyRequestFaults(w, r) {
		return
	}
	switch {
	case strings.HasPrefix(path, "/v1/kv/") && r.Method == http.MethodGet:
		p.serveRead(w, r, strings.TrimPrefix(path, "/v1/kv/"))
	case strings.HasPrefix(path, "/v1/kv/"):
		p.serveWrite(w, r, strings.TrimPrefix(path, "/v1/kv/"))
	case strings.HasPrefix(path, "/v1/catalog/service/"):
		p.serveList(w, r, strings.TrimPrefix(path, "/v1/catalog/service/"))
	case path == "/v1/agent/service/register":
		p.serveRegister(w, r)
	case strings.HasPrefix(path, "/v1/agent/service/deregister/"):
		id := strings.TrimPrefix(path, "/v1/agent/service/deregister/")
		p.changeInstance(w, r, consul.Instance{ID: id}, true)
	case path == "/counts":
		counts, err := p.Counts(r.Context())
		writeJSON(w, counts, err)
	default:
		http.NotFound(w, r)
	}
}

// serveRead serves a GET of a key, blocking if the query asks for it.
func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, key string) {
	p.waitForChange(r, key)
	recurse := r.URL.Query().Has("recurse")
	got, err := task.Ask(r.Context(), p.mailbox, func(reply chan<- readReply) platformMessage {
		return readMessage{key, recurse, reply}
	})
	w.Header().Set("X-Consul-Index", strconv.FormatUint(got.index, 10))
	if err == nil && len(got.records) == 0 {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, got.records, err)
}

// serveWrite serves PUT and DELETE of a key, with compare-and-swap if the query has cas.
func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, consul.MaxValueBytes+1))
	if err != nil {
		return
	}
	if len(data) > consul.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	var cas *uint64
	if q := r.URL.Query(); q.Has("cas") {
		n, err := strconv.ParseUint(q.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, "bad cas", http.StatusBadRequest)
			return
		}
		cas = &n
	}
	ok, err := task.Ask(r.Context(), p.mailbox, func(reply chan<- bool) platformMessage {
		return writeMessage{key, data, r.Method == http.MethodDelete, cas, reply}
	})
	p.applyWriteFaults(r, key)
	writeJSON(w, ok, err)
}

// serveList serves the instances of a service, blocking if the query asks for it.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request, service string) {
	p.waitForChange(r, serviceScope(service))
	got, err := task.Ask(r.Context(), p.mailbox, func(reply chan<- listReply) platformMessage {
		return listMessage{service, reply}
	})
	w.Header().Set("X-Consul-Index", strconv.FormatUint(got.index, 10))
	if got.instances == nil {
		got.instances = []consul.Instance{}
	}
	writeJSON(w, got.instances, err)
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	var reg consul.Registration
	if err := json.NewDecoder(r.Body).Decode(&reg); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.changeInstance(w, r, consul.Instance{ID: reg.ID, Service: reg.Name, Address: reg.Address, Port: reg.Port, Meta: reg.Meta}, false)
}

// changeInstance registers or removes an instance and answers true.
func (p *Platform) changeInstance(w http.ResponseWriter, r *http.Request, i consul.Instance, remove bool) {
	ok, err := task.Ask(r.Context(), p.mailbox, func(reply chan<- bool) platformMessage {
		return registerMessage{i, remove, reply}
	})
	writeJSON(w, ok, err)
}

// waitForChange returns at once unless the request is a blocking query (parameters index and wait); then it waits until the
// scope has changed since index, for wait at most. serveRead and serveList call it before they read.
func (p *Platform) waitForChange(r *http.Request, scope string) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, waitErr := time.ParseDuration(q.Get("wait"))
	if err != nil || waitErr != nil || after == 0 {
		return
	}
	wake := make(chan struct{}, 1)
	if task.Tell(p.mailbox, platformMessage(watchMessage{waiter{scope, after, wake}})) != nil {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-wake:
		return
	case <-timer.C:
	case <-r.Context().Done():
	}
	_ = task.Tell(p.mailbox, platformMessage(unwatchMessage{wake})) // a waiter that remains costs one needless wake-up
}

// writeJSON answers with v, or with status 503 and the error.
func writeJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"cornelmux/internal/task"
	"cornelmux/platform/standin"
)

// store is the project's stand-in of the platform's store behind a front that may cut watches.
type store struct {
	*standin.Store
	address string
	// cutting says that watches are cut once they have waited for cutAfter; cuts counts them.
	cutting atomic.Bool
	cuts    atomic.Int64
	// cutAfter is how long a watch waits before it is cut.
	cutAfter time.Duration
}

// startStore starts the store.
func (s *site) startStore() (*store, error) {
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 1)
	inner, err := standin.NewStore(ctx, ends)
	if err != nil {
		cancel()
		return nil, err
	}
	st := &store{Store: inner}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	st.address = l.Addr().String()
	target, err := url.Parse("http://" + inner.Address)
	if err != nil {
		cancel()
		return nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0) // a cut watch ends a request of the proxy
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != names.WatchPath {
			proxy.ServeHTTP(w, r)
			return
		}
		st.watch(w, r, proxy)
	})}
	go func() { _ = server.Serve(l) }()
	s.atEnd(func() {
		server.Close()
		cancel()
		<-ends
	})
	return st, nil
}

// watch passes a watch on. A cut watch is ended in order, with nothing of an answer sent.
func (st *store) watch(w http.ResponseWriter, r *http.Request, proxy http.Handler) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answer := &heldAnswer{header: http.Header{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }() // the proxy panics if its request is cancelled
		proxy.ServeHTTP(answer, r.WithContext(ctx))
	}()
	began := time.Now()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(5 * time.Millisecond):
			if st.cutting.Load() && time.Since(began) >= st.cutAfter {
				cancel()
				<-done
				st.cut(w)
				return
			}
		}
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	if answer.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body) // fails only if the caller has left
}

// cut ends the connection of a watch in order.
func (st *store) cut(w http.ResponseWriter) {
	st.cuts.Add(1)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn.Close()
}

// heldAnswer keeps an answer.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(p []byte) (int, error) {
	if a.status == 0 {
		a.status = http.StatusOK
	}
	a.body = append(a.body, p...)
	return len(p), nil
}

// configure writes the operator's first configuration.
func (st *store) configure(ctx context.Context) error {
	route := func(name, prefix, kind, service string, timeout int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout,
			"target_latency_ms": 1000, "priority": 1, "max_attempts": 3, "allow_anonymous": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return st.Put(ctx, names.ConfigurationKey, map[string]any{
		"version": 7,
		"routes": []any{
			route("look", "/look/", "safe", "app", 2500, nil),
			route("book", "/book/", "unsafe", "app", 2500, nil),
			route("pick", "/pick/", "streaming", "models", 8000, map[string]any{"sizes": []string{modelName, "m2"}, "resume_streams": true}),
			route("write", "/write/", "streaming", "models", 8000, map[string]any{"resume_streams": true, "gap_target_ms": 800, "session_affinity": true}),
		},
		"services": []any{
			map[string]any{"name": "app", "health_check_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "models", "health_check_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, names.CacheTokens: 588056, "stride": 4, "models": []any{map[string]any{"name": modelName, "cost": 0.02}},
			}},
		},
		"tenants": []any{
			map[string]any{"name": "desk", "api_keys": []string{callerKey}, "priority": 1},
			map[string]any{"name": "crowd", "api_keys": []string{crowdKey}, "priority": 1},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// modelName is the only model.
const modelName = "m1"

// setEntry writes a runner's entry.
func (st *store) setEntry(ctx context.Context, r *runner) error {
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	}
	if _, err := json.Marshal(e); err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	return st.Put(ctx, names.RunnersPrefix+r.id, e)
}

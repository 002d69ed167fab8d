package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a runner for which it was meant.
type arrival struct {
	at      time.Time
	runner  string
	request string
	prompt  string
}

// runner is one start of a runner.
type runner struct {
	id, service, zone string
	address           string
	slots             int
	born              int64
	// work is how long a request that isn't streaming takes, events and gap the events of a stream and the time between two.
	work   time.Duration
	events int
	gap    time.Duration
	// crashes reports whether the runner crashes as it begins to answer the prompt.
	crashes func(prompt string) bool
	// crashed is called once, after a crash.
	crashed func(r *runner, request string)

	server   *http.Server
	listener net.Listener
	mu       sync.Mutex
	arrivals []arrival
	dead     bool
}

// start lets the runner listen.
func (r *runner) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener, r.address, r.born = l, l.Addr().String(), time.Now().UnixMilli()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return nil
}

// stop ends the runner with all its connections, and reports whether it ran.
func (r *runner) stop() bool {
	r.mu.Lock()
	dead := r.dead
	r.dead = true
	r.mu.Unlock()
	if !dead {
		r.server.Close()
	}
	return !dead
}

// seen returns the requests that have arrived so far.
func (r *runner) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival{}, r.arrivals...)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if q.URL.Path == "/health" {
		h.Set(names.Instance, r.id)
		return
	}
	id := q.Header.Get(names.RequestID)
	h.Set(names.RequestID, id)
	if want := q.Header.Get(names.ExpectedInstance); want != "" && want != r.id {
		h.Set(names.Instance, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt := q.Header.Get(names.PromptPrefix)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), r.id, id, prompt})
	r.mu.Unlock()
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if r.crashes != nil && r.crashes(prompt) {
		if r.stop() {
			r.crashed(r, id)
		}
		panic(http.ErrAbortHandler)
	}
	h.Set(names.Signature, r.id+"."+id)
	if q.Header.Get(names.Model) != "" {
		r.stream(q.Context(), w, id, q.Header.Get("Last-Event-Id"))
		return
	}
	if !pause(q.Context(), r.work) {
		return
	}
	text := "answer to " + id
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // fails only if the router has left
}

// stream writes the events after the one that the request names.
func (r *runner) stream(ctx context.Context, w http.ResponseWriter, id, after string) {
	w.Header().Set("Content-Type", "text/event-stream")
	n, err := strconv.Atoi(after)
	if err != nil {
		n = 0 // the stream begins
	}
	control := http.NewResponseController(w)
	for n++; n <= r.events; n++ {
		if !pause(ctx, r.gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s part %d\n\n", n, id, n); err != nil || control.Flush() != nil {
			return
		}
	}
}

// answer is what a caller got.
type answer struct {
	status   int
	complete bool
	body     string
	after    string
	err      error
}

// send sends a request to a VM. A prompt makes it one for a stream.
func send(ctx context.Context, client *http.Client, v *vm, method, path, id, prompt string, deadline time.Duration, fields map[string]string) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	body := io.Reader(nil)
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+v.address+path, body)
	if err != nil {
		return answer{err: err}
	}
	q.Host, q.GetBody = hostName, nil
	q.Header.Set("Authorization", "Bearer "+callerKey)
	q.Header.Set(names.RequestID, id)
	q.Header.Set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	if prompt != "" {
		q.Header.Set(names.Model, modelName)
		q.Header.Set(names.TokenCounts, "900,40")
		q.Header.Set(names.PromptPrefix, prompt)
	}
	for name, value := range fields {
		q.Header.Set(name, value)
	}
	resp, err := client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, err == nil, string(data), resp.Header.Get("Retry-After"), err}
}

// newClient returns a caller's client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

package main

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// proxyBufferBytes is the most that the proxy reads of an answer at once.
const proxyBufferBytes = 32 << 10

// proxy is the plain reverse proxy that the router is compared with. It copies the request and streams the answer. The targets
// are URLs.
type proxy struct {
	targets []string
	client  *http.Client
}

// target spreads requests evenly over the targets by their IDs.
func (p *proxy) target(r *http.Request) string {
	return p.targets[xxhash.Sum64String(r.Header.Get("X-Request-Id"))%uint64(len(p.targets))]
}

// ServeHTTP implements http.Handler.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The body is read first, since net/http may close it once the answer has begun.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, p.target(r)+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out.Header = r.Header.Clone()
	resp, err := p.client.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(w)
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil || rc.Flush() != nil {
				return
			}
		}
		if err != nil && err != io.EOF {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			return
		}
	}
}

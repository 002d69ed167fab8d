package metric

import (
	"net/http"
	"strings"
	"time"
)

// Transport counts the platform's calls on their way through Base.
type Transport struct {
	Base    http.RoundTripper
	Metrics *Metrics
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	start := time.Now()
	resp, err := t.Base.RoundTrip(r)
	status := 0
	if err == nil {
		status = resp.StatusCode
	}
	watch := r.URL.Query().Has("wait")
	t.Metrics.PlatformCall(r.Context(), r.Method, area(r.URL.Path), status, watch, time.Since(start))
	return resp, err
}

// CloseIdleConnections lets http.Client close the idle connections of Base.
func (t Transport) CloseIdleConnections() {
	client := http.Client{Transport: t.Base}
	client.CloseIdleConnections()
}

// area names what a call is about, without the parts of the path that vary.
func area(path string) string {
	parts := strings.Split(strings.TrimPrefix(path, "/v1/"), "/")
	if len(parts) < 2 || parts[0] != "kv" {
		return parts[0]
	}
	if len(parts) > 2 && parts[1] == "cornelmux" {
		return parts[2]
	}
	return parts[1]
}

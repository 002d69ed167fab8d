package metric

import (
	"net/http"
	"strings"
	"time"
)

// Transport is an http.RoundTripper that records the calls of the platform made through Base.
type Transport struct {
	Base    http.RoundTripper
	Metrics *Metrics
}

// RoundTrip implements http.RoundTripper. A call with the parameter "wait" is a watch.
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

// CloseIdleConnections closes the idle connections of Base. http.Client calls it.
func (t Transport) CloseIdleConnections() {
	client := http.Client{Transport: t.Base}
	client.CloseIdleConnections()
}

// area returns the label for the path of a call: the part of the platform's API or, for Cornelmux's own keys, their first
// part. The rest of the path varies and would make too many time series.
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

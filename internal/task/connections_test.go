package task

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// limitedServer serves on a free port with bounds on its connections. Each request is received whole, and then waits until ends is
// closed; began gets one element for each that runs.
func limitedServer(t *testing.T, limits ConnectionLimits, began chan<- struct{}, ends <-chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: hangLimit, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil || !Received(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		began <- struct{}{}
		<-ends
	})}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan End, 1)
	Start(ctx, "server", stopped, ServeLimited(server, l, limits, 0, logr.Discard()))
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return l.Addr().String()
}

// TestNewCallerGetsInBesideConnectionsThatStay guards against connections without a whole request that keep others out, and against
// requests that are given up though they run.
func TestNewCallerGetsInBesideConnectionsThatStay(t *testing.T) {
	const whole = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
	tests := []struct {
		name string
		// stays is what each of the others sends.
		stays string
	}{
		{"nothing", ""},
		{"part of a head", "POST / HTTP/1.1\r\nHo"},
		{"part of a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const limit = 3
			began, ends := make(chan struct{}, 2), make(chan struct{})
			address := limitedServer(t, ConnectionLimits{Open: limit}, began, ends)
			first := dialCaller(t, address)
			first.write(t, whole)
			<-began
			for range 3 * limit {
				dialCaller(t, address).write(t, test.stays)
			}
			last := dialCaller(t, address)
			last.write(t, whole)
			<-began
			close(ends)
			for _, c := range []caller{first, last} {
				qt.Check(t, c.answer(), qt.Equals, "")
			}
		})
	}
}

package task

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRequestsOfManyHeaderFieldsAreRefused guards against a head whose fields take many times as much memory as it has bytes. Lines of
// bodies don't count, nor those of requests before on the connection.
func TestRequestsOfManyHeaderFieldsAreRefused(t *testing.T) {
	const without = 3 // the lines of a head without further fields: the request line, Host and Content-Length
	tests := []struct {
		name string
		// fields and bodyLines are those of each of the requests on the connection.
		fields, bodyLines, requests int
		status                      int
	}{
		{"as many as allowed", maxHeaderFields - without, 0, 1, http.StatusOK},
		{"one more", maxHeaderFields - without + 1, 0, 1, http.StatusBadRequest},
		{"many more", 100 * maxHeaderFields, 0, 1, http.StatusBadRequest},
		{"as many as allowed, three times", maxHeaderFields - without, 0, 3, http.StatusOK},
		{"lines in bodies", 10, 10 * maxHeaderFields, 3, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			ctx, cancel := context.WithCancel(t.Context())
			ends := make(chan End, 1)
			Start(ctx, "server", ends, Serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // fails only if the caller has disconnected
				w.WriteHeader(http.StatusOK)
			})}, l, 0))
			conn, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			r := bufio.NewReader(conn)
			for range test.requests {
				fields, body := strings.Repeat("X: y\r\n", test.fields), strings.Repeat("\n", test.bodyLines)
				_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n%s", len(body), fields, body) // shows at the answer
				resp, err := http.ReadResponse(r, nil)
				qt.Assert(t, err, qt.IsNil)
				resp.Body.Close()
				qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			}
			conn.Close()
			cancel()
			<-ends
		})
	}
}

package endpoint

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
)

// TestMalformedHeadIsBroken guards against answers whose heads hold what HTTP doesn't allow, which callers got without those lines.
func TestMalformedHeadIsBroken(t *testing.T) {
	const length = "Content-Length: 2\r\n"
	tests := []struct {
		name, text string
		broken     bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nX-Good: v\r\n" + length + "\r\nok", false},
		{"every token character", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\n" + length + "\r\nok", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nBad Name: v\r\n" + length + "\r\nok", true},
		{"blank after a name", "HTTP/1.1 200 OK\r\nX-Bad : v\r\n" + length + "\r\nok", true},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX-B\x01ad: v\r\n" + length + "\r\nok", true},
		{"status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\nok", true},
		{"status 099", "HTTP/1.1 099 OK\r\n" + length + "\r\nok", true},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nBad Name: v\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nok", true},
		{"blank in a name of the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: v\r\n\r\n", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			ends := make(chan task.End, 1)
			task.Start(t.Context(), "service", ends, serveOnce(l, test.text, false))
			_, body, err := readAll(l.Addr().String(), Call{RunID: "r1", Method: http.MethodPost, Path: "/", Body: []byte("x")})
			<-ends
			if test.broken {
				qt.Check(t, err, qt.ErrorIs, ErrBroken)
				return
			}
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, body, qt.Equals, "ok")
		})
	}
}

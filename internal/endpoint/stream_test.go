package endpoint

import (
	"context"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
)

// TestAnswerKeepsItsEncoding guards against an encoded body that the caller can't tell from a plain one.
func TestAnswerKeepsItsEncoding(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
	tests := []struct {
		name, fields, want string
	}{
		{"none", "", ""},
		{"an encoding", "Content-Encoding: br\r\n", "br"},
		{"two encodings", "Content-Encoding: br, gzip\r\n", "br, gzip"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			ends := make(chan task.End, 1)
			task.Start(context.Background(), "endpoint", ends, serveOnce(l, head+test.fields+"\r\ntext", false))
			h, body, err := readAll(l.Addr().String(), Call{RunID: "r", Method: http.MethodGet, Path: "/"})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, body, qt.Equals, "text")
			got := ""
			for _, f := range h.Fields {
				if f.Name == "Content-Encoding" {
					got = f.Value
				}
			}
			qt.Check(t, got, qt.Equals, test.want)
			qt.Check(t, (<-ends).Err, qt.IsNil)
		})
	}
}

package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
)

// TestCutAnswerToAnUploadIsBroken guards against a part of an answer that passes for all of it: a service answers a long upload at once,
// without a length, and resets the connection, which shows as a failed write and reads like an answer that ended in order.
func TestCutAnswerToAnUploadIsBroken(t *testing.T) {
	const uploads, uploadBytes, pause = 20, 4 << 20, 5 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ends := make(chan task.End, 1)
	task.Start(t.Context(), "service", ends, func(ctx context.Context) error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))                // its body isn't read
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+"part") // a failed write shows at the client
			task.Sleep(ctx, pause)
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed socket
			conn.Close()
		}
	})
	defer func() {
		l.Close()
		<-ends
	}()
	for _, idempotent := range []bool{true, false} {
		complete := 0
		client := NewClient(time.Second, time.Second)
		for range uploads {
			call := Call{RunID: "r1", Idempotent: idempotent, Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), uploadBytes)}
			stream, err := client.Open(t.Context(), Endpoint{ID: "e1", Address: l.Addr().String()}, call, func() error { return nil })
			if err != nil {
				continue
			}
			if f, err := stream.Next(); err == nil && f.Chunk.Last {
				complete++
			}
			stream.Close()
		}
		qt.Check(t, complete, qt.Equals, 0, qt.Commentf("of %d, idempotent %t", uploads, idempotent))
	}
}

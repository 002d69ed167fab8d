package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"cornelmux/internal/task"
)

// sendAttempts is high enough to hit a write that races with the failing check.
const sendAttempts = 50

// recordConnection accepts one connection and returns all bytes received on it.
func recordConnection(l net.Listener, got chan<- []byte) func(context.Context) error {
	return func(context.Context) error {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		data, err := io.ReadAll(conn)
		got <- data
		return err
	}
}

// TestRefusedSendCheckSendsNoByte guards against a request that leaves although the send check failed.
func TestRefusedSendCheckSendsNoByte(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	rows := []struct {
		name string
		call Call
	}{
		{"pooled connection", Call{RunID: "r", Method: "POST", Path: "/send", Idempotent: true}},
		{"dedicated connection", Call{RunID: "r", Method: "POST", Path: "/send"}},
		{"resumed run", Call{RunID: "r", Chat: true, Body: []byte("{}"), Resume: true}},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			client := NewClient(time.Second, time.Second)
			defer client.Close()
			refusal := errors.New("withdrawn")
			for range sendAttempts {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				got, ends := make(chan []byte, 1), make(chan task.End, 1)
				task.Start(context.Background(), "listener", ends, recordConnection(l, got))
				_, err = client.Open(context.Background(), Endpoint{Address: l.Addr().String()}, row.call, func() error { return refusal })
				c.Assert(err, qt.Equals, refusal)
				c.Assert((<-ends).Err, qt.IsNil)
				c.Assert(<-got, qt.HasLen, 0)
				l.Close()
			}
		})
	}
}

// TestNonIdempotentCallIsSentOnceOnItsOwnConnection guards against a refusal that an engine wrote once more on a connection in
// use before, and against a second send by net/http: a call that may run once has a connection of its own, and a refusal there
// is its own.
func TestNonIdempotentCallIsSentOnceOnItsOwnConnection(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name string
		call Call
		// answer is what the endpoint writes after each request.
		answer string
		want   error
	}{
		{"refused twice", Call{RunID: "r", Chat: true, Body: []byte("{}")}, refusal + refusal, nil},
		{"GET, closed without an answer", Call{RunID: "r", Method: http.MethodGet, Path: "/"}, "", ErrBroken},
		{"POST, closed without an answer", Call{RunID: "r", Method: http.MethodPost, Path: "/", Body: []byte("x")}, "", ErrBroken},
	}
	for _, test := range tests {
		qt.New(t).Run(test.name, func(c *qt.C) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			requests, ends := make(chan int, 64), make(chan task.End, 1)
			task.Start(context.Background(), "listener", ends, func(context.Context) error {
				for {
					conn, err := l.Accept()
					if err != nil {
						return nil
					}
					buffered := bufio.NewReader(conn)
					for n := 0; ; n++ {
						r, err := http.ReadRequest(buffered)
						if err != nil {
							break
						}
						_, _ = io.Copy(io.Discard, r.Body) // a request that is cut off shows at the next read
						requests <- n
						_, _ = io.WriteString(conn, test.answer) // a failed write shows at the next read
						if test.answer == "" {
							break
						}
					}
					conn.Close()
				}
			})
			client := NewClient(time.Second, time.Second)
			for range 3 {
				_, err := client.Open(context.Background(), Endpoint{Address: l.Addr().String()}, test.call, func() error { return nil })
				var refused *RefusedError
				if test.want == nil {
					c.Check(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
				} else {
					c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				}
				c.Check(<-requests, qt.Equals, 0)
				c.Check(requests, qt.HasLen, 0)
			}
			client.Close()
			l.Close()
			c.Check((<-ends).Err, qt.IsNil)
		})
	}
}

// TestEndlessHeadIsGivenUp guards against an endpoint whose answer's head never ends, which would be kept until memory runs out.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	// most is what may be sent before the connection is closed, with what the sockets buffer.
	const most = 9 << 20
	tests := []struct {
		name string
		call Call
	}{
		{"pooled connection", Call{RunID: "r1", Method: http.MethodGet, Path: "/", Idempotent: true}},
		{"dedicated connection", Call{RunID: "r1", Method: http.MethodGet, Path: "/"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			sent, ends := make(chan int, 1), make(chan task.End, 1)
			task.Start(t.Context(), "endpoint", ends, func(context.Context) error {
				defer l.Close()
				conn, err := l.Accept()
				if err != nil {
					return err
				}
				defer conn.Close()
				n, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
				for more := 0; err == nil; n += more {
					more, err = io.WriteString(conn, strings.Repeat("x", 4<<10))
				}
				sent <- n
				return nil
			})
			client := NewClient(time.Second, time.Minute)
			defer client.Close()
			_, err = client.Open(t.Context(), Endpoint{ID: "e1", Address: l.Addr().String()}, test.call, func() error { return nil })
			qt.Check(t, errors.Is(err, ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
			n := <-sent
			qt.Check(t, n <= most, qt.IsTrue, qt.Commentf("%d bytes", n))
			qt.Check(t, (<-ends).Err, qt.IsNil)
		})
	}
}

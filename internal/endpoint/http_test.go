package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
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

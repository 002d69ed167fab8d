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

// gateTries is high enough to meet a write that races with the refusal.
const gateTries = 50

// received accepts one connection and returns what came on it until its end.
func received(l net.Listener, got chan<- []byte) func(context.Context) error {
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

func TestGateThatRefusesLetsNoByteOut(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	rows := []struct {
		name string
		call Call
	}{
		{"pooled connection", Call{RunID: "r", Method: "POST", Path: "/send", Idempotent: true}},
		{"own connection", Call{RunID: "r", Method: "POST", Path: "/send"}},
		{"resumed run", Call{RunID: "r", Chat: true, Body: []byte("{}"), Resume: true}},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			client := NewClient(time.Second, time.Second)
			defer client.Close()
			refusal := errors.New("withdrawn")
			for range gateTries {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				got, ends := make(chan []byte, 1), make(chan task.End, 1)
				task.Start(context.Background(), "listener", ends, received(l, got))
				_, err = client.Open(context.Background(), Endpoint{Address: l.Addr().String()}, row.call, func() error { return refusal })
				c.Assert(err, qt.Equals, refusal)
				c.Assert((<-ends).Err, qt.IsNil)
				c.Assert(<-got, qt.HasLen, 0)
				l.Close()
			}
		})
	}
}

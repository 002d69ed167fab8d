package fleet

import (
	"context"
	"io"
	"net"

	"cornelmux/internal/task"
)

// relayMode is what a relay does with connections.
type relayMode int

const (
	relayPass relayMode = iota
	relayRefuse
	// relaySilent keeps open connections open and passes nothing on them; new ones work.
	relaySilent
)

// relay stands between two processes and can cut them off from each other or let open connections go silent.
type relay struct {
	address string
	target  string
	mailbox chan relayMessage
}

type relayMessage struct {
	mode  *relayMode
	conn  net.Conn
	reply chan struct{}
}

func newRelay(ctx context.Context, target string, ends chan<- task.End) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{address: l.Addr().String(), target: target, mailbox: make(chan relayMessage)}
	task.Start(ctx, "relay", ends, func(ctx context.Context) error {
		inner := make(chan task.End, 1)
		task.Start(ctx, "accept", inner, func(ctx context.Context) error { return r.accept(ctx, l) })
		r.run(ctx)
		l.Close()
		<-inner
		return nil
	})
	return r, nil
}

// set changes the mode; relayRefuse also cuts open connections.
func (r *relay) set(m relayMode) {
	reply := make(chan struct{})
	r.mailbox <- relayMessage{mode: &m, reply: reply}
	<-reply
}

func (r *relay) accept(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return nil
		}
		select {
		case r.mailbox <- relayMessage{conn: conn}:
		case <-ctx.Done():
			conn.Close()
		}
	}
}

func (r *relay) run(ctx context.Context) {
	mode := relayPass
	silence := make(chan struct{})
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.mailbox:
			switch {
			case m.mode != nil:
				mode = *m.mode
				if mode == relaySilent {
					close(silence)
					silence, mode = make(chan struct{}), relayPass
				}
				if mode == relayRefuse {
					for _, c := range open {
						c.Close()
					}
					open = nil
				}
				close(m.reply)
			case mode == relayRefuse:
				m.conn.Close()
			default:
				back, err := net.Dial("tcp", r.target)
				if err != nil {
					m.conn.Close()
					continue
				}
				open = append(open, m.conn, back)
				go pump(m.conn, back, silence)
				go pump(back, m.conn, silence)
			}
		}
	}
}

// pump copies until an end closes; once silence closes it swallows what comes.
func pump(to, from net.Conn, silence <-chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-silence:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

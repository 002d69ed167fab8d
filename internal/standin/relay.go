package standin

import (
	"context"
	"io"
	"net"
	"time"

	"cornelmux/internal/task"
)

// RelayMode is how a relay treats connections.
type RelayMode int

// The values of RelayMode. RelayOneWay and RelayDelay affect only connections opened while the mode is set, for as long as
// they last.
const (
	// RelayPass passes on everything.
	RelayPass RelayMode = iota
	// RelayRefuse cuts open connections and closes new ones at once.
	RelayRefuse
	// RelaySilent keeps open connections open and discards what is sent on them; new ones work.
	RelaySilent
	// RelayReset cuts open connections; new ones work.
	RelayReset
	// RelayOneWay passes on what the client sends and discards the answers.
	RelayOneWay
	// RelayDelay delays both directions by relayDelay.
	RelayDelay
)

// relayDelay is how long a delaying relay waits after each read.
const relayDelay = 150 * time.Millisecond

// Relay is a TCP relay between two processes that injects network faults.
type Relay struct {
	// Address is where the relay listens.
	Address string
	// target is the address that connections are relayed to.
	target  string
	mailbox chan relayMessage
}

// relayMessage sets the mode, if mode is set, or brings an accepted connection. Reply is closed once the mode is in force.
type relayMessage struct {
	mode  *RelayMode
	conn  net.Conn
	reply chan struct{}
}

// NewRelay starts a relay to the target that runs until ctx ends; its end is reported on ends. Tests of fleet and soak
// call it.
func NewRelay(ctx context.Context, target string, ends chan<- task.End) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), target: target, mailbox: make(chan relayMessage)}
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

// Set changes the mode and returns once it is in force.
func (r *Relay) Set(m RelayMode) {
	reply := make(chan struct{})
	r.mailbox <- relayMessage{mode: &m, reply: reply}
	<-reply
}

// accept passes accepted connections to run until the listener is closed. NewRelay starts it as a task.
func (r *Relay) accept(ctx context.Context, l net.Listener) error {
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

// run owns the mode and the open connections until ctx ends, and closes the connections then. NewRelay starts it.
func (r *Relay) run(ctx context.Context) {
	mode := RelayPass
	silenced := make(chan struct{})
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
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
				if mode == RelaySilent {
					close(silenced)
					silenced, mode = make(chan struct{}), RelayPass
				}
				if mode == RelayRefuse || mode == RelayReset {
					for _, c := range conns {
						c.Close()
					}
					conns = nil
				}
				if mode == RelayReset {
					mode = RelayPass
				}
				close(m.reply)
			case mode == RelayRefuse:
				m.conn.Close()
			default:
				upstream, err := net.Dial("tcp", r.target)
				if err != nil {
					m.conn.Close()
					continue
				}
				conns = append(conns, m.conn, upstream)
				go forward(m.conn, upstream, silenced, mode == RelayOneWay, mode == RelayDelay)
				go forward(upstream, m.conn, silenced, false, mode == RelayDelay)
			}
		}
	}
}

// forward copies from one connection to the other until one of them closes. If discard is true, or once silenced is closed,
// it reads and drops the data instead. With delay it waits relayDelay after each read. run starts one for each direction of
// a connection.
func forward(to, from net.Conn, silenced <-chan struct{}, discard, delay bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-silenced:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if delay {
			<-time.After(relayDelay)
		}
		if n > 0 && !discard {
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

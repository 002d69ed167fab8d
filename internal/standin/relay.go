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
		if task.TellUntil(ctx, r.mailbox, relayMessage{conn: conn}) != nil {
			conn.Close()
		}
	}
}

// relayState is what run of a Relay owns.
type relayState struct {
	mode RelayMode
	// conns are the connections of both sides that the relay has opened or accepted and not cut.
	conns []net.Conn
	// silenced is closed by RelaySilent and then replaced.
	silenced chan struct{}
}

// run owns the mode and the open connections until ctx ends, and closes the connections then. NewRelay starts it.
func (r *Relay) run(ctx context.Context) {
	s := relayState{mode: RelayPass, silenced: make(chan struct{})}
	defer s.cut()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.mailbox:
			if m.mode != nil {
				s.set(*m.mode)
				close(m.reply)
				continue
			}
			s.connect(m.conn, r.target)
		}
	}
}

// cut closes the open connections.
func (s *relayState) cut() {
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// set changes the mode. RelaySilent and RelayReset affect only open connections, so RelayPass follows them.
func (s *relayState) set(mode RelayMode) {
	s.mode = mode
	switch mode {
	case RelaySilent:
		close(s.silenced)
		s.silenced, s.mode = make(chan struct{}), RelayPass
	case RelayRefuse:
		s.cut()
	case RelayReset:
		s.cut()
		s.mode = RelayPass
	}
}

// connect relays an accepted connection to the target, or closes it if the mode or the target refuses it.
func (s *relayState) connect(conn net.Conn, target string) {
	if s.mode == RelayRefuse {
		conn.Close()
		return
	}
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		conn.Close()
		return
	}
	s.conns = append(s.conns, conn, upstream)
	go forward(conn, upstream, s.silenced, s.mode == RelayOneWay, s.mode == RelayDelay)
	go forward(upstream, conn, s.silenced, false, s.mode == RelayDelay)
}

// forward copies from one connection to the other until one of them closes. If discard is true, or once silenced is closed,
// it reads and drops the data instead. With delay it waits relayDelay after each read. connect starts one for each direction of
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

package task

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/go-logr/logr"
)

const (
	// connectionsMailboxSize bounds the messages of connections that wait for a server's task; connections wait while it is full.
	connectionsMailboxSize = 256
	// turnBytes is how much is read of one connection until all others that can go on have had their turn of the processor.
	turnBytes = 16 << 10
	// lastWait is how long a drained server still takes connections and first bytes of requests that are on their way.
	lastWait = 50 * time.Millisecond
	// maxHeaderFields bounds the header fields of a request, the request line counted with them. Short ones take many times as much memory as they have bytes.
	maxHeaderFields = 256
)

// errTooManyFields ends the reading of a request with more than maxHeaderFields.
var errTooManyFields = errors.New("too many header fields")

// errDrained ends Accept once a server is drained.
var errDrained = errors.New("the server accepts no connections any more")

// drainCause is the cause of the end of the context of a server's connections.
type drainCause struct{ began time.Time }

// Error implements error.
func (drainCause) Error() string { return "the server is drained" }

// Serve returns a task that serves HTTP on the TCP listener until its context ends, and then drains the server within the grace
// period; a grace of 0 closes all connections at once. The VMs of packages entry and platform serve with it.
func Serve(server *http.Server, l net.Listener, grace time.Duration) func(context.Context) error {
	return ServeLimited(server, l, ConnectionLimits{}, grace, logr.Discard())
}

// ServeLimited is Serve with bounds on the connections; those that are closed for others are logged.
func ServeLimited(
	server *http.Server, l net.Listener, limits ConnectionLimits, grace time.Duration, log logr.Logger,
) func(context.Context) error {
	s := NewServer(server, l, limits, log)
	return func(ctx context.Context) error {
		runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		ends := make(chan End, 1)
		Start(runCtx, "server", ends, s.Run)
		select {
		case end := <-ends:
			return end.Err
		case <-ctx.Done():
		}
		if grace > 0 {
			drainCtx, cancel := context.WithTimeout(runCtx, grace)
			defer cancel()
			_ = s.Drain(drainCtx) // requests that are cut off report their own errors
		}
		cancel()
		return (<-ends).Err
	}
}

// Server is a task that serves HTTP on one listener and follows its open connections. Unlike Shutdown of net/http, which drops
// requests that it is reading, Drain lets each request of which a byte was read have its answer.
type Server struct {
	http     *http.Server
	listener *listener
	// drain ends the context of the listener and its connections by a drainCause.
	drain  context.CancelCauseFunc
	limits ConnectionLimits
	log    logr.Logger
	// changes tells the task how the connections stand.
	changes chan change
	// drained is closed once no connection is open after Drain, stopped when the task ends.
	drained, stopped chan struct{}
}

// NewServer returns a server for the TCP listener; Run starts it. It sets the ConnState of server, and its ConnContext if
// there are limits.
func NewServer(server *http.Server, l net.Listener, limits ConnectionLimits, log logr.Logger) *Server {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Server{
		http: server, drain: cancel, limits: limits, log: log,
		changes: make(chan change, connectionsMailboxSize), drained: make(chan struct{}), stopped: make(chan struct{}),
	}
	s.listener = &listener{l.(*net.TCPListener), ctx, server.ReadHeaderTimeout, s, time.Time{}}
	server.ConnState = s.connState
	if limits != (ConnectionLimits{}) {
		narrowAll(server, s.listener.TCPListener)
	}
	return s
}

// Run serves until ctx ends, and then closes all connections that are open.
func (s *Server) Run(ctx context.Context) error {
	defer func() { s.drain(drainCause{time.Now()}) }()
	ends := make(chan End, 1)
	Start(ctx, "listener", ends, func(context.Context) error { return s.http.Serve(s.listener) })
	conns := &connections{limits: s.limits, log: s.log, index: map[*connection]int{}}
	open, accepting, drained := 0, true, false
	for {
		select {
		case ch := <-s.changes:
			open += ch.count()
			conns.apply(ch)
		case end := <-ends:
			if !errors.Is(end.Err, errDrained) {
				close(s.stopped)
				return end.Err
			}
			accepting = false
			for len(s.changes) > 0 { // connections that were accepted before the end
				ch := <-s.changes
				open += ch.count()
				conns.apply(ch)
			}
		case <-ctx.Done():
			close(s.stopped)
			_ = s.http.Close() // requests that it cuts off report their own errors
			if accepting {
				<-ends
			}
			return ctx.Err()
		}
		if !accepting && !drained && open == 0 {
			drained = true
			close(s.drained)
		}
	}
}

// Drain takes no new connections and requests, and waits until those in flight have ended, at most until ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.drain(drainCause{time.Now()})
	select {
	case <-s.drained:
		return nil
	case <-s.stopped:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connState is the ConnState of the server; the goroutine that serves conn calls it, and the one that accepts it for a new one. The
// latter waits until the task has made room.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	c := conn.(*connection)
	c.serving = state == http.StateActive
	if state == http.StateIdle {
		c.begun, c.kept, c.head = false, true, head{}
	}
	ch := change{
		conn: c, phase: phaseOf(state), at: time.Now(),
		opened: state == http.StateNew, closed: state == http.StateHijacked || state == http.StateClosed,
	}
	if !ch.opened {
		s.tell(ch)
		return
	}
	s.ask(ch)
}

// ask tells the task of a change, and reports whether the connection is still open afterwards.
func (s *Server) ask(ch change) bool {
	kept := make(chan bool, 1)
	ch.kept = kept
	s.tell(ch)
	select {
	case ok := <-kept:
		return ok
	case <-s.stopped:
		return false
	}
}

// tell tells the task of a change, unless it has ended.
func (s *Server) tell(ch change) {
	select {
	case s.changes <- ch:
	case <-s.stopped:
	}
}

// listener accepts connections until draining ends, and then those that are waiting.
type listener struct {
	*net.TCPListener
	draining      context.Context
	headerTimeout time.Duration
	server        *Server
	// until is when Accept ends after draining has ended.
	until time.Time
}

// Accept implements net.Listener. The server's listener task calls it.
func (l *listener) Accept() (net.Conn, error) {
	interrupted := interrupt(l.draining, l.SetDeadline)
	conn, err := l.AcceptTCP()
	if interrupted() {
		if l.until.IsZero() {
			l.until = time.Now().Add(lastWait)
		}
		_ = l.SetDeadline(l.until)
		if err != nil {
			conn, err = l.AcceptTCP()
		}
		if err != nil {
			return nil, errDrained
		}
	}
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: conn, draining: l.draining, headerTimeout: l.headerTimeout, server: l.server}, nil
}

// connection is a caller's connection. Once draining ends, it ends between two requests, but not within one.
type connection struct {
	*net.TCPConn
	draining      context.Context
	headerTimeout time.Duration
	server        *Server
	// begun says that a byte of the present request was read, kept that a request was answered before. net/http reads one call at
	// a time.
	begun, kept bool
	head        head
	// serving says that a request's head is whole, partial that the task knows of a part of one; turn counts the bytes read in the
	// present turn.
	serving, partial bool
	turn             int
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	if c.turn >= turnBytes {
		c.turn = 0
		runtime.Gosched()
	}
	n, err := c.read(p)
	c.turn += n
	if c.head.add(p[:n]); c.head.lines > maxHeaderFields {
		return 0, errTooManyFields
	}
	c.tellPartialHead(n)
	return n, err
}

// tellPartialHead tells the task once if a request's head isn't whole with the n bytes that came. Read calls it.
func (c *connection) tellPartialHead(n int) {
	partial := n > 0 && !c.serving && !c.head.ended
	if partial && !c.partial {
		c.server.tell(change{conn: c, phase: PhaseHead, at: time.Now()})
	}
	c.partial = partial
}

// read reads what comes next, unless draining has ended and no byte of the next request came. Read calls it.
func (c *connection) read(p []byte) (int, error) {
	if c.begun {
		return c.TCPConn.Read(p)
	}
	if c.kept && c.drainedLongAgo() {
		return 0, io.EOF
	}
	interrupted := interrupt(c.draining, c.SetReadDeadline)
	n, err := c.TCPConn.Read(p)
	if interrupted() {
		if n == 0 {
			_ = c.SetReadDeadline(time.Now().Add(lastWait))
			n, err = c.TCPConn.Read(p)
		}
		_ = c.SetReadDeadline(deadlineAfter(c.headerTimeout))
	}
	c.begun = n > 0
	return n, err
}

// head counts the lines of a request's head as it arrives.
type head struct {
	lines int
	// blank says that the present line is empty so far, ended that the head is whole.
	blank, ended bool
}

// add counts the next bytes of the request, up to the end of its head.
func (h *head) add(p []byte) {
	for _, b := range p {
		switch {
		case h.ended:
			return
		case b == '\n' && h.blank:
			h.ended = true
		case b == '\n':
			h.lines++
			h.blank = true
		case b != '\r':
			h.blank = false
		}
	}
}

// drainedLongAgo reports whether draining ended more than lastWait ago, so that no further request is taken.
func (c *connection) drainedLongAgo() bool {
	cause, ok := context.Cause(c.draining).(drainCause)
	return ok && time.Since(cause.began) > lastWait
}

// deadlineAfter returns the time after d, or none if d is 0.
func deadlineAfter(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// interrupt ends a call that waits on a socket when ctx ends, by a deadline that has passed. The function that it returns is called
// after the call, and reports whether the deadline was set.
func interrupt(ctx context.Context, setDeadline func(time.Time) error) func() bool {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = setDeadline(time.Unix(1, 0)) // fails only on a closed socket, whose calls fail by themselves
		close(done)
	})
	return func() bool {
		if stop() {
			return false
		}
		<-done
		return true
	}
}

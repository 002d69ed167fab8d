// Package datagram sends and receives the datagrams of entry VMs over UDP with gnet. It is separate from package peer
// so that only the program itself depends on gnet and on the goroutines that it starts.
package datagram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"cornelmux/internal/task"
)

const (
	// sendQueueSize is the maximum number of datagrams that wait to be sent.
	sendQueueSize = 1024
	// stopTimeout bounds the stop of gnet's event loop.
	stopTimeout = 5 * time.Second
	// sendTimeout bounds one write to the socket; a datagram that isn't written by then is dropped.
	sendTimeout = 100 * time.Millisecond
	// receiveBufferBytes is the size of the socket's receive buffer.
	receiveBufferBytes = 1 << 20
	// readCapBytes is more than the largest datagram, so that a longer one is received as too long instead of cut.
	readCapBytes = 2048
)

// Socket is a peer.Transport and a feed.Transport over one UDP socket: gnet's event loop reads it and another goroutine
// writes to it.
type Socket struct {
	address   string
	sendQueue chan outgoing
	log       logr.Logger
}

// outgoing is a datagram in the send queue.
type outgoing struct {
	to     netip.AddrPort
	packet []byte
}

// New returns a Socket that will listen on address, an IP address and port.
func New(address string, log logr.Logger) *Socket {
	return &Socket{address: address, sendQueue: make(chan outgoing, sendQueueSize), log: log}
}

// Send implements peer.Transport and feed.Transport. It queues the datagram and fails with task.ErrFull if the queue is
// full; address is an IP address and port.
func (s *Socket) Send(address string, packet []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("parse peer address: %w", err)
	}
	return task.Tell(s.sendQueue, outgoing{to, packet})
}

// Run implements peer.Transport and feed.Transport; the Controller of either package calls it once. It fails if the port is
// taken, and stops the event loop and the sender when ctx or one of them ends. A datagram that deliver refuses is dropped.
func (s *Socket) Run(ctx context.Context, deliver func([]byte) error) error {
	if err := s.checkPortFree(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loop := &eventLoop{deliver: deliver, booted: make(chan bootResult, 1)}
	ends := make(chan task.End, 2)
	task.Start(ctx, "event loop", ends, func(context.Context) error {
		return gnet.Run(loop, "udp://"+s.address, gnet.WithSocketRecvBuffer(receiveBufferBytes), gnet.WithReadBufferCap(readCapBytes), gnet.WithLogger(gnetLogger{s.log}))
	})
	var b bootResult
	select {
	case b = <-loop.booted:
	case end := <-ends:
		return fmt.Errorf("listen on %s: %w", s.address, end.Err)
	}
	task.Start(ctx, "sender", ends, func(ctx context.Context) error { return s.sendLoop(ctx, b) })
	var first error
	running := 2
	select {
	case end := <-ends:
		first = end.Err
		running--
	case <-ctx.Done():
	}
	stop, done := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer done()
	err := b.engine.Stop(stop)
	return errors.Join(first, err, task.Stop(cancel, ends, running))
}

// checkPortFree fails if another process uses the port. gnet shares UDP ports, so both would receive a part of the
// datagrams. Run calls it first.
func (s *Socket) checkPortFree() error {
	l, err := net.ListenPacket("udp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	return l.Close()
}

// sendLoop writes the queued datagrams to the socket that the event loop reads, so that they come from the address that
// peers know. It runs as a task of Run until ctx ends. A datagram that can't be written is dropped. If there is no
// connection, sendLoop fails at once, which ends Run.
func (s *Socket) sendLoop(ctx context.Context, b bootResult) error {
	if b.err != nil {
		return b.err
	}
	defer b.conn.Close()
	for {
		select {
		case o := <-s.sendQueue:
			_ = b.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // a datagram may get lost
			_, _ = b.conn.WriteTo(o.packet, net.UDPAddrFromAddrPort(o.to))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// duplicateSocket returns a second connection on the event loop's socket, for sending. OnBoot calls it.
func duplicateSocket(engine gnet.Engine) (net.PacketConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, fmt.Errorf("duplicate socket: %w", err)
	}
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("duplicate socket: %w", err)
	}
	file := os.NewFile(uintptr(fd), "peers")
	defer file.Close()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, fmt.Errorf("duplicate socket: %w", err)
	}
	return conn, nil
}

// bootResult holds the engine of the started event loop and the second connection on its socket, or the error that prevented
// that connection. OnBoot sends it once.
type bootResult struct {
	engine gnet.Engine
	conn   net.PacketConn
	err    error
}

// eventLoop copies received datagrams and passes them to deliver.
type eventLoop struct {
	gnet.BuiltinEventEngine
	deliver func([]byte) error
	// booted receives the result of OnBoot; it has room for it.
	booted chan bootResult
}

// OnBoot implements gnet.EventHandler; gnet calls it once when the loop has started.
func (l *eventLoop) OnBoot(e gnet.Engine) gnet.Action {
	conn, err := duplicateSocket(e)
	l.booted <- bootResult{e, conn, err}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler; gnet calls it for each datagram. The data is copied because gnet reuses the
// buffer.
func (l *eventLoop) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	packet := make([]byte, len(data))
	copy(packet, data)
	_ = l.deliver(packet) // a full mailbox drops it, as the network might
	return gnet.None
}

// gnetLogger passes gnet's messages to the VM's log.
type gnetLogger struct{ log logr.Logger }

var _ logging.Logger = gnetLogger{}

// Debugf implements logging.Logger.
func (l gnetLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (l gnetLogger) Infof(format string, args ...any) { l.log.V(1).Info(fmt.Sprintf(format, args...)) }

// Warnf implements logging.Logger.
func (l gnetLogger) Warnf(format string, args ...any) { l.log.Info(fmt.Sprintf(format, args...)) }

// Errorf implements logging.Logger.
func (l gnetLogger) Errorf(format string, args ...any) { l.log.Info(fmt.Sprintf(format, args...)) }

// Fatalf implements logging.Logger.
func (l gnetLogger) Fatalf(format string, args ...any) { l.log.Info(fmt.Sprintf(format, args...)) }

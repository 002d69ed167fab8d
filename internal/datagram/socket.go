// Package datagram carries the entry VMs' datagrams over UDP by gnet.
// It stands apart from package peer, so that only the program itself takes in gnet and the goroutines that gnet starts.
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
	outboxSize  = 1024
	stopTimeout = 5 * time.Second
	sendTimeout = 100 * time.Millisecond
	bufferBytes = 1 << 20
	// readBytes is over the largest datagram, so that a longer one is seen to be too long.
	readBytes = 2048
)

// Socket is a peer.Transport over one UDP socket: gnet's event loop reads it and one goroutine writes to it.
type Socket struct {
	address string
	outbox  chan outgoing
	log     logr.Logger
}

type outgoing struct {
	to     netip.AddrPort
	packet []byte
}

// New makes a Socket that listens on address, an IP number and port.
func New(address string, log logr.Logger) *Socket {
	return &Socket{address: address, outbox: make(chan outgoing, outboxSize), log: log}
}

// Send implements peer.Transport.
func (s *Socket) Send(address string, packet []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	return task.Tell(s.outbox, outgoing{to, packet})
}

// Run implements peer.Transport.
func (s *Socket) Run(ctx context.Context, deliver func([]byte) error) error {
	if err := s.probe(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loop := &eventLoop{deliver: deliver, booted: make(chan boot, 1)}
	ends := make(chan task.End, 2)
	task.Start(ctx, "event loop", ends, func(context.Context) error {
		return gnet.Run(loop, "udp://"+s.address, gnet.WithSocketRecvBuffer(bufferBytes), gnet.WithReadBufferCap(readBytes), gnet.WithLogger(libraryLog{s.log}))
	})
	var b boot
	select {
	case b = <-loop.booted:
	case end := <-ends:
		return fmt.Errorf("listen on %s: %w", s.address, end.Err)
	}
	task.Start(ctx, "sender", ends, func(ctx context.Context) error { return s.sendAll(ctx, b) })
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

// probe fails where another process holds the port: gnet shares UDP ports, which would split the datagrams.
func (s *Socket) probe() error {
	l, err := net.ListenPacket("udp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	return l.Close()
}

// sendAll writes the outbox to the socket that the event loop reads, so that datagrams come from the address that peers know.
func (s *Socket) sendAll(ctx context.Context, b boot) error {
	if b.err != nil {
		return b.err
	}
	defer b.conn.Close()
	for {
		select {
		case o := <-s.outbox:
			_ = b.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // a datagram may get lost
			_, _ = b.conn.WriteTo(o.packet, net.UDPAddrFromAddrPort(o.to))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func duplicate(engine gnet.Engine) (net.PacketConn, error) {
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

// boot is what a started event loop hands out: its engine, and a second handle of its socket.
type boot struct {
	engine gnet.Engine
	conn   net.PacketConn
	err    error
}

// eventLoop copies what arrives into the controller's mailbox and does nothing else.
type eventLoop struct {
	gnet.BuiltinEventEngine
	deliver func([]byte) error
	booted  chan boot
}

// OnBoot implements gnet.EventHandler.
func (l *eventLoop) OnBoot(e gnet.Engine) gnet.Action {
	conn, err := duplicate(e)
	l.booted <- boot{e, conn, err}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *eventLoop) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	packet := make([]byte, len(data))
	copy(packet, data)
	_ = l.deliver(packet) // a full mailbox drops it, as the network may
	return gnet.None
}

// libraryLog passes gnet's own messages to the VM's log.
type libraryLog struct{ log logr.Logger }

var _ logging.Logger = libraryLog{}

// Debugf implements logging.Logger.
func (l libraryLog) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (l libraryLog) Infof(format string, args ...any) { l.log.V(1).Info(fmt.Sprintf(format, args...)) }

// Warnf implements logging.Logger.
func (l libraryLog) Warnf(format string, args ...any) { l.log.Info(fmt.Sprintf(format, args...)) }

// Errorf implements logging.Logger.
func (l libraryLog) Errorf(format string, args ...any) { l.log.Info(fmt.Sprintf(format, args...)) }

// Fatalf implements logging.Logger.
func (l libraryLog) Fatalf(format string, args ...any) { l.log.Info(fmt.Sprintf(format, args...)) }

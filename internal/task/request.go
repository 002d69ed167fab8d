package task

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// narrowBytes is the receive buffer of a caller's connection, which the kernel doubles: what it takes of a caller that nobody reads.
	narrowBytes = 32 << 10
	// wideBytes is that of a connection whose body has its memory, so that callers that are far away aren't slowed down.
	wideBytes = 256 << 10
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// narrowAll has new connections of the listener take little of what nobody reads, also before they are accepted, and lets Widen find
// the connections. NewServer calls it for servers whose connections are bounded.
func narrowAll(server *http.Server, l *net.TCPListener) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, narrowBytes) // without it, the kernel's default holds
	})
}

// Widen has the kernel take more of what the caller of the request sends; ctx is that of the request. Front ends call it once there is
// memory for the body.
func Widen(ctx context.Context) { setWindow(ctx, wideBytes) }

// Narrow takes back what Widen did. Front ends call it for bodies that they give up.
func Narrow(ctx context.Context) { setWindow(ctx, narrowBytes) }

// Received tells that the request with the context is whole, so that it may run, and reports whether its connection is still open. Front
// ends call it once for each request, before anything of it runs.
func Received(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return !ok || c.server.ask(change{conn: c, phase: PhaseServing, at: time.Now()})
}

func setWindow(ctx context.Context, n int) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		_ = c.SetReadBuffer(n) // fails only on a closed socket, or where the kernel has no such buffer
	}
}

package task

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Serve returns a task that serves HTTP on the listener until its context ends, and then lets requests in flight finish
// within the grace period; a grace of 0 closes their connections at once. If the server was shut down before, the task
// waits for its context. The VMs of packages entry and platform serve each of their listeners with it.
func Serve(server *http.Server, l net.Listener, grace time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		ends := make(chan End, 1)
		Start(ctx, "listener", ends, func(context.Context) error { return server.Serve(l) })
		select {
		case end := <-ends:
			if !errors.Is(end.Err, http.ErrServerClosed) {
				return end.Err
			}
			<-ctx.Done()
			return ctx.Err()
		case <-ctx.Done():
		}
		shutdownServer(ctx, server, grace)
		<-ends
		return ctx.Err()
	}
}

// shutdownServer shuts the server down within the grace period and closes the connections that are left; a grace of 0 closes
// all at once. Serve calls it when ctx has ended.
func shutdownServer(ctx context.Context, server *http.Server, grace time.Duration) {
	if grace > 0 {
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		if server.Shutdown(stop) == nil {
			return
		}
	}
	_ = server.Close() // requests that it cuts off report their own errors
}

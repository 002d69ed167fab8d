package task

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Serve returns a task that serves HTTP on the listener until its context ends, then lets requests in flight end within
// the grace; with a grace of 0 it cuts them. A server that its owner shut down before counts as served until ctx ends.
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
		closeServer(ctx, server, grace)
		<-ends
		return ctx.Err()
	}
}

func closeServer(ctx context.Context, server *http.Server, grace time.Duration) {
	if grace > 0 {
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		if server.Shutdown(stop) == nil {
			return
		}
	}
	_ = server.Close() // what it cut has its own errors
}

// Package standin provides stand-ins of the external systems for tests and the quick start: the platform, a model
// engine, a plain service and the rating service. They are HTTP handlers that can inject faults.
package standin

import "context"

// handleAll handles the messages to a stand-in, one after another, until ctx ends. Run of each stand-in that has state calls
// it, so that only one goroutine touches the state.
func handleAll[S any, M interface{ handle(*S) }](ctx context.Context, mailbox <-chan M, state *S) error {
	for {
		select {
		case m := <-mailbox:
			m.handle(state)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

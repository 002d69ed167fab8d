package filter

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cornelmux/internal/pool"
	"cornelmux/internal/quarantine"
)

// Quarantines tracks the requests and the prompt blocks that crash endpoints.
type Quarantines interface {
	// Check fails with result.RequestQuarantined if the request must not be sent.
	Check(ctx context.Context, q quarantine.Query) error
	// Lost notes a run that was lost after the head of its answer and before the first event, Answered one that came whole.
	Lost(ctx context.Context, r quarantine.Run) error
	Answered(ctx context.Context, r quarantine.Run) error
}

// Quarantine refuses requests that crashed endpoints before. In a chain with Deduplicate it comes later, so that a
// resend of a request that may have run is never told that it did not run.
type Quarantine struct {
	Quarantines Quarantines
}

// Handle implements Filter.
func (f Quarantine) Handle(ctx context.Context, x *Exchange, next Next) error {
	asked := time.Now()
	limited, cancel := ownerContext(ctx, x)
	err := f.Quarantines.Check(limited, quarantineQuery(x))
	cancel()
	x.Routed.CheckWait = time.Since(asked)
	if err != nil {
		return err
	}
	return next(ctx, x)
}

// quarantineQuery describes the request for a check before a send.
func quarantineQuery(x *Exchange) quarantine.Query {
	return quarantine.Query{Fingerprint: Fingerprint(x), Blocks: x.Routed.Prompt.SharedBlocks(), Resend: x.Routed.Attempts > 0}
}

// checkResend asks the quarantine again before each send but the first, since what is known may have changed while the
// request ran. attempt calls it.
func (f *forwardRun) checkResend(ctx context.Context) error {
	if f.x.Routed.Attempts == 0 {
		return nil
	}
	return f.quarantines.Check(ctx, quarantineQuery(f.x))
}

// reportRun tells the quarantine how a run with shared prompt blocks ended, if that says something of them. A run that was
// lost after its first event doesn't. report calls it.
func (f *forwardRun) reportRun(ctx context.Context, s *sendTask) {
	x := f.x
	blocks := x.Routed.Prompt.SharedBlocks()
	if len(blocks) == 0 {
		return
	}
	run := quarantine.Run{
		Fingerprint: Fingerprint(x), Blocks: blocks, Endpoint: s.place.ID, Incarnation: s.place.Incarnation, SentAt: s.began,
	}
	switch {
	case s.end == pool.EndAnswered && s.err == nil:
		_ = f.quarantines.Answered(ctx, run) // a full mailbox leaves the blocks to other answers
	case s.end == pool.EndLost && s.head.Status == http.StatusOK && s.events == 0 && !errors.Is(s.err, errNotTheRest):
		_ = f.quarantines.Lost(ctx, run) // a full mailbox leaves the blocks to other lost runs
	}
}

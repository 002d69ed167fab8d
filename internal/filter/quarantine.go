package filter

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/quarantine"
)

// Quarantines tracks the requests and the prompt blocks that crash endpoints.
type Quarantines interface {
	// Check fails with result.RequestQuarantined if the request must not be sent.
	Check(ctx context.Context, q quarantine.Query) error
	// Lost notes a run that was lost at the start of its answer, Survived one that its endpoint outlived.
	Lost(ctx context.Context, r quarantine.Run, p quarantine.Progress) error
	Survived(ctx context.Context, r quarantine.Run) error
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
	return quarantine.Query{Fingerprints: Fingerprints(x), Blocks: x.Routed.Prompt.SharedBlocks(), Resend: x.Routed.Attempts > 0}
}

// checkResend asks the quarantine again before each send but the first, since what is known may have changed while the
// request ran. attempt calls it.
func (f *forwardRun) checkResend(ctx context.Context) error {
	if f.x.Routed.Attempts == 0 {
		return nil
	}
	return f.quarantines.Check(ctx, quarantineQuery(f.x))
}

// checkWaited asks the quarantine again if the placement waited for room, since what is known may have changed meanwhile. attempt calls
// it.
func (f *forwardRun) checkWaited(ctx context.Context, r *Reservation) error {
	if r.Placement.Waited == 0 {
		return nil
	}
	return f.quarantines.Check(ctx, quarantineQuery(f.x))
}

// reportRun tells the quarantine how a run ended, if that says something of its request. report calls it.
func (f *forwardRun) reportRun(ctx context.Context, s *sendTask) {
	switch {
	case s.end == pool.EndAnswered && s.err == nil:
		f.reportSurvival(ctx, s)
	case s.lostAtStart():
		_ = f.quarantines.Lost(ctx, f.quarantineRun(s), s.progress()) // a full mailbox leaves it to other lost runs
	}
}

// reportSurvival tells the quarantine once that the run's endpoint outlived its start.
func (f *forwardRun) reportSurvival(ctx context.Context, s *sendTask) {
	if s.survived {
		return
	}
	s.survived = true
	_ = f.quarantines.Survived(ctx, f.quarantineRun(s)) // a full mailbox leaves it to other runs
}

// quarantineRun describes the run of a send.
func (f *forwardRun) quarantineRun(s *sendTask) quarantine.Run {
	return quarantine.Run{
		Fingerprints: Fingerprints(f.x), Blocks: f.x.Routed.Prompt.SharedBlocks(), Endpoint: s.place.ID, Incarnation: s.place.Incarnation, SentAt: s.began,
	}
}

// lostAtStart reports whether the connection ended so early that the request may have crashed the endpoint.
func (s *sendTask) lostAtStart() bool {
	answers := s.head.Status == 0 || s.head.Status == http.StatusOK
	return s.end == pool.EndLost && answers && s.events <= quarantine.MaxLostEvents && errors.Is(s.err, endpoint.ErrConnectionLost)
}

// progress returns how much of its answer the send brought.
func (s *sendTask) progress() quarantine.Progress {
	switch {
	case s.head.Status == 0:
		return quarantine.ProgressNone
	case s.events == 0:
		return quarantine.ProgressHead
	default:
		return quarantine.ProgressEvents
	}
}

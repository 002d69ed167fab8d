package filter

import (
	"cmp"
	"errors"
	"time"

	"cornelmux/internal/pool"
)

// replaceInterval is the time between two tries to place a silent send elsewhere.
const replaceInterval = 150 * time.Millisecond

// errSilence is the reason to cancel a silent send: another endpoint has accepted the request, or, if the endpoint hasn't accepted
// it either, may do so.
var errSilence = errors.New("silence timeout of the endpoint")

// firstSilenceLimit returns the silence timeout until the first progress of a send, or 0 if nothing is known to base one on. For
// a resumed stream it follows from MaxGap and twice the typical time to first byte. It leaves time for a long prompt.
func (f *forwardRun) firstSilenceLimit(place pool.Placement) time.Duration {
	r := f.x.Routed.Route
	prefill := prefillTimeoutFactor * place.PrefillTime
	if f.x.Relayed {
		return max(time.Duration(gapTimeoutShare*float64(r.MaxGap)), 2*place.TypicalLatency.TTFB, prefill)
	}
	return max(time.Duration(minTTFBTimeoutShare*float64(r.Objective)), ttfbTimeoutFactor*place.TypicalLatency.TTFB, prefill)
}

// eventGapLimit returns the silence timeout between the events of a stream: that until the first progress if the route sets
// no MaxGap.
func (f *forwardRun) eventGapLimit(first time.Duration) time.Duration {
	return cmp.Or(time.Duration(gapTimeoutShare*float64(f.x.Routed.Route.MaxGap)), first)
}

// watch starts the silence timeout of the newest send, unless the request can't be sent again or nothing is known to base one on. It
// ends at the latest when an answer that is kept goes on.
func (f *forwardRun) watch(limit time.Duration) {
	if f.keeps() && !f.keepUntil.IsZero() {
		kept := max(time.Until(f.keepUntil), time.Nanosecond)
		limit = min(cmp.Or(limit, kept), kept)
	}
	if f.x.Idempotent && limit > 0 {
		f.timer.Reset(limit)
	}
}

// headLimit returns the silence timeout from the head of the answer: what is left of that until the first progress, or the one
// between two if the head came later.
func (s *sendTask) headLimit() time.Duration {
	if left := s.first - time.Since(s.began); left > 0 {
		return left
	}
	return s.gap
}

// newest returns the send whose silence counts: the replacement if there is one, or else the current one.
func (f *forwardRun) newest() *sendTask { return cmp.Or(f.replacement, f.current) }

// tooLate reports whether a replacement of s could hardly answer before the deadline.
func (f *forwardRun) tooLate(s *sendTask) bool {
	d := f.x.Request.Deadline
	return !d.IsZero() && s != nil && time.Until(d) < max(minSendTime, s.place.TypicalLatency.TTFB)
}

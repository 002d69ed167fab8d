package filter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/quarantine"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// noQuarantine is a Quarantines that lets every request pass.
type noQuarantine struct{}

func (noQuarantine) Check(context.Context, quarantine.Query) error                   { return nil }
func (noQuarantine) Lost(context.Context, quarantine.Run, quarantine.Progress) error { return nil }
func (noQuarantine) Survived(context.Context, quarantine.Run) error                  { return nil }

// recordingQuarantine is a Quarantines that records what it is told. It refuses resends once as many runs were lost as refuseAfter
// says; 0 means never.
type recordingQuarantine struct {
	refuseAfter    int
	lost, survived []quarantine.Run
	// progress is that of the lost runs.
	progress []quarantine.Progress
}

func (f *recordingQuarantine) Check(_ context.Context, q quarantine.Query) error {
	if q.Resend && f.refuseAfter > 0 && len(f.lost) >= f.refuseAfter {
		return result.Errorf(result.RequestQuarantined, "the block crashes endpoints")
	}
	return nil
}

func (f *recordingQuarantine) Lost(_ context.Context, r quarantine.Run, p quarantine.Progress) error {
	f.lost, f.progress = append(f.lost, r), append(f.progress, p)
	return nil
}

func (f *recordingQuarantine) Survived(_ context.Context, r quarantine.Run) error {
	f.survived = append(f.survived, r)
	return nil
}

// errLost ends an answer with its connection.
var errLost = fmt.Errorf("%w: %w", endpoint.ErrBroken, endpoint.ErrConnectionLost)

// TestRunsLostAtTheirStartAreReported ends the first send of a stream in different ways and checks which runs the quarantine learns
// of. Only a connection that ended may tell of a crash.
func TestRunsLostAtTheirStartAreReported(t *testing.T) {
	whole, rest := []endpoint.Chunk{event("1", "a"), last("end")}, []endpoint.Chunk{event("2", "b"), last("end")}
	tests := []struct {
		name  string
		first scriptedSend
		lost  []quarantine.Progress
	}{
		{"whole answer", scriptedSend{head: head(200, "a"), chunks: whole}, nil},
		{"lost before the head", scriptedSend{err: errLost}, []quarantine.Progress{quarantine.ProgressNone}},
		{"malformed head", scriptedSend{err: endpoint.ErrBroken}, nil},
		{"lost after the head", scriptedSend{head: head(200, "a"), broken: errLost}, []quarantine.Progress{quarantine.ProgressHead}},
		{"malformed after the head", scriptedSend{head: head(200, "a"), broken: endpoint.ErrBroken}, nil},
		{"lost after an event", scriptedSend{head: head(200, "a"), chunks: whole[:1], broken: errLost}, []quarantine.Progress{quarantine.ProgressEvents}},
		{"not sent", scriptedSend{err: endpoint.ErrNotSent}, nil},
		{"refused", scriptedSend{err: &endpoint.RefusedError{}}, nil},
		{"error status", scriptedSend{head: head(500, "a"), chunks: []endpoint.Chunk{end}}, nil},
		{"lost after an error status", scriptedSend{head: head(500, "a"), broken: errLost}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := blockExchange()
			sender := &scriptedSender{script: []scriptedSend{test.first, {head: head(200, "a"), chunks: rest}}}
			quarantines := &recordingQuarantine{}
			err := Forward{Pool: &fakePool{}, Shifts: noShift{}, Sender: sender, Quarantines: quarantines}.Handle(context.Background(), x, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, quarantines.progress, qt.DeepEquals, test.lost)
			qt.Check(t, quarantines.survived, qt.HasLen, 1)
			for _, r := range append(quarantines.lost, quarantines.survived...) {
				qt.Check(t, r.Blocks, qt.DeepEquals, []uint64{1, 2})
				qt.Check(t, r.Fingerprints, qt.DeepEquals, Fingerprints(x))
				qt.Check(t, r.SentAt.IsZero(), qt.IsFalse)
			}
		})
	}
}

// TestRunThatOutlivesItsStartIsReportedAtOnce guards against sound blocks that are accused because the answers with them, whose events
// come all the while, take long: the survival is told once, before the end.
func TestRunThatOutlivesItsStartIsReportedAtOnce(t *testing.T) {
	const soon, late = quarantine.StartTime / 2, quarantine.StartTime
	tests := []struct {
		name   string
		pauses []time.Duration
		// told is how many survivals were told when the events after the pauses had been passed on.
		told []int
	}{
		{"events at once", []time.Duration{0, 0, 0, 0}, []int{0, 0, 0}},
		{"event just in time", []time.Duration{0, soon, soon, 0}, []int{0, 0, 1}},
		{"late first event", []time.Duration{late, soon, 0, 0}, []int{0, 0, 0}},
		{"late events", []time.Duration{0, late, late, 0}, []int{0, 1, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := blockExchange()
				sender := &pausingSender{script: []pausingSend{{pauses: test.pauses, chunks: []endpoint.Chunk{event("1", "a"), event("2", "b"), event("3", "c"), end}}}}
				quarantines := &recordingQuarantine{}
				var told []int
				x.Sink = &observedSink{Sink: x.Sink, chunk: func(c endpoint.Chunk) {
					if c.Event != "" {
						told = append(told, len(quarantines.survived))
					}
				}}
				qt.Assert(t, Forward{Pool: &fakePool{}, Shifts: noShift{}, Sender: sender, Quarantines: quarantines}.Handle(t.Context(), x, nil), qt.IsNil)
				qt.Check(t, told, qt.DeepEquals, test.told)
				qt.Check(t, quarantines.survived, qt.HasLen, 1)
			})
		})
	}
}

// observedSink is a Sink that calls chunk before it passes a chunk on.
type observedSink struct {
	Sink
	chunk func(endpoint.Chunk)
}

func (w *observedSink) Chunk(ctx context.Context, c endpoint.Chunk) error {
	w.chunk(c)
	return w.Sink.Chunk(ctx, c)
}

// TestQuarantinedBlockStopsResends guards against a request that is sent on to one endpoint after the other although its prompt
// is known to crash them. What the caller is told must not promise that the request didn't run.
func TestQuarantinedBlockStopsResends(t *testing.T) {
	tests := []struct {
		name        string
		refuseAfter int
		sends       int
	}{
		{"no quarantine", 0, 3},
		{"after the first run", 1, 1},
		{"after the second run", 2, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lost := scriptedSend{head: head(200, "a"), broken: errLost}
			sender := &scriptedSender{script: []scriptedSend{lost, lost, lost}}
			quarantines := &recordingQuarantine{refuseAfter: test.refuseAfter}
			err := Forward{Pool: &fakePool{}, Shifts: noShift{}, Sender: sender, Quarantines: quarantines}.Handle(context.Background(), blockExchange(), nil)
			qt.Check(t, sender.calls, qt.HasLen, test.sends)
			e := result.From(err)
			qt.Check(t, e.Run, qt.Equals, result.Unknown)
			if test.refuseAfter > 0 {
				qt.Check(t, e.Code, qt.Equals, result.RequestQuarantined)
			}
		})
	}
}

// TestAnswerThatIsNotTheRestIsNoCrash guards against a prompt that is taken for the cause of crashes because endpoints answered with
// something else than the rest of its stream.
func TestAnswerThatIsNotTheRestIsNoCrash(t *testing.T) {
	begun := scriptedSend{head: head(200, "1"), chunks: []endpoint.Chunk{event("1", "a"), event("2", "b"), event("3", "c")}, broken: endpoint.ErrBroken}
	text := head(200, "2")
	text.ContentType = "text/plain"
	tests := []struct {
		name string
		next scriptedSend
	}{
		{"begins anew", scriptedSend{head: head(200, "2"), chunks: []endpoint.Chunk{event("1", "a"), end}}},
		{"another content type", scriptedSend{head: text, chunks: []endpoint.Chunk{last("x")}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender := &scriptedSender{script: []scriptedSend{begun, test.next, {head: head(200, "3"), chunks: []endpoint.Chunk{event("4", "d"), end}}}}
			quarantines := &recordingQuarantine{}
			qt.Check(t, Forward{&fakePool{}, noShift{}, sender, quarantines, nil, nil}.Handle(context.Background(), blockExchange(), nil), qt.IsNil)
			qt.Check(t, quarantines.lost, qt.HasLen, 0)
		})
	}
}

// blockExchange returns a streaming request whose prompt has the shared blocks 1 and 2, and one of its own.
func blockExchange() *Exchange {
	x, _ := routedExchange(routing.KindStream)
	x.Routed.Prompt.Blocks = []routing.PrefixBlock{{ID: 1}, {ID: 2}, {ID: 3}}
	return x
}

// TestRequestsWithOtherPromptsHaveOtherFingerprints guards against the refusal of sound requests because others with equal bodies crash
// endpoints by their prompts.
func TestRequestsWithOtherPromptsHaveOtherFingerprints(t *testing.T) {
	fingerprint := func(blocks ...uint64) uint64 {
		x := blockExchange()
		x.Routed.Prompt.Blocks = nil
		for _, b := range blocks {
			x.Routed.Prompt.Blocks = append(x.Routed.Prompt.Blocks, routing.PrefixBlock{ID: b})
		}
		return Fingerprints(x).Path
	}
	tests := []struct {
		name  string
		other []uint64
		equal bool
	}{
		{"same prompt", []uint64{1, 2, 3}, true},
		{"another block", []uint64{1, 9, 3}, false},
		{"a block more", []uint64{1, 2, 9, 3}, false},
		{"another order", []uint64{2, 1, 3}, false},
		{"another block of its own", []uint64{1, 2, 9}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, fingerprint(test.other...) == fingerprint(1, 2, 3), qt.Equals, test.equal)
		})
	}
}

// waitingPool is a Pool whose placements wait for room.
type waitingPool struct {
	*fakePool
	waited time.Duration
}

func (p waitingPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	place, err := p.fakePool.Choose(ctx, q)
	place.Waited = p.waited
	return place, err
}

// refusingQuarantine is a Quarantines that has begun to refuse all requests.
type refusingQuarantine struct{ noQuarantine }

func (refusingQuarantine) Check(context.Context, quarantine.Query) error {
	return result.Errorf(result.RequestQuarantined, "the block crashes endpoints")
}

// TestRequestThatWaitedForRoomIsCheckedAgain guards against a first send whose prompt was found to crash endpoints while it waited for
// room.
func TestRequestThatWaitedForRoomIsCheckedAgain(t *testing.T) {
	tests := []struct {
		name   string
		waited time.Duration
		sends  int
		ends   []pool.End
	}{
		{"placed at once", 0, 1, []pool.End{pool.EndAnswered}},
		{"waited", time.Second, 0, []pool.End{pool.EndAbandoned}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender := &scriptedSender{script: []scriptedSend{{head: head(200, "a"), chunks: []endpoint.Chunk{event("1", "a"), last("end")}}}}
			p := &fakePool{}
			err := Forward{Pool: waitingPool{p, test.waited}, Shifts: noShift{}, Sender: sender, Quarantines: refusingQuarantine{}}.Handle(t.Context(), blockExchange(), nil)
			qt.Check(t, sender.calls, qt.HasLen, test.sends)
			qt.Check(t, p.ends, qt.DeepEquals, test.ends)
			if test.sends == 0 {
				qt.Check(t, result.From(err).Code, qt.Equals, result.RequestQuarantined)
				qt.Check(t, result.From(err).Run, qt.Equals, result.NotRun)
			}
		})
	}
}

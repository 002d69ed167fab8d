package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/pool"
	"cornelmux/internal/task"
	"cornelmux/pkg/routing"
)

// slowStrongerPool is a Pool that takes a time to place the model l, and notes the models of placements and of their ends.
type slowStrongerPool struct {
	fakePool
	placing       time.Duration
	placed, ended []string
}

func (p *slowStrongerPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	if q.Model == "l" && !task.Sleep(ctx, p.placing) {
		return pool.Placement{}, ctx.Err()
	}
	place, err := p.fakePool.Choose(ctx, q)
	p.placed = append(p.placed, place.ID+" "+q.Model)
	return place, err
}

func (p *slowStrongerPool) Done(ctx context.Context, o pool.Outcome) error {
	p.ended = append(p.ended, o.Endpoint+" "+o.Model)
	return p.fakePool.Done(ctx, o)
}

// TestPlacementForAnotherModelIsNotUsed has a kept answer go on while the stronger model is still being placed, and break off then: the
// retry asks the first model, for which that placement isn't.
func TestPlacementForAnotherModelIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 2 * time.Second
		x, sink := routedExchange(routing.KindStream, "s", "l")
		x.Request.Deadline = x.Arrived.Add(timeout)
		x.Routed.Prompt.MaxTokensOut = 45
		ctx, cancel := contextUntil(t, x)
		defer cancel()
		p := &slowStrongerPool{placing: timeout * 3 / 4}
		sender := &handoverSender{script: []handoverSend{{head: short, confidence: 5, breakAt: 2}, {head: short, confidence: 95}}, events: 3}
		qt.Check(t, Chain(Escalate{}, Forward{gapPool{p}, noShift{}, sender, noQuarantine{}, nil, nil})(ctx, x), qt.IsNil)
		qt.Check(t, sink.text, qt.Equals, wholeText)
		for _, placed := range p.placed {
			qt.Check(t, p.ended, qt.Contains, placed)
		}
		for _, s := range sender.sends {
			qt.Check(t, p.placed, qt.Contains, s.id+" "+s.model)
		}
	})
}

// gapPool is a slowStrongerPool whose model l takes 20 ms between two events.
type gapPool struct{ *slowStrongerPool }

func (p gapPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	place, err := p.slowStrongerPool.Choose(ctx, q)
	place.StrongerLatency.MeanGap = 20 * time.Millisecond
	return place, err
}

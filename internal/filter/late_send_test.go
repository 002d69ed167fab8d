package filter

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// coldPool is a Pool whose first placements, late of them, are at cold endpoints, and over by the time of the send.
type coldPool struct {
	fakePool
	late int
}

func (p *coldPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	place, err := p.fakePool.Choose(ctx, q)
	if p.placed <= p.late {
		place.SendBy = time.Now().Add(-time.Millisecond)
	}
	p.none = p.placed == 3
	return place, err
}

// TestNothingIsSentLongAfterItsPlacementAtAColdEndpoint guards against a request that reaches a cold endpoint so long after its
// placement that it comes together with later ones, and against one that is refused as if it might have run.
func TestNothingIsSentLongAfterItsPlacementAtAColdEndpoint(t *testing.T) {
	tests := []struct {
		name string
		kind routing.Kind
		late int
		to   []string
		ends []pool.End
		code result.Code
	}{
		{"in time", routing.KindNonIdempotent, 0, []string{"e1"}, []pool.End{pool.EndAnswered}, 0},
		{"the first is late", routing.KindNonIdempotent, 1, []string{"e2"}, []pool.End{pool.EndAbandoned, pool.EndAnswered}, 0},
		{"all are late", routing.KindIdempotent, 3, nil, []pool.End{pool.EndAbandoned, pool.EndAbandoned, pool.EndAbandoned}, result.NoEndpoint},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, _ := routedExchange(test.kind)
			sender := &scriptedSender{script: []scriptedSend{{head: head(200, "1"), chunks: []endpoint.Chunk{last("yes")}}}}
			p := &coldPool{late: test.late}
			err := Forward{Pool: p, Shifts: noShift{}, Sender: sender, Quarantines: noQuarantine{}}.Handle(context.Background(), x, nil)
			qt.Check(t, sender.to, qt.DeepEquals, test.to)
			qt.Check(t, p.ends, qt.DeepEquals, test.ends)
			if test.code == 0 {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Check(t, result.From(err).Code, qt.Equals, test.code)
			qt.Check(t, result.From(err).Run, qt.Equals, result.NotRun)
		})
	}
}

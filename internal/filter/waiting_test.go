package filter

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/quarantine"
	"cornelmux/pkg/routing"
)

// slowRoutes and slowCheck reply after a time.
type slowRoutes struct{ table *routing.Table }

func (s slowRoutes) Current(context.Context) (*routing.Table, error) {
	time.Sleep(time.Millisecond)
	return s.table, nil
}

type slowCheck struct{ noQuarantine }

func (slowCheck) Check(context.Context, quarantine.Query) error {
	time.Sleep(2 * time.Millisecond)
	return nil
}

// slowPool takes a time to place a run.
type slowPool struct{ *fakePool }

func (p slowPool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	time.Sleep(3 * time.Millisecond)
	return p.fakePool.Choose(ctx, q)
}

// TestLineSaysHowLongTheRequestWaited checks the times that a request's line has for the owners of state that it asked.
func TestLineSaysHowLongTheRequestWaited(t *testing.T) {
	tests := []struct {
		name string
		none bool
		want []string
	}{
		{"placed", false, []string{`"table_ns":1000000`, `"check_ns":2000000`, `"placing_ns":3000000,"steps"`, `"placing_ns":3000000,"uncached_tokens"`}},
		{"not placed", true, []string{`"table_ns":1000000`, `"check_ns":2000000`, `"placing_ns":3000000,"steps":null`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lines bytes.Buffer
				log := logr.FromSlogHandler(slog.NewJSONHandler(&lines, nil))
				x, _ := routedExchange(routing.KindIdempotent)
				x.Routed.Route.Host, x.Routed.Route.PathPrefix = "h", "/"
				x.Routed.Route.Targets = []routing.Target{{Service: "s", Weight: 1}}
				table := (&routing.Table{Version: 1, Routes: []routing.Route{*x.Routed.Route}}).Index()
				x.Routed.Host, x.Request.Path, x.Routed.Body = "h", "/", emptyBody{}
				loaded := make(chan struct{})
				close(loaded)
				sender := &scriptedSender{script: []scriptedSend{{head: head(200, "s"), chunks: []endpoint.Chunk{end}}}}
				_ = Chain( // the error is in the line
					AccessLog{log, func() float64 { return 0 }}, Route{slowRoutes{table}, loaded, func() float64 { return 0 }},
					Quarantine{slowCheck{}}, Forward{slowPool{&fakePool{none: test.none}}, noShift{}, sender, noQuarantine{}, nil, nil},
				)(t.Context(), x)
				qt.Assert(t, strings.Count(lines.String(), "\n"), qt.Equals, 1)
				for _, part := range test.want {
					qt.Check(t, lines.String(), qt.Contains, part)
				}
			})
		})
	}
}

type emptyBody struct{}

func (emptyBody) Read(context.Context, int64, Claim) ([]byte, error) { return nil, nil }

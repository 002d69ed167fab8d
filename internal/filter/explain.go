package filter

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/pkg/result"
)

// successShare is the share of good answers that are logged; failures and repeated requests all are.
const successShare = 0.02

// AccessLog writes a line for a request that tells which decisions led to its end.
type AccessLog struct {
	Log logr.Logger
	// Rand gives a number from 0 up to 1.
	Rand func() float64
}

// Handle implements Filter.
func (f AccessLog) Handle(ctx context.Context, x *Exchange, next Next) error {
	err := next(ctx, x)
	steps := len(x.Routed.Trace)
	if err == nil && steps <= 1 && f.Rand() >= successShare {
		return nil
	}
	code, run, detail := result.OK, result.Ran, ""
	if err != nil {
		e := result.From(err)
		code, run, detail = e.Code, e.Run, e.Detail
	}
	values := []any{
		"request", x.Request.ID, "code", int(code), "name", result.Describe(code).Name, "run", string(run), "detail", detail,
		"path", x.Request.Path, "session", x.Request.Session, "service", x.Routed.Service, "account", x.Routed.Account,
		"milliseconds", time.Since(x.Arrived).Milliseconds(), "caller_gone", ctx.Err() != nil, "steps", x.Routed.Trace,
	}
	if t, r := x.Routed.Table, x.Routed.Route; t != nil && r != nil {
		values = append(values, "configuration", t.Version, "route", r.Name)
	}
	f.Log.Info("request ended", values...)
	return err
}

package filter

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/quarantine"
	"cornelmux/pkg/result"
)

// successSampleRate is the share of successful requests that are logged. Failed and retried requests, and those whose bodies waited for memory, are always logged.
const successSampleRate = 0.02

// loggedMemoryWait is how long a body has to wait for its memory to be logged.
const loggedMemoryWait = time.Millisecond

// AccessLog logs a request with its result and its sends.
type AccessLog struct {
	Log logr.Logger
	// Rand returns a random number in [0, 1).
	Rand func() float64
}

// Handle implements Filter. It logs after the rest of the chain has returned.
func (f AccessLog) Handle(ctx context.Context, x *Exchange, next Next) error {
	err := next(ctx, x)
	steps := len(x.Routed.Trace)
	if err == nil && steps <= 1 && x.Routed.MemoryWait < loggedMemoryWait && f.Rand() >= successSampleRate {
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
		"milliseconds", time.Since(x.Arrived).Milliseconds(), "caller_gone", ctx.Err() != nil,
		"memory_ns", x.Routed.MemoryWait.Nanoseconds(), "prompt_tokens", x.Routed.Prompt.TokensIn, "table_ns", x.Routed.TableWait.Nanoseconds(),
		"check_ns", x.Routed.CheckWait.Nanoseconds(), "placing_ns", x.Routed.Placing.Nanoseconds(), "steps", x.Routed.Trace,
	}
	if blocks := x.Routed.Prompt.SharedBlocks(); len(blocks) > 0 {
		values = append(values, "blocks", quarantine.BlockNames(blocks))
	}
	if t, r := x.Routed.Table, x.Routed.Route; t != nil && r != nil {
		values = append(values, "configuration", t.Version, "route", r.Name)
		if x.Routed.Homes.Limited {
			values = append(values, "route_regions", r.Homes.Names, "account_regions", x.Routed.AccountHomes.Names)
		}
	}
	f.Log.Info("request ended", values...)
	return err
}

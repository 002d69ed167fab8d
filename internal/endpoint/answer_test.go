package endpoint

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestJudge(t *testing.T) {
	chat, resumed := Call{Chat: true}, Call{Chat: true, Resume: true}
	service, repeatable := Call{}, Call{Idempotent: true}
	rows := []struct {
		name   string
		call   Call
		status int
		kind   string
		want   Verdict
	}{
		{"stream", chat, 200, "text/event-stream; charset=utf-8", VerdictEvents},
		{"no stream", chat, 200, "application/json", VerdictBroken},
		{"redirect", chat, 302, "", VerdictBroken},
		{"bad request", chat, 400, "application/json", VerdictWhole},
		{"timeout of the engine", chat, 408, "", VerdictBroken},
		{"too many", chat, 429, "", VerdictRefused},
		{"internal error", chat, 500, "", VerdictBroken},
		{"overloaded", chat, 503, "", VerdictRefused},
		{"resumed", resumed, 200, "text/event-stream", VerdictEvents},
		{"resumed too soon", resumed, 503, "", VerdictBroken},
		{"resumed, unknown", resumed, 410, "", VerdictUnknownRun},
		{"resumed, rejected", resumed, 400, "", VerdictUnknownRun},
		{"service", service, 200, "", VerdictWhole},
		{"service refuses what may not be repeated", service, 503, "", VerdictWhole},
		{"service refuses what may be repeated", repeatable, 503, "", VerdictBroken},
		{"service finds nothing", repeatable, 404, "", VerdictWhole},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			c.Assert(Judge(row.call, row.status, row.kind), qt.Equals, row.want)
		})
	}
}

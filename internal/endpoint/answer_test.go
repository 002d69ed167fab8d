package endpoint

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestClassifyAnswer checks which answers show that a call did not run, and which leave it open.
func TestClassifyAnswer(t *testing.T) {
	chat, resumed := Call{Chat: true}, Call{Chat: true, Resume: true}
	service, idempotent := Call{}, Call{Idempotent: true}
	rows := []struct {
		name        string
		call        Call
		status      int
		contentType string
		want        AnswerClass
	}{
		{"event stream", chat, 200, "text/event-stream; charset=utf-8", ClassEvents},
		{"not an event stream", chat, 200, "application/json", ClassBroken},
		{"redirect", chat, 302, "", ClassBroken},
		{"bad request", chat, 400, "application/json", ClassPassThrough},
		{"request timeout", chat, 408, "", ClassBroken},
		{"too many requests", chat, 429, "", ClassRefused},
		{"internal error", chat, 500, "", ClassBroken},
		{"overloaded", chat, 503, "", ClassRefused},
		{"resume", resumed, 200, "text/event-stream", ClassEvents},
		{"resume, endpoint busy", resumed, 503, "", ClassBroken},
		{"resume, run unknown", resumed, 410, "", ClassUnknownRun},
		{"resume, bad request", resumed, 400, "", ClassUnknownRun},
		{"service", service, 200, "", ClassPassThrough},
		{"service overloaded, non-idempotent", service, 503, "", ClassPassThrough},
		{"service overloaded, idempotent", idempotent, 503, "", ClassBroken},
		{"service, not found", idempotent, 404, "", ClassPassThrough},
		{"service, another protocol", service, 101, "", ClassBroken},
		{"service, another protocol, idempotent", idempotent, 101, "", ClassBroken},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			c.Assert(ClassifyAnswer(row.call, row.status, row.contentType), qt.Equals, row.want)
		})
	}
}

package filter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAffinityFollowsTheSessionOrElseThePrompt(t *testing.T) {
	long := make([]byte, prefixBytes+1)
	rows := []struct {
		name string
		a, b Request
		same bool
	}{
		{"one session", Request{Session: "s", Prompt: "a"}, Request{Session: "s", Prompt: "b"}, true},
		{"two sessions", Request{Session: "s", Prompt: "a"}, Request{Session: "t", Prompt: "a"}, false},
		{"sessions of one request each, prompts that begin alike", Request{Session: "s", Transient: true, Prompt: string(long) + "a"}, Request{Session: "t", Transient: true, Prompt: string(long) + "b"}, true},
		{"sessions of one request each, other prompts", Request{Session: "s", Transient: true, Prompt: "a"}, Request{Session: "t", Transient: true, Prompt: "b"}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			same := affinity(&Exchange{Request: row.a}) == affinity(&Exchange{Request: row.b})
			qt.New(t).Assert(same, qt.Equals, row.same)
		})
	}
}

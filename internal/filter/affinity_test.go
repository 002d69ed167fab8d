package filter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAffinityKey checks that requests which may share a cached prefix get the same key: those of one session, and
// those of transient sessions whose prompts begin with the same bytes.
func TestAffinityKey(t *testing.T) {
	long := make([]byte, affinityPrefixBytes+1)
	rows := []struct {
		name string
		a, b Request
		same bool
	}{
		{"same session", Request{Session: "s", Prompt: "a"}, Request{Session: "s", Prompt: "b"}, true},
		{"different sessions", Request{Session: "s", Prompt: "a"}, Request{Session: "t", Prompt: "a"}, false},
		{"transient sessions, prompts with a common prefix", Request{Session: "s", Transient: true, Prompt: string(long) + "a"}, Request{Session: "t", Transient: true, Prompt: string(long) + "b"}, true},
		{"transient sessions, different prompts", Request{Session: "s", Transient: true, Prompt: "a"}, Request{Session: "t", Transient: true, Prompt: "b"}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			same := affinityKey(&Exchange{Request: row.a}) == affinityKey(&Exchange{Request: row.b})
			qt.New(t).Assert(same, qt.Equals, row.same)
		})
	}
}

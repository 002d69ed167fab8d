package filter

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/routing"
)

// TestSoundRestOfAStreamIsNotCut has a stream that goes on right after its last event take greater steps later, or have events without
// an ID there, as the stream of a first endpoint may.
func TestSoundRestOfAStreamIsNotCut(t *testing.T) {
	plain := endpoint.Chunk{Data: []byte("data: x\n\n")}
	tests := []struct {
		name string
		rest []endpoint.Chunk
	}{
		{"a greater step later", []endpoint.Chunk{event("4", "d"), event("5", "e"), event("9", "f"), end}},
		{"an event without an ID later", []endpoint.Chunk{event("4", "d"), plain, event("5", "e"), end}},
		{"a last event without an ID", []endpoint.Chunk{event("4", "d"), plain, end}},
		{"a time to reconnect later", []endpoint.Chunk{event("4", "d"), {Data: []byte("retry: 500\n\n")}, event("5", "e"), end}},
		{"an ID that is no number later", []endpoint.Chunk{event("4", "d"), event("end", "e"), end}},
	}
	begun := []endpoint.Chunk{event("1", "a"), event("2", "b"), event("3", "c")}
	for _, test := range tests {
		rest := scriptedSend{head: head(200, "2"), chunks: test.rest}
		want := ""
		for _, c := range test.rest {
			want += string(c.Data)
		}
		t.Run(test.name+", resumed by us", func(t *testing.T) {
			x, sink := routedExchange(routing.KindStream)
			sender := &scriptedSender{script: []scriptedSend{{head: head(200, "1"), chunks: begun, broken: endpoint.ErrBroken}, rest}}
			qt.Check(t, Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(context.Background(), x, nil), qt.IsNil)
			qt.Check(t, sink.text, qt.Equals, "abc"+want)
			qt.Check(t, sink.whole, qt.IsTrue)
		})
		t.Run(test.name+", resumed by the caller", func(t *testing.T) {
			x, sink := routedExchange(routing.KindStream)
			x.Routed.LastEventID = "3"
			sender := &scriptedSender{script: []scriptedSend{rest}}
			qt.Check(t, Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(context.Background(), x, nil), qt.IsNil)
			qt.Check(t, sink.text, qt.Equals, want)
			qt.Check(t, sink.whole, qt.IsTrue)
		})
	}
}

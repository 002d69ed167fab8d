package filter

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/routing"
)

// TestOnlyTheNextEventFollows passes events with the IDs on in order, and then asks whether another may follow in an answer that
// resumes the stream.
func TestOnlyTheNextEventFollows(t *testing.T) {
	tests := []struct {
		name string
		ids  []string
		next endpoint.Chunk
		want bool
	}{
		{"the next", []string{"1", "2", "3"}, event("4", ""), true},
		{"the last once more", []string{"1", "2", "3"}, event("3", ""), false},
		{"the first once more", []string{"1", "2", "3"}, event("1", ""), false},
		{"one is left out", []string{"1", "2", "3"}, event("5", ""), false},
		{"a number as text is compared as a number", []string{"8", "9"}, event("10", ""), true},
		{"too little is known to miss one", []string{"1"}, event("3", ""), true},
		{"IDs that aren't counted by one", []string{"4", "8", "12"}, event("16", ""), true},
		{"IDs that aren't counted by one, in another step", []string{"4", "8", "12"}, event("13", ""), true},
		{"IDs that aren't counted by one, from before", []string{"4", "8", "12"}, event("11", ""), false},
		{"IDs that are counted by one at times", []string{"1", "2", "3", "7"}, event("9", ""), true},
		{"no number after numbers", []string{"1", "2", "3"}, event("x", ""), false},
		{"another text", []string{"a", "b"}, event("c", ""), true},
		{"the same text", []string{"a", "b"}, event("b", ""), false},
		{"no ID", []string{"1"}, endpoint.Chunk{Data: []byte("data: x\n\n")}, false},
		{"text", []string{"1"}, endpoint.Chunk{Data: []byte("x\n\n")}, false},
		{"a comment", []string{"1"}, endpoint.Chunk{Data: []byte(": x\n\n")}, true},
		{"text after a comment", []string{"1"}, endpoint.Chunk{Data: []byte(": x\nx\n\n")}, false},
		{"the end", []string{"1"}, end, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var order eventOrder
			last := ""
			for _, id := range test.ids {
				order.note(last, event(id, ""))
				last = id
			}
			qt.Check(t, order.follows(last, test.next), qt.Equals, test.want)
			order.more = true
			qt.Check(t, order.follows(last, test.next), qt.Equals, test.want && !test.next.Last)
		})
	}
}

// TestSilentStreamWithoutIDsGoesOn guards against giving up a silent stream that can't be resumed anywhere.
func TestSilentStreamWithoutIDsGoesOn(t *testing.T) {
	plain := endpoint.Chunk{Data: []byte("data: x\n\n")}
	tests := []struct {
		name   string
		chunks []endpoint.Chunk
	}{
		{"no event has an ID", []endpoint.Chunk{plain, plain, end}},
		{"the last event has no ID", []endpoint.Chunk{event("1", "id: 1\ndata: x\n\n"), plain, end}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(routing.KindStream)
				x.Routed.Route.Objective = 10 * time.Second
				pause := 2 * x.Routed.Route.MaxGap
				first := pacedStream{chunks: test.chunks, pause: pause}
				if len(test.chunks[0].Event) > 0 {
					first.pause = pause / 4 // the first gap comes after an event with an ID
					first.lastPause = pause
				}
				sender := &pacedSender{streams: []pacedStream{first, {chunks: []endpoint.Chunk{end}}}}
				err := Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(t.Context(), x, nil)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, sink.whole, qt.IsTrue)
				qt.Check(t, sender.sends, qt.Equals, 1)
			})
		})
	}
}

// TestCallerThatResumesGetsNoEventTwice has a caller resume a stream after its third event, with the first endpoint beginning anew.
func TestCallerThatResumesGetsNoEventTwice(t *testing.T) {
	tests := []struct {
		name      string
		resumable bool
		want      string
		sends     int
	}{
		{"a route whose streams are resumed", true, "d", 2},
		{"another route", false, "a", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, sink := routedExchange(routing.KindStream)
			x.Routed.Route.Resumable, x.Routed.LastEventID = test.resumable, "3"
			x.Idempotent = x.Routed.Route.Idempotent()
			sender := &scriptedSender{script: []scriptedSend{
				{head: head(200, "a"), chunks: []endpoint.Chunk{event("1", "a"), end}},
				{head: head(200, "b"), chunks: []endpoint.Chunk{event("4", "d"), end}},
			}}
			err := Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, nil, nil}.Handle(t.Context(), x, nil)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, sink.text, qt.Equals, test.want)
			qt.Check(t, sink.whole, qt.IsTrue)
			qt.Check(t, sender.calls, qt.HasLen, test.sends)
		})
	}
}

package filter

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
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

package filter

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"cornelmux/internal/endpoint"
)

// minSingleSteps is the number of steps by one from event to event after which a greater step means that events are missing.
const minSingleSteps = 2

// errNotTheRest ends a send whose answer isn't the rest of the stream that the caller has begun to get.
var errNotTheRest = errors.New("the answer is not the rest of the stream")

// eventOrder is what is known of the events of a stream that were passed on.
type eventOrder struct {
	// mediaType is that of the answer with which the stream began.
	mediaType string
	// singleSteps counts the steps from one event's ID to the next, all of them by one; -1 once there was another.
	singleSteps int
	// unnumbered says that the last event had no ID, so that no other endpoint can go on after it.
	unnumbered bool
	// more says that an event was begun, and none was passed on since, so that the stream isn't at its end.
	more bool
}

// follow returns the stream of an answer, whose Next fails at an event that doesn't follow those that the caller has. It fails
// if the caller has a part of the answer and the head can't go on with it. relay calls it once for each answer.
func (f *forwardRun) follow(stream endpoint.Stream) (endpoint.Stream, error) {
	h := stream.Head()
	kind, _, _ := strings.Cut(h.ContentType, ";")
	kind = strings.ToLower(strings.TrimSpace(kind))
	switch {
	case !f.x.Relayed:
		f.order.mediaType = kind
	case Head{Status: h.Status}.Failed():
		f.errorAnswer = &bufferedAnswer{head: Head{Status: h.Status}}
		return nil, fmt.Errorf("%w: status %d to resume a stream", errEndpointStatus, h.Status)
	case h.Status != http.StatusOK:
		return nil, fmt.Errorf("%w: %w: status %d", endpoint.ErrBroken, errNotTheRest, h.Status)
	case kind != f.order.mediaType:
		return nil, fmt.Errorf("%w: %w: content type %q", endpoint.ErrBroken, errNotTheRest, h.ContentType)
	}
	return &followingStream{Stream: stream, run: f, resumed: f.lastEventID != "" && f.x.Idempotent}, nil
}

// followingStream checks each chunk of an answer before it is passed on. It implements endpoint.Stream.
type followingStream struct {
	endpoint.Stream
	run *forwardRun
	// resumed says that the answer has to go on after an event that the caller has.
	resumed bool
}

// Next implements endpoint.Stream.
func (s *followingStream) Next() (endpoint.Fragment, error) {
	fragment, err := s.Stream.Next()
	if err != nil {
		s.run.order.more = s.run.order.more || errors.Is(err, endpoint.ErrWithinEvent)
		return fragment, err
	}
	p, last, order := fragment.Chunk, s.run.lastEventID, &s.run.order
	if s.resumed && !order.follows(last, p) {
		return endpoint.Fragment{}, fmt.Errorf("%w: %w: event %q after event %q", endpoint.ErrBroken, errNotTheRest, p.Event, last)
	}
	order.note(last, p)
	return fragment, nil
}

// follows reports whether the chunk may come right after the event with the ID last. IDs that are numbers increase, by one if
// all before did. Between events there are only comments.
func (o *eventOrder) follows(last string, p endpoint.Chunk) bool {
	if p.Last {
		return !o.more
	}
	if p.Event == "" {
		return isComment(p.Data)
	}
	a, b, ok := parseIDs(last, p.Event)
	if !ok {
		return last != p.Event && o.singleSteps < minSingleSteps
	}
	return b > a && (b-a == 1 || o.singleSteps < minSingleSteps)
}

// note takes a chunk that is passed on after the event with the ID last.
func (o *eventOrder) note(last string, p endpoint.Chunk) {
	if p.Event == "" {
		o.unnumbered = o.unnumbered || (!p.Last && isProgress(p))
		return
	}
	o.more, o.unnumbered = false, false
	a, b, ok := parseIDs(last, p.Event)
	switch {
	case last == "" || o.singleSteps < 0:
	case ok && b-a == 1:
		o.singleSteps++
	default:
		o.singleSteps = -1
	}
}

// parseIDs returns two events' IDs as numbers, and whether both are.
func parseIDs(last, next string) (a, b uint64, ok bool) {
	a, errLast := strconv.ParseUint(last, 10, 64)
	b, errNext := strconv.ParseUint(next, 10, 64)
	return a, b, errLast == nil && errNext == nil
}

// isComment reports whether the text has only lines that are blank or comments.
func isComment(text []byte) bool {
	for line := range bytes.Lines(text) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

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

// checkHead fails if the caller has a part of the answer and the head of another one, which isn't an error status, can't go on with
// it. It's called before the answer takes the place of another.
func (f *forwardRun) checkHead(h endpoint.Head) error {
	switch {
	case !f.x.Relayed:
		return nil
	case h.Status != http.StatusOK:
		return fmt.Errorf("%w: %w: status %d", endpoint.ErrBroken, errNotTheRest, h.Status)
	case mediaType(h) != f.order.mediaType:
		return fmt.Errorf("%w: %w: content type %q", endpoint.ErrBroken, errNotTheRest, h.ContentType)
	}
	return nil
}

// mediaType returns the type of an answer's body, without parameters.
func mediaType(h endpoint.Head) string {
	kind, _, _ := strings.Cut(h.ContentType, ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// checkOrder fails if s was to resume a stream and does not go on right after the events that the caller has. What comes after its first
// event is its own, as with a stream that wasn't resumed. It's called before the chunk is passed on.
func (f *forwardRun) checkOrder(s *sendTask, c endpoint.Chunk) error {
	if !f.x.Relayed {
		f.order.mediaType = mediaType(s.head)
	}
	if s.call.LastEventID != "" && s.events == 0 && f.x.Idempotent && !f.order.follows(f.lastEventID, c) {
		return fmt.Errorf("%w: %w: event %q after event %q", endpoint.ErrBroken, errNotTheRest, c.Event, f.lastEventID)
	}
	return nil
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

// noteEnd takes the error with which an answer ended that was passed on so far.
func (o *eventOrder) noteEnd(err error) {
	o.more = o.more || errors.Is(err, endpoint.ErrWithinEvent)
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

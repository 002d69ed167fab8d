package filter

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"cornelmux/internal/endpoint"
)

// errNotTheRest ends a send whose answer isn't the rest of the stream that the caller has begun to get.
var errNotTheRest = errors.New("the answer is not the rest of the stream")

// follow returns an error if the caller has a part of the answer and the head can't go on with it. relay calls it once for each
// answer.
func (f *forwardRun) follow(h endpoint.Head) error {
	kind, _, _ := strings.Cut(h.ContentType, ";")
	kind = strings.ToLower(strings.TrimSpace(kind))
	switch {
	case !f.x.Relayed:
		f.mediaType = kind
	case Head{Status: h.Status}.Failed():
		f.errorAnswer = &bufferedAnswer{head: Head{Status: h.Status}}
		return fmt.Errorf("%w: status %d to resume a stream", errEndpointStatus, h.Status)
	case h.Status != http.StatusOK:
		return fmt.Errorf("%w: %w: status %d", endpoint.ErrBroken, errNotTheRest, h.Status)
	case kind != f.mediaType:
		return fmt.Errorf("%w: %w: content type %q", endpoint.ErrBroken, errNotTheRest, h.ContentType)
	}
	return nil
}

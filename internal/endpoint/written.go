package endpoint

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	// maxTries is more than the connections that net/http tries for one request.
	maxTries = 8
	// writeEndTimeout is how long the end of an answer without a length waits for the end of writing its request.
	writeEndTimeout = 100 * time.Millisecond
)

// ErrRequestCut reports an answer without a length that ended before its request was written. Its connection may have been reset: the
// failed write takes the error from the read, which then sees an end in order.
var ErrRequestCut = errors.New("the answer ended before the request was written")

// RequestWrite notes how the writing of one request ended, on each connection that net/http tries.
type RequestWrite struct {
	ends chan error
}

// NewRequestWrite makes the RequestWrite of a request.
func NewRequestWrite() RequestWrite { return RequestWrite{make(chan error, maxTries)} }

// Note is a hook of httptrace.ClientTrace. net/http calls it in a goroutine of the connection.
func (w RequestWrite) Note(info httptrace.WroteRequestInfo) {
	select {
	case w.ends <- info.Err:
	default: // more tries than anybody waits for
	}
}

// CheckEnd fails with ErrRequestCut if a body that ended with its connection may have been cut, and with ErrMalformedField if the trailer
// is malformed. It is called at the end of the body of each answer. Writing may have failed on a connection before, so it waits for a
// success.
func (w RequestWrite) CheckEnd(resp *http.Response) error {
	if IsFramed(resp) {
		return CheckFieldNames(resp.Trailer)
	}
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	for {
		select {
		case err := <-w.ends:
			if err == nil {
				return nil
			}
		case <-timer.C:
			return ErrRequestCut
		}
	}
}

// IsFramed reports whether the head of the answer tells where its body ends.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead
}

package endpoint

import (
	"errors"
	"time"
)

// Notice is what an endpoint says of itself with an answer, whatever the answer is.
type Notice struct {
	// Leaving says that the endpoint is shutting down and wants no new runs.
	Leaving bool
	// Pause is how long the endpoint wants no runs of this VM; 0 means that it doesn't say so.
	Pause time.Duration
}

// NoticeError is the error of a call whose answer can't be used and brought a Notice all the same.
type NoticeError struct {
	Notice Notice
	Err    error
}

// Error implements error.
func (e *NoticeError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the call.
func (e *NoticeError) Unwrap() error { return e.Err }

// WithNotice adds the notice to the error of a call; nil stays nil, and an empty notice isn't added.
func WithNotice(err error, n Notice) error {
	if err == nil || n == (Notice{}) {
		return err
	}
	return &NoticeError{n, err}
}

// NoticeOf returns the notice that came with the error of a call, or an empty one.
func NoticeOf(err error) Notice {
	var e *NoticeError
	if errors.As(err, &e) {
		return e.Notice
	}
	return Notice{}
}

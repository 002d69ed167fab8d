package task

import (
	"context"
	"errors"
)

// ErrStopped reports that the receiver ended before it replied.
var ErrStopped = errors.New("the receiver has stopped")

// Reply carries the reply to a question whose asker may leave before, by AskOrLeave. Whichever comes first, the reply or the word that
// the asker left, takes the only place in the channel, so that both sides know which it was and neither waits.
type Reply[R any] struct{ place chan replyOrLeave[R] }

// NewReply makes a Reply for a question that isn't asked by AskOrLeave, as in a test of its receiver.
func NewReply[R any]() Reply[R] { return Reply[R]{make(chan replyOrLeave[R], 1)} }

// replyOrLeave is a reply, or says that the asker left.
type replyOrLeave[R any] struct {
	value R
	left  bool
}

// Wanted reports whether the asker hasn't left yet. The receiver calls it first, and skips the question if not, so that a backlog is soon
// worked off.
func (r Reply[R]) Wanted() bool { return len(r.place) == 0 }

// Send sends the reply, and reports whether the asker gets it. If not, the receiver takes back what the reply would have given. The
// receiver calls it at most once.
func (r Reply[R]) Send(value R) bool {
	select {
	case r.place <- replyOrLeave[R]{value: value}:
		return true
	default:
		return false
	}
}

// AskOrLeave is Ask for a reply that gives the asker something, or costs the receiver work: if ctx or the receiver ends first, the receiver
// knows that its reply isn't wanted. It returns the reply even then if it was sent before. stopped is closed when the receiver has ended;
// nil if it's never told.
func AskOrLeave[M, R any](ctx context.Context, stopped <-chan struct{}, mailbox chan<- M, build func(Reply[R]) M) (R, error) {
	var zero R
	reply := NewReply[R]()
	if err := Tell(mailbox, build(reply)); err != nil {
		return zero, err
	}
	var err error
	select {
	case r := <-reply.place:
		return r.value, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-stopped:
		err = ErrStopped
	}
	select {
	case reply.place <- replyOrLeave[R]{left: true}:
		return zero, err
	case r := <-reply.place:
		return r.value, nil
	}
}

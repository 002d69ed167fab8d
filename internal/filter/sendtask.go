package filter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cornelmux/internal/cascade"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
	"cornelmux/internal/task"
)

// sendTask is one send of a request. Its task owns the stream from the endpoint and hands what comes over to the goroutine of the
// request, which owns all else.
type sendTask struct {
	place pool.Placement
	// placing is how long the send waited for its placement.
	placing time.Duration
	// model is the model asked, or "" for a plain service.
	model string
	// present is the attempt for the traffic shift; trial says that its progress is to be told.
	present shift.Attempt
	trial   bool
	// first is the silence timeout until the first progress, gap the one between two; 0 means none.
	first, gap time.Duration
	sender     Sender
	pool       Pool
	call       endpoint.Call
	// memory is what the answer holds: its task's until that ends, then the owner's.
	memory *answerClaim
	// resumes says that the caller has a part of the answer, so that the body of an error isn't needed.
	resumes bool
	check   endpoint.SendCheck
	// messages brings what the endpoint answers, and is closed at the end.
	messages chan message
	ends     chan task.End
	// cancel ends the send. givenUp says why the owner did so; nil if it didn't.
	cancel  context.CancelFunc
	givenUp error
	// held says that the owner keeps the answer and reads no more of it, since heldAt.
	held   bool
	heldAt time.Time

	// The task sets what follows before it hands something over or ends, and the owner reads it after: whether the check let the
	// send pass, the head, the time to it, and the body of an answer with an error status.
	sent      bool
	head      endpoint.Head
	ttfb      time.Duration
	errorBody endpoint.Chunk

	sendResult
}

// message is what a send hands over: that the endpoint accepted the request, with the head of its answer, or a chunk. With next the
// send only waits until the owner has passed the chunk before on.
type message struct {
	accepted bool
	next     bool
	chunk    endpoint.Chunk
}

// sendResult is how one send ended, as its owner saw it.
type sendResult struct {
	err error
	end pool.End
	// began is when the send started, duration the time until its end.
	began    time.Time
	duration time.Duration
	// events counts the events that were read, firstEventAt and lastEventAt are the times of the first and the last, and gaps holds the
	// times between them. The pace is reported after as many events as reportAt says.
	events       int
	firstEventAt time.Time
	lastEventAt  time.Time
	gaps         gaps
	reportAt     int
	// survived says that the quarantine was told that the endpoint outlived the start of the answer.
	survived bool
	// silent is the longest time without progress; progressAt is the time of the last one, or the start of the send.
	silent     time.Duration
	progressAt time.Time
	// refused counts the tries to place this silent send elsewhere that found no placement; refusedErr is the reason of the last.
	refused    int
	refusedErr string
	// verdict is the decision on the answer by its confidence; 0 if there was none.
	verdict cascade.Verdict
}

// progressed records progress of the answer.
func (s *sendResult) progressed(now time.Time) {
	s.silent = max(s.silent, now.Sub(s.progressAt))
	s.progressAt = now
}

// run opens the send and hands the answer over, one chunk at a time. After the last chunk it waits to be cancelled, since the
// stream's memory holds that chunk. It's the task of a send.
func (s *sendTask) run(ctx context.Context) error {
	defer close(s.messages)
	stream, err := s.sender.Open(ctx, s.target(), s.call, s.check)
	if err != nil {
		s.note(ctx, endpoint.NoticeOf(err))
		return err
	}
	defer stream.Close()
	s.head, s.ttfb = stream.Head(), time.Since(s.began)
	s.note(ctx, s.head.Notice)
	s.noteBegin(ctx)
	switch {
	case s.head.Status >= http.StatusBadRequest && s.resumes:
		return errEndpointStatus
	case s.head.Status >= http.StatusBadRequest:
		return s.readErrorBody(stream)
	}
	if err := s.hand(ctx, message{accepted: true}); err != nil {
		return err
	}
	for {
		fragment, err := nextChunk(stream)
		if err != nil {
			return err
		}
		if err := s.hand(ctx, message{chunk: fragment}); err != nil {
			return err
		}
		if fragment.Last {
			<-ctx.Done()
			return nil
		}
		if err := s.releaseChunk(ctx); err != nil {
			return err
		}
	}
}

// releaseChunk waits until the owner has passed the last chunk on, if that holds memory, and gives it back, so that a caller that reads
// slowly has one long chunk held for it and no more. run calls it.
func (s *sendTask) releaseChunk(ctx context.Context) error {
	if !s.memory.holds() {
		return nil
	}
	if err := s.hand(ctx, message{next: true}); err != nil {
		return err
	}
	s.memory.release()
	return nil
}

// note tells the pool what the endpoint said of itself. run calls it before it hands anything of the answer over, so that a
// request that comes after the answer is placed by it.
func (s *sendTask) note(ctx context.Context, n endpoint.Notice) {
	if n != (endpoint.Notice{}) {
		_ = s.pool.Note(ctx, pool.Notice{Endpoint: s.place.ID, Incarnation: s.place.Incarnation, Notice: n}) // waits for room; the next answer says it again
	}
}

// noteBegin tells the pool that the answer began, unless it's an error. run calls it as the head comes: the end of a stream may be far.
func (s *sendTask) noteBegin(ctx context.Context) {
	if s.head.Status < http.StatusInternalServerError {
		_ = s.pool.Began(ctx, pool.Begin{Endpoint: s.place.ID, Incarnation: s.place.Incarnation, Number: s.place.Number, TTFB: s.ttfb}) // Done tells the same later
	}
}

// target returns the endpoint of the placement.
func (s *sendTask) target() endpoint.Endpoint {
	return endpoint.Endpoint{ID: s.place.ID, Address: s.place.Address, Region: s.place.Region, Zone: s.place.Zone}
}

// nextChunk returns the next chunk of an answer whose last one hasn't come.
func nextChunk(stream endpoint.Stream) (endpoint.Chunk, error) {
	fragment, err := stream.Next()
	if errors.Is(err, io.EOF) && !errors.Is(err, endpoint.ErrBroken) {
		return endpoint.Chunk{}, fmt.Errorf("%w: the answer ended before its last chunk", endpoint.ErrBroken)
	}
	return fragment.Chunk, err
}

// hand waits until the owner takes m, or the send is cancelled.
func (s *sendTask) hand(ctx context.Context, m message) error {
	select {
	case s.messages <- m:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", endpoint.ErrBroken, ctx.Err())
	}
}

// errEndpointStatus ends a send that the endpoint answered with an error status, whose body is in errorBody.
var errEndpointStatus = errors.New("the endpoint answered with an error status")

// readErrorBody reads the body of an answer with an error status whole. run calls it.
func (s *sendTask) readErrorBody(stream endpoint.Stream) error {
	for !s.errorBody.Last {
		c, err := nextChunk(stream)
		if err != nil {
			return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
		}
		if s.errorBody.Data == nil {
			s.errorBody = c
			continue
		}
		s.errorBody.Data = append(s.errorBody.Data, c.Data...)
		s.errorBody.Last = c.Last
	}
	return errEndpointStatus
}

// received returns the channel on which the owner gets what s hands over; nil, which never brings anything, without a send or if its
// answer is kept.
func (s *sendTask) received() <-chan message {
	if s == nil || s.held {
		return nil
	}
	return s.messages
}

// stop cancels the send, unless it has ended, and waits for its end. why is the reason, or nil after a whole answer.
func (s *sendTask) stop(why error) error {
	s.givenUp = why
	s.cancel()
	return (<-s.ends).Err
}

package filter

import (
	"context"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// call describes the request to the model for the sender. Only streams carry an urgency. The run ID is the request ID. startSend
// calls it.
func (f *forwardRun) call(model string) endpoint.Call {
	x := f.x
	path := x.Request.Path
	if x.Request.Query != "" || x.Request.ForceQuery {
		path += "?" + x.Request.Query
	}
	urgency := -1
	if x.Routed.Route.Kind == routing.KindStream {
		urgency = min(max(x.Routed.Priority, 0), maxUrgency)
	}
	return endpoint.Call{
		RunID: x.Request.ID, Idempotent: x.Idempotent, Model: model, Method: x.Request.Method, Path: path,
		Fields: x.Request.Fields, Body: x.Request.Body,
		RouteOptions: endpoint.RouteOptions{
			Host: x.Routed.Host, Account: x.Routed.Account, Deadline: x.Request.Deadline, Urgency: urgency,
			LastEventID: f.lastEventID, EventStream: x.Routed.Route.Kind == routing.KindStream,
		},
	}
}

// sendCheck returns the check that the sender calls before the first byte: the deadline must leave enough time for the
// send, whose context ctx is, and the endpoint of the reservation r may still get it. The task of the send calls the check, which reads
// only what doesn't change while the request runs.
func (f *forwardRun) sendCheck(ctx context.Context, s *sendTask, r *Reservation) endpoint.SendCheck {
	fresh := f.current == nil && !f.x.Relayed && !f.x.Routed.MayHaveRun // nothing is lost if it is refused
	return func() error {
		if ctx.Err() != nil || f.x.Routed.callerLeft() {
			return result.Errorf(result.DeadlinePassed, "the deadline passed or the caller disconnected before the send")
		}
		if d := f.x.Request.Deadline; !d.IsZero() && time.Until(d) < minSendTime {
			return result.Errorf(result.DeadlinePassed, "too little time is left before the deadline")
		}
		if err := f.confirm(ctx, r); err != nil {
			return err
		}
		if fresh {
			if err := f.x.Flight.checkFirstSend(s.call.Deadline); err != nil {
				return err
			}
		}
		if by := s.place.SendBy; !by.IsZero() && time.Now().After(by) {
			return errPlacedTooLate
		}
		s.sent = true
		return nil
	}
}

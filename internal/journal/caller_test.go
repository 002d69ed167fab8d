package journal_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/internal/journal"
	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// caller describes one request of a test. All durations follow each other: the request starts at StartAfter, is sent to the
// endpoint SendAfter later and ends there after RunTime, in the way of Ending: "refused" before the send, "lost" after it,
// or else with an answer.
type caller struct {
	// VM is the index of the VM that gets the request, Key the request ID.
	VM, Key    int
	Idempotent bool
	StartAfter time.Duration
	SendAfter  time.Duration
	RunTime    time.Duration
	Ending     string
	// Timeout is the caller's timeout, at least one second.
	Timeout time.Duration
}

// outcome is the result of one caller's request. It implements filter.Sink.
type outcome struct {
	caller
	err      *result.Error
	text     string
	complete bool
	// sent and served report that the endpoint got the request, and that it answered.
	sent   bool
	served bool
}

func (o *outcome) Begin(context.Context, filter.Head) error { return nil }

func (o *outcome) Chunk(_ context.Context, chunk endpoint.Chunk) error {
	o.text += chunk.Text
	o.complete = chunk.Last
	return nil
}

// endpointStub takes the place of the Send filter at the end of the chain. It checks the claim as Send does before a send,
// and records in the outcome what happened.
type endpointStub struct {
	vm *vm
	o  *outcome
}

// Handle implements filter.Filter. It waits for SendAfter and RunTime and ends as o.Ending says. It refuses a non-idempotent
// request without a valid claim, and fails every request once its VM is dead.
func (e endpointStub) Handle(ctx context.Context, x *filter.Exchange, _ filter.Next) error {
	task.Sleep(ctx, e.o.SendAfter)
	if e.vm.dead.Load() || e.o.Ending == "refused" {
		return result.Errorf(result.NoEndpoint, "no endpoint")
	}
	if !x.Idempotent && !x.Claim.Valid(time.Now()) {
		return result.Errorf(result.DeadlinePassed, "claim expired")
	}
	x.Sent, e.o.sent = true, true
	task.Sleep(ctx, e.o.RunTime)
	if e.o.Ending == "lost" || e.vm.dead.Load() {
		return result.Errorf(result.EndpointFailed, "lost")
	}
	e.o.served = true
	x.Runs = append(x.Runs, journal.Run{Endpoint: "e"})
	_ = x.Sink.Begin(ctx, filter.Head{Status: 200})
	_ = x.Sink.Chunk(ctx, endpoint.Chunk{Text: e.vm.name + " at "})
	return x.Sink.Chunk(ctx, endpoint.Chunk{Text: e.o.StartAfter.String(), Last: true})
}

// checkOutcomes returns an error if the outcomes and bills violate the guarantees of the journal.
func checkOutcomes(c *cluster, outcomes []*outcome, bills []journal.Bill) error {
	billed := map[string]int{}
	for _, b := range bills {
		billed[b.Key.Request]++
	}
	byKey := map[int][]*outcome{}
	for _, o := range outcomes {
		byKey[o.Key] = append(byKey[o.Key], o)
	}
	for key, list := range byKey {
		if err := checkRequest(c, list, billed[fmt.Sprint(key)]); err != nil {
			return fmt.Errorf("request %d: %w", key, err)
		}
	}
	return nil
}

// checkRequest checks all outcomes of one request ID: callers get complete answers, no error says "not run" after a send, a
// non-idempotent request is sent once and has one answer, and a request is billed once if it was served.
func checkRequest(c *cluster, list []*outcome, bills int) error {
	sent, answers, mustBill := 0, map[string]bool{}, false
	for _, o := range list {
		if o.sent {
			sent++
		}
		dead := c.vms[o.VM].dead.Load()
		mustBill = mustBill || (o.served && !dead)
		if dead {
			continue
		}
		if o.sent && o.err != nil && o.err.Run == result.NotRun {
			return fmt.Errorf("the request was sent, but the caller got %v", o.err)
		}
		if o.err == nil {
			answers[o.text] = true
			if !o.complete || !strings.Contains(o.text, " at ") {
				return fmt.Errorf("the caller got part of an answer: %q", o.text)
			}
		}
	}
	if !list[0].Idempotent && (sent > 1 || len(answers) > 1) {
		return fmt.Errorf("sent %d times, answers %v", sent, answers)
	}
	if bills > 1 || (mustBill && bills == 0) {
		return fmt.Errorf("billed %d times", bills)
	}
	if sent == 0 && len(answers) > 0 {
		return fmt.Errorf("the request was answered without a send")
	}
	return nil
}
